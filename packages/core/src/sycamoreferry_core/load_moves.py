"""Plan voluntary moves: filling new servers and balancing load."""

import bisect
import collections
import dataclasses
import typing

from sycamoreferry_core import assignment, ids, records, shard_loads, state

# A server below this share of the mean, in shards and load, counts as new.
ARRIVAL_SHARE = 0.5
# A new server with this share of the mean load gets no more shards.
FILLED_SHARE = 0.9
# Absorbs rounding errors of sums, so that an exactly even share still fits.
_ROUNDING_FACTOR = 1.000001
# A move has to lower the highest load by this share of the mean.
LEAST_GAIN_SHARE = 0.02


@dataclasses.dataclass(frozen=True)
class PlanInputs:
    """Hold the inputs of a plan of voluntary moves."""

    assigned: state.Assignment
    loads: shard_loads.ShardLoads
    servers: typing.Collection[ids.ServerId]
    pins: typing.Mapping[ids.ShardId, ids.ServerId]
    recently_moved: frozenset[ids.ShardId]
    recent_arrivals: frozenset[ids.ServerId]
    threshold: float
    max_moves: int


@dataclasses.dataclass(frozen=True)
class Plan:
    """Hold changes of shard owners and their cause."""

    cause: records.MoveCause
    changes: tuple[records.Ownership, ...]


WeightedShard = tuple[float, ids.ShardId]


class _Draft:
    """Simulate moves on a copy of the assignment."""

    def __init__(self, inputs: PlanInputs) -> None:
        self.shards_by_target: dict[ids.ServerId, list[ids.ShardId]] = (
            collections.defaultdict(list)
        )
        self._inputs = inputs
        owned = inputs.assigned.shards_by_owner
        self.owned = {
            server: set(owned.get(server, ())) for server in inputs.servers
        }
        self.load = {
            server: inputs.loads.of_shards(shards)
            for server, shards in self.owned.items()
        }
        self._moves_left = inputs.max_moves
        self._movable: dict[ids.ServerId, list[WeightedShard]] = {}

    @property
    def can_move(self) -> bool:
        """Tell whether one more shard may move."""
        return self._moves_left > 0

    @property
    def mean(self) -> float:
        """Return the mean load of a server."""
        return sum(self.load.values()) / len(self.load)

    def pool(self) -> list[ids.ServerId]:
        """Return the servers that are not reserved for a pinned shard."""
        reserved = set(self._inputs.pins.values())
        return [
            server for server in sorted(self.load) if server not in reserved
        ]

    def movable(self, server: ids.ServerId) -> list[WeightedShard]:
        """Return the shards of a server that may move now, by weight."""
        movable = self._movable.get(server)
        if movable is None:
            held = self.owned[server] - self._inputs.recently_moved
            free = held.difference(self._inputs.pins)
            movable = sorted((self.weigh(shard), shard) for shard in free)
            self._movable[server] = movable
        return movable

    def weigh(self, shard: ids.ShardId) -> float:
        """Return the load of a shard."""
        return self._inputs.loads.of_shard(shard)

    def move(
        self,
        weighted: WeightedShard,
        source: ids.ServerId,
        target: ids.ServerId,
    ) -> None:
        """Apply one move; a shard moves at most once in a plan."""
        weight, shard = weighted
        self.movable(source).remove(weighted)
        self.owned[source].discard(shard)
        self.owned[target].add(shard)
        self.load[source] -= weight
        self.load[target] += weight
        self.shards_by_target[target].append(shard)
        self._moves_left -= 1


def plan_moves(inputs: PlanInputs) -> Plan | None:
    """Return the next voluntary moves, if any are worth their churn."""
    if inputs.max_moves <= 0 or len(inputs.servers) < 2:
        return None
    for planner in _PLANNERS:
        draft = _Draft(inputs)
        if not draft.pool():
            return None
        cause = planner(draft, inputs)
        changes = assignment.ownership_changes(draft.shards_by_target)
        if changes:
            return Plan(cause, changes)
    return None


def _vacate_pinned_servers(
    draft: _Draft, inputs: PlanInputs
) -> records.MoveCause:
    pool = draft.pool()
    reserved = set(inputs.pins.values()).intersection(draft.owned)
    for server in sorted(reserved):
        for weighted in tuple(draft.movable(server)):
            if draft.can_move:
                target = min(pool, key=draft.load.__getitem__)
                draft.move(weighted, server, target)
    return records.MoveCause.LOAD


def _fill_arrivals(draft: _Draft, inputs: PlanInputs) -> records.MoveCause:
    pool = draft.pool()
    mean = sum(draft.load[server] for server in pool) / len(pool)
    for target in pool:
        if _needs_shards(draft, target, inputs, mean):
            _fill(draft, target, mean)
    return records.MoveCause.ARRIVAL


def _needs_shards(
    draft: _Draft,
    target: ids.ServerId,
    inputs: PlanInputs,
    mean: float,
) -> bool:
    if target in inputs.recent_arrivals:
        return draft.load[target] < FILLED_SHARE * mean
    count = len(inputs.assigned.owners) / len(draft.owned)
    few_shards = len(draft.owned[target]) < ARRIVAL_SHARE * count
    return few_shards and draft.load[target] < ARRIVAL_SHARE * mean


def _fill(draft: _Draft, target: ids.ServerId, mean: float) -> None:
    sources = [server for server in draft.pool() if server != target]
    while draft.can_move:
        source = max(sources, key=draft.load.__getitem__)
        # Keeps the target within the mean and the source above the target.
        half_difference = (draft.load[source] - draft.load[target]) / 2
        max_weight = (
            min(mean - draft.load[target], half_difference) * _ROUNDING_FACTOR
        )
        fitting_count = bisect.bisect(
            draft.movable(source), max_weight, key=_weight
        )
        if not fitting_count:
            return
        draft.move(draft.movable(source)[fitting_count - 1], source, target)


def _weight(weighted: WeightedShard) -> float:
    return weighted[0]


def _relieve_overloaded(draft: _Draft, inputs: PlanInputs) -> records.MoveCause:
    mean = draft.mean
    if max(draft.load.values()) > inputs.threshold * mean:
        _relieve(draft, inputs, mean)
    return records.MoveCause.LOAD


def _relieve(draft: _Draft, inputs: PlanInputs, mean: float) -> None:
    # Stops halfway from the threshold to the mean, so that a small change
    # afterwards triggers no further move.
    target_load = (1 + inputs.threshold) / 2 * mean
    hot = set(draft.load)
    while hot and draft.can_move:
        source = max(sorted(hot), key=draft.load.__getitem__)
        if draft.load[source] <= target_load:
            return
        target = min(draft.pool(), key=draft.load.__getitem__)
        weighted = _best_move(draft, source, target, mean)
        if weighted is None:
            hot.discard(source)
        else:
            draft.move(weighted, source, target)


def _best_move(
    draft: _Draft,
    source: ids.ServerId,
    target: ids.ServerId,
    mean: float,
) -> WeightedShard | None:
    movable = draft.movable(source)
    half_difference = (draft.load[source] - draft.load[target]) / 2
    index = bisect.bisect(movable, half_difference, key=_weight)
    closest = [
        weighted
        for weighted in movable[max(0, index - 1) : index + 1]
        # A shard above the mean makes any owner hot, so it stays and the
        # other shards of its server move.
        if _weight(weighted) <= mean
    ]
    if not closest:
        index = bisect.bisect(movable, mean, key=_weight)
        closest = movable[max(0, index - 1) : index]
    gains = [(_gain(draft, source, target, each), each) for each in closest]
    gain, best = max(gains, default=(0, None))
    return best if gain >= LEAST_GAIN_SHARE * mean else None


def _gain(
    draft: _Draft,
    source: ids.ServerId,
    target: ids.ServerId,
    weighted: WeightedShard,
) -> float:
    source_after = draft.load[source] - _weight(weighted)
    return draft.load[source] - max(
        source_after, draft.load[target] + _weight(weighted)
    )


_PLANNERS = (_vacate_pinned_servers, _fill_arrivals, _relieve_overloaded)
