"""Decide when an instance claims a term, and what it promises."""

import dataclasses

from sycamoreferry_core import (
    actions,
    authority,
    clock,
    coordination,
    events,
    ids,
    keys,
    links,
    records,
    state,
)

# Followers that may claim a term, each one detection time after the last.
MAX_CLAIMANTS = 3
# Time-outs in multiples of the detection time.
FOLLOWER_TIMEOUT_DETECTIONS = 2
PROBES_PER_DETECTION = 2
RESEND_TIMEOUT_DETECTIONS = 2
DEPUTY_TIMEOUT_DETECTIONS = 5


def enter_term(
    current: coordination.CoordinatorState,
    term: state.TermState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Return the state at the start of a term that the log shows."""
    return dataclasses.replace(
        authority.note_superseded(current, term, now),
        term=term,
        links=links.reset_links(current),
        pending=None,
        entered_at=now,
        proved_at=_claim_sent_at(current, term),
        authority_until=clock.LONG_AGO,
        proof_asked_at=clock.LONG_AGO,
        promised_until=clock.LONG_AGO,
        earlier_promised_until=max(
            current.promised_until,
            current.earlier_promised_until,
        ),
        asked_as_deputy_at=now,
        deputy_heard_at=now,
        holders_heard_at=now,
    )


def _claim_sent_at(
    current: coordination.CoordinatorState,
    term: state.TermState,
) -> clock.Millis:
    pending = current.pending
    newest = term.unsettled[-1:]
    if pending is None or not newest:
        return clock.LONG_AGO
    if newest[0].record_id != pending.record_id:
        return clock.LONG_AGO
    # No later claim can precede the claim that it follows.
    return current.pending_since


def note_promise(
    current: coordination.CoordinatorState,
    event: events.DeputyAsked,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Return the state after a promise; unchanged where none is given."""
    known = current.term
    asked_by_holder = event.coordinator == known.coordinator
    if event.term != known.term or not asked_by_holder:
        return current
    if known.deputy != current.instance or current.is_cleared_by_operator:
        return current
    if current.highest_reported_term > event.term:
        return current
    promise_ms = authority.with_drift(
        current, current.longest_timing.authority_ms
    )
    # A claim in flight need not be withdrawn: if it is appended, this instance
    # waits until its own promise expires before it treats the term as ended.
    return dataclasses.replace(
        current,
        pending=None,
        asked_as_deputy_at=now,
        promised_until=clock.later(now, promise_ms),
    )


def note_holder_answer(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Return the state after a holder of the term answered a probe."""
    return dataclasses.replace(current, holders_heard_at=now, pending=None)


def resend_pending(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Append the pending record again if it was not read back in time."""
    sent_at = max(current.pending_since, current.pending_sent_at)
    timeout_ms = RESEND_TIMEOUT_DETECTIONS * current.timing.detection_ms
    if current.pending is None or now < clock.later(sent_at, timeout_ms):
        return actions.Decision(current)
    return actions.Decision(
        dataclasses.replace(current, pending_sent_at=now),
        (actions.AppendRecord(current.pending),),
    )


def consider_claim(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Claim the next term if the holders of this one do not answer."""
    if current.pending is not None:
        return resend_pending(current, now)
    if current.role is coordination.Role.DEPUTY:
        return _consider_as_deputy(current, now)
    return _consider_as_follower(current, now)


def _consider_as_deputy(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    deadline = max(
        clock.later(current.asked_as_deputy_at, current.timing.detection_ms),
        current.promised_until,
    )
    if now > deadline:
        return claim_term(current, now)
    return actions.Decision(current)


def _consider_as_follower(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    rank = _claim_rank(current)
    if rank is None:
        return actions.Decision(
            dataclasses.replace(current, holders_heard_at=now),
        )
    if current.term.term == ids.NO_TERM and rank == 0:
        return claim_term(current, now)
    timeout_ms = (
        FOLLOWER_TIMEOUT_DETECTIONS + rank
    ) * current.timing.detection_ms
    if now > clock.later(current.holders_heard_at, timeout_ms):
        return claim_term(current, now)
    return _probe(current, now)


def _probe(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    interval = current.timing.detection_ms // PROBES_PER_DETECTION
    if now < clock.later(current.proof_asked_at, interval):
        return actions.Decision(current)
    holders = tuple(
        holder
        for holder in (current.term.coordinator, current.term.deputy)
        if holder
    )
    return actions.Decision(
        dataclasses.replace(current, proof_asked_at=now),
        (actions.ProbeHolders(holders),),
    )


def _ranked_candidates(
    current: coordination.CoordinatorState,
    purpose: str,
) -> list[coordination.Candidate]:
    return sorted(
        current.candidates,
        key=lambda candidate: keys.hash_text(
            f'{current.service}/{purpose}/{candidate.instance}',
        ),
    )


def _claim_rank(current: coordination.CoordinatorState) -> int | None:
    holders = {current.term.coordinator, current.term.deputy}
    claimants = [
        candidate.instance
        for candidate in _ranked_candidates(current, 'claimant')
        if candidate.instance not in holders
    ]
    eligible = claimants[:MAX_CLAIMANTS]
    return (
        eligible.index(current.instance)
        if current.instance in eligible
        else None
    )


def replace_deputy(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Claim the next term to replace a missing or silent deputy."""
    timeout_ms = DEPUTY_TIMEOUT_DETECTIONS * current.timing.detection_ms
    silent = now > clock.later(current.deputy_heard_at, timeout_ms)
    needs_deputy = silent or not _is_candidate(current, current.term.deputy)
    if (
        current.pending is not None
        or not needs_deputy
        or not current.log_reached
    ):
        return actions.Decision(current)
    if choose_deputy(current) in {'', current.term.deputy}:
        return actions.Decision(current)
    return claim_term(current, now)


def _is_candidate(
    current: coordination.CoordinatorState,
    instance: ids.InstanceId,
) -> bool:
    return any(known.instance == instance for known in current.candidates)


def claim_for_deputy(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> records.TermClaimed | None:
    """Return a claim for the deputy, or None without authority or deputy."""
    successor = current.term.deputy
    if not current.has_authority(now) or not _is_candidate(current, successor):
        return None
    return _write_claim(current, now, successor)


def claim_term(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Append a claim of the term that follows the current one."""
    claim = _write_claim(current, now, current.instance)
    return actions.Decision(
        dataclasses.replace(current, pending=claim, pending_since=now),
        (actions.AppendRecord(claim),),
    )


def _write_claim(
    current: coordination.CoordinatorState,
    now: clock.Millis,
    coordinator: ids.InstanceId,
) -> records.TermClaimed:
    term = ids.Term(current.term.term + 1)
    return records.TermClaimed(
        record_id=ids.RecordId(
            f'claim/{current.service}/{term}/{current.instance}/{now}'
        ),
        service=current.service,
        term=term,
        follows=current.term.term,
        coordinator=coordinator,
        deputy=choose_deputy(current),
    )


def choose_deputy(
    current: coordination.CoordinatorState,
) -> ids.InstanceId:
    """Return the next deputy, preferably in another data centre, or ''."""
    own_data_centres = {
        candidate.data_centre
        for candidate in current.candidates
        if candidate.instance == current.instance
    }
    avoided = {current.instance, current.term.coordinator, current.term.deputy}
    others = [
        candidate
        for candidate in _ranked_candidates(
            current, f'deputy/{current.term.term}'
        )
        if candidate.instance not in avoided
    ]
    others.sort(key=lambda candidate: candidate.data_centre in own_data_centres)
    return others[0].instance if others else ids.InstanceId('')
