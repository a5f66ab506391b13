"""Decide whether and when a request is retried."""

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

# Leaves time for a second target if the first one hangs.
_ATTEMPTS_PER_DEADLINE = 2


@dataclasses.dataclass(frozen=True)
class RetryBudget:
    """Hold the retry tokens that first attempts have earned."""

    tokens: float = 0

    def earn(self, policy: profiles.Retries) -> 'RetryBudget':
        """Return the budget after a first attempt, up to budget_floor."""
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
    """Hold the attempt number, deadline and past failures of a request."""

    number: int
    idempotent: bool
    deadline: clock.Millis
    unknown: outcomes.Unknown | None = None

    def after(self, failure: outcomes.Failure) -> 'Attempt':
        """Return the next attempt; it keeps any unknown outcome."""
        unknown = self.unknown
        if isinstance(failure, outcomes.Unknown):
            unknown = failure
        return dataclasses.replace(
            self,
            number=self.number + 1,
            unknown=unknown,
        )

    def final_failure(self, failure: outcomes.Failure) -> outcomes.Failure:
        """Return the failure to report; an unknown outcome takes precedence."""
        return self.unknown or failure


@dataclasses.dataclass(frozen=True)
class RetryAfter:
    """Retry the request after a delay."""

    delay_ms: int


@dataclasses.dataclass(frozen=True)
class GiveUp:
    """Stop retrying and answer with the failure."""

    failure: outcomes.Failure


def is_retryable(failure: outcomes.Failure, idempotent: bool) -> bool:
    """Tell whether a retry is safe after this failure."""
    if isinstance(failure, outcomes.NotRun):
        return failure.code in RETRYABLE
    return idempotent and failure.code is not _Code.ANSWER_TOO_LATE


def attempt_timeout(
    remaining: int,
    *,
    can_run_elsewhere: bool,
) -> int:
    """Return the time limit of one attempt, in milliseconds."""
    if can_run_elsewhere:
        return max(1, remaining // _ATTEMPTS_PER_DEADLINE)
    return remaining


def decide_retry(
    failure: outcomes.Failure,
    attempt: Attempt,
    policy: profiles.Retries,
    budget: RetryBudget,
    now: clock.Millis,
    jitter: float,
) -> RetryAfter | GiveUp:
    """Return a jittered exponential delay, or the failure to report."""
    if not is_retryable(failure, attempt.idempotent):
        return GiveUp(attempt.final_failure(failure))
    if not budget.has_token:
        return GiveUp(attempt.final_failure(failure))
    max_delay_ms = min(
        policy.longest_delay_ms,
        policy.first_delay_ms * 2**attempt.number,
    )
    delay_ms = 1 + int(max_delay_ms * jitter)
    if clock.later(now, delay_ms) >= attempt.deadline:
        return GiveUp(attempt.final_failure(failure))
    return RetryAfter(delay_ms)
