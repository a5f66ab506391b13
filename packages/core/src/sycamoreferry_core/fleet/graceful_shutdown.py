"""Decide how an instance shuts down without interrupting requests.

Load pattern: a planned stop under load. Callers hold keep-alive connections,
and the load balancer may keep sending new ones while few instances are left.
Callers may wait longer than the grace period lasts, so each request has to be
answered by a time that the shutdown sets. How long a caller takes to read its
answer is not known, so only a request that its caller gives up before that
time is certain not to be cut.
"""

import enum

from sycamoreferry_core import clock

# The load balancer checks readiness once a second and needs two failed checks.
_ACCEPTING_MS = 2_500
# Time to send the last answers before the process is killed, and for it to exit
# before that; both are less where the grace period is short.
_SEND_MARGIN_MS = 900
_SEND_MARGIN_SHARE = 0.15
_EXIT_MARGIN_MS = 300
_EXIT_MARGIN_SHARE = 0.1


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
    margin_ms = min(_EXIT_MARGIN_MS, int(grace_ms * _EXIT_MARGIN_SHARE))
    if is_idle or elapsed >= grace_ms - margin_ms:
        return ShutdownPhase.DONE
    return ShutdownPhase.FINISHING


def answers_due_at(requested_at: clock.Millis, grace_ms: int) -> clock.Millis:
    """Return the time by which all requests must have been answered."""
    margin_ms = min(_SEND_MARGIN_MS, int(grace_ms * _SEND_MARGIN_SHARE))
    return clock.later(requested_at, grace_ms - margin_ms)
