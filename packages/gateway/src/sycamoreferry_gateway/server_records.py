"""Apply the entries of backend servers to the fleet."""

import dataclasses
import typing

from sycamoreferry_adapter import server_entries
from sycamoreferry_adapter import units as platform_units
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers, store_records
from sycamoreferry_core.traffic import crash_guard, warm_ups
from sycamoreferry_gateway import blocked_requests, server_log

_Servers = dict[ids.ServerId, servers.BackendServer]


class ServerRecords:
    """Keep the servers of the services that a configuration has named.

    An entry that can't be used leaves the server that is known by its id as it
    was: another writer may have replaced the entry, and the server holds keys.
    """

    def __init__(
        self,
        fleet: servers.ServerFleet,
        crashes: crash_guard.CrashGuard,
        blocks: blocked_requests.BlockedRequests,
        time_source: clock.Clock,
        log: server_log.ServerLog,
        known_warm_ups: warm_ups.WarmUps,
    ) -> None:
        self._fleet = fleet
        self._crashes = crashes
        self._blocks = blocks
        self._clock = time_source
        self._log = log
        self._warm_ups = known_warm_ups
        self._by_service: dict[ids.ServiceName, _Servers] = {}
        self._last_outage = clock.LONG_AGO
        self._named_services: set[ids.ServiceName] = set()
        # The entries that name other services.
        self._unnamed: set[store_records.RecordKey] = set()

    def of_service(
        self, service: ids.ServiceName
    ) -> typing.Collection[servers.BackendServer]:
        """Return the known servers of a service."""
        return self._by_service.get(service, {}).values()

    def name_services(
        self, services: typing.Iterable[ids.ServiceName]
    ) -> set[store_records.RecordKey]:
        """Note the services of a configuration; return entries to apply again.

        Entries may be read before the configuration that names their service.
        """
        is_first = not self._named_services
        self._named_services.update(services)
        if is_first:
            self._drop_unnamed()
        unnamed = self._unnamed
        self._unnamed = set()
        return unnamed

    def apply(self, record: store_records.StoredRecord) -> bool:
        """Apply an entry; return whether other instances act on the change."""
        self._unnamed.discard(record.key)
        server_id = ids.ServerId(record.key)
        if record.content is None:
            now = self._clock.now()
            self._fleet.schedule_removal(server_id, now, self._last_outage)
            return True
        try:
            entry = server_entries.decode_entry(server_id, record.content)
        except platform_units.FormatError as error:
            self._log.log_malformed(record, str(error))
            return False
        if not self._is_named(entry.service):
            self._unnamed.add(record.key)
            return False
        return self._apply_entry(entry, record.offset)

    def record_leaving(
        self, incarnation: servers.ServerIncarnation, source: str
    ) -> bool:
        """Record that a server leaves; return whether that is new."""
        if not self._fleet.record_leaving(incarnation, self._clock.now()):
            return False
        known = self._fleet.get(incarnation.server)
        if known is not None:
            self._list(known)
        self._log.log_leaving(incarnation, source)
        return True

    def mark_evacuated(
        self, data_centre: ids.DataCentre, *, is_evacuated: bool
    ) -> list[servers.BackendServer]:
        """Mark the servers of a data centre, and return them."""
        marked = self._fleet.mark_evacuated(
            data_centre, is_evacuated=is_evacuated
        )
        for server in marked:
            self._list(server)
        return marked

    def record_outage(self, moment: clock.Millis) -> None:
        """Set the time of the last outage, for the expiry of entries."""
        self._last_outage = max(self._last_outage, moment)

    def remove_expired(self) -> bool:
        """Remove servers whose entries have expired; tell if there are any."""
        removed = self._fleet.remove_due(self._clock.now())
        for gone in removed:
            self._unlist(gone)
            self._log.log_gone(gone)
            self._blocks.confirm_crashes(
                gone.incarnation, was_leaving=gone.leaving_since is not None
            )
        return bool(removed)

    def log_listing(self) -> None:
        """Log the servers after the first listing."""
        self._log.log_listing(self._fleet.servers.values())

    def _apply_entry(
        self, entry: servers.BackendServer, offset: ids.Offset
    ) -> bool:
        server_id = entry.incarnation.server
        known = self._fleet.get(server_id)
        previous = known or self._fleet.last_entry_of(server_id)
        is_back = self._fleet.is_removal_scheduled(server_id)
        if not self._fleet.apply(entry):
            return False
        if previous is not None and _is_heartbeat(previous, entry):
            self._crashes.record_entry(entry.incarnation)
        if self._warm_ups.is_active:
            self._record_warm_up(previous, entry)
        if entry.state is servers.ServerState.DRAINING:
            self._fleet.record_leaving(entry.incarnation, self._clock.now())
        entry = self._fleet.servers[server_id]
        if known is not None:
            self._replace(known, entry)
        self._list(entry)
        self._log.log_change(known, entry, offset)
        return (
            known is None
            or is_back
            or _has_relevant_change(known, entry)
            or (self._warm_ups.is_active and _warms_up_again(known, entry))
        )

    def _record_warm_up(
        self,
        previous: servers.BackendServer | None,
        entry: servers.BackendServer,
    ) -> None:
        """Record a warm-up; an older copy of the store ends none."""
        if previous is not None and previous.incarnation == entry.incarnation:
            is_same = previous.sequence == entry.sequence
            is_older = previous.sequence > entry.sequence
            if is_same or (is_older and not entry.warmup_ms):
                return
        if self._warm_ups.record_entry(
            entry.incarnation, entry.warmup_ms, self._clock.now()
        ):
            self._log.log_cold(entry.incarnation, entry.warmup_ms)

    def _replace(
        self, known: servers.BackendServer, entry: servers.BackendServer
    ) -> None:
        if known.incarnation != entry.incarnation:
            self._blocks.confirm_crashes(
                known.incarnation, was_leaving=known.leaving_since is not None
            )
        if known.service != entry.service:
            self._unlist(known)

    def _drop_unnamed(self) -> None:
        """Drop the servers of other services, read before a configuration."""
        for server in list(self._fleet.servers.values()):
            if not self._is_named(server.service):
                server_id = server.incarnation.server
                self._unlist(server)
                self._fleet.drop(server_id)
                self._unnamed.add(store_records.RecordKey(server_id))

    def _is_named(self, service: ids.ServiceName) -> bool:
        """Tell whether a configuration named a service, or none is known."""
        return not self._named_services or service in self._named_services

    def _list(self, server: servers.BackendServer) -> None:
        listed = self._by_service.setdefault(server.service, {})
        listed[server.incarnation.server] = server

    def _unlist(self, server: servers.BackendServer) -> None:
        listed = self._by_service.get(server.service, {})
        listed.pop(server.incarnation.server, None)


def _is_heartbeat(
    previous: servers.BackendServer, entry: servers.BackendServer
) -> bool:
    return (
        entry.incarnation == previous.incarnation
        and entry.sequence > previous.sequence
    )


def _has_relevant_change(
    known: servers.BackendServer,
    entry: servers.BackendServer,
) -> bool:
    """Tell whether an entry has changes that other instances act on.

    A new sequence number is not relevant, nor is a new warm-up time that
    neither starts nor ends the warm-up.
    """
    warms_up = (known.warmup_ms > 0, entry.warmup_ms > 0)
    return warms_up[0] != warms_up[1] or entry != dataclasses.replace(
        known,
        sequence=entry.sequence,
        warmup_ms=entry.warmup_ms,
    )


def _warms_up_again(
    known: servers.BackendServer, entry: servers.BackendServer
) -> bool:
    """Tell whether a server that was still cold became cold anew."""
    return entry.warmup_ms > known.warmup_ms
