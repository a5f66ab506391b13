"""Append admissions to the log in batches; copy to the deputy in outages."""

import dataclasses
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_requests,
    admission_state,
    admission_window,
    clock,
    ids,
)

_Decision = admission_state.Decision
_Partition = admission_state.PartitionState
_Overlay = typing.Mapping[ids.AdmissionKey, admission_window.Entry | None]


def flush(current: _Partition, now: clock.Millis) -> _Decision:
    """Append the next batch, or retry the one in flight."""
    if not current.is_owner:
        return _Decision(current)
    if current.owner.in_flight is not None:
        return _retry_append(current, now)
    if not _is_due(current, now):
        return _Decision(current)
    return _append_next(current, now)


def _retry_append(current: _Partition, now: clock.Millis) -> _Decision:
    batch = current.owner.in_flight
    due = clock.later(current.owner.appended_at, current.timing.retry_ms)
    if batch is None or now < due:
        return _Decision(current)
    return _Decision(
        admission_requests.replace_owner_state(current, appended_at=now),
        (admission_actions.Append(batch),),
    )


def _is_due(current: _Partition, now: clock.Millis) -> bool:
    timing = current.timing
    elapsed = now - current.owner.appended_at
    if not current.journal.is_settled:
        return current.claim.older_claims_ended
    if current.owner.queued:
        return elapsed >= timing.batch_ms
    if current.owner.conclusions:
        return elapsed >= timing.conclusion_batch_ms
    return elapsed >= timing.heartbeat_ms


def _append_next(current: _Partition, now: clock.Millis) -> _Decision:
    limit = current.timing.batch_entries
    owner = current.owner
    claim = current.journal.claim
    batch = admission_records.AdmissionBatch(
        claim=claim.offset,
        number=current.journal.number + 1,
        owner=claim.owner,
        deputy=claim.deputy,
        stamp=now,
        admitted=owner.queued[:limit],
        concluded=owner.conclusions[:limit],
        settles=len(owner.queued) <= limit,
    )
    return _Decision(
        admission_requests.replace_owner_state(
            current,
            queued=owner.queued[limit:],
            conclusions=owner.conclusions[limit:],
            in_flight=batch,
            appended_at=now,
        ),
        (admission_actions.Append(batch),),
    )


def admit_journaled(current: _Partition, now: clock.Millis) -> _Decision:
    """Admit the requests of the batch in flight once it is in the stream."""
    batch = current.owner.in_flight
    journal = current.journal
    if batch is None or batch.claim != journal.claim.offset:
        return _Decision(current)
    if journal.number < batch.number:
        return _Decision(current)
    journaled = admission_requests.replace_owner_state(
        current,
        in_flight=None,
        overlay=_drop_journaled(current.owner.overlay, batch),
    )
    waiting = current.owner.waiting
    return admission_requests.admit_waiting(
        journaled,
        tuple(
            waiting[admitted.attempt]
            for admitted in batch.admitted
            if admitted.attempt in waiting
        ),
    )


def _drop_journaled(
    overlay: _Overlay,
    batch: admission_records.AdmissionBatch,
) -> _Overlay:
    kept = dict(overlay)
    running = admission_window.Status.RUNNING
    for admitted in batch.admitted:
        entry = kept.get(admitted.key)
        if entry and entry.attempt == admitted.attempt:
            if entry.status is running:
                kept.pop(admitted.key)
    for concluded in batch.concluded:
        ended = kept.get(concluded.key)
        if ended is None:
            kept.pop(concluded.key, None)
        elif ended.attempt == concluded.attempt:
            kept.pop(concluded.key)
    return kept


def requeue_voided_batch(current: _Partition) -> _Partition:
    """Queue the batch in flight again if a later claim has voided it."""
    batch = current.owner.in_flight
    if batch is None or batch.claim == current.journal.claim.offset:
        return current
    return admission_requests.replace_owner_state(
        current,
        in_flight=None,
        queued=(*batch.admitted, *current.owner.queued),
        conclusions=(*batch.concluded, *current.owner.conclusions),
    )


def copy_to_deputy(current: _Partition, now: clock.Millis) -> _Decision:
    """Send the deputy the admissions that wait too long for the log."""
    if not current.is_serving:
        return _Decision(current)
    if current.owner.copy_pending:
        return _Decision(current)
    slow = tuple(
        waiting
        for waiting in current.owner.waiting.values()
        if not waiting.copy_number and _is_slow(current, waiting, now)
    )
    if not slow:
        return _Decision(current)
    if not admission_requests.can_copy(current, now):
        return _refuse_without_log(current, slow)
    return _send_copy(current, slow, now)


def _is_slow(
    current: _Partition,
    waiting: admission_state.PendingRequest,
    now: clock.Millis,
) -> bool:
    due = clock.later(waiting.received_at, current.timing.retry_ms)
    return not current.is_log_available or now > due


def _refuse_without_log(
    current: _Partition,
    slow: tuple[admission_state.PendingRequest, ...],
) -> _Decision:
    if current.is_log_available:
        return _Decision(current)
    return admission_requests.refuse(current, slow)


def _send_copy(
    current: _Partition,
    slow: tuple[admission_state.PendingRequest, ...],
    now: clock.Millis,
) -> _Decision:
    number = current.owner.copies_sent + 1
    sent = {
        waiting.request.attempt: dataclasses.replace(
            waiting, copy_number=number
        )
        for waiting in slow
    }
    overlay = current.owner.overlay
    entries = [
        (waiting.request.key, overlay.get(waiting.request.key))
        for waiting in slow
    ]
    claim = current.journal.claim
    return _Decision(
        admission_requests.replace_owner_state(
            current,
            copies_sent=number,
            copy_pending=True,
            copy_sent_at=now,
            waiting={**current.owner.waiting, **sent},
        ),
        (
            admission_actions.SendCopy(
                deputy=claim.deputy,
                claim=claim.offset,
                number=number,
                admitted=tuple(
                    entry.as_admitted(key) for key, entry in entries if entry
                ),
            ),
        ),
    )


def accept_copy_answer(
    current: _Partition,
    event: admission_events.CopyAnswered,
    now: clock.Millis,
) -> _Decision:
    """Admit what the deputy holds; refuse the rest if the log is down."""
    if event.number != current.owner.copies_sent:
        return _Decision(current)
    answered = admission_requests.replace_owner_state(
        current, copy_pending=False
    )
    if event.claim != current.journal.claim.offset:
        return _Decision(answered)
    covered = tuple(
        waiting
        for waiting in answered.owner.waiting.values()
        if waiting.copy_number == event.number
    )
    if event.held and admission_requests.can_copy(answered, now):
        return admission_requests.admit_waiting(answered, covered)
    blocked = admission_requests.replace_owner_state(
        answered,
        deputy_blocked_until=clock.later(now, current.timing.detection_ms),
    )
    if current.is_log_available:
        return _Decision(blocked)
    return admission_requests.refuse(blocked, covered)


def refuse_overdue(current: _Partition, now: clock.Millis) -> _Decision:
    """Refuse requests that exceeded the maximum wait for an answer."""
    max_wait = current.timing.max_wait_ms
    overdue = tuple(
        waiting
        for waiting in admission_requests.unanswered_requests(current)
        if now > clock.later(waiting.received_at, max_wait)
    )
    if not overdue:
        return _Decision(current)
    return admission_requests.refuse(current, overdue)


def expire_pending_copy(current: _Partition, now: clock.Millis) -> _Partition:
    """Stop waiting for the answer to a copy once it is overdue."""
    due = clock.later(
        current.owner.copy_sent_at,
        current.timing.max_wait_ms,
    )
    if not current.owner.copy_pending or now < due:
        return current
    return admission_requests.replace_owner_state(current, copy_pending=False)
