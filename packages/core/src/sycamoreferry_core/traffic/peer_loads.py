"""Add up the load of each server as other instances report it.

Totals are updated with each report, since choosing a server reads the totals of
many servers and there may be many instances.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# Durations that a peer reported and has not repeated since are out of date.
_DURATION_FRESH_MS = 10_000
# Requests of a peer that is silent for longer no longer count as in flight.
_PEER_FRESH_MS = 1_500


@dataclasses.dataclass(slots=True)
class ServerReport:
    """Describe the load of one instance on one server."""

    in_flight: int
    waiting: int
    # The mean of so many requests, of which older ones count less.
    duration_ms: float
    samples: float = 1


@dataclasses.dataclass(slots=True)
class ServerTotals:
    """Total the reports of all peers on one server."""

    in_flight: int = 0
    waiting: int = 0
    duration_sum_ms: float = 0
    samples: float = 0


_Rows = dict[ids.ServerId, ServerReport]


@dataclasses.dataclass(frozen=True, slots=True)
class _Sampled:
    duration_ms: float
    samples: float
    at: clock.Millis


_Durations = dict[ids.ServerId, _Sampled]


@dataclasses.dataclass(slots=True)
class _PeerReport:
    at: clock.Millis
    rows: _Rows


class PeerLoads:
    """Maintain the totals of the latest report of each peer."""

    def __init__(self) -> None:
        self._reports: dict[ids.InstanceId, _PeerReport] = {}
        self._sums: dict[ids.ServerId, ServerTotals] = {}
        self._durations: dict[ids.InstanceId, _Durations] = {}

    def totals(self, server: ids.ServerId) -> ServerTotals:
        """Return the totals of a server, which later reports update."""
        found = self._sums.get(server)
        if found is None:
            found = ServerTotals()
            self._sums[server] = found
        return found

    def replace_report(
        self,
        peer: ids.InstanceId,
        rows: _Rows,
        now: clock.Millis,
    ) -> None:
        """Replace a peer's earlier report; keep durations that it lacks."""
        self._drop(peer)
        self._reports[peer] = _PeerReport(now, rows)
        for server, row in rows.items():
            found = self.totals(server)
            found.in_flight += row.in_flight
            found.waiting += row.waiting
            if row.duration_ms > 0:
                self._update_duration(peer, server, row, now)

    def drop_silent(self, now: clock.Millis) -> None:
        """Drop the requests of peers that are silent, and old durations."""
        for peer, report in list(self._reports.items()):
            if now - report.at >= _PEER_FRESH_MS:
                self._drop(peer)
        for peer, known in self._durations.items():
            for server, sampled in list(known.items()):
                if now - sampled.at >= _DURATION_FRESH_MS:
                    self._forget_duration(peer, server)

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Drop the totals of servers that are not known."""
        for server in list(self._sums):
            if server not in known:
                self._forget(server)

    def _drop(self, peer: ids.InstanceId) -> None:
        report = self._reports.pop(peer, None)
        if report is None:
            return
        for server, row in report.rows.items():
            found = self.totals(server)
            found.in_flight -= row.in_flight
            found.waiting -= row.waiting

    def _update_duration(
        self,
        peer: ids.InstanceId,
        server: ids.ServerId,
        row: ServerReport,
        now: clock.Millis,
    ) -> None:
        self._forget_duration(peer, server)
        # Instances of an earlier version tell no number.
        sampled = _Sampled(row.duration_ms, row.samples or 1, now)
        self._durations.setdefault(peer, {})[server] = sampled
        found = self.totals(server)
        found.samples += sampled.samples
        found.duration_sum_ms += sampled.samples * sampled.duration_ms

    def _forget_duration(
        self, peer: ids.InstanceId, server: ids.ServerId
    ) -> None:
        sampled = self._durations.get(peer, {}).pop(server, None)
        if sampled is None:
            return
        found = self.totals(server)
        found.samples -= sampled.samples
        found.duration_sum_ms -= sampled.samples * sampled.duration_ms

    def _forget(self, server: ids.ServerId) -> None:
        self._sums.pop(server)
        for durations in self._durations.values():
            durations.pop(server, None)
        for report in self._reports.values():
            report.rows.pop(server, None)
