"""Move ranges of keys from busy backend servers to idle ones.

Load pattern: within a second a few hundred neighbouring keys draw a third of
all requests, several times what one server's slots can run. The excess is cut
off at the edges of the server's ranges, down to single keys, and moved to the
servers with the lowest utilisation; small imbalances are ignored.
"""

import dataclasses
import math
import typing

from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import key_work, owners


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementPolicy:
    """Limit when keys are moved and how many moves run at once."""

    # Below this share of its slots a server has headroom for bursts.
    min_source_utilisation: float = 0.5
    # A smaller excess is not worth the interruption of keys.
    min_excess_utilisation: float = 0.25
    # Counts vary at random; a smaller excess, in standard deviations, may be
    # gone before the move is over.
    min_excess_deviations: float = 2.5
    # A server that is this far beyond its slots is relieved in any case.
    max_utilisation: float = 1.1
    # Smaller moves are not worth the interruption of their keys.
    min_moved_slots: float = 0.08
    # The moves of a plan share their messages to all instances, but each has
    # orders of its own to two servers.
    max_moves: int = 24
    # A key that alone overloads a server moves only if the utilisation at its
    # new server is at most this share of the old one.
    hot_key_utilisation_ratio: float = 0.8


DEFAULT_POLICY = PlacementPolicy()
# The work at an edge may exceed the wanted work by this factor.
_EDGE_TOLERANCE = 1.15


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Describe the capacity of a server in slots of standard speed."""

    incarnation: servers.ServerIncarnation
    slots: float
    # Keys move to a server with a rate limit only if all have one.
    is_limited: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Move a range of keys from one server to another."""

    keys: owners.KeyRange
    source: servers.ServerIncarnation
    destination: servers.ServerIncarnation


class _Plan:
    """Track the load of each server while moves are chosen."""

    def __init__(
        self,
        rows: typing.Sequence[owners.Ownership],
        work: typing.Mapping[owners.Key, float],
        capacities: typing.Sequence[Capacity],
    ) -> None:
        self.capacity = {
            cap.incarnation: max(cap.slots, 0.1) for cap in capacities
        }
        self.limited = {cap.incarnation for cap in capacities if cap.is_limited}
        self.load = dict.fromkeys(self.capacity, float(0))
        self.counts = dict.fromkeys(self.capacity, 0)
        self.held: dict[servers.ServerIncarnation, list[owners.KeyRange]] = {}
        self.work = key_work.KeyWork(work)
        for row in rows:
            if row.owner in self.capacity:
                self.add(row.owner, row.keys)

    def utilisation(self, incarnation: servers.ServerIncarnation) -> float:
        """Return the share of a server's slots that are busy."""
        return self.load[incarnation] / self.capacity[incarnation]

    def least_loaded(self) -> servers.ServerIncarnation:
        """Return the server with the least work and keys for its capacity."""
        work = self.work.total or 1.0
        slots = sum(self.capacity.values())
        return min(
            self.load,
            key=lambda incarnation: (
                (
                    self.load[incarnation] / work
                    + self.counts[incarnation] / owners.KEY_COUNT
                )
                * slots
                / self.capacity[incarnation]
            ),
        )

    def destinations(self) -> list[servers.ServerIncarnation]:
        """Return the servers to which keys may move."""
        unlimited = [one for one in self.load if one not in self.limited]
        return unlimited or list(self.load)

    def add(
        self, incarnation: servers.ServerIncarnation, keys: owners.KeyRange
    ) -> None:
        """Count a range as held by a server."""
        self.held.setdefault(incarnation, []).append(keys)
        self.load[incarnation] += self.work.of_range(keys)
        self.counts[incarnation] += keys.size


def plan_moves(
    rows: typing.Sequence[owners.Ownership],
    work: typing.Mapping[owners.Key, float],
    capacities: typing.Sequence[Capacity],
    policy: PlacementPolicy = DEFAULT_POLICY,
    work_per_request: float = 0,
) -> list[Move]:
    """Return the moves that balance the load, busiest server first.

    The work of a key is the number of standard-speed slots that it keeps busy;
    each request that was counted adds `work_per_request` to it.
    """
    if len(capacities) < 2:
        return []
    plan = _Plan(rows, work, capacities)
    mean = sum(plan.load.values()) / sum(plan.capacity.values())
    moves: list[Move] = []
    exhausted: set[servers.ServerIncarnation] = set()
    while len(moves) < policy.max_moves:
        candidates = [
            incarnation
            for incarnation in plan.load
            if incarnation not in exhausted
        ]
        if not candidates:
            break
        busiest = max(candidates, key=plan.utilisation)
        lowest = _lowest_source_utilisation(
            mean, work_per_request / plan.capacity[busiest], policy
        )
        if plan.utilisation(busiest) < lowest:
            break
        move = _move_edge(plan, busiest, mean, policy)
        if move is None:
            move = _move_hot_key(plan, busiest, policy)
        if move is None:
            exhausted.add(busiest)
        else:
            moves.append(move)
    return moves


def _lowest_source_utilisation(
    mean: float, utilisation_per_request: float, policy: PlacementPolicy
) -> float:
    """Return the utilisation from which on a server gives keys away.

    A server with the mean utilisation varies by the deviation of its count.
    """
    deviation = math.sqrt(mean * utilisation_per_request)
    by_chance = mean + policy.min_excess_deviations * deviation
    return max(
        policy.min_source_utilisation,
        mean + policy.min_excess_utilisation,
        min(by_chance, policy.max_utilisation),
    )


def _move_hot_key(
    plan: _Plan,
    busiest: servers.ServerIncarnation,
    policy: PlacementPolicy,
) -> Move | None:
    """Move the heaviest key of an overloaded server to one less utilised."""
    highest = plan.utilisation(busiest)
    heaviest = [
        (plan.work.of_key(key), key, held)
        for held in plan.held.get(busiest, ())
        for key in plan.work.busy_keys(held)
    ]
    if highest < 1 or not heaviest:
        return None
    weight, key, held = max(heaviest)

    after_move = {
        incarnation: (plan.load[incarnation] + weight)
        / plan.capacity[incarnation]
        for incarnation in plan.destinations()
        if incarnation != busiest
    }
    if not after_move:
        return None
    best = min(after_move, key=after_move.__getitem__)
    if after_move[best] > highest * policy.hot_key_utilisation_ratio:
        return None
    piece = owners.KeyRange(key, key)
    plan.load[busiest] -= weight
    plan.load[best] += weight
    _transfer(plan, busiest, best, held, piece)
    return Move(piece, busiest, best)


def _move_edge(
    plan: _Plan,
    busiest: servers.ServerIncarnation,
    mean: float,
    policy: PlacementPolicy,
) -> Move | None:
    least_utilised = min(plan.destinations(), key=plan.utilisation)
    headroom = mean * plan.capacity[least_utilised] - plan.load[least_utilised]
    excess = plan.load[busiest] - mean * plan.capacity[busiest]
    wanted = min(headroom, excess)
    if least_utilised == busiest or wanted < policy.min_moved_slots:
        return None
    best: tuple[float, owners.KeyRange, owners.KeyRange] | None = None
    for held in plan.held.get(busiest, ()):
        for weight, piece in _edges(plan, held, wanted):
            if best is None or weight > best[0]:
                best = (weight, piece, held)
    if best is None or best[0] < policy.min_moved_slots:
        return None
    weight, piece, held = best
    plan.load[busiest] -= weight
    plan.load[least_utilised] += weight
    _transfer(plan, busiest, least_utilised, held, piece)
    return Move(piece, busiest, least_utilised)


def _edges(
    plan: _Plan,
    held: owners.KeyRange,
    wanted: float,
) -> list[tuple[float, owners.KeyRange]]:
    """Return the heaviest prefix and suffix within the wanted work."""
    limit = wanted * _EDGE_TOLERANCE
    pieces = []
    prefix_end = plan.work.prefix_within(held, limit)
    if prefix_end is not None:
        pieces.append(owners.KeyRange(held.first, prefix_end))
    suffix_start = plan.work.suffix_within(held, limit)
    if suffix_start is not None:
        pieces.append(owners.KeyRange(suffix_start, held.last))
    return [(plan.work.of_range(piece), piece) for piece in pieces]


def _transfer(
    plan: _Plan,
    source: servers.ServerIncarnation,
    destination: servers.ServerIncarnation,
    held: owners.KeyRange,
    piece: owners.KeyRange,
) -> None:
    kept = plan.held[source]
    kept.remove(held)
    if held.first < piece.first:
        before = owners.Key(piece.first - 1)
        kept.append(owners.KeyRange(held.first, before))
    if held.last > piece.last:
        after = owners.Key(piece.last + 1)
        kept.append(owners.KeyRange(after, held.last))
    plan.held.setdefault(destination, []).append(piece)


def assign_unowned(
    gaps: typing.Sequence[owners.KeyRange],
    rows: typing.Sequence[owners.Ownership],
    work: typing.Mapping[owners.Key, float],
    capacities: typing.Sequence[Capacity],
) -> list[tuple[owners.KeyRange, servers.ServerIncarnation]]:
    """Assign each range without an owner to the least loaded server.

    Ranges are assigned in order of their work, heaviest first. Keys without
    known work count by their number, so that the first assignment is even.
    """
    if not capacities:
        return []
    plan = _Plan(rows, work, capacities)
    chosen = []
    for gap in sorted(gaps, key=plan.work.of_range, reverse=True):
        best = plan.least_loaded()
        plan.add(best, gap)
        chosen.append((gap, best))
    return chosen
