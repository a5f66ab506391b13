"""Track the backend servers that requests may be sent to."""

import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids

IncarnationNumber = typing.NewType('IncarnationNumber', int)

# Servers are numbered by the Unix millisecond of their start; none starts after
# the year 9999.
_LAST_SECOND = 253_402_300_799
LATEST_INCARNATION = IncarnationNumber(_LAST_SECOND * clock.MILLIS_PER_SECOND)


@enum.unique
class ServerState(enum.Enum):
    """Name the states that a backend server reports."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """Identify one incarnation of a backend server."""

    server: ids.ServerId
    born: IncarnationNumber


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe a backend server by its latest entry."""

    incarnation: ServerIncarnation
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    state: ServerState
    warmup_ms: int
    sequence: int
    # When it was first known to leave, by its entry or by an answer.
    leaving_since: clock.Millis | None = None
    # Set while its data centre is evacuated.
    is_evacuated: bool = False

    @property
    def is_ready(self) -> bool:
        """Return whether the server may be chosen for new requests."""
        return self.is_available and not self.is_evacuated

    @property
    def is_available(self) -> bool:
        """Return whether the server itself accepts new requests."""
        return self.state is ServerState.READY and self.leaving_since is None


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    born: IncarnationNumber
    since: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class _Heartbeats:
    """Count the entries of an incarnation in a row that rise in number."""

    incarnation: ServerIncarnation
    sequence: int
    count: int = 1

    def with_entry(self, entry: 'BackendServer') -> '_Heartbeats':
        goes_on = (
            entry.incarnation == self.incarnation
            and entry.sequence > self.sequence
        )
        return _Heartbeats(
            entry.incarnation, entry.sequence, self.count + 1 if goes_on else 1
        )


# An incarnation that writes so many entries in a row is up. A later one that
# was read before is another writer's.
_HEARTBEATS_OF_LIVE = 3
# Servers resume heartbeats within two seconds of the store's recovery.
RECOVERY_GRACE_MS = 2_500


class ServerFleet:
    """Track servers by their entries; delay removals around store outages."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, BackendServer] = {}
        self._removal_times: dict[ids.ServerId, clock.Millis] = {}
        # The last entry of each server that was removed.
        self._removed: dict[ids.ServerId, BackendServer] = {}
        # Kept after a removal, since a copy of the store may list them again.
        self._departures: dict[ids.ServerId, _Departure] = {}
        self._heartbeats: dict[ids.ServerId, _Heartbeats] = {}
        self._evacuated: set[ids.DataCentre] = set()

    @property
    def servers(self) -> typing.Mapping[ids.ServerId, BackendServer]:
        """Return the servers by id, including those due for removal."""
        return self._servers

    @property
    def incarnations(self) -> set[ServerIncarnation]:
        """Return the current incarnation of each server."""
        return {server.incarnation for server in self._servers.values()}

    def get(self, server: ids.ServerId) -> BackendServer | None:
        """Return a server; None if it is unknown."""
        return self._servers.get(server)

    def last_entry_of(self, server: ids.ServerId) -> BackendServer | None:
        """Return the last entry of a server that was removed, if any."""
        return self._removed.get(server)

    def is_ready(self, incarnation: ServerIncarnation) -> bool:
        """Return whether this incarnation is current and accepts requests."""
        known = self._servers.get(incarnation.server)
        return (
            known is not None
            and known.incarnation == incarnation
            and known.is_ready
        )

    @property
    def leaving(self) -> list[ServerIncarnation]:
        """Return the listed servers that are known to leave."""
        return [
            server.incarnation
            for server in self._servers.values()
            if server.leaving_since is not None
        ]

    def leaving_since(
        self, incarnation: ServerIncarnation
    ) -> clock.Millis | None:
        """Return since when an incarnation is known to leave, if it is.

        A server does not return in the same incarnation or an earlier one.
        """
        departure = self._departures.get(incarnation.server)
        if departure is None or departure.born < incarnation.born:
            return None
        return departure.since

    def record_leaving(
        self, incarnation: ServerIncarnation, now: clock.Millis
    ) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if self.leaving_since(incarnation) is not None:
            return False
        server_id = incarnation.server
        self._departures[server_id] = _Departure(incarnation.born, now)
        known = self._servers.get(server_id)
        if known is not None:
            self._servers[server_id] = self._annotate(known)
        return True

    def mark_evacuated(
        self, data_centre: ids.DataCentre, *, is_evacuated: bool
    ) -> list[BackendServer]:
        """Mark the servers of a data centre; return those that are listed."""
        if is_evacuated:
            self._evacuated.add(data_centre)
        else:
            self._evacuated.discard(data_centre)
        marked = [
            self._annotate(server)
            for server in self._servers.values()
            if server.data_centre == data_centre
        ]
        self._servers.update(
            {server.incarnation.server: server for server in marked}
        )
        return marked

    def apply(self, entry: BackendServer) -> bool:
        """Store an entry and return True unless a newer one is known.

        The caller passes the entries of a server in the order of the store,
        except that the store may return to an older copy.
        """
        server_id = entry.incarnation.server
        known = self._servers.get(server_id)
        if known is not None and _contradicts(entry, known):
            return False
        if self._is_live(entry):
            self._drop_later_incarnations(entry.incarnation)
        elif _is_superseded(entry, known, self._removed.get(server_id)):
            return False
        self._servers[server_id] = self._annotate(entry)
        self._removal_times.pop(server_id, None)
        return True

    def schedule_removal(
        self,
        server: ids.ServerId,
        now: clock.Millis,
        last_outage: clock.Millis,
    ) -> None:
        """Schedule the removal of a server whose entry has expired."""
        if server not in self._servers or server in self._removal_times:
            return
        self._removal_times[server] = max(
            now, clock.later(last_outage, RECOVERY_GRACE_MS)
        )

    def drop(self, server: ids.ServerId) -> None:
        """Forget a server that is none."""
        self._servers.pop(server, None)
        self._removal_times.pop(server, None)
        self._departures.pop(server, None)

    def is_removal_scheduled(self, server: ids.ServerId) -> bool:
        """Return whether a server is removed unless an entry comes back."""
        return server in self._removal_times

    def remove_due(self, now: clock.Millis) -> list[BackendServer]:
        """Remove and return the servers whose removal is due."""
        due = [
            server for server, at in self._removal_times.items() if at <= now
        ]
        removed = []
        for server in due:
            self._removal_times.pop(server)
            gone = self._servers.pop(server)
            self._removed[server] = gone
            removed.append(gone)
        return removed

    def _is_live(self, entry: BackendServer) -> bool:
        """Count an entry; return whether its incarnation is certainly up."""
        server_id = entry.incarnation.server
        beats = self._heartbeats.get(server_id)
        if beats is None:
            beats = _Heartbeats(entry.incarnation, entry.sequence)
        else:
            beats = beats.with_entry(entry)
        self._heartbeats[server_id] = beats
        return beats.count >= _HEARTBEATS_OF_LIVE

    def _drop_later_incarnations(self, live: ServerIncarnation) -> None:
        departure = self._departures.get(live.server)
        if departure is not None and departure.born > live.born:
            self._departures.pop(live.server)

    def _annotate(self, entry: BackendServer) -> BackendServer:
        """Add what is known of a server beside its entry."""
        since = self.leaving_since(entry.incarnation)
        is_evacuated = entry.data_centre in self._evacuated
        if since is None and is_evacuated == entry.is_evacuated:
            return entry
        return dataclasses.replace(
            entry, leaving_since=since, is_evacuated=is_evacuated
        )


def _contradicts(entry: BackendServer, known: BackendServer) -> bool:
    """Return whether an entry moves an incarnation to another service."""
    return (
        entry.incarnation == known.incarnation
        and entry.incarnation.born > 0
        and entry.service != known.service
    )


def _is_superseded(
    entry: BackendServer,
    known: BackendServer | None,
    removed: BackendServer | None,
) -> bool:
    if known is not None:
        return entry.incarnation.born < known.incarnation.born
    # The store may return to a copy that still has the entry.
    return removed is not None and not _is_older(removed, entry)


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    if entry.incarnation.born != known.incarnation.born:
        return entry.incarnation.born < known.incarnation.born
    return entry.sequence < known.sequence
