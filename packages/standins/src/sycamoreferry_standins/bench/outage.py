"""Measure the load that retries add while a whole service is down."""

import heapq
import random

from sycamoreferry_core import clock, outcomes, profiles, result_codes, retries
from sycamoreferry_standins.bench import report

_SEED = 3
_FIRST_TRIES = 5000
_RATE = 500
_DEADLINE_MS = 2000
_POLICY = profiles.Retries()
_FAILURE = outcomes.NotRun(result_codes.ResultCode.SERVER_UNREACHABLE)
_ENDLESS = retries.RetryBudget(float('inf'))


def measure() -> tuple[report.Measurement, ...]:
    """Return the attempts for each first try, with and without a budget."""
    return tuple(
        report.Measurement(
            'full outage',
            variant,
            'attempts for each first try',
            _attempts(has_budget=has_budget) / _FIRST_TRIES,
            '',
        )
        for variant, has_budget in (('no budget', False), ('budget', True))
    )


def _attempts(*, has_budget: bool) -> int:
    chance = random.Random(_SEED)
    budget = retries.RetryBudget(float(_POLICY.budget_floor))
    plans = [
        (clock.Millis(number * clock.MILLIS_PER_SECOND // _RATE), number, 0)
        for number in range(_FIRST_TRIES)
    ]
    made = 0
    while plans:
        now, number, tries = heapq.heappop(plans)
        made += 1
        if not tries:
            budget = budget.earn(_POLICY)
        decided = _decide(
            (now, number, tries),
            budget if has_budget else _ENDLESS,
            chance.random(),
        )
        if isinstance(decided, retries.RetryAfter):
            budget = budget.spend() if has_budget else budget
            again = clock.later(now, decided.delay_ms)
            heapq.heappush(plans, (again, number, tries + 1))
    return made


def _decide(
    plan: tuple[clock.Millis, int, int],
    budget: retries.RetryBudget,
    jitter: float,
) -> retries.RetryAfter | retries.GiveUp:
    now, number, tries = plan
    started = clock.Millis(number * clock.MILLIS_PER_SECOND // _RATE)
    deadline = clock.later(started, _DEADLINE_MS)
    attempt = retries.Attempt(tries, idempotent=True, deadline=deadline)
    return retries.decide_retry(
        _FAILURE,
        attempt,
        _POLICY,
        budget,
        now,
        jitter,
    )
