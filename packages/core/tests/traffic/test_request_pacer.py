"""Check how requests to servers with a rate limit are spaced."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import request_pacer

SERVER = ids.ServerId('s')
WINDOW_MS = 4_000
DURATION_MS = 20_000


def _send_due(
    pacer: request_pacer.RequestPacer, requests_per_s: float, moment: int
) -> int:
    """Send what is due at a moment; return how many requests."""
    now = clock.Millis(moment)
    sent = 0
    pacer.set_rate(SERVER, requests_per_s, 1, now)
    while pacer.is_due(SERVER, now):
        pacer.record_request(SERVER)
        sent += 1
    return sent


def _send_times(requests_per_s: float, step_ms: int) -> list[int]:
    pacer = request_pacer.RequestPacer()
    return [
        moment
        for moment in range(0, DURATION_MS, step_ms)
        for _ in range(_send_due(pacer, requests_per_s, moment))
    ]


@pytest.mark.parametrize('requests_per_s', [0.25, 1, 4.7, 40, 200])
@pytest.mark.parametrize('step_ms', [1, 50])
def test_no_window_exceeds_the_rate_and_none_of_it_is_wasted(
    requests_per_s: float, step_ms: int
) -> None:
    sent = _send_times(requests_per_s, step_ms)
    allowed = 1.5 * requests_per_s * WINDOW_MS / 1_000 + 5
    for start in sent:
        in_window = [at for at in sent if start <= at < start + WINDOW_MS]
        assert len(in_window) <= allowed
    assert len(sent) >= 0.9 * requests_per_s * DURATION_MS / 1_000


@pytest.mark.parametrize('requests_per_s', [0.25, 1, 4.7, 40, 200])
def test_idle_time_is_made_up_for_by_a_short_burst_only(
    requests_per_s: float,
) -> None:
    pacer = request_pacer.RequestPacer()
    _send_due(pacer, requests_per_s, 0)
    sent = sum(
        _send_due(pacer, requests_per_s, moment)
        for moment in range(60_000, 60_000 + WINDOW_MS)
    )
    assert sent <= 1.5 * requests_per_s * WINDOW_MS / 1_000 + 5


@pytest.mark.parametrize('requests_per_s', [0.5, 2, 4.7, 12, 40])
def test_each_change_of_the_counting_instance_adds_a_burst(
    requests_per_s: float,
) -> None:
    sent = []
    for begins_at in range(0, DURATION_MS, 500):
        pacer = request_pacer.RequestPacer()
        for moment in range(begins_at, begins_at + 500, 10):
            count = _send_due(pacer, requests_per_s, moment)
            sent.extend([moment] * count)
    # Each change may cost a request; there are eight in a window.
    allowed = requests_per_s * WINDOW_MS / 1_000 + 8
    for start in sent:
        in_window = [at for at in sent if start <= at < start + WINDOW_MS]
        assert len(in_window) <= allowed


def test_rate_that_falls_keeps_the_burst_of_the_higher_one() -> None:
    pacer = request_pacer.RequestPacer()
    _send_due(pacer, 40, 0)
    pacer.set_rate(SERVER, 40, 1, clock.Millis(10_000))
    sent = sum(_send_due(pacer, 1, moment) for moment in range(10_001, 10_010))
    assert sent <= 1


def test_shares_of_a_limit_add_up_to_more_than_the_limit() -> None:
    pacers = [request_pacer.RequestPacer() for _ in range(10)]
    sent = 0
    for moment in range(0, DURATION_MS, 10):
        now = clock.Millis(moment)
        for pacer in pacers:
            pacer.set_rate(SERVER, 4, 1 / len(pacers), now)
            while pacer.is_due(SERVER, now):
                pacer.record_request(SERVER)
                sent += 1
    assert sent <= 4 * DURATION_MS / 1_000 + 1
