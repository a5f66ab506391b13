"""Spread keys evenly over the servers before the first requests arrive.

Load pattern: all servers of a service register within seconds of a start, and
the first one known gets all keys, since keys need an owner at once. Moves for
load begin with the first requests, so these would all reach one server and most
would be rejected for a second or two.
"""

import collections
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners, placement

# Servers write an entry about once a second, and entries are read twice a
# second: without a new one for so long, all have registered. Each key then
# moves only once.
_SETTLED_MS = 1_500
# Smaller differences cost more in moves than they save.
_MAX_SHARE_RATIO = 1.5


class RegistrationWatch:
    """Track since when the servers of a service have been the same."""

    def __init__(self) -> None:
        self._known: frozenset[servers.ServerIncarnation] = frozenset()
        self._since = clock.LONG_AGO

    def has_settled(
        self,
        known: typing.Iterable[servers.ServerIncarnation],
        now: clock.Millis,
    ) -> bool:
        """Return whether no server has come or gone for a while."""
        current = frozenset(known)
        if current != self._known:
            self._known = current
            self._since = now
        return now - self._since >= _SETTLED_MS


def plan_even_shares(
    rows: typing.Sequence[owners.Ownership],
    capacities: typing.Sequence[placement.Capacity],
    max_moves: int = placement.DEFAULT_POLICY.max_moves,
) -> list[placement.Move]:
    """Return moves after which servers hold keys in proportion to capacity."""
    total = sum(cap.slots for cap in capacities)
    if not total:
        return []
    shares = {
        cap.incarnation: owners.KEY_COUNT * cap.slots / total
        for cap in capacities
    }
    held: dict[servers.ServerIncarnation, list[owners.KeyRange]] = (
        collections.defaultdict(list)
    )
    for row in rows:
        held[row.owner].append(row.keys)
    moves: list[placement.Move] = []
    while len(moves) < max_moves:
        move = _next_move(held, shares)
        if move is None:
            break
        moves.append(move)
    return moves


def _next_move(
    held: dict[servers.ServerIncarnation, list[owners.KeyRange]],
    shares: typing.Mapping[servers.ServerIncarnation, float],
) -> placement.Move | None:
    """Take the end of a range from the fullest server for the emptiest one."""
    filled = {
        server: sum(keys.size for keys in held[server]) / share
        for server, share in shares.items()
    }
    source = max(filled, key=filled.__getitem__)
    destination = min(filled, key=filled.__getitem__)
    if filled[source] <= _MAX_SHARE_RATIO:
        return None
    longest = max(held[source], key=lambda keys: keys.size)
    count = int(
        min(
            (filled[source] - 1) * shares[source],
            (1 - filled[destination]) * shares[destination],
            longest.size - 1,
        )
    )
    if count < 1:
        return None
    kept, moved = _cut_end(longest, count)
    held[source].remove(longest)
    held[source].append(kept)
    held[destination].append(moved)
    return placement.Move(moved, source, destination)


def _cut_end(
    keys: owners.KeyRange, count: int
) -> tuple[owners.KeyRange, owners.KeyRange]:
    middle = owners.Key(keys.last - count)
    return (
        owners.KeyRange(keys.first, middle),
        owners.KeyRange(owners.Key(middle + 1), keys.last),
    )
