"""Decide whether a request waits for a new owner of its shard."""

import dataclasses

from sycamoreferry_core import clock, outcomes, profiles, result_codes

_Code = result_codes.ResultCode

# Covers granting a moved shard, one lost packet and one read of the log.
SHORT_GAP_MS = 400
MISSING_OWNER_CODES = frozenset(
    (_Code.NO_OWNER, _Code.OWNER_NOT_READY, _Code.SERVER_UNREACHABLE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class WaitUntil:
    """Keep the request waiting for an owner, until a time limit."""

    limit: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class ComeBack:
    """Answer at once with the time after which to retry."""

    retry_after_ms: int


def is_missing_owner(failure: outcomes.Failure) -> bool:
    """Tell whether a request failed because no owner could run it."""
    if not isinstance(failure, outcomes.NotRun):
        return False
    return failure.code in MISSING_OWNER_CODES


def expected_end(
    since: clock.Millis,
    timing: profiles.Timing,
    now: clock.Millis,
) -> clock.Millis:
    """Return when a shard that lost its owner is expected to be served."""
    short_gap_end = clock.later(since, SHORT_GAP_MS)
    if now < short_gap_end:
        return short_gap_end
    return clock.later(short_gap_end, timing.lease_ms + timing.detection_ms)


def decide_wait(
    since: clock.Millis,
    deadline: clock.Millis,
    waiting: int,
    policy: profiles.Profile,
    now: clock.Millis,
) -> WaitUntil | ComeBack:
    """Wait only if an owner is expected before the request's deadline."""
    expected = expected_end(since, policy.timing, now)
    if waiting >= policy.limits.queue_length:
        return ComeBack(max(expected - now, clock.MILLIS_PER_SECOND))
    if expected <= now:
        return ComeBack(clock.MILLIS_PER_SECOND)
    if expected >= deadline:
        return ComeBack(expected - now)
    return WaitUntil(expected)
