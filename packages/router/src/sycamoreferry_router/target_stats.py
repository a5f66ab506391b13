"""Track the load, limit and health of each backend server locally."""

import dataclasses
import typing

from sycamoreferry_core import (
    balancing,
    clock,
    ids,
    limits,
    outcomes,
    outliers,
    result_codes,
)
from sycamoreferry_ports import wire

_Code = result_codes.ResultCode

MIN_LATENCY_MS = 1
_FIRST_SERVER_ERROR_STATUS = 500
# Codes that are no evidence about the health of the server.
_HEALTH_NEUTRAL_CODES = frozenset(
    (_Code.OWNER_NOT_READY, _Code.DEADLINE_PASSED)
)


@dataclasses.dataclass(slots=True)
class Target:
    """Hold the load, concurrency limit and health of one server."""

    load: balancing.TargetLoad
    limit: limits.AdaptiveLimit = limits.AdaptiveLimit()
    health: outliers.Health = outliers.HEALTHY

    @property
    def has_capacity(self) -> bool:
        """Return True if the concurrency limit allows one more request."""
        return self.limit.has_room(self.load.in_flight)


class ServiceStats:
    """Hold the targets of one service and their shared base latency."""

    def __init__(self) -> None:
        self.targets: dict[ids.ServerId, Target] = {}
        self.base_latency_ms: float = 0
        self._last_listed: tuple[wire.ListedServer, ...] = ()

    def update_listed(
        self,
        listed: tuple[wire.ListedServer, ...],
        now: clock.Millis,
    ) -> None:
        """Add new servers as cold and drop removed ones once they are idle."""
        if listed == self._last_listed:
            return
        # Servers in the first list were already running, so they count as warm.
        since = now if self._last_listed else clock.LONG_AGO
        for server in listed:
            if server.server not in self.targets:
                load = balancing.TargetLoad(server.server, slow_start_at=since)
                self.targets[server.server] = Target(load)
        names = {server.server for server in listed}
        for gone in self.targets.keys() - names:
            if not self.targets[gone].load.in_flight:
                self.targets.pop(gone)
        self._last_listed = listed

    def target_of(self, server: ids.ServerId) -> Target:
        """Return a server's target, also of an owner that is not listed."""
        target = self.targets.get(server)
        if target is None:
            target = Target(
                balancing.TargetLoad(server, slow_start_at=clock.LONG_AGO)
            )
            self.targets[server] = target
        return target

    def usable(
        self,
        servers: typing.Sequence[ids.ServerId],
        now: clock.Millis,
    ) -> typing.Sequence[ids.ServerId]:
        """Return the servers without outliers; a capped share is left out."""
        targets = self.targets
        if not any(targets[name].health.ejections for name in servers):
            return servers
        healths = {name: targets[name].health for name in servers}
        return outliers.usable_targets(servers, healths, now)

    def request_started(self, server: ids.ServerId) -> None:
        """Add a request to the in-flight count of a server."""
        target = self.targets[server]
        target.load = balancing.after_request_start(target.load)

    def request_finished(self, server: ids.ServerId) -> None:
        """Remove a finished request from the in-flight count of a server."""
        target = self.targets[server]
        target.load = balancing.after_request_end(target.load)

    def record_outcome(
        self,
        outcome: outcomes.Outcome,
        latency_ms: int,
        max_limit: int,
        now: clock.Millis,
    ) -> None:
        """Update load, limit and health from an outcome."""
        target = self.targets.get(outcome.destination.server)
        if target is None or outcome.code in _HEALTH_NEUTRAL_CODES:
            return
        if _is_success(outcome):
            self._record_success(target, latency_ms, max_limit, now)
        else:
            _record_failure(target, outcome, now)

    def _record_success(
        self,
        target: Target,
        latency_ms: int,
        max_limit: int,
        now: clock.Millis,
    ) -> None:
        latency = max(latency_ms, MIN_LATENCY_MS)
        self.base_latency_ms = limits.update_base_latency(
            self.base_latency_ms, latency
        )
        target.load = balancing.after_answer(target.load, latency, now)
        target.health = outliers.after_success()
        target.limit = limits.after_answer(
            target.limit,
            latency,
            self.base_latency_ms,
            target.load.in_flight,
            max_limit,
        )


def _is_success(outcome: outcomes.Outcome) -> bool:
    if not isinstance(outcome, outcomes.Answered):
        return False
    return outcome.status < _FIRST_SERVER_ERROR_STATUS


def _record_failure(
    target: Target,
    outcome: outcomes.Outcome,
    now: clock.Millis,
) -> None:
    if outcome.code is _Code.SERVER_SHED:
        target.limit = limits.after_shed(target.limit)
    was_ejected = target.health.is_ejected(now)
    target.health = outliers.after_failure(target.health, now)
    if target.health.is_ejected(now) and not was_ejected:
        # A server that returns from ejection warms up like a new one.
        target.load = dataclasses.replace(
            target.load,
            slow_start_at=target.health.ejected_until,
        )
