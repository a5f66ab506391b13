"""Decide when the assignment of a service is revised."""

import dataclasses

from sycamoreferry_core import (
    actions,
    assignment,
    clock,
    coordination,
    ids,
    records,
)


def revise_assignment(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Append a revision if a shard has no owner that can serve it."""
    if current.pending is not None:
        return actions.Decision(current)
    changes = assignment.plan_changes(
        current.assignment,
        current.shard_count,
        usable_servers(current, now),
        answering_leaving_servers(current, now),
    )
    if not changes:
        return actions.Decision(current)
    return append_revision(current, now, changes, records.MoveCause.LOSS)


def append_revision(
    current: coordination.CoordinatorState,
    now: clock.Millis,
    changes: tuple[records.Ownership, ...],
    cause: records.MoveCause,
    decided_at: clock.UnixMillis = clock.UNIX_EPOCH,
) -> actions.Decision:
    """Append a record that changes the owners of shards for a cause."""
    record = records.AssignmentRevised(
        record_id=ids.RecordId(
            f'revision/{current.service}/{current.instance}/{now}',
        ),
        service=current.service,
        term=current.term.term,
        shard_count=current.shard_count,
        changes=changes,
        cause=cause,
        decided_at=decided_at,
    )
    return actions.Decision(
        dataclasses.replace(current, pending=record, pending_since=now),
        (actions.AppendRecord(record),),
    )


def usable_servers(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> frozenset[ids.ServerId]:
    """Return the servers that are live and answer orders."""
    return _answering(current, now, coordination.MemberState.LIVE)


def answering_leaving_servers(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> frozenset[ids.ServerId]:
    """Return the servers that are leaving and answer orders."""
    return _answering(current, now, coordination.MemberState.LEAVING)


def _answering(
    current: coordination.CoordinatorState,
    now: clock.Millis,
    member: coordination.MemberState,
) -> frozenset[ids.ServerId]:
    return frozenset(
        link.server
        for link in current.links.values()
        if link.member_state is member and not is_silent(current, link, now)
    )


def is_silent(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    """Tell whether orders to a server are unanswered past detection_ms."""
    if link.first_unanswered_at is None:
        return not link.greeted
    if not link.greeted:
        return now > clock.later(
            link.first_unanswered_at,
            current.timing.detection_ms,
        )
    silent_since = max(link.stamp_received_at, current.orders_resumed_at)
    return now > clock.later(silent_since, current.timing.detection_ms)
