"""Replay servers that register one after the other before the first request.

The first server known got all keys and kept them until requests were counted,
so that for two seconds most requests met one server and were rejected.
"""

import random

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import idle_keys, owners, placement

_REGISTERING_MS = 3_500
_PLAN_MS = 250
_LIMIT_MS = 8_000
_SLOTS = 2
_WORK_MS = 94
_REQUESTS_PER_S_AND_SERVER = 5
# The first requests before moves for load can begin.
_FIRST_MS = 250
_MOST_AT_FIRST = 0.5
_MOST_AFTER = 0.05


def _server(number: int) -> servers.ServerIncarnation:
    return servers.ServerIncarnation(
        ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
    )


class _Start:
    """Register servers over some seconds and carry out planned moves."""

    def __init__(self, count: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.joins = {
            _server(number): number * _REGISTERING_MS // count
            for number in range(count)
        }
        whole = owners.KeyRange(owners.FIRST_KEY, owners.LAST_KEY)
        self.table = owners.OwnerTable(
            [owners.Ownership(whole, _server(0), ids.NO_FENCE)]
        )
        self.moved_keys = 0

    def play(self, limit_ms: int) -> None:
        watch = idle_keys.RegistrationWatch()
        for now in range(0, limit_ms, _PLAN_MS):
            known = [one for one, joins in self.joins.items() if joins <= now]
            if not watch.has_settled(known, clock.Millis(now)):
                continue
            capacities = [placement.Capacity(one, _SLOTS) for one in known]
            for move in idle_keys.plan_even_shares(self.table.rows, capacities):
                self.moved_keys += move.keys.size
                self.table = self.table.replace(
                    owners.Ownership(move.keys, move.destination, ids.NO_FENCE)
                )

    def sizes(self) -> dict[servers.ServerIncarnation, int]:
        found = dict.fromkeys(self.joins, 0)
        for row in self.table.rows:
            found[row.owner] += row.keys.size
        return found

    def first_requests_beyond_slots(self) -> float:
        """Return the share of the first requests that find no free slot."""
        counts = dict.fromkeys(self.joins, 0)
        rate = _REQUESTS_PER_S_AND_SERVER * len(self.joins)
        total = rate * _FIRST_MS // clock.MILLIS_PER_SECOND
        for _ in range(total):
            key = owners.Key(self.random.randrange(owners.KEY_COUNT))
            row = self.table.owner_of(key)
            assert row is not None
            counts[row.owner] += 1
        room = _SLOTS * _FIRST_MS // _WORK_MS
        return sum(max(0, n - room) for n in counts.values()) / total


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('count', [15, 92])
def test_first_requests_find_keys_spread(count: int, seed: int) -> None:
    start = _Start(count, seed)
    assert start.first_requests_beyond_slots() > _MOST_AT_FIRST
    start.play(_LIMIT_MS)
    assert start.first_requests_beyond_slots() < _MOST_AFTER


@pytest.mark.parametrize('count', [2, 15, 92, 181])
def test_each_key_moves_once_at_most(count: int) -> None:
    start = _Start(count, seed=1)
    start.play(_LIMIT_MS)
    assert start.moved_keys < owners.KEY_COUNT
    sizes = start.sizes()
    assert max(sizes.values()) <= 1.5 * owners.KEY_COUNT / count + 1
    assert min(sizes.values()) > 0.5 * owners.KEY_COUNT / count


def test_keys_stay_while_servers_register() -> None:
    start = _Start(92, seed=1)
    start.play(_REGISTERING_MS)
    assert not start.moved_keys


def test_keys_that_are_spread_stay() -> None:
    start = _Start(15, seed=1)
    start.play(_LIMIT_MS)
    before = start.moved_keys
    start.play(_LIMIT_MS)
    assert start.moved_keys == before


def test_no_server_has_room() -> None:
    assert not idle_keys.plan_even_shares([], [])
