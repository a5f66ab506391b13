"""Check in which steps and ranges the keys of a data centre move."""

import pytest

from sycamoreferry_core.keyspace import evacuated_keys, key_work, owners

KEYS = owners.KeyRange(owners.Key(100), owners.Key(299))


@pytest.mark.parametrize('count', [1, 8, 100])
def test_moves_start_step_by_step_but_in_time(count: int) -> None:
    """All at once would leave a third of the keys without an owner."""
    idle = count
    started = []
    for elapsed in range(0, 1_000, evacuated_keys.STEP_MS):
        due = evacuated_keys.count_due(idle, elapsed)
        started.append(due)
        idle -= due
    assert idle == 0
    assert max(started) <= count / 10 + 1


def test_late_coordinator_starts_as_many_moves_as_it_can_announce() -> None:
    assert evacuated_keys.count_due(8, 10_000) == 8
    assert evacuated_keys.count_due(300, 10_000) == 12


@pytest.mark.parametrize(
    ('held', 'evacuated', 'staying', 'parts'),
    [
        (8, 8, 16, 2),
        (1, 1, 1, 1),
        (1, 1, 30, 4),
        (70, 8, 16, 1),
        (40, 40, 9, 1),
    ],
)
def test_ranges_are_cut_for_the_servers_that_stay(
    held: int, evacuated: int, staying: int, parts: int
) -> None:
    """A whole range would double the work of the server that gets it."""
    found = evacuated_keys.count_parts(held, evacuated, staying)
    assert found == parts


@pytest.mark.parametrize(
    'work',
    [
        {},
        {owners.Key(150): 5.0},
        {owners.Key(100): 1.0, owners.Key(299): 1.0},
        {owners.Key(key): key % 7 + 1.0 for key in range(100, 300)},
    ],
)
def test_parts_cover_the_range_once(work: dict[owners.Key, float]) -> None:
    parts = evacuated_keys.cut(KEYS, work, 4)
    assert len(parts) <= 4
    assert [
        key for part in parts for key in range(part.first, part.last + 1)
    ] == list(range(KEYS.first, KEYS.last + 1))


def test_parts_have_about_the_same_work() -> None:
    work = {owners.Key(key): float(key < 140) + 0.1 for key in range(100, 300)}
    known = key_work.KeyWork(work)
    parts = evacuated_keys.cut(KEYS, work, 4)
    share = known.of_range(KEYS) / 4
    assert len(parts) == 4
    for part in parts:
        assert known.of_range(part) == pytest.approx(share, abs=2.2)
