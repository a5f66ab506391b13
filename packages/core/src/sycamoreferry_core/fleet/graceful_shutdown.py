"""Decide how an instance shuts down without interrupting requests.

Load pattern: a planned stop under load. Callers hold keep-alive connections,
and the load balancer may keep sending new ones while few instances are left.
"""

import enum

from sycamoreferry_core import clock

# The load balancer checks readiness once a second and needs two failed checks;
# a request accepted any later might not finish within the grace period.
_ACCEPTING_MS = 2_500
# Time for the process to exit before it is killed.
_EXIT_MARGIN_MS = 600


@enum.unique
class ShutdownPhase(enum.Enum):
    """Name the phases of a graceful shutdown."""

    ACCEPTING = 'accepting'
    FINISHING = 'finishing'
    DONE = 'done'


def shutdown_phase(
    requested_at: clock.Millis,
    now: clock.Millis,
    *,
    grace_ms: int,
    is_idle: bool,
) -> ShutdownPhase:
    """Return the shutdown phase; the grace period starts at requested_at."""
    elapsed = now - requested_at
    if elapsed < min(_ACCEPTING_MS, grace_ms // 2):
        return ShutdownPhase.ACCEPTING
    if is_idle or elapsed >= grace_ms - _EXIT_MARGIN_MS:
        return ShutdownPhase.DONE
    return ShutdownPhase.FINISHING
