"""Decide when an instance claims a term, and what it promises."""

import dataclasses

from sycamoreferry_core import (
    actions,
    clock,
    coordination,
    events,
    ids,
    keys,
    records,
    state,
)

FOLLOWER_PATIENCE = 3
PENDING_PATIENCE = 4


def enter_term(
    current: coordination.CoordinatorState,
    term: state.TermState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Return the state at the start of a term that the log shows."""
    links = {
        server: coordination.ServerLink(server, member=link.member)
        for server, link in current.links.items()
    }
    return dataclasses.replace(
        current,
        term=term,
        links=links,
        pending=None,
        authority_until=clock.LONG_AGO,
        proof_asked_at=clock.LONG_AGO,
        asked_as_deputy_at=now,
        holders_heard_at=now,
        old_authority_over=_old_authority_over(current, term, now),
    )


def _old_authority_over(
    current: coordination.CoordinatorState,
    term: state.TermState,
    now: clock.Millis,
) -> clock.Millis:
    earlier = [claim for claim in term.unsettled if claim.term != term.term]
    if not earlier:
        return now
    if all(claim.deputy == current.me for claim in earlier):
        proved = with_drift(current, current.timing.authority_ms)
        return max(clock.later(now, proved), current.promised_until)
    limit = with_drift(current, current.timing.limit_without_log_ms)
    return clock.later(now, limit)


def with_drift(
    current: coordination.CoordinatorState,
    duration: int,
) -> int:
    """Lengthen a duration in milliseconds by the bound on clock drift."""
    return int(duration * (1 + current.timing.clock_drift_share)) + 1


def promise(
    current: coordination.CoordinatorState,
    event: events.DeputyAsked,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Return the state after a promise; unchanged where none is given."""
    known = current.term
    asked_by_holder = event.coordinator == known.coordinator
    if event.term != known.term or not asked_by_holder:
        return current
    if current.pending is not None or known.deputy != current.me:
        return current
    lasting = 2 * with_drift(current, current.timing.authority_ms)
    return dataclasses.replace(
        current,
        asked_as_deputy_at=now,
        promised_until=clock.later(now, lasting),
    )


def consider_claim(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Claim the next term where the holders of this one are silent."""
    if current.pending is not None:
        return actions.Decision(_forget_lost_claim(current, now))
    if current.role is coordination.Role.DEPUTY:
        silent_since = current.asked_as_deputy_at
        silence = max(
            clock.later(silent_since, current.timing.detection_ms),
            current.promised_until,
        )
        return _claim(current, now) if now > silence else _stay(current)
    if not _is_first_in_line(current):
        return _stay(current)
    if current.term.term == ids.NO_TERM:
        return _claim(current, now)
    patience = FOLLOWER_PATIENCE * current.timing.detection_ms
    if now > clock.later(current.holders_heard_at, patience):
        return _claim(current, now)
    return _probe(current, now)


def _stay(
    current: coordination.CoordinatorState,
) -> actions.Decision:
    return actions.Decision(current)


def _forget_lost_claim(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    patience = PENDING_PATIENCE * current.timing.detection_ms
    if now < clock.later(current.pending_since, patience):
        return current
    return dataclasses.replace(current, pending=None)


def _probe(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    if now < clock.later(current.proof_asked_at, current.timing.detection_ms):
        return _stay(current)
    holders = (current.term.coordinator, current.term.deputy)
    return actions.Decision(
        dataclasses.replace(current, proof_asked_at=now),
        (actions.ProbeHolders(holders),),
    )


def _rank(
    current: coordination.CoordinatorState,
) -> list[coordination.Candidate]:
    return sorted(
        current.candidates,
        key=lambda candidate: keys.hash_text(
            f'{current.service}/{candidate.instance}',
        ),
    )


def _is_first_in_line(current: coordination.CoordinatorState) -> bool:
    holders = {current.term.coordinator, current.term.deputy}
    line = [
        candidate.instance
        for candidate in _rank(current)
        if candidate.instance not in holders
    ]
    return line[:1] == [current.me]


def _claim(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    deputy = _choose_deputy(current)
    if deputy is None:
        return _stay(current)
    term = ids.Term(current.term.term + 1)
    claim = records.TermClaimed(
        record_id=ids.RecordId(
            f'claim/{current.service}/{term}/{current.me}/{now}'
        ),
        service=current.service,
        term=term,
        follows=current.term.term,
        coordinator=current.me,
        deputy=deputy,
    )
    return actions.Decision(
        dataclasses.replace(current, pending=claim, pending_since=now),
        (actions.AppendRecord(claim),),
    )


def _choose_deputy(
    current: coordination.CoordinatorState,
) -> ids.InstanceId | None:
    mine = [
        candidate.data_centre
        for candidate in current.candidates
        if candidate.instance == current.me
    ]
    others = [
        candidate
        for candidate in _rank(current)
        if candidate.instance not in {current.me, current.term.coordinator}
    ]
    elsewhere = [
        candidate.instance
        for candidate in others
        if candidate.data_centre not in mine
    ]
    nearby = [candidate.instance for candidate in others]
    return next(iter([*elsewhere, *nearby]), None)
