"""Decide how an instance leaves without cutting off requests.

Load pattern: a planned stop under load. Callers hold kept connections, and
the balancer may go on sending new ones while few instances are left.
"""

import enum

from sycamoreferry_core import clock

# The balancer asks once a second and needs two misses; a request taken any
# later might not end within the grace time.
_ACCEPTING_MS = 2_500
# Left for the process to end before it is killed.
_EXIT_MARGIN_MS = 600


@enum.unique
class LeavePhase(enum.Enum):
    """Tell what a leaving instance still does."""

    ACCEPTING = 'accepting'
    FINISHING = 'finishing'
    DONE = 'done'


def leave_phase(
    asked_at: clock.Millis,
    now: clock.Millis,
    *,
    grace_ms: int,
    is_quiet: bool,
) -> LeavePhase:
    """Return what to do at a time after the request to stop."""
    elapsed = now - asked_at
    if elapsed < min(_ACCEPTING_MS, grace_ms // 2):
        return LeavePhase.ACCEPTING
    if is_quiet or elapsed >= grace_ms - _EXIT_MARGIN_MS:
        return LeavePhase.DONE
    return LeavePhase.FINISHING
