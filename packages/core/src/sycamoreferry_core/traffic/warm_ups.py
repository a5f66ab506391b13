"""Decide which backend servers are cold and how fast requests may reach them.

Load pattern: servers that are as busy as their slots allow become cold, one
after a start or all of a data centre at once. For some seconds each tolerates a
few requests a second from all instances together and crashes well above that.
Instances learn of it late, from entries, or only from connections that fail.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import routes

# Clocks may be slow by two percent; the pace must still reach the rate.
_CLOCK_MARGIN = 1.025
# Saves up what falls due between two sweeps (50 ms). The rest of the slack is
# left for grants that arrive bunched by up to 100 ms, for requests that were in
# flight before, and for a second instance that counts for a moment.
_BURST_SHARE = 0.0625
# A request now and then is sent even if the configuration names a rate of 0.
_MIN_REQUESTS_PER_S = 0.25
# Entries are 870 ms apart and are read up to a second late, so the first two
# that are read may have been written before.
_ENTRIES_TO_LIFT = 3
# A server that refuses connections may start up to 1.5 s later, as it is not
# tried more often, and its entry is read up to two seconds after that.
_ASSUMED_DOWN_MS = 3_600
# A reset may be that of a connection that was idle for too long.
_ASSUMED_RESET_MS = 2_000
# Reports of one assumption by the same instance differ by the time on the way.
_SAME_MS = 500


@dataclasses.dataclass(slots=True)
class _WarmUp:
    """Hold until when an incarnation is cold, by the source."""

    incarnation: servers.ServerIncarnation
    stated_at: clock.Millis = clock.LONG_AGO
    stated_until: clock.Millis = clock.LONG_AGO
    assumed_until: clock.Millis = clock.LONG_AGO
    # The part of the assumption that other instances are told.
    reported_until: clock.Millis = clock.LONG_AGO
    # Up to when an assumption held that entries have lifted since.
    lifted_until: clock.Millis = clock.LONG_AGO
    entries_since: int = 0

    @property
    def ends_at(self) -> clock.Millis:
        return max(self.stated_until, self.assumed_until)

    def lift(self) -> None:
        """End an assumption that entries contradict."""
        self.lifted_until = max(self.lifted_until, self.assumed_until)
        self.assumed_until = clock.LONG_AGO
        self.reported_until = clock.LONG_AGO


class WarmUps:
    """Track the cold servers, and the rate that each one tolerates."""

    def __init__(self, bounds: deployment.Bounds | None = None) -> None:
        self._overage = None if bounds is None else bounds.warmup_overage
        self._slack = float(0 if bounds is None else bounds.warmup_slack)
        self._policies: typing.Mapping[
            ids.ServiceName, routes.ServicePolicy
        ] = {}
        self._known: dict[ids.ServerId, _WarmUp] = {}

    @property
    def is_active(self) -> bool:
        """Return whether the deployment bounds what cold servers get."""
        return self._overage is not None

    @property
    def is_empty(self) -> bool:
        """Return whether no server is known to be cold."""
        return not self._known

    @property
    def burst(self) -> float:
        """Return how many requests may be sent at once after idle time."""
        return 1 + self._slack * _BURST_SHARE

    def use_policies(
        self, policies: typing.Mapping[ids.ServiceName, routes.ServicePolicy]
    ) -> None:
        """Set the services of the configuration in force."""
        self._policies = policies

    def record_entry(
        self,
        incarnation: servers.ServerIncarnation,
        warmup_ms: int,
        now: clock.Millis,
    ) -> bool:
        """Record an entry received now; return whether the server turns cold.

        `warmup_ms` counts from now, since the entry names no time.
        """
        known = self._known.get(incarnation.server)
        if not self.is_active or (known is None and warmup_ms <= 0):
            return False
        was_cold = known is not None and known.ends_at > now
        if known is None or known.incarnation != incarnation:
            known = _WarmUp(incarnation)
            self._known[incarnation.server] = known
        known.stated_at = now
        known.stated_until = clock.later(now, max(0, warmup_ms))
        known.entries_since += 1
        if known.entries_since >= _ENTRIES_TO_LIFT:
            known.lift()
        return not was_cold and known.ends_at > now

    def record_health(
        self,
        incarnation: servers.ServerIncarnation,
        warmup_ms: int,
        now: clock.Millis,
    ) -> bool:
        """Record a response to a health check; return whether it turns cold.

        Entries that are read next may be older than the response.
        """
        if warmup_ms > 0:
            until = clock.later(now, warmup_ms)
            was_cold = self._is_cold(incarnation.server, now)
            self.assume_cold(incarnation, until, is_reported=True)
            return not was_cold and self._is_cold(incarnation.server, now)
        known = self._known.get(incarnation.server)
        if known is not None and known.incarnation == incarnation:
            known.stated_until = clock.LONG_AGO
            known.lift()
        return False

    def assume_cold(
        self,
        incarnation: servers.ServerIncarnation,
        until: clock.Millis,
        *,
        is_reported: bool = False,
    ) -> None:
        """Take a server for cold until a time, or until entries deny it.

        Other instances are told of it if they can't know it themselves.
        """
        known = self._current(incarnation)
        if known is None:
            return
        known.assumed_until = max(known.assumed_until, until)
        known.entries_since = 0
        if is_reported:
            known.reported_until = max(known.reported_until, until)

    def assume_failed(
        self,
        server: servers.BackendServer,
        now: clock.Millis,
        *,
        was_refused: bool,
    ) -> bool:
        """Record a connection that failed; return whether it turns cold.

        The server may have started again and not have written an entry yet.
        """
        policy = self._policies.get(server.service)
        if not self.is_active or policy is None or not policy.warmup_ms:
            return False
        was_cold = self._is_cold(server.incarnation.server, now)
        assumed_ms = _ASSUMED_DOWN_MS if was_refused else _ASSUMED_RESET_MS
        until = clock.later(now, min(policy.warmup_ms, assumed_ms))
        self.assume_cold(server.incarnation, until, is_reported=True)
        return not was_cold

    def merge_report(
        self, incarnation: servers.ServerIncarnation, until: clock.Millis
    ) -> None:
        """Apply the assumption of another instance unless it is known."""
        known = self._current(incarnation)
        if known is None:
            return
        if until > max(known.assumed_until, known.lifted_until) + _SAME_MS:
            known.assumed_until = until
            known.entries_since = 0

    def reports(
        self, now: clock.Millis
    ) -> dict[servers.ServerIncarnation, clock.Millis]:
        """Return the ends of assumptions that other instances are told."""
        return {
            known.incarnation: known.reported_until
            for known in self._known.values()
            if known.reported_until > now
        }

    def remaining_ms(
        self, server: servers.BackendServer, now: clock.Millis
    ) -> int:
        """Return how long a server stays cold in ms; 0 if it is warm.

        What an entry stated holds for `Warmup` at most.
        """
        known = self._known.get(server.incarnation.server)
        if known is None:
            return 0
        stated_until = known.stated_until
        policy = self._policies.get(server.service)
        if policy is not None and policy.warmup_ms:
            latest = clock.later(known.stated_at, policy.warmup_ms)
            stated_until = min(stated_until, latest)
        return max(0, max(stated_until, known.assumed_until) - now)

    def is_cold(self, server: servers.BackendServer, now: clock.Millis) -> bool:
        """Return whether a server is slow since it is cold."""
        if not self.is_active:
            return server.warmup_ms > 0
        return self.remaining_ms(server, now) > 0

    def requests_per_s(
        self, server: servers.BackendServer, now: clock.Millis
    ) -> float | None:
        """Return the rate for all instances together; None for no bound."""
        if not self._known or self._overage is None:
            return None
        policy = self._policies.get(server.service)
        if policy is None or policy.warmup_requests_per_s is None:
            return None
        if not self.remaining_ms(server, now):
            return None
        margin = min(_CLOCK_MARGIN, max(1.0, self._overage))
        return max(policy.warmup_requests_per_s * margin, _MIN_REQUESTS_PER_S)

    def cold_servers(
        self, listed: typing.Iterable[servers.BackendServer], now: clock.Millis
    ) -> list[ids.ServerId]:
        """Return the listed servers whose requests are paced."""
        if not self._known:
            return []
        return [
            server.incarnation.server
            for server in listed
            if self.requests_per_s(server, now) is not None
        ]

    def keep_only(
        self, listed: typing.Container[ids.ServerId], now: clock.Millis
    ) -> None:
        """Drop servers that are warm, and those that are not listed."""
        for server, known in list(self._known.items()):
            ends_at = max(known.ends_at, known.lifted_until)
            if ends_at <= now or server not in listed:
                self._known.pop(server)

    def _current(
        self, incarnation: servers.ServerIncarnation
    ) -> _WarmUp | None:
        """Return the state to change; None if a later incarnation is known."""
        if not self.is_active:
            return None
        known = self._known.get(incarnation.server)
        if known is not None and known.incarnation.born > incarnation.born:
            return None
        if known is None or known.incarnation != incarnation:
            known = _WarmUp(incarnation)
            self._known[incarnation.server] = known
        return known

    def _is_cold(self, server: ids.ServerId, now: clock.Millis) -> bool:
        known = self._known.get(server)
        return known is not None and known.ends_at > now
