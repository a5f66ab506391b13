"""Track the backend servers that requests may be sent to."""

import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids

Born = typing.NewType('Born', int)


@enum.unique
class ServerState(enum.Enum):
    """Name the states that a backend server reports."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerLife:
    """Identify one incarnation of a backend server."""

    server: ids.ServerId
    born: Born


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe a backend server by its latest entry."""

    life: ServerLife
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    state: ServerState
    warmup_ms: int
    sequence: int

    @property
    def is_ready(self) -> bool:
        """Return whether the server accepts new requests."""
        return self.state is ServerState.READY


# Servers resume heartbeats within two seconds of the store's recovery.
REJOIN_MS = 2_500


class ServerFleet:
    """Track servers by their entries; delay removals around store outages."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, BackendServer] = {}
        self._removal_times: dict[ids.ServerId, clock.Millis] = {}
        self._removed_incarnations: dict[ids.ServerId, Born] = {}

    @property
    def servers(self) -> typing.Mapping[ids.ServerId, BackendServer]:
        """Return the servers by id, including those due for removal."""
        return self._servers

    def get(self, server: ids.ServerId) -> BackendServer | None:
        """Return a server; None if it is unknown."""
        return self._servers.get(server)

    def is_ready(self, incarnation: ServerLife) -> bool:
        """Return whether this incarnation is current and accepts requests."""
        known = self._servers.get(incarnation.server)
        return (
            known is not None and known.life == incarnation and known.is_ready
        )

    def apply(self, entry: BackendServer) -> bool:
        """Store an entry and return True unless a newer one is known."""
        known = self._servers.get(entry.life.server)
        last_removed = self._removed_incarnations.get(
            entry.life.server, Born(-1)
        )
        if entry.life.born < last_removed:
            return False
        if known is not None and _is_older(entry, known):
            return False
        self._servers[entry.life.server] = entry
        self._removal_times.pop(entry.life.server, None)
        return True

    def expire(
        self,
        server: ids.ServerId,
        now: clock.Millis,
        last_outage: clock.Millis,
    ) -> None:
        """Schedule the removal of a server whose entry has expired."""
        if server not in self._servers or server in self._removal_times:
            return
        self._removal_times[server] = max(
            now, clock.later(last_outage, REJOIN_MS)
        )

    def collect(self, now: clock.Millis) -> list[BackendServer]:
        """Remove and return the servers whose removal is due."""
        due = [
            server for server, at in self._removal_times.items() if at <= now
        ]
        removed = []
        for server in due:
            self._removal_times.pop(server)
            gone = self._servers.pop(server)
            self._removed_incarnations[server] = gone.life.born
            removed.append(gone)
        return removed


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    if entry.life.born != known.life.born:
        return entry.life.born < known.life.born
    return entry.sequence < known.sequence
