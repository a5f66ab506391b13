"""Keep the backend servers that may be sent requests."""

import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids

Born = typing.NewType('Born', int)


@enum.unique
class ServerState(enum.Enum):
    """Tell what a backend server says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ServerLife:
    """Name one incarnation of a backend server."""

    server: ids.ServerId
    born: Born


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """Hold what a backend server last said of itself."""

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
        """Tell whether the server takes new requests."""
        return self.state is ServerState.READY


# Heartbeats come back within two seconds of the store's return.
REJOIN_MS = 2_500


class ServerFleet:
    """Fold entries of backend servers; delay removals around store outages."""

    def __init__(self) -> None:
        self._servers: dict[ids.ServerId, BackendServer] = {}
        self._leaving: dict[ids.ServerId, clock.Millis] = {}
        self._ended: dict[ids.ServerId, Born] = {}

    @property
    def servers(self) -> typing.Mapping[ids.ServerId, BackendServer]:
        """Return the servers by id."""
        return self._servers

    def get(self, server: ids.ServerId) -> BackendServer | None:
        """Return a server if it is known."""
        return self._servers.get(server)

    def is_ready(self, life: ServerLife) -> bool:
        """Tell whether this incarnation is alive and takes requests."""
        known = self._servers.get(life.server)
        return known is not None and known.life == life and known.is_ready

    def apply(self, entry: BackendServer) -> bool:
        """Take an entry unless it is older than what is known."""
        known = self._servers.get(entry.life.server)
        ended = self._ended.get(entry.life.server, Born(-1))
        if entry.life.born < ended:
            return False
        if known is not None and _is_older(entry, known):
            return False
        self._servers[entry.life.server] = entry
        self._leaving.pop(entry.life.server, None)
        return True

    def expire(
        self,
        server: ids.ServerId,
        now: clock.Millis,
        last_outage: clock.Millis,
    ) -> None:
        """Schedule the removal of a server whose entry is gone."""
        if server not in self._servers or server in self._leaving:
            return
        self._leaving[server] = max(now, clock.later(last_outage, REJOIN_MS))

    def collect(self, now: clock.Millis) -> list[BackendServer]:
        """Remove and return the servers whose time is over."""
        due = [server for server, at in self._leaving.items() if at <= now]
        removed = []
        for server in due:
            self._leaving.pop(server)
            gone = self._servers.pop(server)
            self._ended[server] = gone.life.born
            removed.append(gone)
        return removed


def _is_older(entry: BackendServer, known: BackendServer) -> bool:
    if entry.life.born != known.life.born:
        return entry.life.born < known.life.born
    return entry.sequence < known.sequence
