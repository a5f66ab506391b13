"""Plan the moves that could wait: for arrivals and for load."""

import bisect
import collections
import dataclasses
import typing

from sycamoreferry_core import assignment, ids, load_book, records, state

# A server below this share of the mean, in shards and load, just arrived.
ARRIVAL_SHARE = 0.5
# An arrival that has this share of the mean load needs no more.
FILLED_SHARE = 0.9
# Absorbs the rounding of sums, so that an even share is still taken.
_ROUNDING = 1.000001
# A move has to lower the highest load by this share of the mean.
LEAST_GAIN_SHARE = 0.02


@dataclasses.dataclass(frozen=True)
class Situation:
    """Hold all that a plan of voluntary moves depends on."""

    assigned: state.Assignment
    loads: load_book.ShardLoads
    servers: typing.Collection[ids.ServerId]
    pins: typing.Mapping[ids.ShardId, ids.ServerId]
    resting: frozenset[ids.ShardId]
    filling: frozenset[ids.ServerId]
    threshold: float
    room: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """Hold changes and why they are made."""

    cause: records.MoveCause
    changes: tuple[records.Ownership, ...]


Weighed = tuple[float, ids.ShardId]


class _Draft:
    """Try moves on a copy of who owns what."""

    def __init__(self, situation: Situation) -> None:
        self.given: dict[ids.ServerId, list[ids.ShardId]] = (
            collections.defaultdict(list)
        )
        self._situation = situation
        owned = situation.assigned.shards_by_owner
        self.owned = {
            server: set(owned.get(server, ())) for server in situation.servers
        }
        self.load = {
            server: situation.loads.of_shards(shards)
            for server, shards in self.owned.items()
        }
        self._left = situation.room
        self._movable: dict[ids.ServerId, list[Weighed]] = {}

    @property
    def has_room(self) -> bool:
        """Tell whether one more shard may move."""
        return self._left > 0

    @property
    def mean(self) -> float:
        """Return the mean load of a server."""
        return sum(self.load.values()) / len(self.load)

    def pool(self) -> list[ids.ServerId]:
        """Return the servers that are not kept for a pinned shard."""
        reserved = set(self._situation.pins.values())
        return [
            server for server in sorted(self.load) if server not in reserved
        ]

    def movable(self, server: ids.ServerId) -> list[Weighed]:
        """Return the shards of a server that may move now, by weight."""
        known = self._movable.get(server)
        if known is None:
            held = self.owned[server] - self._situation.resting
            free = held.difference(self._situation.pins)
            known = sorted((self.weigh(shard), shard) for shard in free)
            self._movable[server] = known
        return known

    def weigh(self, shard: ids.ShardId) -> float:
        """Return the load of a shard."""
        return self._situation.loads.of_shard(shard)

    def move(
        self,
        weighed: Weighed,
        giver: ids.ServerId,
        taker: ids.ServerId,
    ) -> None:
        """Note one move; a shard moves only once in a plan."""
        weight, shard = weighed
        self.movable(giver).remove(weighed)
        self.owned[giver].discard(shard)
        self.owned[taker].add(shard)
        self.load[giver] -= weight
        self.load[taker] += weight
        self.given[taker].append(shard)
        self._left -= 1


def plan_moves(situation: Situation) -> Plan | None:
    """Return the next voluntary moves, if any are worth their churn."""
    if situation.room <= 0 or len(situation.servers) < 2:
        return None
    for plan_some in _PLANNERS:
        draft = _Draft(situation)
        if not draft.pool():
            return None
        cause = plan_some(draft, situation)
        changes = assignment.to_changes(draft.given)
        if changes:
            return Plan(cause, changes)
    return None


def _free_reserved(draft: _Draft, situation: Situation) -> records.MoveCause:
    pool = draft.pool()
    reserved = set(situation.pins.values()).intersection(draft.owned)
    for server in sorted(reserved):
        for weighed in tuple(draft.movable(server)):
            if draft.has_room:
                taker = min(pool, key=draft.load.__getitem__)
                draft.move(weighed, server, taker)
    return records.MoveCause.LOAD


def _fill_arrivals(draft: _Draft, situation: Situation) -> records.MoveCause:
    pool = draft.pool()
    mean = sum(draft.load[server] for server in pool) / len(pool)
    for taker in pool:
        if _needs_shards(draft, taker, situation, mean):
            _fill(draft, taker, mean)
    return records.MoveCause.ARRIVAL


def _needs_shards(
    draft: _Draft,
    taker: ids.ServerId,
    situation: Situation,
    mean: float,
) -> bool:
    if taker in situation.filling:
        return draft.load[taker] < FILLED_SHARE * mean
    count = len(situation.assigned.owners) / len(draft.owned)
    few_shards = len(draft.owned[taker]) < ARRIVAL_SHARE * count
    return few_shards and draft.load[taker] < ARRIVAL_SHARE * mean


def _fill(draft: _Draft, taker: ids.ServerId, mean: float) -> None:
    givers = [server for server in draft.pool() if server != taker]
    while draft.has_room:
        giver = max(givers, key=draft.load.__getitem__)
        # The taker may not pass the mean, nor the giver fall below it.
        even = (draft.load[giver] - draft.load[taker]) / 2
        spare = min(mean - draft.load[taker], even) * _ROUNDING
        fitting = bisect.bisect(draft.movable(giver), spare, key=_weight)
        if not fitting:
            return
        draft.move(draft.movable(giver)[fitting - 1], giver, taker)


def _weight(weighed: Weighed) -> float:
    return weighed[0]


def _relieve_hottest(draft: _Draft, situation: Situation) -> records.MoveCause:
    mean = draft.mean
    if max(draft.load.values()) > situation.threshold * mean:
        _relieve(draft, situation, mean)
    return records.MoveCause.LOAD


def _relieve(draft: _Draft, situation: Situation, mean: float) -> None:
    # Halfway back to even, so that the next small change moves nothing.
    enough = (1 + situation.threshold) / 2 * mean
    hot = set(draft.load)
    while hot and draft.has_room:
        giver = max(sorted(hot), key=draft.load.__getitem__)
        if draft.load[giver] <= enough:
            return
        taker = min(draft.pool(), key=draft.load.__getitem__)
        weighed = _best_relief(draft, giver, taker, mean)
        if weighed is None:
            hot.discard(giver)
        else:
            draft.move(weighed, giver, taker)


def _best_relief(
    draft: _Draft,
    giver: ids.ServerId,
    taker: ids.ServerId,
    mean: float,
) -> Weighed | None:
    movable = draft.movable(giver)
    half = (draft.load[giver] - draft.load[taker]) / 2
    place = bisect.bisect(movable, half, key=_weight)
    near = [
        weighed
        for weighed in movable[max(0, place - 1) : place + 1]
        # A shard above the mean is hot wherever it is; its neighbours move.
        if _weight(weighed) <= mean
    ]
    if not near:
        place = bisect.bisect(movable, mean, key=_weight)
        near = movable[max(0, place - 1) : place]
    gains = [(_gain(draft, giver, taker, one), one) for one in near]
    gain, best = max(gains, default=(0, None))
    return best if gain >= LEAST_GAIN_SHARE * mean else None


def _gain(
    draft: _Draft,
    giver: ids.ServerId,
    taker: ids.ServerId,
    weighed: Weighed,
) -> float:
    left = draft.load[giver] - _weight(weighed)
    return draft.load[giver] - max(left, draft.load[taker] + _weight(weighed))


_PLANNERS = (_free_reserved, _fill_arrivals, _relieve_hottest)
