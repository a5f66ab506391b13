"""Decide what an instance does to coordinate one service."""

import dataclasses
import functools

from sycamoreferry_core import (
    actions,
    claims,
    clock,
    coordination,
    events,
    moves,
    orders,
    revisions,
)

PROOFS_PER_AUTHORITY = 3


@functools.singledispatch
def decide(
    event: object,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Return the next state and the actions that an event asks for."""
    raise TypeError(f'no rule for the event {event!r}')


@decide.register
def _decide_ticked(
    event: events.Ticked,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if current.role is not coordination.Role.COORDINATOR:
        return claims.consider_claim(current, now)
    proof = _seek_proof(current, now)
    if not proof.state.has_authority(now):
        return proof
    revised = revisions.revise_assignment(proof.state, now)
    ordered = orders.give_orders(revised.state, now)
    return actions.Decision(
        ordered.state,
        (*proof.actions, *revised.actions, *ordered.actions),
    )


def _seek_proof(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    interval = current.timing.authority_ms // PROOFS_PER_AUTHORITY
    if now < clock.later(current.proof_asked_at, interval):
        return actions.Decision(current)
    asked = dataclasses.replace(current, proof_asked_at=now)
    ask_deputy = actions.AskDeputy(
        deputy=current.term.deputy,
        term=current.term.term,
    )
    return actions.Decision(asked, (actions.ReadTail(), ask_deputy))


@decide.register
def _decide_state_folded(
    event: events.StateFolded,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    folded = dataclasses.replace(
        current,
        assignment=event.assignment,
        candidates=event.candidates,
        timing=event.timing,
    )
    if event.pending_folded:
        folded = dataclasses.replace(folded, pending=None)
    if event.term.term != current.term.term:
        return actions.Decision(claims.enter_term(folded, event.term, now))
    return actions.Decision(dataclasses.replace(folded, term=event.term))


@decide.register
def _decide_servers_listed(
    event: events.ServersListed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    links = {
        server: link
        for server, link in current.links.items()
        if link.holds or now < link.lease_bound
    }
    for server, member in event.members:
        known = current.links.get(server, coordination.ServerLink(server))
        links[server] = dataclasses.replace(known, member=member)
    return actions.Decision(dataclasses.replace(current, links=links))


@decide.register
def _decide_moves_considered(
    event: events.MovesConsidered,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return moves.consider_moves(event, current, now)


@decide.register
def _decide_tail_read(
    event: events.TailRead,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    reached = dataclasses.replace(current, log_reached=True)
    return actions.Decision(
        _extend_authority(reached, event.term, event.sent_at),
    )


@decide.register
def _decide_tail_read_failed(
    event: events.TailReadFailed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(
        dataclasses.replace(current, log_reached=False),
    )


@decide.register
def _decide_deputy_promised(
    event: events.DeputyPromised,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(
        _extend_authority(current, event.term, event.sent_at),
    )


def _extend_authority(
    current: coordination.CoordinatorState,
    term: int,
    sent_at: clock.Millis,
) -> coordination.CoordinatorState:
    if term != current.term.term:
        return current
    until = clock.later(sent_at, current.timing.authority_ms)
    return dataclasses.replace(
        current,
        authority_until=max(current.authority_until, until),
    )


@decide.register
def _decide_append_failed(
    event: events.AppendFailed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    pending = current.pending
    if pending is None or pending.record_id != event.record_id:
        return actions.Decision(current)
    return actions.Decision(dataclasses.replace(current, pending=None))


@decide.register
def _decide_deputy_asked(
    event: events.DeputyAsked,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(claims.promise(current, event, now))


@decide.register
def _decide_holder_heard(
    event: events.HolderHeard,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(
        dataclasses.replace(current, holders_heard_at=now),
    )


@decide.register
def _decide_old_authority_released(
    event: events.OldAuthorityReleased,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if event.term != current.term.term:
        return actions.Decision(current)
    over = min(current.old_authority_over, now)
    return actions.Decision(
        dataclasses.replace(current, old_authority_over=over),
    )


@decide.register
def _decide_server_answered(
    event: events.ServerAnswered,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    link = current.links.get(event.server)
    if link is None or event.term != current.term.term:
        return actions.Decision(current)
    lease = claims.with_drift(current, current.timing.lease_ms)
    bound = clock.later(event.received_at, lease)
    return actions.Decision(
        orders.with_link(
            current,
            dataclasses.replace(
                link,
                lease_bound=link.lease_bound if link.greeted else bound,
                greeted=True,
                in_flight=False,
                stamp=event.stamp,
                stamped_at=event.received_at,
                first_asked_at=None,
                holds=link.holds if event.holds is None else event.holds,
            ),
        ),
    )


@decide.register
def _decide_server_failed(
    event: events.ServerFailed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    link = current.links.get(event.server)
    if link is None or event.term != current.term.term:
        return actions.Decision(current)
    return actions.Decision(
        orders.with_link(current, dataclasses.replace(link, in_flight=False)),
    )
