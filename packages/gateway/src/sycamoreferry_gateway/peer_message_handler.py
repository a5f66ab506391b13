"""Handle the messages of other instances."""

import functools
import typing
import zlib

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    instances,
    message_delays,
    store_records,
)
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import peer_loads, server_load
from sycamoreferry_gateway import (
    coordinator,
    crash_reports,
    leaving_reports,
    peer_messages,
    permit_client,
    permit_service,
    rate_limit_reports,
    record_patches,
    slowdown_reports,
    store_sync,
    view,
    warm_up_reports,
)

_REQUEST_INTERVAL_MS = 250

_Address = tuple[str, int]
_WithRates = (
    peer_messages.Heartbeat
    | peer_messages.PermitRequest
    | peer_messages.PermitReturn
)
_OnTopic = typing.Callable[[store_records.TopicName], None]
_Send = typing.Callable[[peer_messages.PeerMessage, _Address], None]


class PeerMessageHandler:
    """Apply messages of peers to the view, the loads and the permits."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        get_coordinator: typing.Callable[[], coordinator.Coordinator],
        send: _Send,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._get_coordinator = get_coordinator
        self._send = send
        self._requested_at: dict[store_records.TopicName, clock.Millis] = {}
        self._delays = message_delays.MessageDelays()
        self.on_new_peer: typing.Callable[[_Address], None] = _ignore_new_peer
        self.on_peer_offset: store_sync.OnPeerOffset = _ignore_peer_offset
        # Called if a peer has read the store in a newer era.
        self.on_newer_era: typing.Callable[[], None] = _ignore_newer_era
        # Called with the topic of records that name no era.
        self.on_unusable_records: _OnTopic = _ignore_topic
        self.counter: permit_service.PermitService | None = None
        self.permits: permit_client.PermitClient | None = None

    def counters(self) -> dict[ids.ServerId, ids.InstanceId]:
        """Return the instances that this one asks, by the limited server."""
        if self.permits is None:
            return {}
        return self.permits.counting.of_limited_servers()

    @functools.singledispatchmethod
    def handle(self, message: object, sender: _Address) -> None:
        """Handle a message; raise TypeError if no handler takes its type."""
        raise TypeError(f'no handler for the message {message!r} from {sender}')

    @handle.register
    def _(
        self,
        message: peer_messages.Heartbeat,
        sender: _Address,
    ) -> None:
        heartbeat = message
        now = self._clock.now()
        instance = ids.InstanceId(heartbeat.instance)
        self._view.peer_addresses.setdefault(instance, sender)
        if self._view.peers.is_new_incarnation(instance, heartbeat.incarnation):
            self.on_new_peer(sender)
        self._view.peers.update(
            instances.PeerStatus(
                instance,
                heartbeat.incarnation,
                now,
                heartbeat.is_leaving,
                heartbeat.store_age_ms,
                heartbeat.has_authority,
                heartbeat.counting_weight,
                heartbeat.is_cut_off,
                store_records.StoreEra(heartbeat.era),
                heartbeat.reports_often,
                {
                    ids.ServerId(row.server): ids.InstanceId(row.instance)
                    for row in heartbeat.counters
                },
            ),
        )
        if heartbeat.silent_ms and heartbeat.has_authority:
            self._view.peers.record_silent(
                map(ids.InstanceId, heartbeat.silent), heartbeat.silent_ms, now
            )
        if heartbeat.given_up_term:
            term = ids.Term(heartbeat.given_up_term)
            self._view.owners.given_up_lease_ends[term] = clock.later(
                now, heartbeat.leases_ms
            )
        if heartbeat.loads is not None:
            rows = _reports(heartbeat.loads)
            self._loads.peers.replace_report(instance, rows, now)
        sent_at = self._merge_rates(heartbeat)
        slowdown_reports.merge_rows(
            self._loads.slowdowns, self._view.fleet.get, heartbeat, sent_at
        )
        leaving_reports.merge_rows(self._view, heartbeat.leaving, instance)
        crash_reports.merge(heartbeat, self._view.crashes, now)
        self._request_newer(heartbeat, sender)
        self._view.on_change()

    @handle.register
    def _(self, message: peer_messages.Demand, sender: _Address) -> None:
        for row in message.rows:
            self._get_coordinator().count_demand(
                ids.ServiceName(row.service),
                owners.Key(row.key),
                row.count,
            )

    @handle.register
    def _(self, message: peer_messages.Records, sender: _Address) -> None:
        topic = store_records.TopicName(message.topic)
        if topic not in self._view.mirrors:
            return
        records = tuple(
            store_records.StoredRecord(
                store_records.RecordKey(row.key),
                ids.Offset(row.offset),
                row.content,
            )
            for row in message.rows
        )
        era = store_records.StoreEra(message.era)
        if era == store_records.NO_ERA and not self._view.offsets.accepts(era):
            self.on_unusable_records(topic)
            return
        page = store_records.RecordPage(
            records, ids.Offset(message.end), era=era
        )
        self._view.apply(topic, page)

    @handle.register
    def _(self, message: peer_messages.RecordPatch, sender: _Address) -> None:
        topic = store_records.TopicName(message.topic)
        mirror = self._view.mirrors.get(topic)
        if mirror is None or mirror.era != message.era:
            return
        earlier = mirror.records.get(store_records.RecordKey(message.key))
        if earlier is None:
            return
        try:
            page = record_patches.apply(message, earlier)
        except zlib.error as error:
            # The record is requested when the next heartbeat names its offset.
            self._view.log.write_rate_limited(
                'peers',
                'record patch is malformed',
                topic=topic,
                offset=message.offset,
                reason=str(error),
            )
            return
        if page is not None:
            self._view.apply(topic, page)

    @handle.register
    def _(
        self,
        message: peer_messages.RecordsRequest,
        sender: _Address,
    ) -> None:
        mirror = self._view.mirrors.get(store_records.TopicName(message.topic))
        if mirror is None:
            return
        rows = [
            peer_messages.RecordRow(record.key, record.offset, record.content)
            for record in mirror.records.values()
            if record.offset >= message.end or message.era < mirror.era
        ]
        answer = peer_messages.Records(
            message.topic, mirror.end, rows, mirror.era
        )
        self._send(answer, sender)

    @handle.register
    def _(self, message: peer_messages.LoadSummary, sender: _Address) -> None:
        self._loads.apply_summary(
            ids.InstanceId(message.coordinator),
            _reports(message.rows),
            self._clock.now(),
        )
        self._view.on_change()

    @handle.register
    def _(self, message: peer_messages.KeysMoving, sender: _Address) -> None:
        named = (message.service, message.first, message.last)
        for service, first, last in (named, *message.others):
            self._view.mark_moving(
                ids.ServiceName(service),
                owners.KeyRange(owners.Key(first), owners.Key(last)),
                is_over=message.is_over,
            )

    @handle.register
    def _(self, message: peer_messages.PermitRequest, sender: _Address) -> None:
        self._merge_rates(message)
        if self.counter is not None:
            self.counter.handle_request(message)

    @handle.register
    def _(self, message: peer_messages.PermitReturn, sender: _Address) -> None:
        sent_at = self._merge_rates(message)
        slowdown_reports.merge_return(
            self._loads.slowdowns, self._view.fleet.get, message, sent_at
        )
        if self.counter is not None:
            self.counter.handle_return(message)

    @handle.register
    def _(self, message: peer_messages.PermitAnswer, sender: _Address) -> None:
        if self.permits is not None:
            self.permits.handle_answer(message)

    @handle.register
    def _(
        self,
        message: peer_messages.PermitReturned,
        sender: _Address,
    ) -> None:
        if self.permits is not None:
            self.permits.returns.confirm(message)

    def _merge_rates(self, message: _WithRates) -> clock.Millis:
        """Apply statements; those that waited on their way are older.

        Return when the message was sent, by the clock of this instance.
        """
        now = self._clock.now()
        sender = ids.InstanceId(message.instance)
        status = self._view.peers.status(sender)
        delay_ms = 0
        if status is not None:
            delay_ms = self._delays.delay_ms(
                sender, status.incarnation, message.sent_at, now
            )
        sent_at = clock.later(now, -delay_ms)
        rate_limit_reports.merge_rows(
            self._loads.rate_limits, message.rate_limits, sent_at
        )
        warm_up_reports.merge_rows(
            self._loads.warm_ups, message.warm_ups, sent_at
        )
        return sent_at

    def _request_newer(
        self,
        heartbeat: peer_messages.Heartbeat,
        sender: _Address,
    ) -> None:
        era = store_records.StoreEra(heartbeat.era)
        if not self._view.offsets.accepts(era):
            if era < self._view.offsets.era:
                return
            self.on_newer_era()
        own_ends = self._view.offsets.ends()
        for topic, end in zip(own_ends, heartbeat.ends, strict=False):
            mirror = self._view.mirrors[topic]
            if era > mirror.era or end > max(own_ends[topic], mirror.end):
                self.on_peer_offset(topic, ids.Offset(end))
                self._request_records(topic, mirror, sender)

    def _request_records(
        self,
        topic: store_records.TopicName,
        mirror: store_records.TopicMirror,
        sender: _Address,
    ) -> None:
        """Request the records that a peer has read."""
        now = self._clock.now()
        last = self._requested_at.get(topic, clock.LONG_AGO)
        if now - last > _REQUEST_INTERVAL_MS:
            self._requested_at[topic] = now
            request = peer_messages.RecordsRequest(
                topic, mirror.end, mirror.era
            )
            self._send(request, sender)


def _ignore_new_peer(_sender: _Address) -> None:
    """Ignore new peers until the peer exchange sets its own callback."""


def _ignore_newer_era() -> None:
    """Ignore newer eras until the store sync sets its own callback."""


def _ignore_topic(_topic: store_records.TopicName) -> None:
    """Ignore unusable records until the store sync sets its own callback."""


def _ignore_peer_offset(
    _topic: store_records.TopicName,
    _end: ids.Offset,
) -> None:
    """Ignore peers' offsets until the store sync sets its own callback."""


def _reports(
    rows: list[peer_messages.LoadRow],
) -> dict[ids.ServerId, peer_loads.ServerReport]:
    return {
        ids.ServerId(row.server): peer_loads.ServerReport(
            row.in_flight,
            row.waiting,
            row.duration_ms,
            row.samples,
        )
        for row in rows
    }
