import dataclasses

import hypothesis
from hypothesis import strategies as st

from sycamoreferry_core import clock, outcomes, profiles, result_codes, retries

POLICY = profiles.Retries()
NOW = clock.Millis(1000)
FAILURES = st.one_of(
    st.builds(
        outcomes.NotRun,
        st.sampled_from(
            [code for code in result_codes.ResultCode if code < 4000],
        ),
    ),
    st.builds(
        outcomes.Unknown,
        st.sampled_from(
            [
                result_codes.ResultCode.OUTCOME_UNKNOWN,
                result_codes.ResultCode.ANSWER_INCOMPLETE,
                result_codes.ResultCode.ANSWER_TOO_LATE,
            ],
        ),
    ),
)


def _run(
    failures: list[outcomes.Failure],
    idempotent: bool,
) -> tuple[outcomes.Failure | None, int]:
    """Return the reported failure, if any, and the number of attempts."""
    attempt = retries.Attempt(0, idempotent, clock.Millis(60_000))
    budget = retries.RetryBudget(100)
    for number, failure in enumerate(failures, 1):
        decided = retries.decide_retry(
            failure,
            attempt,
            POLICY,
            budget,
            NOW,
            0.5,
        )
        if isinstance(decided, retries.GiveUp):
            return decided.failure, number
        attempt = attempt.after(failure)
    return None, len(failures)


@hypothesis.given(
    failures=st.lists(FAILURES, min_size=1), idempotent=st.booleans()
)
def test_not_run_is_said_only_where_no_attempt_may_have_run(
    failures: list[outcomes.Failure],
    idempotent: bool,
) -> None:
    final, attempts = _run(failures, idempotent)
    may_have_run = any(
        isinstance(failure, outcomes.Unknown) for failure in failures[:attempts]
    )
    if isinstance(final, outcomes.NotRun):
        assert not may_have_run
    if may_have_run and not idempotent:
        assert isinstance(final, outcomes.Unknown)
        assert final is failures[attempts - 1]


@hypothesis.given(
    failure=FAILURES,
    number=st.integers(0, 40),
    jitter=st.floats(0, 1, exclude_max=True),
    left=st.integers(0, 5000),
    tokens=st.floats(0, 20),
)
def test_retry_delay_stays_within_its_bounds(
    failure: outcomes.Failure,
    number: int,
    jitter: float,
    left: int,
    tokens: float,
) -> None:
    attempt = retries.Attempt(number, True, clock.later(NOW, left))
    decided = retries.decide_retry(
        failure,
        attempt,
        POLICY,
        retries.RetryBudget(tokens),
        NOW,
        jitter,
    )
    if isinstance(decided, retries.RetryAfter):
        assert tokens >= 1
        assert 0 < decided.delay_ms < left
        assert decided.delay_ms <= POLICY.longest_delay_ms
        assert decided.delay_ms <= POLICY.first_delay_ms * 2**number


@hypothesis.given(st.lists(st.booleans(), max_size=400))
def test_retries_are_limited_by_first_attempts(
    wants_retry: list[bool],
) -> None:
    budget = retries.RetryBudget(float(POLICY.budget_floor))
    spent = 0
    for wants in wants_retry:
        budget = budget.earn(POLICY)
        while wants and budget.has_token:
            budget = budget.spend()
            spent += 1
    earned = POLICY.budget_share * len(wants_retry)
    assert spent <= POLICY.budget_floor + earned
    assert dataclasses.replace(budget).tokens >= 0
