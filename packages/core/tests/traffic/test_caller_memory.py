"""Check which connections give way when the memory is used up."""

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory

State = caller_memory.HolderState
LIMIT = 8_000_000
BODY = 1_000_000


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def _memory(**holders: int) -> caller_memory.CallerMemory:
    memory = caller_memory.CallerMemory(LIMIT)
    for name, size in holders.items():
        assert not memory.reserve(name, size, State.INCOMPLETE, _at(0))
    return memory


def test_crowd_stays_within_the_limit() -> None:
    memory = caller_memory.CallerMemory(LIMIT)
    for number in range(1_000):
        for part in range(1, 11):
            now = _at(number * 10 + part)
            memory.reserve(number, part * BODY // 10, State.INCOMPLETE, now)
            assert memory.held_bytes <= LIMIT
    assert memory.evicted[State.INCOMPLETE] >= 990


def test_holder_of_most_for_longest_gives_way() -> None:
    memory = _memory(longest=3_000_000, most=3_500_000)
    memory.reserve('longest', 3_000_001, State.INCOMPLETE, _at(10))
    memory.reserve('most', 100_000, State.INCOMPLETE, _at(10))
    memory.reserve('most', 3_900_000, State.INCOMPLETE, _at(100))
    assert memory.reserve('new', BODY, State.INCOMPLETE, _at(101)) == [
        'longest'
    ]
    assert memory.held_bytes == 3_900_000 + BODY


def test_new_holder_gives_way_to_requests_that_were_sent_on() -> None:
    memory = _memory()
    for number in range(7):
        memory.reserve(number, BODY, State.FORWARDED, _at(0))
    assert memory.reserve('new', BODY, State.WAITING, _at(900)) == ['new']
    assert memory.evicted == {State.WAITING: 1}
    assert memory.held_bytes == 7 * BODY


def test_small_requests_have_room_beside_a_crowd() -> None:
    memory = caller_memory.CallerMemory(LIMIT)
    for number in range(60):
        now = _at(number)
        name = f'small{number}'
        assert name not in memory.reserve(name, 4_000, State.INCOMPLETE, now)
        gone = memory.reserve(number, BODY, State.INCOMPLETE, now)
        assert not any(isinstance(holder, str) for holder in gone)


def test_small_holders_give_way_if_they_are_too_many() -> None:
    memory = caller_memory.CallerMemory(LIMIT)
    for number in range(1_000):
        memory.reserve(number, 10_000, State.INCOMPLETE, _at(number))
    assert memory.held_bytes == LIMIT
    assert memory.evicted[State.INCOMPLETE] == 200


def test_released_memory_is_free_again() -> None:
    memory = _memory(one=6_000_000)
    assert memory.free_bytes == BODY
    memory.release('one')
    memory.release('one')
    assert memory.held_bytes == 0
    assert memory.free_bytes == 7_000_000


def test_new_request_of_a_connection_does_not_count_earlier_ones() -> None:
    memory = _memory(old=5_000_000)
    memory.reserve('old', 1_000, State.IDLE, _at(60_000))
    memory.reserve('old', 3_000_000, State.INCOMPLETE, _at(60_001))
    memory.reserve('stalled', 3_000_000, State.INCOMPLETE, _at(60_000))
    assert memory.reserve('new', 2_000_000, State.INCOMPLETE, _at(60_005)) == [
        'stalled'
    ]


def test_connection_that_is_idle_for_longest_is_closed_first() -> None:
    memory = caller_memory.CallerMemory(LIMIT)
    names = ['sent', 'slow', 'later', 'first', 'unknown']
    assert memory.longest_unused(names) is None
    memory.reserve('sent', 10, State.FORWARDED, _at(0))
    memory.reserve('slow', 10, State.INCOMPLETE, _at(0))
    memory.reserve('later', 10, State.IDLE, _at(2))
    memory.reserve('first', 10, State.IDLE, _at(1))
    memory.reserve('first', 20, State.IDLE, _at(3))
    assert memory.longest_unused(names) == 'first'
    assert memory.longest_unused(['sent', 'slow']) == 'slow'
    assert memory.longest_unused(['sent']) is None
