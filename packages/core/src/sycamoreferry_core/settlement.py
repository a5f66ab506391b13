"""Decide when the log may forget earlier terms and owners."""

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
    """Append that earlier terms are over and no past owner holds a shard."""
    if current.pending is not None or not _is_settled(current, now):
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


def _is_settled(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> bool:
    if not _has_news(current):
        return False
    if now <= authority.earlier_authority_over(current):
        return False
    return all(
        orders.knows_others(current, link, now)
        and _holds_its_own(current, link, now)
        for link in current.links.values()
    )


def _has_news(current: coordination.CoordinatorState) -> bool:
    if len(current.term.unsettled) > 1:
        return True
    return any(
        server not in current.wanted for server in current.term.past_owners
    )


def _holds_its_own(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    if link.lingering and now <= link.lingers_until:
        return False
    if not link.greeted and not orders.earlier_leases_over(current, now):
        return False
    return link.holds <= current.wanted.get(link.server, _NO_SHARDS)
