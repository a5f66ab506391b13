import dataclasses
import itertools
import typing

import hypothesis
from hypothesis import strategies

from sycamoreferry_core import ids, load_moves, records, shard_loads, state

THRESHOLD = 1.3
SERVERS = tuple(ids.ServerId(f's{number}') for number in range(4))

_rates = strategies.lists(
    strategies.integers(0, 50).map(float),
    min_size=12,
    max_size=12,
)


def _assigned(owners: typing.Sequence[ids.ServerId]) -> state.Assignment:
    return state.Assignment(tuple(owners), (ids.Fence(0),) * len(owners))


def _loads(rates: typing.Sequence[float]) -> shard_loads.ShardLoads:
    return shard_loads.ShardLoads(
        {ids.ShardId(shard): rate for shard, rate in enumerate(rates) if rate},
    )


def _inputs(
    owners: typing.Sequence[ids.ServerId],
    rates: typing.Sequence[float],
    servers: typing.Sequence[ids.ServerId] = SERVERS,
) -> load_moves.PlanInputs:
    return load_moves.PlanInputs(
        assigned=_assigned(owners),
        loads=_loads(rates),
        servers=servers,
        pins={},
        recently_moved=frozenset(),
        recent_arrivals=frozenset(),
        threshold=THRESHOLD,
        max_moves=64,
    )


def _apply(
    inputs: load_moves.PlanInputs,
    plan: load_moves.Plan,
) -> load_moves.PlanInputs:
    owners = list(inputs.assigned.owners)
    for change in plan.changes:
        for shard in change.shards:
            owners[shard] = change.server
    return dataclasses.replace(inputs, assigned=_assigned(owners))


def _moved(plan: load_moves.Plan | None) -> set[ids.ShardId]:
    changes = plan.changes if plan else ()
    return {shard for change in changes for shard in change.shards}


def _server_loads(inputs: load_moves.PlanInputs) -> dict[ids.ServerId, float]:
    owned = inputs.assigned.shards_by_owner
    return {
        server: inputs.loads.of_shards(owned.get(server, frozenset()))
        for server in inputs.servers
    }


def _imbalance(inputs: load_moves.PlanInputs) -> float:
    server_loads = _server_loads(inputs).values()
    return max(server_loads) * len(server_loads) / sum(server_loads)


def _round_robin_owners(rates: typing.Sequence[float]) -> list[ids.ServerId]:
    return [SERVERS[shard % 4] for shard in range(len(rates))]


@hypothesis.given(_rates)
def test_moves_converge_and_none_is_reversed(rates: list[float]) -> None:
    inputs = _inputs(_round_robin_owners(rates), rates)
    visited = set(enumerate(_round_robin_owners(rates)))
    imbalance = _imbalance(inputs)
    for _ in range(20):
        plan = load_moves.plan_moves(inputs)
        if plan is None:
            return
        inputs = _apply(inputs, plan)
        owners = inputs.assigned.owners
        moved_to = {(int(shard), owners[shard]) for shard in _moved(plan)}
        assert not visited & moved_to
        visited |= moved_to
        assert _imbalance(inputs) <= imbalance + 1e-9
        imbalance = _imbalance(inputs)
    raise AssertionError('moves did not converge within 20 plans')


@hypothesis.given(_rates)
def test_nothing_moves_below_the_threshold(rates: list[float]) -> None:
    inputs = _inputs(_round_robin_owners(rates), rates)
    server_loads = _server_loads(inputs)
    mean = sum(server_loads.values()) / len(server_loads)
    hypothesis.assume(max(server_loads.values()) <= THRESHOLD * mean)
    assert load_moves.plan_moves(inputs) is None


@hypothesis.given(_rates)
def test_one_move_is_made_where_one_is_enough(rates: list[float]) -> None:
    inputs = _inputs(_round_robin_owners(rates), rates)
    enough = (1 + THRESHOLD) / 2
    hypothesis.assume(_imbalance(inputs) > THRESHOLD)
    hypothesis.assume(_one_move_suffices(inputs, enough))
    plan = load_moves.plan_moves(inputs)
    assert plan is not None
    assert len(_moved(plan)) == 1
    assert _imbalance(_apply(inputs, plan)) <= enough + 1e-9


def _one_move_suffices(
    inputs: load_moves.PlanInputs,
    enough: float,
) -> bool:
    server_loads = _server_loads(inputs)
    mean = sum(server_loads.values()) / len(server_loads)
    for shard, target in itertools.product(range(12), SERVERS):
        if inputs.loads.of_shard(ids.ShardId(shard)) > mean:
            continue
        change = records.Ownership(target, (ids.ShardId(shard),))
        candidate = load_moves.Plan(records.MoveCause.LOAD, (change,))
        if _imbalance(_apply(inputs, candidate)) <= enough:
            return True
    return False


def test_other_shards_move_away_from_a_hot_shard() -> None:
    rates = [100.0, 20.0, 20.0, 1.0, 1.0, 1.0]
    owners = [SERVERS[0]] * 3 + [SERVERS[1], SERVERS[2], SERVERS[3]]
    plan = load_moves.plan_moves(_inputs(owners, rates))
    # Moving the hot shard would only overload another server.
    while plan is not None:
        assert 0 not in _moved(plan)
        inputs = _apply(_inputs(owners, rates), plan)
        owners = list(inputs.assigned.owners)
        plan = load_moves.plan_moves(inputs)
    assert [shard for shard in range(6) if owners[shard] == SERVERS[0]] == [0]


def test_arrival_takes_a_fair_share() -> None:
    owners = [SERVERS[shard % 3] for shard in range(120)]
    inputs = _inputs(owners, [0.0] * 120)
    plan = load_moves.plan_moves(inputs)
    assert plan is not None
    assert plan.cause is records.MoveCause.ARRIVAL
    assert len(_moved(plan)) == 30
    assert load_moves.plan_moves(_apply(inputs, plan)) is None


def test_arrival_is_filled_from_a_balanced_assignment() -> None:
    names = [ids.ServerId(f'many-{number}') for number in range(40)]
    owners = [names[shard % 39] for shard in range(390)]
    plan = load_moves.plan_moves(_inputs(owners, [0.0] * 390, names))
    assert plan is not None
    assert 8 <= len(_moved(plan)) <= 10


def test_a_hot_shard_does_not_hide_the_next_hot_server() -> None:
    owners = [SERVERS[0], *[SERVERS[1]] * 5, SERVERS[2], SERVERS[3]]
    inputs = _inputs(owners, [300.0, *[60.0] * 5, 0.0, 0.0])
    plan = load_moves.plan_moves(inputs)
    assert plan is not None
    # The mean is 150; three of the five shards must move to get below 172.5.
    assert len(_moved(plan)) == 3
    assert 0 not in _moved(plan)


def test_arrival_is_filled_in_batches() -> None:
    owners = [SERVERS[shard % 3] for shard in range(120)]
    inputs = dataclasses.replace(
        _inputs(owners, [0.0] * 120),
        max_moves=5,
    )
    while True:
        plan = load_moves.plan_moves(inputs)
        if plan is None:
            break
        assert len(_moved(plan)) <= 5
        inputs = dataclasses.replace(
            _apply(inputs, plan),
            recent_arrivals=frozenset((SERVERS[3],)),
        )
    owned = inputs.assigned.shards_by_owner
    assert 27 <= len(owned[SERVERS[3]]) <= 30


def test_recently_moved_and_pinned_shards_stay() -> None:
    rates = [30.0, 30.0, 30.0, 30.0, 1.0, 1.0, 1.0]
    owners = [SERVERS[0]] * 3 + list(SERVERS)
    inputs = dataclasses.replace(
        _inputs(owners, rates),
        recently_moved=frozenset((ids.ShardId(0), ids.ShardId(1))),
    )
    assert not {0, 1} & _moved(load_moves.plan_moves(inputs))
    pinned = dataclasses.replace(
        _inputs(owners, rates),
        pins={ids.ShardId(2): SERVERS[0]},
    )
    plan = load_moves.plan_moves(pinned)
    assert _moved(plan) == {0, 1, 3}


def test_exhausted_budget_moves_nothing() -> None:
    owners = [SERVERS[0]] * 12
    inputs = _inputs(owners, [1.0] * 12)
    assert (
        load_moves.plan_moves(dataclasses.replace(inputs, max_moves=0)) is None
    )


def test_one_server_moves_nothing() -> None:
    inputs = _inputs([SERVERS[0]] * 12, [1.0] * 12, SERVERS[:1])
    assert load_moves.plan_moves(inputs) is None
