"""Decide whether and when a request is sent on again."""

import dataclasses

from sycamoreferry_core import clock, outcomes, profiles, result_codes

_Code = result_codes.ResultCode

RETRYABLE = frozenset(
    (
        _Code.NO_OWNER,
        _Code.OWNER_NOT_READY,
        _Code.SERVER_UNREACHABLE,
        _Code.SERVER_SHED,
        _Code.NO_TARGET,
    ),
)


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Hold how many retries first tries have earned."""

    tokens: float = 0

    def earn(self, policy: profiles.Retries) -> 'RetryBudget':
        """Return the budget after a first try."""
        ceiling = float(policy.budget_floor)
        return RetryBudget(min(ceiling, self.tokens + policy.budget_share))

    def spend(self) -> 'RetryBudget':
        """Return the budget after a retry."""
        return RetryBudget(self.tokens - 1)

    @property
    def has_token(self) -> bool:
        """Tell whether a retry is affordable."""
        return self.tokens >= 1


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Hold how a request went so far."""

    number: int
    idempotent: bool
    deadline: clock.Millis


@dataclasses.dataclass(frozen=True)
class RetryAfter:
    """Send the request on again after a delay in milliseconds."""

    delay_ms: int


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Answer the failure now."""

    failure: outcomes.Failure


def may_run_again(failure: outcomes.Failure, idempotent: bool) -> bool:
    """Tell whether sending the request on again can do no harm."""
    if isinstance(failure, outcomes.NotRun):
        return failure.code in RETRYABLE
    return idempotent and failure.code is not _Code.ANSWER_TOO_LATE


def decide_retry(
    failure: outcomes.Failure,
    attempt: Attempt,
    policy: profiles.Retries,
    budget: RetryBudget,
    now: clock.Millis,
    jitter: float,
) -> RetryAfter | GiveUp:
    """Retry after a jittered exponential delay, or give up at once."""
    if not may_run_again(failure, attempt.idempotent):
        return GiveUp(failure)
    if not budget.has_token:
        return GiveUp(failure)
    longest = min(
        policy.longest_delay_ms,
        policy.first_delay_ms * 2**attempt.number,
    )
    delay = 1 + int(longest * jitter)
    if clock.later(now, delay) >= attempt.deadline:
        return GiveUp(failure)
    return RetryAfter(delay)
