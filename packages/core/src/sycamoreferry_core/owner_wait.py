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

    until: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLater:
    """Answer at once with the time after which to retry."""

    retry_after_ms: int


def is_missing_owner(failure: outcomes.Failure) -> bool:
    """Tell whether a request failed because no owner could run it."""
    if not isinstance(failure, outcomes.NotRun):
        return False
    return failure.code in MISSING_OWNER_CODES


def expected_recovery(
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
    queued_requests: int,
    policy: profiles.Profile,
    now: clock.Millis,
) -> WaitUntil | RetryLater:
    """Wait only if an owner is expected before the request's deadline."""
    expected = expected_recovery(since, policy.timing, now)
    if queued_requests >= policy.limits.queue_length:
        return RetryLater(max(expected - now, clock.MILLIS_PER_SECOND))
    if expected <= now:
        return RetryLater(clock.MILLIS_PER_SECOND)
    if expected >= deadline:
        return RetryLater(expected - now)
    return WaitUntil(expected)
