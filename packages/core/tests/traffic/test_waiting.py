"""Replay demand above the slots and check who is served."""

import heapq
import random

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import waiting

SERVICE = ids.ServiceName('v')
WORK_MS = 160
SLOTS = 16
OBJECTIVE_MS = 500
DEADLINE_MS = 1_500


def _request(arrived: int, priority: int = 1) -> waiting.WaitingRequest:
    return waiting.WaitingRequest(
        SERVICE,
        None,
        priority,
        clock.Millis(arrived),
        clock.Millis(arrived + OBJECTIVE_MS),
        clock.Millis(arrived + DEADLINE_MS),
    )


def _itself(request: waiting.WaitingRequest) -> waiting.WaitingRequest:
    return request


def _on_time(load: float, seed: int, *, in_turn: bool) -> float:
    """Return the share answered on time; FIFO unless requests take turns."""
    source = random.Random(seed)
    arrivals = []
    now = 0.0
    while now < 20_000:
        now += source.expovariate(load * SLOTS / WORK_MS)
        arrivals.append(int(now))
    free_at = [0.0] * SLOTS
    queue: list[waiting.WaitingRequest] = []
    served = 0
    index = 0
    while index < len(arrivals) or queue:
        free = heapq.heappop(free_at)
        if not queue:
            free = max(free, arrivals[index])
        while index < len(arrivals) and arrivals[index] <= free:
            queue.append(_request(arrivals[index]))
            index += 1
        moment = clock.Millis(int(free))
        if in_turn:
            queue = [
                one
                for one in waiting.in_turn(queue, _itself, WORK_MS, moment)
                if moment <= waiting.latest_start(one, WORK_MS)
            ]
        if not queue:
            heapq.heappush(free_at, free)
            if index >= len(arrivals):
                break
            continue
        taken = queue.pop(0)
        ended = moment + source.expovariate(1 / WORK_MS)
        heapq.heappush(free_at, ended)
        served += ended <= taken.objective_at
    return served / len(arrivals)


@pytest.mark.parametrize('load', [1.2, 1.5])
@pytest.mark.parametrize('seed', range(3))
def test_overload_still_answers_much_on_time(load: float, seed: int) -> None:
    turns = _on_time(load, seed, in_turn=True)
    first_come = _on_time(load, seed, in_turn=False)
    # All slots on time would serve 1 / load; first come serves the queue.
    assert turns > 0.6 / load
    assert turns > first_come + 0.2


def test_urgent_request_goes_before_a_less_urgent_one() -> None:
    later = _request(100, priority=1)
    earlier = _request(0, priority=2)
    now = clock.Millis(120)
    order = waiting.in_turn([earlier, later], _itself, WORK_MS, now)
    assert order == [later, earlier]


def test_request_that_can_be_on_time_goes_before_a_late_one() -> None:
    late = _request(0, priority=1)
    on_time = _request(400, priority=2)
    now = clock.Millis(450)
    order = waiting.in_turn([late, on_time], _itself, WORK_MS, now)
    assert order == [on_time, late]


def test_request_without_a_chance_is_rejected_at_once() -> None:
    request = _request(0)
    now = clock.Millis(0)
    hopeless = waiting.Backlog(ahead=60, slots=2, duration_ms=WORK_MS)
    short = waiting.Backlog(ahead=4, slots=2, duration_ms=WORK_MS)
    assert not waiting.can_be_served(request, hopeless, now)
    assert waiting.can_be_served(request, short, now)


@pytest.mark.parametrize('jitter', [0.0, 0.5, 1.0])
def test_return_is_within_what_callers_honour(jitter: float) -> None:
    backlog = waiting.Backlog(ahead=60, slots=2, duration_ms=WORK_MS)
    after = waiting.return_after_ms(900, backlog, jitter)
    assert 50 <= after <= 300
