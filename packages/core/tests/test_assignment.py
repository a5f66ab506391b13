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
        assigned = _apply(assigned, servers)
        assert set(assigned.owners) <= servers
        counts = collections.Counter(assigned.owners)
        loads = [counts[server] for server in servers]
        assert max(loads) - min(loads) <= 1


@hypothesis.given(_servers)
def test_loss_moves_only_what_the_lost_server_owned(
    servers: set[ids.ServerId],
) -> None:
    hypothesis.assume(len(servers) > 1)
    before = _apply(state.Assignment(), servers)
    lost = min(servers)
    after = _apply(before, servers - {lost})
    moved = [
        shard
        for shard in range(SHARDS)
        if before.owners[shard] != after.owners[shard]
    ]
    assert moved == [
        shard for shard in range(SHARDS) if before.owners[shard] == lost
    ]


def test_no_server_changes_nothing() -> None:
    assert assignment.plan_changes(state.Assignment(), SHARDS, ()) == ()
