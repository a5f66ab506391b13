"""Keep what a coordinator knows of each backend server."""

import dataclasses
import typing

from sycamoreferry_core import (
    actions,
    authority,
    clock,
    coordination,
    events,
    fold,
    ids,
)

Links = typing.Mapping[ids.ServerId, coordination.ServerLink]


def with_link(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
) -> coordination.CoordinatorState:
    """Return the state with one server's link replaced."""
    return dataclasses.replace(
        current,
        links=fold.with_entry(current.links, link.server, link),
    )


def reset_links(current: coordination.CoordinatorState) -> Links:
    """Return links to the same servers, none of them greeted."""
    return {
        server: coordination.ServerLink(server, member_state=link.member_state)
        for server, link in current.links.items()
    }


def may_hold_shards(
    current: coordination.CoordinatorState,
) -> frozenset[ids.ServerId]:
    """Return the servers that the log says may hold a shard."""
    return frozenset((*current.assigned_shards, *current.term.past_owners))


def link_owners(
    current: coordination.CoordinatorState,
) -> coordination.CoordinatorState:
    """Link to every server that may hold a shard."""
    unlinked = may_hold_shards(current).difference(current.links)
    if not unlinked:
        return current
    added = {server: coordination.ServerLink(server) for server in unlinked}
    return dataclasses.replace(current, links={**current.links, **added})


def update_members(
    current: coordination.CoordinatorState,
    members: typing.Mapping[ids.ServerId, coordination.MemberState],
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Link to the listed servers and to any other that may hold shards."""
    owners = may_hold_shards(current)
    kept = {
        server: link
        for server, link in current.links.items()
        if server in owners or is_leased(current, link, now)
    }
    for server, member in members.items():
        known = current.links.get(server, coordination.ServerLink(server))
        if known.member_state is not member:
            known = dataclasses.replace(known, member_state=member)
        kept[server] = known
    return link_owners(dataclasses.replace(current, links=kept))


def delayed_order_bound_ms(current: coordination.CoordinatorState) -> int:
    """Return how many ms an old order may still act without fence checks."""
    if current.checks_fence:
        return 0
    return (
        current.longest_timing.order_delay_bound_ms
        + current.longest_deadline_ms
    )


def is_leased(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    now: clock.Millis,
) -> bool:
    """Tell whether a server may hold shards or run requests for them."""
    bound = clock.later(link.lease_bound, delayed_order_bound_ms(current))
    return now <= max(bound, link.release_bound)


def clear_expired_leases(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Clear the shards of servers whose lease has certainly expired."""
    for link in tuple(current.links.values()):
        if link.held_shards and not is_leased(current, link, now):
            current = with_link(
                current,
                dataclasses.replace(link, held_shards=frozenset()),
            )
    return current


def is_awaited_answer(
    current: coordination.CoordinatorState,
    event: events.ServerAnswered | events.ServerRefused | events.ServerFailed,
) -> bool:
    """Tell whether an answer is to the order that the link awaits."""
    link = current.links.get(event.server)
    if link is None or event.term != current.term.term:
        return False
    return link.awaited_order == event.number


def note_answer(
    current: coordination.CoordinatorState,
    event: events.ServerAnswered,
) -> coordination.CoordinatorState:
    """Record the shards and the stamp that a server reports."""
    link = current.links[event.server]
    lease = authority.with_drift(current, current.longest_timing.lease_ms)
    answered = dataclasses.replace(
        link,
        greeted=True,
        awaited_order=None,
        stamp=event.stamp,
        stamp_received_at=event.received_at,
        first_unanswered_at=None,
        order_sent_at=link.order_sent_at if link.greeted else clock.LONG_AGO,
    )
    if event.held_shards is None:
        return with_link(current, answered)
    held = dataclasses.replace(
        answered,
        held_shards=event.held_shards,
        lapsed_fences=event.lapsed_fences,
        lease_bound=max(
            link.lease_bound,
            clock.later(event.received_at, lease),
        ),
    )
    return with_link(current, _note_released(current, held, link.held_shards))


def _note_released(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    held_before: frozenset[ids.ShardId],
) -> coordination.ServerLink:
    released = held_before - link.held_shards
    if current.checks_fence or not released:
        return link
    bound = clock.later(link.lease_bound, delayed_order_bound_ms(current))
    return dataclasses.replace(
        link,
        recently_released=link.recently_released | released,
        release_bound=max(link.release_bound, bound),
    )


def note_failure(
    current: coordination.CoordinatorState,
    server: ids.ServerId,
) -> coordination.CoordinatorState:
    """Stop waiting for an answer; granted shards still count as held."""
    link = current.links[server]
    return with_link(current, dataclasses.replace(link, awaited_order=None))


def note_order(
    current: coordination.CoordinatorState,
    order: actions.Order,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Record an order before it is sent, as if the server had obeyed it."""
    link = current.links[order.server]
    noted = dataclasses.replace(
        link,
        awaited_order=order.number,
        order_sent_at=now,
        first_unanswered_at=link.first_unanswered_at or now,
    )
    if isinstance(order, actions.Grant | actions.Renew):
        noted = _note_lease(current, noted, order)
    return dataclasses.replace(
        with_link(current, noted),
        order_count=order.number,
    )


def _note_lease(
    current: coordination.CoordinatorState,
    link: coordination.ServerLink,
    order: actions.Grant | actions.Renew,
) -> coordination.ServerLink:
    lease = authority.with_drift(current, order.lease_ms)
    granted: set[ids.ShardId] = set()
    if isinstance(order, actions.Grant):
        granted.update(*(group.shards for group in order.groups))
    return dataclasses.replace(
        link,
        lease_bound=max(
            link.lease_bound, clock.later(link.stamp_received_at, lease)
        ),
        held_shards=link.held_shards | granted,
        recently_released=link.recently_released - granted,
    )
