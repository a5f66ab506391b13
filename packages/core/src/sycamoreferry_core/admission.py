"""Decide which non-idempotent requests of a partition may run."""

import dataclasses
import functools

from sycamoreferry_core import (
    admission_asks,
    admission_claims,
    admission_events,
    admission_journal,
    admission_journaling,
    admission_state,
    clock,
    records,
)

_Decision = admission_state.Decision
_Partition = admission_state.PartitionState


@functools.singledispatch
def decide(
    event: object,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    """Return the next state and the actions that an event asks for."""
    raise TypeError(f'no rule for the event {event!r}')


def _go_on(decision: _Decision, now: clock.Millis) -> _Decision:
    """Journal what is due after an event."""
    return decision.then(admission_journaling.flush, now).then(
        admission_journaling.bridge_outage,
        now,
    )


@decide.register
def _decide_ticked(
    event: admission_events.Ticked,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    patient = admission_journaling.forget_silent_copy(current, now)
    decision = admission_journaling.refuse_overdue(patient, now)
    decision = decision.then(admission_claims.probe_holders, now)
    decision = decision.then(admission_claims.consider_claim, now)
    decision = decision.then(admission_claims.settle, now)
    return _go_on(decision, now)


@decide.register
def _decide_members_known(
    event: admission_events.MembersKnown,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _Decision(admission_claims.know_members(current, event))


@decide.register
def _decide_stream_read(
    event: admission_events.StreamRead,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    decision = _Decision(
        dataclasses.replace(
            current,
            log_answers=True,
            caught_up=event.caught_up,
        ),
    )
    for logged in event.logged:
        step = _fold_logged(decision.state, logged, now)
        decision = _Decision(step.state, (*decision.actions, *step.actions))
    proved = decision.state
    if event.caught_up:
        proof_at = max(proved.proof_at, event.sent_at)
        proved = dataclasses.replace(proved, proof_at=proof_at)
    proved = admission_claims.drop_journaled_copies(proved)
    decision = _Decision(proved, decision.actions)
    return _go_on(decision.then(admission_claims.settle, now), now)


def _fold_logged(
    current: _Partition,
    logged: records.LoggedRecord,
    now: clock.Millis,
) -> _Decision:
    folded = dataclasses.replace(
        current,
        journal=admission_journal.fold_one(current.journal, logged),
    )
    if folded.journal.claim != current.journal.claim:
        return _change_claim(current, folded, now)
    decision = admission_journaling.accept_read_back(folded, now)
    if folded.journal.settled != current.journal.settled:
        return _change_settled(decision, now)
    return decision


def _change_claim(
    before: _Partition,
    folded: _Partition,
    now: clock.Millis,
) -> _Decision:
    entered = admission_claims.enter_claim(folded, now)
    taken_back = admission_journaling.take_back_flight(entered)
    if not before.is_owner or taken_back.is_owner:
        return _Decision(taken_back)
    waiting = admission_asks.all_waiting(taken_back)
    return admission_asks.refuse(taken_back, waiting)


def _change_settled(decision: _Decision, now: clock.Millis) -> _Decision:
    if decision.state.is_owner:
        return decision.then(admission_asks.unpark, now)
    emptied = dataclasses.replace(
        decision.state,
        owner=admission_state.OwnerState(),
    )
    return _Decision(emptied, decision.actions)


@decide.register
def _decide_log_failed(
    event: admission_events.LogFailed,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    failed = dataclasses.replace(current, log_answers=False)
    return _go_on(_Decision(failed), now)


@decide.register
def _decide_asked(
    event: admission_events.Asked,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _go_on(admission_asks.ask(current, event, now), now)


@decide.register
def _decide_ended(
    event: admission_events.Ended,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    ended = admission_asks.end(current, event.concluded)
    return _go_on(_Decision(ended), now)


@decide.register
def _decide_copy_answered(
    event: admission_events.CopyAnswered,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    decision = admission_journaling.accept_copy_answer(current, event, now)
    return _go_on(decision, now)


@decide.register
def _decide_copy_asked(
    event: admission_events.CopyAsked,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    heard = admission_claims.hear(current, event.owner, now)
    return admission_claims.hold_copy(heard, event)


@decide.register
def _decide_yield_asked(
    event: admission_events.YieldAsked,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return admission_claims.yield_claims(current, event)


@decide.register
def _decide_yielded(
    event: admission_events.Yielded,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _go_on(
        _Decision(admission_claims.accept_yield(current, event)),
        now,
    )


@decide.register
def _decide_peer_heard(
    event: admission_events.PeerHeard,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _Decision(admission_claims.hear(current, event.instance, now))
