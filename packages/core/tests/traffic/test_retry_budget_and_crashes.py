"""Check the limits on retries and on requests that crash their servers."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import crashes, retry_budget

SERVICE = ids.ServiceName('v')
ALLOWANCE = retry_budget.RetryAllowance(ratio=0.2, window_ms=10_000, extra=58)
SIGNATURE = crashes.Signature(7)


def _incarnation(number: int) -> servers.ServerIncarnation:
    return servers.ServerIncarnation(
        ids.ServerId('s'), servers.IncarnationNumber(number)
    )


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


def test_request_is_blocked_after_three_crashes() -> None:
    history = crashes.CrashHistory()
    for number in range(3):
        now = clock.Millis(number * 5_000)
        assert not history.is_blocked(SIGNATURE, now)
        history.record_broken_connection(SIGNATURE, _incarnation(number), now)
        assert history.confirm_crashes(
            _incarnation(number), clock.Millis(now + 3_000)
        )
    assert history.is_blocked(SIGNATURE, clock.Millis(15_000))


def test_broken_connections_alone_block_no_request() -> None:
    history = crashes.CrashHistory()
    for number in range(5):
        history.record_broken_connection(
            SIGNATURE, _incarnation(number), clock.Millis(number)
        )
    assert not history.is_blocked(SIGNATURE, clock.Millis(10))


def test_server_end_long_after_the_request_confirms_no_crash() -> None:
    history = crashes.CrashHistory()
    history.record_broken_connection(
        SIGNATURE, _incarnation(1), clock.Millis(0)
    )
    assert not history.confirm_crashes(_incarnation(1), clock.Millis(60_000))


def test_crashes_that_peers_report_count_once() -> None:
    history = crashes.CrashHistory()
    now = clock.Millis(0)
    for _ in range(3):
        history.record(crashes.Crash(SIGNATURE, _incarnation(1)), now)
    assert not history.is_blocked(SIGNATURE, now)
    history.record(crashes.Crash(SIGNATURE, _incarnation(2)), now)
    history.record(crashes.Crash(SIGNATURE, _incarnation(3)), now)
    assert history.is_blocked(SIGNATURE, now)
    assert len(history.known_crashes()) == 3
