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

# Leaves time for a second target where the first one is frozen.
_ATTEMPTS_IN_A_DEADLINE = 2


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
    unknown: outcomes.Unknown | None = None

    def after(self, failure: outcomes.Failure) -> 'Attempt':
        """Return the next attempt; an unknown outcome is not forgotten."""
        unknown = self.unknown
        if isinstance(failure, outcomes.Unknown):
            unknown = failure
        return dataclasses.replace(
            self,
            number=self.number + 1,
            unknown=unknown,
        )

    def conclude(self, failure: outcomes.Failure) -> outcomes.Failure:
        """Return what is true of all attempts when one ends the request."""
        return self.unknown or failure


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


def attempt_timeout(
    remaining: int,
    *,
    can_run_elsewhere: bool,
) -> int:
    """Return how long one attempt may take, in milliseconds."""
    if can_run_elsewhere:
        return max(1, remaining // _ATTEMPTS_IN_A_DEADLINE)
    return remaining


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
        return GiveUp(attempt.conclude(failure))
    if not budget.has_token:
        return GiveUp(attempt.conclude(failure))
    longest = min(
        policy.longest_delay_ms,
        policy.first_delay_ms * 2**attempt.number,
    )
    delay = 1 + int(longest * jitter)
    if clock.later(now, delay) >= attempt.deadline:
        return GiveUp(attempt.conclude(failure))
    return RetryAfter(delay)
