"""Route the events of an admission partition to their handlers."""

import dataclasses
import functools

from sycamoreferry_core import (
    admission_claims,
    admission_events,
    admission_journal,
    admission_replication,
    admission_requests,
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
    """Return the next state and the actions that follow from an event.

    Raise TypeError for an event type without a registered handler.
    """
    raise TypeError(f'no handler registered for the event {event!r}')


def _replicate(decision: _Decision, now: clock.Millis) -> _Decision:
    """Append what is due, then send the deputy what the log delays."""
    return decision.then(admission_replication.flush, now).then(
        admission_replication.copy_to_deputy,
        now,
    )


@decide.register
def _decide_ticked(
    event: admission_events.Ticked,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    unblocked = admission_replication.expire_pending_copy(current, now)
    decision = admission_replication.refuse_overdue(unblocked, now)
    decision = decision.then(admission_claims.probe_holders, now)
    decision = decision.then(admission_claims.claim_if_needed, now)
    decision = decision.then(admission_claims.end_older_claims, now)
    return _replicate(decision, now)


@decide.register
def _decide_members_changed(
    event: admission_events.MembersChanged,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _Decision(admission_claims.update_members(current, event))


@decide.register
def _decide_stream_read(
    event: admission_events.StreamRead,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    decision = _Decision(
        dataclasses.replace(
            current,
            is_log_available=True,
            caught_up=event.caught_up,
        ),
    )
    for logged in event.logged:
        step = _fold_logged(decision.state, logged, now)
        decision = _Decision(step.state, (*decision.actions, *step.actions))
    confirmed = decision.state
    if event.caught_up:
        confirmed_at = max(confirmed.log_confirmed_at, event.sent_at)
        confirmed = dataclasses.replace(
            confirmed, log_confirmed_at=confirmed_at
        )
    confirmed = admission_claims.drop_journaled_copies(confirmed)
    decision = _Decision(confirmed, decision.actions)
    return _replicate(
        decision.then(admission_claims.end_older_claims, now), now
    )


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
        return _handle_new_claim(current, folded, now)
    decision = admission_replication.admit_journaled(folded, now)
    if folded.journal.settled != current.journal.settled:
        return _handle_settled_claim(decision, now)
    return decision


def _handle_new_claim(
    before: _Partition,
    folded: _Partition,
    now: clock.Millis,
) -> _Decision:
    claimed = admission_claims.reset_for_claim(folded, now)
    requeued = admission_replication.requeue_voided_batch(claimed)
    if not before.is_owner or requeued.is_owner:
        return _Decision(requeued)
    waiting = admission_requests.unanswered_requests(requeued)
    return admission_requests.refuse(requeued, waiting)


def _handle_settled_claim(decision: _Decision, now: clock.Millis) -> _Decision:
    if decision.state.is_owner:
        return decision.then(admission_requests.resume_awaiting_claim, now)
    without_owner_state = dataclasses.replace(
        decision.state,
        owner=admission_state.OwnerState(),
    )
    return _Decision(without_owner_state, decision.actions)


@decide.register
def _decide_log_failed(
    event: admission_events.LogFailed,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    failed = dataclasses.replace(current, is_log_available=False)
    return _replicate(_Decision(failed), now)


@decide.register
def _decide_admission_requested(
    event: admission_events.AdmissionRequested,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _replicate(
        admission_requests.handle_request(current, event, now), now
    )


@decide.register
def _decide_attempt_ended(
    event: admission_events.AttemptEnded,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    ended = admission_requests.conclude(current, event.concluded)
    return _replicate(_Decision(ended), now)


@decide.register
def _decide_copy_answered(
    event: admission_events.CopyAnswered,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    decision = admission_replication.accept_copy_answer(current, event, now)
    return _replicate(decision, now)


@decide.register
def _decide_copy_requested(
    event: admission_events.CopyRequested,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    contacted = admission_claims.record_contact(current, event.owner, now)
    return admission_claims.hold_copy(contacted, event)


@decide.register
def _decide_yield_requested(
    event: admission_events.YieldRequested,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return admission_claims.yield_claims(current, event)


@decide.register
def _decide_yield_confirmed(
    event: admission_events.YieldConfirmed,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _replicate(
        _Decision(admission_claims.accept_yield(current, event)),
        now,
    )


@decide.register
def _decide_peer_heard(
    event: admission_events.PeerHeard,
    current: _Partition,
    now: clock.Millis,
) -> _Decision:
    return _Decision(
        admission_claims.record_contact(current, event.instance, now)
    )
