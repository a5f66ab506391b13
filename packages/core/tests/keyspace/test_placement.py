"""Simulate hot keys and check that moves balance the load."""

import random

import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners, placement

Work = dict[owners.Key, float]

SERVERS = 15
SLOTS = 2.0
OVERLOADED = 1.5
RELIEVED = 0.85
FULL = 1.0
SEEDS = range(5)


def _incarnation(number: int) -> servers.ServerIncarnation:
    return servers.ServerIncarnation(
        ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
    )


INCARNATIONS = [_incarnation(number) for number in range(SERVERS)]
CAPACITIES = [
    placement.Capacity(incarnation, SLOTS) for incarnation in INCARNATIONS
]


def _even_table() -> owners.OwnerTable:
    return owners.OwnerTable(
        owners.Ownership(keys, incarnation, ids.Fence(1))
        for keys, incarnation in zip(
            owners.split_evenly(SERVERS),
            INCARNATIONS,
            strict=True,
        )
    )


def _hot_neighbours(seed: int, count: int, slots: float) -> Work:
    """Return random work plus hot work on a range of neighbouring keys."""
    source = random.Random(seed)
    work: dict[owners.Key, float] = {}
    for _ in range(2_000):
        key = owners.Key(source.randrange(owners.LAST_KEY + 1))
        work[key] = work.get(key, 0) + 9 / 2_000
    first = source.randrange(owners.LAST_KEY - count)
    for number in range(first, first + count):
        hot = owners.Key(number)
        work[hot] = work.get(hot, 0) + slots / count
    return work


def _busiest(table: owners.OwnerTable, work: Work) -> float:
    return max(_load(table, work).values()) / SLOTS


def _load(
    table: owners.OwnerTable,
    work: Work,
) -> dict[servers.ServerIncarnation, float]:
    load = dict.fromkeys(INCARNATIONS, 0.0)
    for key, weight in work.items():
        row = table.owner_of(key)
        assert row is not None
        load[row.owner] += weight
    return load


def _apply(
    table: owners.OwnerTable,
    moves: list[placement.Move],
) -> owners.OwnerTable:
    for move in moves:
        row = table.owner_of(move.keys.first)
        assert row is not None
        assert row.owner == move.source
        assert row.keys.last >= move.keys.last
        table = table.replace(
            owners.Ownership(move.keys, move.destination, ids.Fence(2)),
        )
    return table


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('count', [60, 200])
def test_hot_neighbours_are_balanced_within_a_second(
    seed: int, count: int
) -> None:
    # The hot keys draw 0.35 of 94.5 requests a second of 160 ms each.
    work = _hot_neighbours(seed, count, slots=0.35 * 94.5 * 0.160)
    table = _even_table()
    assert _busiest(table, work) > OVERLOADED
    for _ in range(4):
        moves = placement.plan_moves(table.rows, work, CAPACITIES)
        table = _apply(table, moves)
    # All servers together have twice the slots that the work needs.
    assert _busiest(table, work) < RELIEVED
    assert not table.unowned()


def test_even_load_causes_no_moves() -> None:
    work = {
        owners.Key(key): 0.5 * SLOTS * SERVERS / 1_024
        for key in range(0, owners.LAST_KEY, 64)
    }
    assert not placement.plan_moves(_even_table().rows, work, CAPACITIES)


def test_neighbours_of_a_single_hot_key_are_moved() -> None:
    row = _even_table().rows[0]
    middle = owners.Key(row.keys.last // 2)
    work = {middle: 1.9}
    for key in range(0, 1_000, 10):
        work[owners.Key(key)] = 0.01
    table = _even_table()
    for _ in range(4):
        moves = placement.plan_moves(table.rows, work, CAPACITIES)
        table = _apply(table, moves)
    assert _busiest(table, work) <= FULL


def test_hot_key_moves_from_a_slow_server_to_a_fast_one() -> None:
    # A key with 3.8 slots of work belongs to a server of speed 0.6.
    slow_first = [
        placement.Capacity(incarnation, SLOTS * (0.6, 1.0, 1.4)[number % 3])
        for number, incarnation in enumerate(INCARNATIONS)
    ]
    fastest = max(capacity.slots for capacity in slow_first)
    hot = owners.Key(10)
    work = {hot: 3.8}
    for key in range(100, owners.LAST_KEY, 500):
        work[owners.Key(key)] = 0.04
    table = _even_table()
    for _ in range(4):
        moves = placement.plan_moves(table.rows, work, slow_first)
        table = _apply(table, moves)
    row = table.owner_of(hot)
    assert row is not None
    slots = {capacity.incarnation: capacity.slots for capacity in slow_first}
    assert slots[row.owner] == fastest
    others = {key: weight for key, weight in work.items() if key != hot}
    owned = _load(table, others)[row.owner]
    assert owned < SLOTS / 4
    # The next plan does not move it again.
    again = placement.plan_moves(table.rows, work, slow_first)
    assert all(move.keys.first != hot for move in again)


def test_first_assignment_is_even() -> None:
    chosen = placement.assign_unowned(
        owners.split_evenly(SERVERS),
        (),
        {},
        CAPACITIES,
    )
    assert sorted(incarnation for _, incarnation in chosen) == sorted(
        INCARNATIONS
    )


def test_unowned_keys_go_to_the_least_loaded_server() -> None:
    work = {owners.Key(0): 1.8, owners.Key(20_000): 0.2}
    table = _even_table()
    owner = table.owner_of(owners.Key(0))
    assert owner is not None
    chosen = placement.assign_unowned(
        [owners.KeyRange(owners.Key(20_000), owners.Key(20_010))],
        table.rows,
        work,
        CAPACITIES[:2],
    )
    assert chosen[0][1] == INCARNATIONS[1]


@pytest.mark.parametrize('seed', SEEDS)
def test_limited_servers_are_relieved_and_get_no_keys(seed: int) -> None:
    limited = INCARNATIONS[::2]
    capacities = [
        placement.Capacity(
            one, 0.3 if one in limited else SLOTS, is_limited=one in limited
        )
        for one in INCARNATIONS
    ]
    work = _hot_neighbours(seed, 200, 2)
    table = _even_table()
    for _ in range(10):
        for move in placement.plan_moves(table.rows, work, capacities):
            assert move.destination not in limited
            table = table.replace(
                owners.Ownership(move.keys, move.destination, ids.Fence(2))
            )
    load = _load(table, work)
    assert max(load[one] for one in limited) <= 0.3 * FULL


def test_keys_move_among_servers_that_are_all_limited() -> None:
    capacities = [
        placement.Capacity(one, slots, is_limited=True)
        for one, slots in zip(INCARNATIONS, (0.2, 1), strict=False)
    ]
    half = owners.split_evenly(2)
    rows = [
        owners.Ownership(keys, one, ids.Fence(1))
        for keys, one in zip(half, INCARNATIONS, strict=False)
    ]
    work = {owners.Key(number): 0.1 for number in range(0, 50_000, 10_000)}
    moves = placement.plan_moves(rows, work, capacities)
    assert {move.destination for move in moves} == {INCARNATIONS[1]}
