"""Decide when the log state can drop earlier terms and owners."""

import dataclasses

from sycamoreferry_core import (
    actions,
    authority,
    clock,
    coordination,
    ids,
    orders,
    records,
)

_NO_SHARDS: frozenset[ids.ShardId] = frozenset()


def settle_term(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Append a record that earlier terms and ownerships have ended."""
    if current.pending is not None or not _can_settle(current, now):
        return actions.Decision(current)
    record = records.TermSettled(
        record_id=ids.RecordId(
            f'settled/{current.service}/{current.term.term}/{now}',
        ),
        service=current.service,
        term=current.term.term,
    )
    return actions.Decision(
        dataclasses.replace(current, pending=record, pending_since=now),
        (actions.AppendRecord(record),),
    )


def _can_settle(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> bool:
    if not _has_unsettled(current):
        return False
    if now <= authority.earlier_authority_end(current):
        return False
    return all(
        orders.knows_other_holders(current, link, now)
        and _holds_only_assigned(current, link, now)
        for link in current.links.values()
    )


def _has_unsettled(current: coordination.CoordinatorState) -> bool:
    if len(current.term.unsettled) > 1:
        return True
    return any(
        server not in current.assigned_shards
        for server in current.term.past_owners
    )


def _holds_only_assigned(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    if link.recently_released and now <= link.release_bound:
        return False
    if not link.greeted and not orders.earlier_leases_expired(current, now):
        return False
    return link.held_shards <= current.assigned_shards.get(
        link.server, _NO_SHARDS
    )
