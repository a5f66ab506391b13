"""Decide the answers to admission requests at the owner."""

import dataclasses

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_state,
    admission_window,
    clock,
    ids,
)

_Decision = admission_state.Decision
_Partition = admission_state.PartitionState
_Status = admission_window.Status
_Verdict = admission_actions.Verdict


def find_entry(
    current: _Partition,
    key: ids.AdmissionKey,
) -> admission_window.Entry | None:
    """Return the entry of a key; unjournaled changes take precedence."""
    journaled = current.journal.find(key)
    return current.owner.overlay.get(key, journaled)


def replace_owner_state(
    current: _Partition,
    **changes: object,
) -> _Partition:
    """Return the partition state with fields of its owner state replaced."""
    owner = dataclasses.replace(
        current.owner,
        **changes,  # type: ignore[arg-type]
    )
    return dataclasses.replace(current, owner=owner)


def answer(
    current: _Partition,
    request: admission_events.AdmissionRequested,
    verdict: admission_actions.Verdict,
) -> _Decision:
    """Answer an admission request without changing the state."""
    hint = current.journal.claim.owner
    if hint == current.instance:
        hint = ids.InstanceId('')
    return _Decision(
        current,
        (admission_actions.Answer(request.attempt, verdict, hint),),
    )


def handle_request(
    current: _Partition,
    request: admission_events.AdmissionRequested,
    now: clock.Millis,
) -> _Decision:
    """Answer an admission request, or queue it until it is journaled."""
    if not current.is_owner:
        return answer(current, request, _Verdict.NOT_OWNER)
    if not current.is_serving:
        return _queue_until_settled(current, request, now)
    known = find_entry(current, request.key)
    if known is None:
        return _admit(current, request, now)
    return _answer_repeat(current, request, known, now)


def _queue_until_settled(
    current: _Partition,
    request: admission_events.AdmissionRequested,
    now: clock.Millis,
) -> _Decision:
    """Queue an admission request until the newest claim is settled."""
    latest = clock.later(current.claim.seen_at, current.timing.max_wait_ms)
    is_full = len(current.owner.awaiting_claim) >= current.timing.batch_entries
    if now > latest or is_full:
        return answer(current, request, _Verdict.UNAVAILABLE)
    waiting = admission_state.PendingRequest(request, now)
    awaiting = (*current.owner.awaiting_claim, waiting)
    return _Decision(replace_owner_state(current, awaiting_claim=awaiting))


def _answer_repeat(
    current: _Partition,
    request: admission_events.AdmissionRequested,
    known: admission_window.Entry,
    now: clock.Millis,
) -> _Decision:
    if known.fingerprint != request.fingerprint:
        return answer(current, request, _Verdict.REUSED)
    if known.status is _Status.ANSWERED:
        return answer(current, request, _Verdict.ANSWERED)
    if known.status is _Status.UNKNOWN:
        return answer(current, request, _Verdict.UNKNOWN)
    if known.attempt == request.attempt:
        return _answer_same_attempt(current, request)
    expires_at = known.admitted_at + known.deadline_ms
    if current.stream_time(now) > expires_at:
        return answer(current, request, _Verdict.UNKNOWN)
    return answer(current, request, _Verdict.RUNNING)


def _answer_same_attempt(
    current: _Partition,
    request: admission_events.AdmissionRequested,
) -> _Decision:
    if request.attempt in current.owner.waiting:
        return _Decision(current)
    return answer(current, request, _Verdict.ADMITTED)


def _admit(
    current: _Partition,
    request: admission_events.AdmissionRequested,
    now: clock.Millis,
) -> _Decision:
    owner = current.owner
    if _is_full(current) or not can_journal(current, now):
        return answer(current, request, _Verdict.UNAVAILABLE)
    admitted = admission_records.Admitted(
        key=request.key,
        fingerprint=request.fingerprint,
        attempt=request.attempt,
        deadline_ms=request.deadline_ms,
        order=admission_records.Order(
            current.journal.claim.offset,
            owner.serial + 1,
        ),
    )
    entry = admission_window.new_entry(admitted, current.stream_time(now))
    return _Decision(
        replace_owner_state(
            current,
            serial=owner.serial + 1,
            queued=(*owner.queued, admitted),
            overlay={**owner.overlay, request.key: entry},
            waiting={
                **owner.waiting,
                request.attempt: admission_state.PendingRequest(request, now),
            },
        ),
    )


def _is_full(current: _Partition) -> bool:
    timing = current.timing
    if len(current.owner.overlay) >= timing.max_unjournaled:
        return True
    return current.journal.window.size >= timing.max_entries


def can_journal(current: _Partition, now: clock.Millis) -> bool:
    """Tell whether the log or the deputy can take an admission now."""
    return current.is_log_available or can_copy(current, now)


def can_copy(current: _Partition, now: clock.Millis) -> bool:
    """Tell whether a copy at the deputy may replace the log entry now."""
    limit = current.timing.limit_without_log_ms
    if now > clock.later(current.log_confirmed_at, limit):
        return False
    if now < current.owner.deputy_blocked_until:
        return False
    return bool(current.journal.claim.deputy) and current.is_serving


def conclude(
    current: _Partition,
    concluded: admission_records.Concluded,
) -> _Partition:
    """Return the state after an attempt ended; ignore unknown attempts."""
    known = find_entry(current, concluded.key)
    if known is None or known.attempt != concluded.attempt:
        return current
    if known.status is not _Status.RUNNING or not current.is_serving:
        return current
    status = _STATUS_BY_ENDING.get(concluded.ending)
    updated = status and dataclasses.replace(known, status=status)
    return replace_owner_state(
        current,
        overlay={**current.owner.overlay, concluded.key: updated},
        conclusions=(*current.owner.conclusions, concluded),
    )


_STATUS_BY_ENDING = {
    admission_records.Ending.ANSWERED: _Status.ANSWERED,
    admission_records.Ending.UNKNOWN: _Status.UNKNOWN,
}


def refuse(
    current: _Partition,
    refused: tuple[admission_state.PendingRequest, ...],
) -> _Decision:
    """Refuse waiting admission requests and release their queued keys."""
    requests = {waiting.request.attempt: waiting.request for waiting in refused}
    owner = current.owner
    overlay = dict(owner.overlay)
    for request in requests.values():
        entry = overlay.get(request.key)
        if entry is not None and entry.attempt == request.attempt:
            overlay[request.key] = None
    released = tuple(
        admission_records.Concluded(
            request.key,
            request.attempt,
            admission_records.Ending.NOT_RUN,
        )
        for request in requests.values()
        if request.attempt in owner.waiting
    )
    return _Decision(
        replace_owner_state(
            current,
            overlay=overlay,
            conclusions=(*owner.conclusions, *released),
            waiting={
                attempt: waiting
                for attempt, waiting in owner.waiting.items()
                if attempt not in requests
            },
            awaiting_claim=tuple(
                waiting
                for waiting in owner.awaiting_claim
                if waiting.request.attempt not in requests
            ),
        ),
        tuple(
            admission_actions.Answer(attempt, _Verdict.UNAVAILABLE)
            for attempt in requests
        ),
    )


def admit_waiting(
    current: _Partition,
    admitted: tuple[admission_state.PendingRequest, ...],
) -> _Decision:
    """Answer waiting admission requests that their attempts may run."""
    attempts = [waiting.request.attempt for waiting in admitted]
    return _Decision(
        replace_owner_state(
            current,
            waiting={
                attempt: waiting
                for attempt, waiting in current.owner.waiting.items()
                if attempt not in attempts
            },
        ),
        tuple(
            admission_actions.Answer(attempt, _Verdict.ADMITTED)
            for attempt in attempts
        ),
    )


def resume_awaiting_claim(current: _Partition, now: clock.Millis) -> _Decision:
    """Decide the admission requests that waited for a settled claim."""
    decision = _Decision(replace_owner_state(current, awaiting_claim=()))
    for waiting in current.owner.awaiting_claim:
        request = waiting.request
        step = handle_request(decision.state, request, now)
        decision = _Decision(
            step.state,
            (*decision.actions, *step.actions),
        )
    return decision


def unanswered_requests(
    current: _Partition,
) -> tuple[admission_state.PendingRequest, ...]:
    """Return every admission request that has no answer yet."""
    return (*current.owner.waiting.values(), *current.owner.awaiting_claim)
