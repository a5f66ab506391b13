"""Estimate the load of backend servers over all instances.

Load pattern: nine instances choose at once among servers of two slots. Each
reports its own requests in flight to the others a few times a second. The sum
and the load that the server reported with its last response limit the requests.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import (
    back_offs,
    durations,
    peer_loads,
    rate_limits,
    reachability,
    slowdowns,
    warm_ups,
)

# The load that a server reports is outdated by the second request after it.
_REPORT_FRESH_MS = 120
# Consecutive failures that suspend a server, and for how long.
_FAILURES_TO_SUSPEND = 3
_SUSPENSION_MS = 1_500


@dataclasses.dataclass(slots=True)
class _TrackedServer:
    in_flight: int = 0
    waiting: int = 0
    others_in_flight: int = 0
    server_reported_at: clock.Millis = clock.LONG_AGO
    failures: int = 0
    suspended_until: clock.Millis = clock.LONG_AGO


class ServerLoads:
    """Track requests in flight, durations and failures by server.

    What other instances have in flight is added from their reports.
    """

    def __init__(self, known_warm_ups: warm_ups.WarmUps | None = None) -> None:
        self._tracked: dict[ids.ServerId, _TrackedServer] = {}
        self.peers = peer_loads.PeerLoads()
        self.rate_limits = rate_limits.RateLimits()
        self.back_offs = back_offs.BackOffs()
        self.warm_ups = known_warm_ups or warm_ups.WarmUps()
        self.reachability = reachability.Reachability()
        self.durations = durations.ServerDurations(self.peers)
        self.slowdowns = slowdowns.Slowdowns()

    def start(self, server: ids.ServerId) -> None:
        """Count a request that is sent to a server."""
        self._of(server).in_flight += 1

    def finish(self, server: ids.ServerId) -> None:
        """Count a request that ended at a server."""
        tracked = self._of(server)
        tracked.in_flight = max(0, tracked.in_flight - 1)

    def record_reported_load(
        self,
        server: ids.ServerId,
        running: int,
        waiting: int,
        now: clock.Millis,
    ) -> None:
        """Derive the requests of other instances from a server's report."""
        tracked = self._of(server)
        tracked.others_in_flight = max(0, running + waiting - tracked.in_flight)
        tracked.server_reported_at = now

    def record_failure(self, server: ids.ServerId, now: clock.Millis) -> bool:
        """Count a failure; return whether it newly suspends the server.

        While this instance reaches no server, none is to blame.
        """
        if self.reachability.is_cut_off:
            return False
        tracked = self._of(server)
        tracked.failures += 1
        if tracked.failures < _FAILURES_TO_SUSPEND:
            return False
        was_suspended = tracked.suspended_until > now
        tracked.failures = 0
        tracked.suspended_until = clock.later(now, _SUSPENSION_MS)
        return not was_suspended

    def record_success(self, server: ids.ServerId) -> None:
        """Reset the count of consecutive failures."""
        self._of(server).failures = 0

    def is_suspended(self, server: ids.ServerId, now: clock.Millis) -> bool:
        """Return whether a server is suspended after recent failures."""
        tracked = self._tracked.get(server)
        return tracked is not None and tracked.suspended_until > now

    def set_waiting(self, server: ids.ServerId, count: int) -> None:
        """Record how many requests of this instance wait for a server."""
        self._of(server).waiting = count

    def total_in_flight(self, server: ids.ServerId, now: clock.Millis) -> int:
        """Return the requests at a server, over all instances."""
        tracked = self._of(server)
        others = self.peers.totals(server).in_flight
        if now - tracked.server_reported_at < _REPORT_FRESH_MS:
            others = max(others, tracked.others_in_flight)
        return tracked.in_flight + others

    def total_waiting(self, server: ids.ServerId) -> int:
        """Return the requests that wait for a server at all instances."""
        return self._of(server).waiting + self.peers.totals(server).waiting

    def service_duration_ms(self, service: ids.ServiceName) -> float:
        """Return the mean duration of a service's requests in ms."""
        return self.durations.of_service(service)

    def duration_ms(self, server: servers.BackendServer) -> float:
        """Return the expected duration at a server in ms."""
        return self.durations.of_server(server)

    def current_duration_ms(
        self, server: servers.BackendServer, now: clock.Millis
    ) -> float:
        """Return the expected duration of work that starts now, in ms."""
        factor = self.slowdowns.relative_factor(server, now)
        return self.duration_ms(server) * factor

    def apply_summary(
        self,
        coordinator: ids.InstanceId,
        rows: dict[ids.ServerId, peer_loads.ServerReport],
        now: clock.Millis,
    ) -> None:
        """Apply totals of all instances after subtracting this one's load."""
        for server, row in rows.items():
            own = self._of(server)
            row.in_flight = max(0, row.in_flight - own.in_flight)
            row.waiting = max(0, row.waiting - own.waiting)
        self.peers.replace_report(coordinator, rows, now)

    def summary(
        self,
        known: typing.Iterable[servers.BackendServer],
        now: clock.Millis,
    ) -> dict[ids.ServerId, peer_loads.ServerReport]:
        """Return the totals over all instances of the servers in use."""
        summed = {}
        for server in known:
            server_id = server.incarnation.server
            row = peer_loads.ServerReport(
                self.total_in_flight(server_id, now),
                self.total_waiting(server_id),
                round(self.duration_ms(server)),
                round(self.durations.sample_count(server_id), 1),
            )
            if row.in_flight or row.waiting:
                summed[server_id] = row
        return summed

    def own_report(self) -> dict[ids.ServerId, peer_loads.ServerReport]:
        """Return what this instance reports to its peers."""
        reports = {}
        for server, tracked in self._tracked.items():
            mean = self.durations.own(server)
            samples = round(mean.samples, 1)
            if tracked.in_flight or tracked.waiting or samples:
                reports[server] = peer_loads.ServerReport(
                    tracked.in_flight,
                    tracked.waiting,
                    round(mean.duration_ms) if samples else 0,
                    samples,
                )
        return reports

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Drop servers that are not known and have no request in flight."""
        for server, tracked in list(self._tracked.items()):
            if server not in known and not tracked.in_flight:
                self._tracked.pop(server)
        self.peers.keep_only(known)
        self.durations.keep_only(known)
        self.slowdowns.keep_only(known)

    def _of(self, server: ids.ServerId) -> _TrackedServer:
        found = self._tracked.get(server)
        if found is None:
            found = _TrackedServer()
            self._tracked[server] = found
        return found
