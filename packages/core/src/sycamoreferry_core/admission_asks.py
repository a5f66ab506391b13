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


def find(
    current: _Partition,
    key: ids.AdmissionKey,
) -> admission_window.Entry | None:
    """Return the entry of a key; unjournaled changes take precedence."""
    journaled = current.journal.find(key)
    return current.owner.overlay.get(key, journaled)


def with_owner(
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
    asked: admission_events.Asked,
    verdict: admission_actions.Verdict,
) -> _Decision:
    """Answer an admission request without changing the state."""
    hint = current.journal.claim.owner
    if hint == current.me:
        hint = ids.InstanceId('')
    return _Decision(
        current,
        (admission_actions.Answer(asked.attempt, verdict, hint),),
    )


def ask(
    current: _Partition,
    asked: admission_events.Asked,
    now: clock.Millis,
) -> _Decision:
    """Answer an admission request, or queue it until it is journaled."""
    if not current.is_owner:
        return answer(current, asked, _Verdict.NOT_OWNER)
    if not current.is_serving:
        return _queue_until_settled(current, asked, now)
    known = find(current, asked.key)
    if known is None:
        return _admit(current, asked, now)
    return _answer_repeat(current, asked, known, now)


def _queue_until_settled(
    current: _Partition,
    asked: admission_events.Asked,
    now: clock.Millis,
) -> _Decision:
    """Queue an admission request until the newest claim is settled."""
    latest = clock.later(current.claim.seen_at, current.timing.patience_ms)
    is_full = len(current.owner.parked) >= current.timing.batch_entries
    if now > latest or is_full:
        return answer(current, asked, _Verdict.UNAVAILABLE)
    waiting = admission_state.Waiting(asked, now)
    awaiting = (*current.owner.parked, waiting)
    return _Decision(with_owner(current, parked=awaiting))


def _answer_repeat(
    current: _Partition,
    asked: admission_events.Asked,
    known: admission_window.Entry,
    now: clock.Millis,
) -> _Decision:
    if known.fingerprint != asked.fingerprint:
        return answer(current, asked, _Verdict.REUSED)
    if known.status is _Status.ANSWERED:
        return answer(current, asked, _Verdict.ANSWERED)
    if known.status is _Status.UNKNOWN:
        return answer(current, asked, _Verdict.UNKNOWN)
    if known.attempt == asked.attempt:
        return _answer_same_attempt(current, asked)
    expires_at = known.admitted_at + known.deadline_ms
    if current.stream_time(now) > expires_at:
        return answer(current, asked, _Verdict.UNKNOWN)
    return answer(current, asked, _Verdict.RUNNING)


def _answer_same_attempt(
    current: _Partition,
    asked: admission_events.Asked,
) -> _Decision:
    if asked.attempt in current.owner.waiting:
        return _Decision(current)
    return answer(current, asked, _Verdict.ADMITTED)


def _admit(
    current: _Partition,
    asked: admission_events.Asked,
    now: clock.Millis,
) -> _Decision:
    owner = current.owner
    if _is_full(current) or not can_journal(current, now):
        return answer(current, asked, _Verdict.UNAVAILABLE)
    admitted = admission_records.Admitted(
        key=asked.key,
        fingerprint=asked.fingerprint,
        attempt=asked.attempt,
        deadline_ms=asked.deadline_ms,
        order=admission_records.Order(
            current.journal.claim.offset,
            owner.serial + 1,
        ),
    )
    entry = admission_window.new_entry(admitted, current.stream_time(now))
    return _Decision(
        with_owner(
            current,
            serial=owner.serial + 1,
            queued=(*owner.queued, admitted),
            overlay={**owner.overlay, asked.key: entry},
            waiting={
                **owner.waiting,
                asked.attempt: admission_state.Waiting(asked, now),
            },
        ),
    )


def _is_full(current: _Partition) -> bool:
    timing = current.timing
    if len(current.owner.overlay) >= timing.most_unjournaled:
        return True
    return current.journal.window.size >= timing.most_entries


def can_journal(current: _Partition, now: clock.Millis) -> bool:
    """Tell whether the log or the deputy can take an admission now."""
    return current.log_answers or can_copy(current, now)


def can_copy(current: _Partition, now: clock.Millis) -> bool:
    """Tell whether a copy at the deputy may replace the log entry now."""
    limit = current.timing.limit_without_log_ms
    if now > clock.later(current.proof_at, limit):
        return False
    if now < current.owner.deputy_blocked_until:
        return False
    return bool(current.journal.claim.deputy) and current.is_serving


def end(
    current: _Partition,
    concluded: admission_records.Concluded,
) -> _Partition:
    """Return the state after an attempt ended; ignore unknown attempts."""
    known = find(current, concluded.key)
    if known is None or known.attempt != concluded.attempt:
        return current
    if known.status is not _Status.RUNNING or not current.is_serving:
        return current
    status = _STATUS_BY_ENDING.get(concluded.ending)
    updated = status and dataclasses.replace(known, status=status)
    return with_owner(
        current,
        overlay={**current.owner.overlay, concluded.key: updated},
        ended=(*current.owner.ended, concluded),
    )


_STATUS_BY_ENDING = {
    admission_records.Ending.ANSWERED: _Status.ANSWERED,
    admission_records.Ending.UNKNOWN: _Status.UNKNOWN,
}


def refuse(
    current: _Partition,
    refused: tuple[admission_state.Waiting, ...],
) -> _Decision:
    """Refuse waiting admission requests and release their queued keys."""
    asks = {waiting.asked.attempt: waiting.asked for waiting in refused}
    owner = current.owner
    overlay = dict(owner.overlay)
    for asked in asks.values():
        entry = overlay.get(asked.key)
        if entry is not None and entry.attempt == asked.attempt:
            overlay[asked.key] = None
    released = tuple(
        admission_records.Concluded(
            asked.key,
            asked.attempt,
            admission_records.Ending.NOT_RUN,
        )
        for asked in asks.values()
        if asked.attempt in owner.waiting
    )
    return _Decision(
        with_owner(
            current,
            overlay=overlay,
            ended=(*owner.ended, *released),
            waiting={
                attempt: waiting
                for attempt, waiting in owner.waiting.items()
                if attempt not in asks
            },
            parked=tuple(
                waiting
                for waiting in owner.parked
                if waiting.asked.attempt not in asks
            ),
        ),
        tuple(
            admission_actions.Answer(attempt, _Verdict.UNAVAILABLE)
            for attempt in asks
        ),
    )


def admit_waiting(
    current: _Partition,
    admitted: tuple[admission_state.Waiting, ...],
) -> _Decision:
    """Answer waiting admission requests that their attempts may run."""
    attempts = [waiting.asked.attempt for waiting in admitted]
    return _Decision(
        with_owner(
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


def unpark(current: _Partition, now: clock.Millis) -> _Decision:
    """Decide the admission requests that waited for a settled claim."""
    decision = _Decision(with_owner(current, parked=()))
    for waiting in current.owner.parked:
        asked = waiting.asked
        step = ask(decision.state, asked, now)
        decision = _Decision(
            step.state,
            (*decision.actions, *step.actions),
        )
    return decision


def all_waiting(current: _Partition) -> tuple[admission_state.Waiting, ...]:
    """Return every admission request that has no answer yet."""
    return (*current.owner.waiting.values(), *current.owner.parked)
