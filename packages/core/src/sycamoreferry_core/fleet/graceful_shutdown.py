"""Decide how an instance shuts down without interrupting requests.

Load pattern: a planned stop under load. Callers hold keep-alive connections,
and the load balancer may keep sending new ones while few instances are left.
Callers may wait longer than the grace period lasts, so each request has to be
answered by a time that the shutdown sets.
"""

import enum

from sycamoreferry_core import clock

# The load balancer checks readiness once a second and needs two failed checks;
# a request accepted any later might not finish within the grace period.
_ACCEPTING_MS = 2_500
# Time for the process to exit before it is killed, and for the last answers to
# be sent before that; both are less where the grace period is short.
_EXIT_MARGIN_MS = 600
_EXIT_MARGIN_SHARE = 0.1
_SEND_MARGIN_MS = 300
_SEND_MARGIN_SHARE = 0.05


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
    if is_idle or elapsed >= grace_ms - _exit_margin_ms(grace_ms):
        return ShutdownPhase.DONE
    return ShutdownPhase.FINISHING


def answers_due_at(requested_at: clock.Millis, grace_ms: int) -> clock.Millis:
    """Return the time by which all requests must have been answered."""
    send_margin_ms = min(_SEND_MARGIN_MS, int(grace_ms * _SEND_MARGIN_SHARE))
    margin_ms = _exit_margin_ms(grace_ms) + send_margin_ms
    return clock.later(requested_at, grace_ms - margin_ms)


def _exit_margin_ms(grace_ms: int) -> int:
    return min(_EXIT_MARGIN_MS, int(grace_ms * _EXIT_MARGIN_SHARE))
