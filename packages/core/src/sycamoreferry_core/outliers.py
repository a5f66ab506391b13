"""Eject targets after consecutive failures, up to a share of them."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

FAILURES_TO_EJECT = 5
FIRST_EJECTION_MS = 1000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_RATIO = 0.5
_MAX_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Hold the consecutive failures and ejections of a target."""

    failures: int = 0
    ejections: int = 0
    ejected_until: clock.Millis = clock.LONG_AGO

    def is_ejected(self, now: clock.Millis) -> bool:
        """Tell whether the target is ejected at a given time."""
        return now < self.ejected_until


HEALTHY = Health()


def after_success() -> Health:
    """Return the health after a complete answer."""
    return HEALTHY


def after_failure(health: Health, now: clock.Millis) -> Health:
    """Return the health after a failure; each ejection lasts longer."""
    failures = health.failures + 1
    # After an ejection, the first failure ejects the target again.
    needed = 1 if health.ejections else FAILURES_TO_EJECT
    if failures < needed or health.is_ejected(now):
        return dataclasses.replace(health, failures=failures)
    doublings = min(health.ejections, _MAX_DOUBLINGS)
    duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**doublings)
    return Health(0, health.ejections + 1, clock.later(now, duration_ms))


def usable_targets(
    targets: typing.Sequence[ids.ServerId],
    healths: typing.Mapping[ids.ServerId, Health],
    now: clock.Millis,
) -> tuple[ids.ServerId, ...]:
    """Exclude ejected targets up to the cap, latest-ending ejections first."""
    ejected = [
        target
        for target in targets
        if healths.get(target, HEALTHY).is_ejected(now)
    ]
    max_ejected = int(len(targets) * MAX_EJECTED_RATIO)
    ejected.sort(key=lambda target: -healths[target].ejected_until)
    excluded = set(ejected[:max_ejected])
    return tuple(target for target in targets if target not in excluded)
