import hypothesis
from hypothesis import strategies as st

from sycamoreferry_core import clock, fair_queue, ids

CAPACITY = 5


def _waiting(entry: int, caller: str) -> fair_queue.QueuedEntry[int]:
    return fair_queue.QueuedEntry(entry, ids.CallerId(caller), clock.Millis(1))


@hypothesis.given(
    st.lists(st.sampled_from(['a', 'b', 'c', 'take', 'leave']), max_size=60),
)
def test_queue_loses_no_entry_and_keeps_its_capacity(steps: list[str]) -> None:
    queue = fair_queue.FairQueue[int]()
    held: dict[int, fair_queue.QueuedEntry[int]] = {}
    for number, step in enumerate(steps):
        if step == 'take':
            expected = queue.peek()
            taken = queue.pop()
            assert taken is expected
            assert taken is None or held.pop(taken.entry) is taken
        elif step == 'leave' and held:
            assert queue.remove(held.popitem()[1])
        elif step in 'abc':
            waiting = _waiting(number, step)
            held[number] = waiting
            dropped = queue.push(waiting, CAPACITY)
            if dropped is not None:
                held.pop(dropped.entry)
        assert len(queue) == len(held)
        assert len(queue) <= CAPACITY
    left = [queue.pop() for _ in held]
    assert {waiting.entry for waiting in left if waiting} == set(held)


@hypothesis.given(st.integers(1, 40))
def test_light_caller_is_served_beside_a_heavy_one(heavy_count: int) -> None:
    queue = fair_queue.FairQueue[int]()
    for number in range(heavy_count):
        queue.push(_waiting(number, 'loud'), CAPACITY)
    assert queue.push(_waiting(-1, 'quiet'), CAPACITY) != _waiting(-1, 'quiet')
    served = [queue.pop(), queue.pop()]
    assert -1 in {waiting.entry for waiting in served if waiting}


def test_capacity_follows_the_answer_interval() -> None:
    pace = fair_queue.AnswerInterval()
    assert pace.capacity(200, 50) == 50
    for now in range(10, 200, 10):
        pace = pace.after_answer(now, busy=True)
    assert pace.capacity(100, 50) == 10
    idle = pace.after_answer(9000, busy=False)
    assert idle.after_answer(20_000, busy=True).capacity(100, 50) == 10
