"""Call the platform's store and detect its outages."""

import typing

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import clock, http_messages, ids
from sycamoreferry_core.fleet import deployment, store_records
from sycamoreferry_gateway import event_log, http_client

# The store normally replies in a few ms, and in about 250 ms when it is slow.
CALL_TIMEOUT_MS = 1_200
# The store is down if it has failed calls for this long without a success.
_OUTAGE_MS = 1_000

_Reply = http_messages.HttpResponse | store_records.StoreFailure


class StoreClient:
    """Send calls over persistent connections and record outages."""

    def __init__(
        self,
        address: deployment.Address,
        time_source: clock.Clock,
        log: event_log.EventLog,
    ) -> None:
        self._address = address
        self._clock = time_source
        self._log = log
        self._pool = http_client.ConnectionPool(time_source)
        self._answered_at = time_source.now()
        # When the first call since then was made; None if it was answered.
        self._unanswered_since: clock.Millis | None = None
        self._outage_ended_at = clock.LONG_AGO
        self._is_down = False
        self._failures = 0
        self._was_reached = False
        self._era = store_records.NO_ERA
        self.on_new_era: typing.Callable[[], None] = _ignore_new_era
        self.calls = 0

    @property
    def era(self) -> store_records.StoreEra:
        """Return the newest era that a reply named."""
        return self._era

    @property
    def last_outage(self) -> clock.Millis:
        """Return the end of the last outage, or now while one lasts."""
        if self._is_down:
            return self._clock.now()
        return self._outage_ended_at

    @property
    def is_down(self) -> bool:
        """Tell whether an outage of the store has been detected."""
        return self._is_down

    def silent_ms(self) -> int:
        """Return the ms since the last reply other than status 429 or 503."""
        return self._clock.now() - self._answered_at

    def unanswered_ms(self) -> int:
        """Return the ms since the first call that the store did not answer.

        Long polls don't count; 0 if all calls were answered.
        """
        if self._unanswered_since is None:
            return 0
        return self._clock.now() - self._unanswered_since

    async def newest(
        self,
        topic: store_records.TopicName,
    ) -> store_records.RecordPage | store_records.StoreFailure:
        """Return the newest record of each key of a topic, from all pages."""
        records: list[store_records.StoredRecord] = []
        first: store_records.RecordPage | None = None
        after = ''
        while True:
            page = await self._list_page(topic, after)
            if isinstance(page, store_records.StoreFailure):
                return page
            # Pages are no consistent snapshot: the end of the first is kept, so
            # that later changes are read from there.
            first = first or page
            if page.era != first.era:
                return _era_changed()
            records.extend(page.records)
            if not page.has_more or not page.records:
                return store_records.RecordPage(
                    tuple(records), first.end, era=first.era
                )
            last = page.records[-1].key
            if last in {after, ''}:
                # The next page would be this one again.
                return self._record_failure(_endless_listing())
            after = last

    async def read(
        self,
        topic: store_records.TopicName,
        start: ids.Offset,
        era: store_records.StoreEra,
        wait_ms: int = 0,
    ) -> (
        store_records.RecordPage
        | store_records.HistoryTruncated
        | store_records.StoreFailure
    ):
        """Return records from an offset of an era on.

        Waits up to `wait_ms` for a record. In another era the offset has no
        meaning, so the history counts as truncated.
        """
        call = store_calls.build_read_query(topic, start, wait_ms)
        reply = await self._call(call, CALL_TIMEOUT_MS + wait_ms)
        if isinstance(reply, store_records.StoreFailure):
            return reply
        page = store_calls.parse_records_reply(reply, start)
        if isinstance(page, store_records.StoreFailure):
            return self._record_failure(page)
        if store_calls.parse_era(reply) != era:
            return store_records.HistoryTruncated()
        return page

    async def append(
        self,
        topic: store_records.TopicName,
        records: typing.Iterable[store_records.NewRecord],
        at: ids.Offset | None = None,
        era: store_records.StoreEra | None = None,
    ) -> (
        store_records.Appended
        | store_records.Superseded
        | store_records.StoreFailure
    ):
        """Append records; with `at`, only if the topic ends at that offset.

        With `era`, a reply of another era is a failure. After a failure
        without `has_no_effect`, the records may still be appended.
        """
        call = store_calls.build_append(topic, records, at)
        reply = await self._call(call)
        if isinstance(reply, store_records.StoreFailure):
            return reply
        if era is not None and store_calls.parse_era(reply) != era:
            return _era_changed()
        appended = store_calls.parse_append_reply(reply)
        if isinstance(appended, store_records.StoreFailure):
            return self._record_failure(appended)
        if (
            isinstance(appended, store_records.Appended)
            and at is not None
            and appended.offset != at
        ):
            return self._record_failure(_foreign_reply(appended.offset, at))
        return appended

    def close_expired(self) -> None:
        """Close connections that have been idle too long to be reused."""
        self._pool.close_expired()

    async def _list_page(
        self,
        topic: store_records.TopicName,
        after: str,
    ) -> store_records.RecordPage | store_records.StoreFailure:
        reply = await self._call(store_calls.build_newest_query(topic, after))
        if isinstance(reply, store_records.StoreFailure):
            return reply
        page = store_calls.parse_newest_reply(reply)
        if isinstance(page, store_records.StoreFailure):
            return self._record_failure(page)
        return page

    async def _call(
        self,
        call: http_messages.HttpRequest,
        timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> _Reply:
        self.calls += 1
        if timeout_ms == CALL_TIMEOUT_MS and self._unanswered_since is None:
            self._unanswered_since = self._clock.now()
        payload = http_client.encode_call(call, str(self._address))
        outcome = await self._pool.exchange(
            self._address,
            payload,
            timeout_ms,
        )
        if isinstance(outcome, http_client.FailedExchange):
            return self._record_failure(_failure_of(outcome))
        era = store_calls.parse_era(outcome)
        if era != store_records.NO_ERA and not self._note_era(era):
            return self._record_failure(_era_changed())
        if outcome.status in _UNAVAILABLE_STATUSES:
            return self._record_failure(
                store_records.StoreFailure(
                    store_records.StoreFailureReason.REJECTED,
                    f'status {outcome.status}',
                ),
            )
        self._record_success()
        return outcome

    def _note_era(self, era: store_records.StoreEra) -> bool:
        """Record the era of a reply; return whether it is the newest."""
        if era <= self._era:
            return era == self._era
        if self._era != store_records.NO_ERA:
            self._log.write(
                'store',
                'store returned to an older copy of its records',
                era=era,
                earlier_era=self._era,
            )
            # What the servers wrote since the copy is written again as after
            # an outage.
            self._outage_ended_at = self._clock.now()
        self._era = era
        self.on_new_era()
        return True

    def _record_success(self) -> None:
        now = self._clock.now()
        self._failures = 0
        self._unanswered_since = None
        if self._is_down:
            self._is_down = False
            self._outage_ended_at = now
            self._log.write('store', 'store is reachable again')
        if not self._was_reached:
            self._was_reached = True
            self._log.write('store', 'store was reached for the first time')
        self._answered_at = now

    def _record_failure(
        self,
        failure: store_records.StoreFailure,
    ) -> store_records.StoreFailure:
        self._failures += 1
        is_silent = self.unanswered_ms() > _OUTAGE_MS
        if not self._is_down and is_silent and self._failures > 1:
            self._is_down = True
            self._log.write(
                'store',
                'store is unreachable',
                trouble=failure.reason.value,
                detail=failure.detail,
                silent_ms=self.silent_ms(),
            )
        return failure


_UNAVAILABLE_STATUSES: typing.Final = frozenset((429, 503))


def _ignore_new_era() -> None:
    """Ignore a new era until the store sync sets its own callback."""


def _era_changed() -> store_records.StoreFailure:
    return store_records.StoreFailure(
        store_records.StoreFailureReason.UNANSWERED,
        'store returned to an older copy',
    )


def _foreign_reply(
    offset: ids.Offset, at: ids.Offset
) -> store_records.StoreFailure:
    return store_records.StoreFailure(
        store_records.StoreFailureReason.MALFORMED,
        f'reply names offset {offset}, the append was to be at {at}',
    )


def _endless_listing() -> store_records.StoreFailure:
    return store_records.StoreFailure(
        store_records.StoreFailureReason.MALFORMED,
        'listing does not go on after its last key',
    )


def _failure_of(
    failed: http_client.FailedExchange,
) -> store_records.StoreFailure:
    trouble = store_records.StoreFailureReason.UNANSWERED
    if not failed.was_sent:
        trouble = store_records.StoreFailureReason.UNREACHABLE
    return store_records.StoreFailure(trouble, failed.failure.value)
