"""Decide what an instance does to coordinate one service."""

import dataclasses
import functools
import typing

from sycamoreferry_core import (
    actions,
    authority,
    claims,
    clock,
    coordination,
    events,
    ids,
    links,
    moves,
    orders,
    revisions,
    settlement,
)

Step = typing.Callable[
    [coordination.CoordinatorState, clock.Millis],
    actions.Decision,
]


@functools.singledispatch
def decide(
    event: object,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Return the next state and the actions that follow from an event."""
    raise TypeError(f'no handler registered for the event {event!r}')


@decide.register
def _decide_ticked(
    event: events.Ticked,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    current = _note_tick(current, now)
    if current.role is not coordination.Role.COORDINATOR:
        return claims.consider_claim(current, now)
    proof = authority.seek_proof(current, now)
    if not proof.state.has_authority(now):
        return proof
    return _run_steps(
        actions.Decision(_note_authority(proof.state, now), proof.actions),
        now,
    )


def _run_steps(
    decision: actions.Decision,
    now: clock.Millis,
) -> actions.Decision:
    for step in _COORDINATOR_STEPS:
        result = step(decision.state, now)
        decision = actions.Decision(
            result.state,
            (*decision.actions, *result.actions),
        )
    return decision


def _note_tick(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    gap = now - current.ticked_at
    current = dataclasses.replace(current, ticked_at=now)
    if gap <= current.timing.authority_ms:
        return current
    # This instance was suspended, so the silence that it saw proves nothing.
    return dataclasses.replace(
        current,
        asked_as_deputy_at=now,
        deputy_heard_at=now,
        holders_heard_at=now,
    )


def _note_authority(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    gap = now - current.last_orders_at
    current = dataclasses.replace(current, last_orders_at=now)
    if gap <= current.timing.detection_ms // 2:
        return current
    # No orders were sent meanwhile, so the silence of servers counts from now.
    return dataclasses.replace(current, orders_resumed_at=now)


@decide.register
def _decide_state_folded(
    event: events.StateFolded,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if event.term.term < current.term.term:
        return actions.Decision(current)
    folded = _update_from_log(current, event)
    if event.term.term > current.term.term:
        folded = claims.enter_term(folded, event.term, now)
    folded = authority.note_cleared(folded, event.term, now)
    pending = None if event.pending_folded else folded.pending
    folded = dataclasses.replace(folded, term=event.term, pending=pending)
    return actions.Decision(links.link_owners(folded))


def _update_from_log(
    current: coordination.CoordinatorState,
    event: events.StateFolded,
) -> coordination.CoordinatorState:
    longest = event.timing
    deadline = event.longest_deadline_ms
    if current.term.term != ids.NO_TERM:
        longest = authority.longest_of(current.longest_timing, event.timing)
        deadline = max(deadline, current.longest_deadline_ms)
    return dataclasses.replace(
        current,
        assignment=event.assignment,
        candidates=event.candidates,
        timing=event.timing,
        longest_timing=longest,
        longest_deadline_ms=deadline,
    )


@decide.register
def _decide_servers_listed(
    event: events.ServersListed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    listed = links.update_members(current, dict(event.members), now)
    return actions.Decision(listed)


@decide.register
def _decide_move_check_due(
    event: events.MoveCheckDue,
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
    current = dataclasses.replace(current, log_reached=True)
    if event.term != current.term.term:
        return actions.Decision(current)
    return actions.Decision(authority.prove_by_log(current, event.sent_at))


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
    if event.term != current.term.term:
        return actions.Decision(current)
    return actions.Decision(authority.prove_by_deputy(current, event.sent_at))


@decide.register
def _decide_deputy_asked(
    event: events.DeputyAsked,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(claims.note_promise(current, event, now))


@decide.register
def _decide_holder_heard(
    event: events.HolderAnswered,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(claims.note_holder_answer(current, now))


@decide.register
def _decide_release_asked(
    event: events.ReleaseAsked,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(
        dataclasses.replace(
            current,
            highest_reported_term=max(
                current.highest_reported_term, event.term
            ),
        ),
    )


@decide.register
def _decide_holder_released(
    event: events.HolderReleased,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if event.term != current.term.term:
        return actions.Decision(current)
    return actions.Decision(authority.note_release(current, event.holder, now))


@decide.register
def _decide_server_answered(
    event: events.ServerAnswered,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if not links.is_awaited_answer(current, event):
        return actions.Decision(current)
    return actions.Decision(links.note_answer(current, event))


@decide.register
def _decide_server_refused(
    event: events.ServerRefused,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    return actions.Decision(
        dataclasses.replace(
            current,
            highest_reported_term=max(
                current.highest_reported_term, event.followed_term
            ),
        ),
    )


@decide.register
def _decide_server_failed(
    event: events.ServerFailed,
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if not links.is_awaited_answer(current, event):
        return actions.Decision(current)
    return actions.Decision(links.note_failure(current, event.server))


_COORDINATOR_STEPS: tuple[Step, ...] = (
    claims.resend_pending,
    claims.replace_deputy,
    revisions.revise_assignment,
    settlement.settle_term,
    orders.give_orders,
)
