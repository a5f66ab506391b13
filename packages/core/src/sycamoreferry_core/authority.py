"""Decide how long a term's authority lasts, and when earlier ones end."""

import dataclasses

from sycamoreferry_core import (
    actions,
    clock,
    coordination,
    ids,
    profiles,
    records,
    state,
)

PROOFS_PER_AUTHORITY = 3


def with_drift(
    current: coordination.CoordinatorState,
    duration: int,
) -> int:
    """Lengthen a duration in milliseconds by the bound on clock drift."""
    return int(duration * (1 + current.longest_timing.clock_drift_share)) + 1


def seek_proof(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> actions.Decision:
    """Ask log and deputy to prove the term, and holders to release."""
    interval = current.timing.authority_ms // PROOFS_PER_AUTHORITY
    if now < clock.later(current.proof_asked_at, interval):
        return actions.Decision(current)
    asked = dataclasses.replace(current, proof_asked_at=now)
    return actions.Decision(
        asked,
        (actions.ReadTail(), *_ask_deputy(current), *_ask_releases(current)),
    )


def _ask_deputy(
    current: coordination.CoordinatorState,
) -> tuple[actions.Action, ...]:
    refused = current.highest_reported_term > current.term.term
    if refused or not current.term.deputy:
        return ()
    return (actions.AskDeputy(current.term.deputy, current.term.term),)


def _ask_releases(
    current: coordination.CoordinatorState,
) -> tuple[actions.Action, ...]:
    holders = {
        holder
        for claim in earlier_claims(current.term)
        if claim.term not in current.ended_at
        and claim.coordinator != current.instance
        for holder in (claim.coordinator, claim.deputy)
        if holder
    }
    return tuple(
        actions.AskRelease(holder, current.term.term)
        for holder in sorted(holders.difference({current.instance}))
    )


def prove_by_log(
    current: coordination.CoordinatorState,
    sent_at: clock.Millis,
) -> coordination.CoordinatorState:
    """Extend authority from a read of the tail without a later claim."""
    proved = dataclasses.replace(
        current,
        proved_at=max(current.proved_at, sent_at),
    )
    return _extend(proved, clock.later(sent_at, current.timing.authority_ms))


def prove_by_deputy(
    current: coordination.CoordinatorState,
    sent_at: clock.Millis,
) -> coordination.CoordinatorState:
    """Extend authority from a promise, up to the limit without the log."""
    limit = clock.later(
        current.proved_at,
        current.timing.limit_without_log_ms,
    )
    until = clock.later(sent_at, current.timing.authority_ms)
    heard = dataclasses.replace(current, deputy_heard_at=sent_at)
    return _extend(heard, min(until, limit))


def _extend(
    current: coordination.CoordinatorState,
    until: clock.Millis,
) -> coordination.CoordinatorState:
    return dataclasses.replace(
        current,
        authority_until=max(current.authority_until, until),
    )


def earlier_authority_end(
    current: coordination.CoordinatorState,
) -> clock.Millis:
    """Return the time from which no earlier term can have authority."""
    if current.term.term <= ids.FIRST_TERM:
        return current.entered_at
    proved = with_drift(current, current.longest_timing.authority_ms)
    ends = [
        _claim_end(current, claim) for claim in earlier_claims(current.term)
    ]
    return max(
        clock.later(current.entered_at, proved),
        current.cleared_at,
        *ends,
    )


def earlier_claims(term: state.TermState) -> list[records.TermClaimed]:
    """Return the unsettled claims before the current one."""
    return [claim for claim in term.unsettled if claim.term < term.term]


def _claim_end(
    current: coordination.CoordinatorState,
    claim: records.TermClaimed,
) -> clock.Millis:
    if claim.coordinator == current.instance or not claim.deputy:
        return clock.LONG_AGO
    ended = current.ended_at.get(claim.term)
    if ended is not None:
        return ended
    if claim.deputy == current.instance:
        return current.earlier_promised_until
    limit = with_drift(current, current.longest_timing.limit_without_log_ms)
    return clock.later(current.superseded_at[claim.term], limit)


def note_superseded(
    current: coordination.CoordinatorState,
    term: state.TermState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Record when a later term was first seen for each unsettled one."""
    unsettled = [claim.term for claim in earlier_claims(term)]
    return dataclasses.replace(
        current,
        superseded_at={
            earlier: current.superseded_at.get(earlier, now)
            for earlier in unsettled
        },
        ended_at={
            earlier: ended
            for earlier, ended in current.ended_at.items()
            if earlier in unsettled
        },
    )


def note_release(
    current: coordination.CoordinatorState,
    holder: ids.InstanceId,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Record that a holder has released every earlier term it held."""
    ended = {
        claim.term: now
        for claim in earlier_claims(current.term)
        if holder in {claim.coordinator, claim.deputy}
    }
    return dataclasses.replace(current, ended_at={**ended, **current.ended_at})


def note_cleared(
    current: coordination.CoordinatorState,
    term: state.TermState,
    now: clock.Millis,
) -> coordination.CoordinatorState:
    """Record when an operator cleared earlier terms."""
    fewer = len(term.unsettled) < len(current.term.unsettled)
    if fewer and term.settled == current.term.settled:
        return dataclasses.replace(current, cleared_at=now)
    return current


def has_released(
    current: coordination.CoordinatorState,
    term: ids.Term,
    now: clock.Millis,
) -> bool:
    """Tell whether this instance acts and promises under no earlier term."""
    promised = current.earlier_promised_until
    if current.term.term < term:
        promised = max(promised, current.promised_until)
    # Once a release is asked for, no earlier term is acted under or promised.
    return now > promised and current.highest_reported_term >= term


def longest_of(
    first: profiles.Timing,
    second: profiles.Timing,
) -> profiles.Timing:
    """Return the greater value of each setting of two timings."""
    if first is second:
        return first
    one, other = first.model_dump(), second.model_dump()
    return first.model_copy(
        update={name: max(one[name], other[name]) for name in one},
    )
