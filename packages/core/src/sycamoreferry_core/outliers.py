"""Eject targets that fail in a row, but never too many."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

FAILURES_TO_EJECT = 5
FIRST_EJECTION_MS = 1000
LONGEST_EJECTION_MS = 30_000
MOST_EJECTED_SHARE = 0.5
_MOST_DOUBLINGS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Hold how a target's last answers went."""

    failures: int = 0
    ejections: int = 0
    ejected_until: clock.Millis = clock.LONG_AGO

    def is_ejected(self, now: clock.Millis) -> bool:
        """Tell whether the target is out."""
        return now < self.ejected_until


HEALTHY = Health()


def after_success() -> Health:
    """Return the health after a whole answer."""
    return HEALTHY


def after_failure(health: Health, now: clock.Millis) -> Health:
    """Return the health after a failure; each ejection lasts longer."""
    failures = health.failures + 1
    # A target that comes back is out again at its first failure.
    needed = 1 if health.ejections else FAILURES_TO_EJECT
    if failures < needed or health.is_ejected(now):
        return dataclasses.replace(health, failures=failures)
    doublings = min(health.ejections, _MOST_DOUBLINGS)
    lasting = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2**doublings)
    return Health(0, health.ejections + 1, clock.later(now, lasting))


def usable(
    targets: typing.Sequence[ids.ServerId],
    healths: typing.Mapping[ids.ServerId, Health],
    now: clock.Millis,
) -> tuple[ids.ServerId, ...]:
    """Return the targets that are in; those ejected last stay in first."""
    ejected = [
        target
        for target in targets
        if healths.get(target, HEALTHY).is_ejected(now)
    ]
    most = int(len(targets) * MOST_EJECTED_SHARE)
    ejected.sort(key=lambda target: -healths[target].ejected_until)
    out = set(ejected[:most])
    return tuple(target for target in targets if target not in out)
