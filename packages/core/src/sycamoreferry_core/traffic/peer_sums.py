"""Sum up the load that other instances report by server.

Sums are kept as reports come, since a choice looks at many servers and there
may be many instances.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# A peer that is silent for longer no longer has its requests in flight.
_PEER_FRESH_MS = 1_500


@dataclasses.dataclass(slots=True)
class ServerReport:
    """Hold what an instance reports about one server."""

    in_flight: int
    waiting: int
    duration_ms: float


@dataclasses.dataclass(slots=True)
class ServerSum:
    """Hold what all peers together report about one server."""

    in_flight: int = 0
    waiting: int = 0
    durations: float = 0
    reporting: int = 0


_Rows = dict[ids.ServerId, ServerReport]
_Durations = dict[ids.ServerId, float]


@dataclasses.dataclass(slots=True)
class _PeerReport:
    at: clock.Millis
    rows: _Rows


class PeerSums:
    """Add up the latest report of each peer."""

    def __init__(self) -> None:
        self._reports: dict[ids.InstanceId, _PeerReport] = {}
        self._sums: dict[ids.ServerId, ServerSum] = {}
        self._durations: dict[ids.InstanceId, _Durations] = {}

    def of(self, server: ids.ServerId) -> ServerSum:
        """Return the sums of a server."""
        found = self._sums.get(server)
        if found is None:
            found = ServerSum()
            self._sums[server] = found
        return found

    def take(
        self,
        peer: ids.InstanceId,
        rows: _Rows,
        now: clock.Millis,
    ) -> None:
        """Replace what a peer reported before; durations are kept."""
        self._drop(peer)
        self._reports[peer] = _PeerReport(now, rows)
        for server, row in rows.items():
            found = self.of(server)
            found.in_flight += row.in_flight
            found.waiting += row.waiting
            if row.duration_ms > 0:
                self._take_duration(peer, server, row.duration_ms)

    def drop_silent(self, now: clock.Millis) -> None:
        """Forget the requests of peers that are silent."""
        for peer, report in list(self._reports.items()):
            if now - report.at >= _PEER_FRESH_MS:
                self._drop(peer)

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Forget servers that are gone."""
        for server in list(self._sums):
            if server not in known:
                self._forget(server)

    def _drop(self, peer: ids.InstanceId) -> None:
        report = self._reports.pop(peer, None)
        if report is None:
            return
        for server, row in report.rows.items():
            found = self.of(server)
            found.in_flight -= row.in_flight
            found.waiting -= row.waiting

    def _take_duration(
        self,
        peer: ids.InstanceId,
        server: ids.ServerId,
        duration_ms: float,
    ) -> None:
        known = self._durations.setdefault(peer, {})
        found = self.of(server)
        earlier = known.get(server)
        if earlier is None:
            found.reporting += 1
        found.durations += duration_ms - (earlier or 0)
        known[server] = duration_ms

    def _forget(self, server: ids.ServerId) -> None:
        self._sums.pop(server)
        for durations in self._durations.values():
            durations.pop(server, None)
        for report in self._reports.values():
            report.rows.pop(server, None)
