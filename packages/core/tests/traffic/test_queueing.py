"""Simulate demand above the slots and check which requests are served."""

import heapq
import random

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import queueing

SERVICE = ids.ServiceName('v')
WORK_MS = 160
SLOTS = 16
OBJECTIVE_MS = 500
DEADLINE_MS = 1_500


def _request(arrived: int, priority: int = 1) -> queueing.QueuedRequest:
    return queueing.QueuedRequest(
        SERVICE,
        None,
        priority,
        clock.Millis(arrived),
        clock.Millis(arrived + OBJECTIVE_MS),
        clock.Millis(arrived + DEADLINE_MS),
    )


def _itself(request: queueing.QueuedRequest) -> queueing.QueuedRequest:
    return request


def _on_time(load: float, seed: int, *, in_turn: bool) -> float:
    """Return the share answered on time; FIFO unless the queue is sorted."""
    source = random.Random(seed)
    arrivals = []
    now = 0.0
    while now < 20_000:
        now += source.expovariate(load * SLOTS / WORK_MS)
        arrivals.append(int(now))
    free_at = [0.0] * SLOTS
    queue: list[queueing.QueuedRequest] = []
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
                for one in queueing.sort_queue(queue, _itself, WORK_MS, moment)
                if moment <= queueing.latest_start(one, WORK_MS)
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
def test_sorted_queue_answers_more_on_time_than_fifo_in_overload(
    load: float, seed: int
) -> None:
    sorted_share = _on_time(load, seed, in_turn=True)
    fifo_share = _on_time(load, seed, in_turn=False)
    # If all slots served requests on time, the share would be 1 / load. FIFO
    # spends the slots on requests that are already late.
    assert sorted_share > 0.6 / load
    assert sorted_share > fifo_share + 0.2


def test_higher_priority_goes_before_an_earlier_deadline() -> None:
    later = _request(100, priority=1)
    earlier = _request(0, priority=2)
    now = clock.Millis(120)
    order = queueing.sort_queue([earlier, later], _itself, WORK_MS, now)
    assert order == [later, earlier]


def test_request_that_can_be_on_time_goes_before_a_late_one() -> None:
    late = _request(0, priority=1)
    on_time = _request(400, priority=2)
    now = clock.Millis(450)
    order = queueing.sort_queue([late, on_time], _itself, WORK_MS, now)
    assert order == [on_time, late]


def test_request_behind_a_long_backlog_cannot_be_served() -> None:
    request = _request(0)
    now = clock.Millis(0)
    hopeless = queueing.Backlog(ahead=60, slots=2, duration_ms=WORK_MS)
    short = queueing.Backlog(ahead=4, slots=2, duration_ms=WORK_MS)
    assert not queueing.can_be_served(request, hopeless, now)
    assert queueing.can_be_served(request, short, now)


@pytest.mark.parametrize(
    ('back_off_ms', 'can_be_served'), [(900, True), (1_100, False)]
)
def test_request_waits_only_for_a_back_off_that_leaves_enough_time(
    back_off_ms: int, *, can_be_served: bool
) -> None:
    backlog = queueing.Backlog(0, 2, WORK_MS, back_off_ms)
    served = queueing.can_be_served(_request(0), backlog, clock.Millis(0))
    assert served == can_be_served


@pytest.mark.parametrize('jitter', [0.0, 0.5, 1.0])
def test_retry_delay_is_not_shorter_than_a_back_off(jitter: float) -> None:
    backlog = queueing.Backlog(0, 2, WORK_MS, back_off_ms=3_000)
    after = queueing.retry_delay_ms(900, backlog, jitter)
    assert 3_000 <= after <= 3_500


@pytest.mark.parametrize('jitter', [0.0, 0.5, 1.0])
def test_retry_delay_is_at_most_a_third_of_the_remaining_time(
    jitter: float,
) -> None:
    backlog = queueing.Backlog(ahead=60, slots=2, duration_ms=WORK_MS)
    after = queueing.retry_delay_ms(900, backlog, jitter)
    assert 50 <= after <= 300


@pytest.mark.parametrize(
    ('answer_by', 'expected'),
    [
        (None, 1_050),
        (5_000, 1_050),
        # Leaves time for an attempt before the instance stops.
        (1_200, 1_200 - 4 * WORK_MS),
    ],
)
def test_stop_of_the_instance_limits_the_wait_and_keeps_the_order(
    answer_by: int | None,
    expected: int,
) -> None:
    waiting = _request(0)
    position = queueing.queue_position(waiting, WORK_MS, clock.Millis(0))
    if answer_by is not None:
        waiting.answer_by = clock.Millis(answer_by)
    assert queueing.latest_start(waiting, WORK_MS) == expected
    now = clock.Millis(0)
    assert queueing.queue_position(waiting, WORK_MS, now) == position


def test_old_request_keeps_its_wait_if_the_stop_leaves_time() -> None:
    waiting = _request(0)
    waiting.ends_at = clock.Millis(30_000)
    waiting.answer_by = clock.Millis(17_100)
    assert queueing.latest_start(waiting, WORK_MS) > 12_000
