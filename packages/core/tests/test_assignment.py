import collections

import hypothesis
from hypothesis import strategies

from sycamoreferry_core import assignment, ids, state

SHARDS = 64

_servers = strategies.sets(
    strategies.integers(0, 20).map(lambda number: ids.ServerId(f's{number}')),
    min_size=1,
    max_size=12,
)


def _apply(
    before: state.Assignment,
    servers: set[ids.ServerId],
) -> state.Assignment:
    owners = list(before.owners) or [ids.ServerId('')] * SHARDS
    for change in assignment.plan_changes(before, SHARDS, servers):
        for shard in change.shards:
            owners[shard] = change.server
    return state.Assignment(tuple(owners), (ids.Fence(0),) * SHARDS)


@hypothesis.given(strategies.lists(_servers, min_size=1, max_size=5))
def test_every_shard_has_a_listed_owner(
    steps: list[set[ids.ServerId]],
) -> None:
    assigned = state.Assignment()
    for servers in steps:
        before = assigned
        assigned = _apply(assigned, servers)
        assert set(assigned.owners) <= servers
        assert _moved(before, assigned) == _unowned_shards(before, servers)
        assert _imbalance(assigned, servers) <= max(
            1, _imbalance(before, servers)
        )


@hypothesis.given(_servers)
def test_first_assignment_is_even(servers: set[ids.ServerId]) -> None:
    assert _imbalance(_apply(state.Assignment(), servers), servers) <= 1


def test_retaining_server_keeps_its_shards() -> None:
    before = _apply(state.Assignment(), {ids.ServerId('a'), ids.ServerId('b')})
    changes = assignment.plan_changes(
        before,
        SHARDS,
        {ids.ServerId('a')},
        {ids.ServerId('b')},
    )
    assert changes == ()


def test_changes_are_limited_to_one_record() -> None:
    changes = assignment.plan_changes(
        state.Assignment(),
        3 * assignment.SHARDS_PER_RECORD,
        {ids.ServerId('a'), ids.ServerId('b')},
    )
    assigned_count = sum(len(change.shards) for change in changes)
    assert assigned_count == assignment.SHARDS_PER_RECORD


def test_successive_records_assign_every_shard() -> None:
    count = 3 * assignment.SHARDS_PER_RECORD
    unowned = state.Assignment(
        (ids.ServerId(''),) * count,
        (ids.NO_FENCE,) * count,
    )
    servers = {ids.ServerId('a'), ids.ServerId('b')}
    for _ in range(3):
        owners = list(unowned.owners)
        for change in assignment.plan_changes(unowned, count, servers):
            for shard in change.shards:
                owners[shard] = change.server
        unowned = state.Assignment(tuple(owners), unowned.fences)
    assert collections.Counter(unowned.owners) == {
        'a': count // 2,
        'b': count // 2,
    }
    assert assignment.plan_changes(unowned, count, servers) == ()


def _imbalance(
    assigned: state.Assignment,
    servers: set[ids.ServerId],
) -> int:
    counts = collections.Counter(assigned.owners)
    owned = [counts[server] for server in servers]
    return max(owned) - min(owned)


def _moved(
    before: state.Assignment,
    after: state.Assignment,
) -> list[int]:
    return [
        shard
        for shard in range(SHARDS)
        if before.owner_of(ids.ShardId(shard)) != after.owners[shard]
    ]


def _unowned_shards(
    before: state.Assignment,
    servers: set[ids.ServerId],
) -> list[int]:
    return [
        shard
        for shard in range(SHARDS)
        if before.owner_of(ids.ShardId(shard)) not in servers
    ]


@hypothesis.given(_servers)
def test_loss_moves_only_what_the_lost_server_owned(
    servers: set[ids.ServerId],
) -> None:
    hypothesis.assume(len(servers) > 1)
    before = _apply(state.Assignment(), servers)
    lost = min(servers)
    after = _apply(before, servers - {lost})
    assert _moved(before, after) == [
        shard for shard in range(SHARDS) if before.owners[shard] == lost
    ]


def test_no_server_changes_nothing() -> None:
    assert assignment.plan_changes(state.Assignment(), SHARDS, ()) == ()
