"""Decide which shards to move from servers that are still available."""

import dataclasses
import math
import typing

from sycamoreferry_core import (
    actions,
    assignment,
    clock,
    coordination,
    events,
    ids,
    load_moves,
    records,
    revisions,
    state,
    windows,
)

# Approximate time between two batches of a drain.
BATCH_INTERVAL_MS = 250
VOLUNTARY_INTERVAL_MS = 1000


def consider_moves(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Drain leaving servers, apply pins, then correct load imbalance."""
    current = _note_leaving(current, now)
    if current.pending is not None or not current.assignment.owners:
        return actions.Decision(current)
    usable = revisions.usable_servers(current, now)
    if not usable or not current.has_authority(now):
        return actions.Decision(current)
    for decide_moves in (_drain, _apply_pins, _move_voluntarily):
        decision = decide_moves(event, current, usable, now)
        if decision.actions:
            return decision
        current = decision.state
    return actions.Decision(current)


def _note_leaving(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    since = {
        link.server: current.leaving_since.get(link.server, now)
        for link in current.links.values()
        if link.member_state is coordination.MemberState.LEAVING
    }
    if since == current.leaving_since:
        return current
    return dataclasses.replace(current, leaving_since=since)


def _drain(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
    usable: frozenset[ids.ServerId],
    now: clock.Millis,
) -> actions.Decision:
    owned = current.assignment.shards_by_owner
    for server, since in sorted(current.leaving_since.items()):
        remaining_ms = clock.later(since, current.timing.drain_ms) - now
        held = sorted(owned.get(server, ()))
        if not held or (
            remaining_ms > 0 and not has_converged(current, usable)
        ):
            continue
        size = _batch_size(len(held), remaining_ms, event.policy.batch_size)
        changes = assignment.assign_to_fewest(
            current.assignment,
            held[:size],
            _unpinned_servers(usable, event.wishes.pins),
        )
        return revisions.append_revision(
            current,
            now,
            changes,
            records.MoveCause.DRAIN,
            event.at,
        )
    return actions.Decision(current)


def _batch_size(held: int, remaining_ms: int, smallest: int) -> int:
    batches = max(1, remaining_ms // BATCH_INTERVAL_MS)
    size = max(smallest, math.ceil(held / batches))
    return min(size, assignment.SHARDS_PER_RECORD)


def has_converged(
    current: coordination.CoordinatorState,
    usable: frozenset[ids.ServerId],
) -> bool:
    """Tell whether every usable server holds exactly its assigned shards."""
    owned = current.assignment.shards_by_owner
    return all(
        current.links[server].held_shards == owned.get(server, frozenset())
        for server in usable
    )


def _unpinned_servers(
    usable: frozenset[ids.ServerId],
    pins: typing.Mapping[ids.ShardId, ids.ServerId],
) -> frozenset[ids.ServerId]:
    return usable.difference(pins.values()) or usable


def _apply_pins(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
    usable: frozenset[ids.ServerId],
    now: clock.Millis,
) -> actions.Decision:
    shards_by_server: dict[ids.ServerId, list[ids.ShardId]] = {}
    for shard, server in event.wishes.pins.items():
        owner = current.assignment.owner_of(shard)
        if server in usable and owner not in {server, None}:
            shards_by_server.setdefault(server, []).append(shard)
    changes = assignment.ownership_changes(shards_by_server)
    if not changes:
        return actions.Decision(current)
    return revisions.append_revision(
        current,
        now,
        changes,
        records.MoveCause.PIN,
        event.at,
    )


def _move_voluntarily(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
    usable: frozenset[ids.ServerId],
    now: clock.Millis,
) -> actions.Decision:
    next_at = clock.later(current.moves_considered_at, VOLUNTARY_INTERVAL_MS)
    if now < next_at:
        return actions.Decision(current)
    current = dataclasses.replace(current, moves_considered_at=now)
    if windows.in_peak(event.policy.peak_windows, event.at):
        return actions.Decision(current)
    if not has_converged(current, usable):
        return actions.Decision(current)
    plan = load_moves.plan_moves(_planning_input(event, current, usable))
    if plan is None:
        return actions.Decision(current)
    return revisions.append_revision(
        current,
        now,
        plan.changes,
        plan.cause,
        event.at,
    )


def _planning_input(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
    usable: frozenset[ids.ServerId],
) -> load_moves.PlanInputs:
    policy = event.policy
    within_hour = _moved_within(event, clock.MILLIS_PER_HOUR)
    moved_count = sum(len(move.shards) for move in within_hour)
    return load_moves.PlanInputs(
        assigned=current.assignment,
        loads=event.loads,
        servers=usable,
        pins=event.wishes.pins,
        recently_moved=frozenset(
            shard
            for move in _moved_within(event, policy.rest_after_move_ms)
            for shard in move.shards
        ),
        recent_arrivals=_recent_arrivals(event, current),
        threshold=policy.imbalance_threshold,
        max_moves=min(
            policy.batch_size, policy.churn_budget_per_hour - moved_count
        ),
    )


def _moved_within(
    event: events.MoveCheckDue,
    duration_ms: int,
) -> tuple[state.RecentMove, ...]:
    return tuple(
        move
        for move in event.recent_moves
        if move.decided_at > event.at - duration_ms
    )


def _recent_arrivals(
    event: events.MoveCheckDue,
    current: coordination.CoordinatorState,
) -> frozenset[ids.ServerId]:
    targets = {
        current.assignment.owner_of(shard)
        for move in event.recent_moves
        if move.cause is records.MoveCause.ARRIVAL
        for shard in move.shards
    }
    return frozenset(target for target in targets if target is not None)
