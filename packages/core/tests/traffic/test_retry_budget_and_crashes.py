"""Check the limits on retries."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import retry_budget

SERVICE = ids.ServiceName('v')
ALLOWANCE = retry_budget.RetryAllowance(ratio=0.2, window_ms=10_000, extra=58)


@pytest.mark.parametrize('instances', [1, 9, 71])
def test_all_instances_together_stay_within_the_allowance(
    instances: int,
) -> None:
    requests, retried = 0, 0
    budgets = [retry_budget.RetryBudget(ALLOWANCE) for _ in range(instances)]
    for moment in range(0, 10_000, 50):
        now = clock.Millis(moment)
        for budget in budgets:
            budget.count_request(SERVICE, now)
            requests += 1
            retried += budget.spend(SERVICE, instances, now)
    allowed = ALLOWANCE.ratio * requests + ALLOWANCE.extra
    assert 0 < retried <= allowed


def test_retry_budget_refills_as_its_window_slides() -> None:
    budget = retry_budget.RetryBudget(ALLOWANCE)
    spent = sum(budget.spend(SERVICE, 1, clock.Millis(0)) for _ in range(99))
    assert spent == 29
    assert not budget.spend(SERVICE, 1, clock.Millis(9_999))
    assert budget.spend(SERVICE, 1, clock.Millis(10_001))
