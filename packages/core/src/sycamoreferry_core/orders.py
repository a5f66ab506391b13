"""Decide which order each backend server gets next."""

import collections

from sycamoreferry_core import (
    actions,
    authority,
    clock,
    coordination,
    digests,
    ids,
    links,
    profiles,
)

RENEWALS_PER_LEASE = 6

_NO_SHARDS: frozenset[ids.ShardId] = frozenset()


def give_orders(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Give each server that has none in flight the order it needs next."""
    current = links.clear_expired_leases(current, now)
    given: list[actions.Action] = []
    for server in sorted(current.links):
        order = _next_order(current, current.links[server], now)
        if order is not None:
            given.append(order)
            current = links.note_order(current, order, now)
    return actions.Decision(current, tuple(given))


def _next_order(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> actions.Order | None:
    if _is_awaited(current, link, now):
        return None
    if not link.greeted:
        return _greet(current, link, now)
    assigned = current.assigned_shards.get(link.server, _NO_SHARDS)
    if digests.digest_shards(assigned) == digests.digest_shards(
        link.held_shards
    ):
        return _renew(current, link, now)
    surplus = link.held_shards - assigned
    if surplus:
        return _revoke_or_renew(current, link, surplus, now)
    missing = grantable_shards(current, link, now)
    if missing:
        return _grant(current, link, missing)
    return _renew(current, link, now)


def _is_awaited(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    if link.awaited_order is None:
        return False
    return now < clock.later(link.order_sent_at, current.timing.detection_ms)


def _next_number(current: coordination.CoordinatorState) -> ids.OrderNumber:
    return ids.OrderNumber(current.order_count + 1)


def _is_due(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    interval = current.timing.lease_ms // profiles.RENEWALS_PER_LEASE
    return now >= clock.later(link.order_sent_at, interval)


def _greet(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> actions.Order | None:
    if not _is_due(current, link, now):
        return None
    return actions.Greet(
        server=link.server,
        term=current.term.term,
        number=_next_number(current),
    )


def grantable_shards(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> frozenset[ids.ShardId]:
    """Return the shards a server lacks that no other server may hold."""
    assigned = current.assigned_shards.get(link.server, _NO_SHARDS)
    missing = assigned - link.held_shards
    if missing and not knows_other_holders(current, link, now):
        missing = _held_last(current, link, missing)
    for other in current.links.values():
        if other.server != link.server:
            missing -= other.held_shards
            if now <= other.release_bound:
                missing -= other.recently_released
    return missing


def _held_last(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    missing: frozenset[ids.ShardId],
) -> frozenset[ids.ShardId]:
    # A lease under the newest fence of a shard was granted after the leases of
    # all earlier owners had ended, so no other server can hold the shard.
    return frozenset(
        shard
        for shard in missing
        if link.lapsed_fences.get(shard) == current.assignment.fences[shard]
    )


def knows_other_holders(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    """Tell whether every shard that another server holds is known."""
    if earlier_leases_expired(current, now):
        return True
    if not current.checks_fence:
        return False
    return all(
        other.greeted
        for other in current.links.values()
        if other.server != link.server
    )


def earlier_leases_expired(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> bool:
    """Tell whether every lease of an earlier term has certainly expired."""
    if current.term.term <= ids.FIRST_TERM:
        return True
    lease = authority.with_drift(current, current.longest_timing.lease_ms)
    lapsed = clock.later(authority.earlier_authority_end(current), lease)
    return now > clock.later(lapsed, links.delayed_order_bound_ms(current))


def _grant(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    missing: frozenset[ids.ShardId],
) -> actions.Order:
    by_fence: dict[ids.Fence, list[ids.ShardId]] = collections.defaultdict(list)
    for shard in sorted(missing):
        by_fence[current.assignment.fences[shard]].append(shard)
    return actions.Grant(
        server=link.server,
        term=current.term.term,
        number=_next_number(current),
        stamp=link.stamp,
        lease_ms=current.timing.lease_ms,
        groups=tuple(
            actions.FencedShards(fence, tuple(shards))
            for fence, shards in sorted(by_fence.items())
        ),
    )


def _revoke_or_renew(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    surplus: frozenset[ids.ShardId],
    now: clock.Millis,
) -> actions.Order:
    # A revoked shard stays with the server while its requests drain; the lease
    # on its other shards must be renewed meanwhile.
    if _is_lease_short(current, link, now):
        return _renew_now(current, link)
    return _revoke(current, link, surplus)


def _is_lease_short(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    return now > clock.later(link.lease_bound, -current.timing.lease_ms // 2)


def _revoke(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    surplus: frozenset[ids.ShardId],
) -> actions.Order:
    return actions.Revoke(
        server=link.server,
        term=current.term.term,
        number=_next_number(current),
        shards=tuple(sorted(surplus)),
        grace_ms=current.timing.drain_ms,
    )


def _renew(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> actions.Order | None:
    if not _is_due(current, link, now):
        return None
    return _renew_now(current, link)


def _renew_now(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
) -> actions.Order:
    return actions.Renew(
        server=link.server,
        term=current.term.term,
        number=_next_number(current),
        stamp=link.stamp,
        lease_ms=current.timing.lease_ms,
        digest=digests.digest_shards(link.held_shards),
    )
