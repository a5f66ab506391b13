"""Apply the keys of evacuations to the servers of their data centres."""

import asyncio
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    evacuations,
    servers,
    store_contact,
    store_records,
)
from sycamoreferry_gateway import event_log, server_records

_PART = 'evacuations'
_WAIT_STEP_MS = 10

AssumeCold = typing.Callable[[servers.ServerIncarnation, clock.Millis], None]


class EvacuationRecords:
    """Keep servers of evacuated data centres from getting requests."""

    def __init__(
        self,
        limit_ms: int | None,
        records: server_records.ServerRecords,
        time_source: clock.Clock,
        log: event_log.EventLog,
    ) -> None:
        self._records = records
        self._clock = time_source
        self._log = log
        self._known = evacuations.Evacuations(limit_ms)
        self.contact = store_contact.StoreContact(limit_ms)
        # The era of the store in which each key was last read.
        self._eras: dict[ids.DataCentre, store_records.StoreEra] = {}
        # How long the servers of each service are cold after a start, in ms.
        self.warmups_ms: dict[ids.ServiceName, int] = {}
        # Called for each server of a data centre whose evacuation has ended,
        # with the time until which it is probably cold.
        self.assume_cold: AssumeCold = _ignore_cold

    @property
    def is_enabled(self) -> bool:
        """Tell whether the settings bound evacuations."""
        return self._known.is_enabled

    @property
    def active(self) -> list[ids.DataCentre]:
        """Return the evacuated data centres."""
        return self._known.active

    def since(self, data_centre: ids.DataCentre) -> clock.Millis | None:
        """Return when an evacuation became known; None if there is none."""
        return self._known.since(data_centre)

    def apply(
        self,
        data_centre: ids.DataCentre,
        record: store_records.StoredRecord,
        era: store_records.StoreEra,
    ) -> None:
        """Start or end an evacuation as the key in the store says."""
        if self.is_enabled:
            self._apply(data_centre, record, era)
        else:
            self._log.write(
                _PART,
                'evacuation is ignored',
                data_centre=data_centre,
                reason='the settings name no Terms.Bounds.Evacuate',
            )

    def end_due(self) -> None:
        """End the evacuations whose keys the store lost for good."""
        for data_centre in self._known.due_ends(self._clock.now()):
            self._end(data_centre)

    def accepts(self, server: servers.BackendServer, *, is_keyed: bool) -> bool:
        """Tell whether requests may be sent to a server now.

        Until its keys have moved, an owner may get requests for a while.
        """
        now = self._clock.now()
        if self.contact.is_outdated(now):
            return False
        if not self._known.is_evacuated(server.data_centre):
            return True
        return is_keyed and self._known.may_use_owners(server.data_centre, now)

    def is_overdue(self, server: servers.BackendServer) -> bool:
        """Tell whether the keys of a server should have moved by now."""
        return self._known.is_overdue(server.data_centre, self._clock.now())

    async def wait_until_current(self) -> None:
        """Wait for a read of the store if this process was suspended."""
        while self.contact.is_outdated(self._clock.now()):  # noqa: ASYNC110
            await asyncio.sleep(clock.seconds(_WAIT_STEP_MS))

    def _apply(
        self,
        data_centre: ids.DataCentre,
        record: store_records.StoredRecord,
        era: store_records.StoreEra,
    ) -> None:
        if record.content is None:
            self._apply_removal(data_centre, era)
        else:
            self._eras[data_centre] = era
            self._start(data_centre, record.offset)

    def _apply_removal(
        self, data_centre: ids.DataCentre, era: store_records.StoreEra
    ) -> None:
        if self._eras.get(data_centre, era) == era:
            self._end(data_centre)
        else:
            # The store returned to a copy of before the key.
            self._known.postpone_end(data_centre, self._clock.now())

    def _start(self, data_centre: ids.DataCentre, offset: ids.Offset) -> None:
        now = self._clock.now()
        is_prompt = self.contact.is_prompt(now)
        if not self._known.start(data_centre, now, is_prompt=is_prompt):
            return
        marked = self._records.mark_evacuated(data_centre, is_evacuated=True)
        self._log.write(
            _PART,
            'evacuation started',
            data_centre=data_centre,
            offset=offset,
            servers=len(marked),
            uses_owners=is_prompt,
        )

    def _end(self, data_centre: ids.DataCentre) -> None:
        since = self._known.end(data_centre)
        self._eras.pop(data_centre, None)
        if since is None:
            return
        now = self._clock.now()
        marked = self._records.mark_evacuated(data_centre, is_evacuated=False)
        self._log.write(
            _PART,
            'evacuation ended',
            data_centre=data_centre,
            servers=len(marked),
            ms=now - since,
        )
        for server in marked:
            warmup_ms = self.warmups_ms.get(server.service)
            if warmup_ms:
                until = clock.later(now, warmup_ms)
                self.assume_cold(server.incarnation, until)


def _ignore_cold(
    _incarnation: servers.ServerIncarnation, _until: clock.Millis
) -> None:
    """Ignore cold servers until the instance sets its own callback."""
