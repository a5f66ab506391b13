"""Decide which order each backend server gets next."""

import collections
import dataclasses
import typing

from sycamoreferry_core import (
    actions,
    claims,
    clock,
    coordination,
    digests,
    fold,
    ids,
)

RENEWALS_PER_LEASE = 6


def with_link(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
) -> coordination.CoordinatorState:
    """Return the state with one server's link replaced."""
    return dataclasses.replace(
        current,
        links=fold.with_entry(current.links, link.server, link),
    )


def give_orders(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Give each server that has none in flight the order it needs next."""
    current = _lapse_leases(current, now)
    wanted = current.assignment.shards_by_owner
    given: list[actions.Action] = []
    for server in sorted(current.links):
        link = current.links[server]
        order = _next_order(current, link, wanted, now)
        if order is not None:
            given.append(order)
            current = with_link(current, _note_order(current, link, order, now))
    return actions.Decision(current, tuple(given))


def _lapse_leases(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    for link in tuple(current.links.values()):
        if link.greeted and link.holds and now > link.lease_bound:
            current = with_link(
                current,
                dataclasses.replace(link, holds=frozenset()),
            )
    return current


def _next_order(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    wanted: typing.Mapping[ids.ServerId, frozenset[ids.ShardId]],
    now: clock.Millis,
) -> actions.Order | None:
    if link.in_flight:
        return None
    if not link.greeted:
        return _greet(current, link, now)
    mine = wanted.get(link.server, frozenset())
    if digests.digest_shards(mine) == digests.digest_shards(link.holds):
        return _renew(current, link, now)
    surplus = link.holds - mine
    if surplus:
        return actions.Revoke(
            server=link.server,
            term=current.term.term,
            shards=tuple(sorted(surplus)),
        )
    missing = _grantable(current, link, mine, now)
    if missing:
        return _grant(current, link, missing)
    return _renew(current, link, now)


def _interval(current: coordination.CoordinatorState) -> int:
    return current.timing.lease_ms // RENEWALS_PER_LEASE


def _greet(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> actions.Order | None:
    if now < clock.later(link.asked_at, _interval(current)):
        return None
    return actions.Greet(link.server, current.term.term)


def _grantable(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    mine: frozenset[ids.ShardId],
    now: clock.Millis,
) -> frozenset[ids.ShardId]:
    missing = mine - link.holds
    if not missing:
        return missing
    if not _all_others_known(current, link, now):
        return frozenset()
    for other in current.links.values():
        if other.server != link.server:
            missing -= other.holds
    return missing


def _all_others_known(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    lease = claims.with_drift(current, current.timing.lease_ms)
    lapsed = now > clock.later(current.old_authority_over, lease)
    return lapsed or all(other.greeted for other in current.links.values())


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
        stamp=link.stamp,
        lease_ms=current.timing.lease_ms,
        groups=tuple(
            actions.FencedShards(fence, tuple(shards))
            for fence, shards in sorted(by_fence.items())
        ),
    )


def _renew(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> actions.Order | None:
    if now < clock.later(link.asked_at, _interval(current)):
        return None
    return actions.Renew(
        server=link.server,
        term=current.term.term,
        stamp=link.stamp,
        lease_ms=current.timing.lease_ms,
        digest=digests.digest_shards(link.holds),
    )


def _note_order(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    order: actions.Order,
    now: clock.Millis,
) -> coordination.ServerLink:
    noted = dataclasses.replace(
        link,
        in_flight=True,
        asked_at=now,
        first_asked_at=link.first_asked_at or now,
    )
    if isinstance(order, actions.Greet | actions.Revoke):
        return noted
    lease = claims.with_drift(current, current.timing.lease_ms)
    bound = clock.later(link.stamped_at, lease)
    granted: set[ids.ShardId] = set()
    if isinstance(order, actions.Grant):
        granted.update(*(group.shards for group in order.groups))
    return dataclasses.replace(
        noted,
        lease_bound=max(link.lease_bound, bound),
        holds=link.holds | granted,
    )
