"""Decide when to claim a partition, and when older claims have ended."""

import dataclasses

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

FOLLOWER_TIMEOUT_PERIODS = 3
PENDING_TIMEOUT_PERIODS = 4
PROBES_PER_DETECTION = 4
MAX_DEPARTED_INSTANCES = 256

_Decision = admission_state.Decision
_Partition = admission_state.PartitionState


def update_members(
    current: _Partition,
    event: admission_events.MembersChanged,
) -> _Partition:
    """Return the state with the joined instances and those that left.

    Only a bounded number of the latest leavers is kept.
    """
    joined = {member.instance for member in event.ranking}
    newly_departed = [
        member.instance
        for member in current.ranking
        if member.instance not in joined
    ]
    departed = (*current.departed, *newly_departed)[-MAX_DEPARTED_INSTANCES:]
    return dataclasses.replace(
        current, ranking=event.ranking, departed=departed
    )


def record_contact(
    current: _Partition,
    instance: ids.InstanceId,
    now: clock.Millis,
) -> _Partition:
    """Return the state after a message from an instance."""
    return dataclasses.replace(
        current,
        heard_at={**current.heard_at, instance: now},
    )


def probe_holders(current: _Partition, now: clock.Millis) -> _Decision:
    """Probe the owner and the deputy at a fixed interval."""
    interval = current.timing.detection_ms // PROBES_PER_DETECTION
    if now < clock.later(current.probed_at, interval):
        return _Decision(current)
    claim = current.journal.claim
    holders = {claim.owner, claim.deputy} - {
        current.instance,
        ids.InstanceId(''),
    }
    return _Decision(
        dataclasses.replace(current, probed_at=now),
        tuple(admission_actions.Probe(holder) for holder in sorted(holders)),
    )


def claim_if_needed(current: _Partition, now: clock.Millis) -> _Decision:
    """Claim the partition if its holders are silent or it needs a deputy."""
    if not current.is_log_current or now < current.claim.pending_until:
        return _Decision(current)
    if _rank(current) is None or not _should_claim(current, now):
        return _Decision(current)
    deputy = _choose_deputy(current)
    claim = admission_records.AdmissionClaimed(current.instance, deputy)
    timeout = PENDING_TIMEOUT_PERIODS * current.timing.detection_ms
    pending = dataclasses.replace(
        current.claim,
        pending_until=clock.later(now, timeout),
    )
    return _Decision(
        dataclasses.replace(
            _end_claims_before(current, ids.Offset(_end_bound(current))),
            claim=pending,
        ),
        (admission_actions.Append(claim),),
    )


def _end_bound(current: _Partition) -> int:
    claim = current.journal.claim
    if claim.owner == current.instance:
        return current.deputy.ended_before
    return claim.offset + 1


def _rank(current: _Partition) -> int | None:
    for rank, member in enumerate(current.ranking):
        if member.instance == current.instance:
            return rank
    return None


def _should_claim(current: _Partition, now: clock.Millis) -> bool:
    claim = current.journal.claim
    rank = _rank(current) or 0
    detection = current.timing.detection_ms
    if claim.owner == current.instance:
        return _needs_deputy(current, now)
    if not claim.owner:
        return now > clock.later(current.started_at, rank * detection)
    silence = now - current.silent_since(claim.owner)
    if claim.deputy == current.instance:
        return silence > detection
    timeout = (FOLLOWER_TIMEOUT_PERIODS + rank) * detection
    if claim.deputy and now - current.silent_since(claim.deputy) < timeout:
        return False
    return silence > timeout


def _needs_deputy(current: _Partition, now: clock.Millis) -> bool:
    if not current.is_serving:
        return current.journal.claim.offset < current.deputy.ended_before
    deputy = current.journal.claim.deputy
    if now < current.owner.deputy_blocked_until:
        return True
    if _choose_deputy(current) == deputy:
        return False
    timeout = FOLLOWER_TIMEOUT_PERIODS * current.timing.detection_ms
    return not deputy or now - current.silent_since(deputy) > timeout


def _choose_deputy(
    current: _Partition,
) -> ids.InstanceId:
    own_data_centres = [
        member.data_centre
        for member in current.ranking
        if member.instance == current.instance
    ]
    claim = current.journal.claim
    avoided = {current.instance, claim.owner}
    others = [
        member for member in current.ranking if member.instance not in avoided
    ]
    remote = [
        member.instance
        for member in others
        if member.data_centre not in own_data_centres
    ]
    candidates = remote or [member.instance for member in others]
    if claim.deputy in candidates and len(candidates) > 1:
        after = candidates.index(claim.deputy) + 1
        candidates = candidates[after:] + candidates[:after]
    return next(iter(candidates), ids.InstanceId(''))


def _end_claims_before(current: _Partition, offset: ids.Offset) -> _Partition:
    latest = max(current.deputy.ended_before, offset)
    return dataclasses.replace(
        current,
        deputy=dataclasses.replace(current.deputy, ended_before=latest),
    )


def reset_for_claim(current: _Partition, now: clock.Millis) -> _Partition:
    """Return the state after a new claim was read from the stream."""
    ended = _end_claims_before(current, current.journal.claim.offset)
    return dataclasses.replace(
        ended,
        claim=admission_state.ClaimState(
            pending_until=(
                clock.LONG_AGO
                if current.is_owner
                else current.claim.pending_until
            ),
            seen_at=now,
        ),
        owner=dataclasses.replace(
            ended.owner,
            serial=0,
            copy_pending=False,
            deputy_blocked_until=clock.LONG_AGO,
        ),
    )


def end_older_claims(current: _Partition, now: clock.Millis) -> _Decision:
    """Confirm that older claims ended; nothing is admitted before that."""
    if not current.is_owner or current.journal.is_settled:
        return _Decision(current)
    if current.claim.older_claims_ended:
        return _Decision(current)
    settled = current.journal.settled
    if settled.deputy == current.instance:
        return _Decision(
            _requeue_admissions(current, _copies_under_settled_claim(current))
        )
    if settled.owner in {current.instance, ''} or _older_claims_expired(
        current, now
    ):
        return _Decision(_requeue_admissions(current, ()))
    due = clock.later(current.claim.yield_requested_at, current.timing.retry_ms)
    if now < due:
        return _Decision(current)
    asked = dataclasses.replace(current.claim, yield_requested_at=now)
    holders = (settled.owner, settled.deputy)
    return _Decision(
        dataclasses.replace(current, claim=asked),
        (
            admission_actions.RequestYield(
                holders, current.journal.claim.offset
            ),
        ),
    )


def _older_claims_expired(current: _Partition, now: clock.Millis) -> bool:
    settled = current.journal.settled
    if settled.owner in current.departed and settled.deputy in current.departed:
        return True
    timing = current.timing
    wait_ms = current.with_drift(
        timing.limit_without_log_ms + timing.window_ms,
    )
    return now > clock.later(current.claim.seen_at, wait_ms)


def _copies_under_settled_claim(
    current: _Partition,
) -> tuple[admission_records.Admitted, ...]:
    if current.deputy.claim != current.journal.settled.offset:
        return ()
    return tuple(current.deputy.copies.values())


def _requeue_admissions(
    current: _Partition,
    admitted: tuple[admission_records.Admitted, ...],
) -> _Partition:
    overlay = dict(current.owner.overlay)
    for copied in admitted:
        overlay[copied.key] = admission_window.new_entry(
            copied,
            current.journal.time_ms,
        )
    recovered = admission_requests.replace_owner_state(
        current,
        overlay=overlay,
        queued=(*current.owner.queued, *admitted),
    )
    ended = dataclasses.replace(current.claim, older_claims_ended=True)
    return dataclasses.replace(recovered, claim=ended)


def accept_yield(
    current: _Partition,
    event: admission_events.YieldConfirmed,
) -> _Partition:
    """Return the state after a holder confirmed that older claims ended."""
    is_current = event.claim == current.journal.claim.offset
    if (
        not current.is_owner
        or not is_current
        or current.claim.older_claims_ended
    ):
        return current
    if current.journal.is_settled:
        return current
    return _requeue_admissions(current, event.admitted)


def yield_claims(
    current: _Partition,
    event: admission_events.YieldRequested,
) -> _Decision:
    """Stop admitting under older claims and report their admissions."""
    ended = _end_claims_before(current, event.claim)
    decision = _Decision(ended)
    if ended.journal.claim.offset < event.claim:
        waiting = admission_requests.unanswered_requests(ended)
        decision = admission_requests.refuse(ended, waiting)
    held = tuple(
        entry.as_admitted(key)
        for key, entry in decision.state.owner.overlay.items()
        if entry is not None
    )
    answer = admission_actions.ConfirmYield(
        claimant=event.claimant,
        claim=event.claim,
        admitted=(*held, *decision.state.deputy.copies.values()),
    )
    return _Decision(decision.state, (*decision.actions, answer))


def hold_copy(
    current: _Partition,
    event: admission_events.CopyRequested,
) -> _Decision:
    """Store a copy of admissions, unless the owner's claim has ended."""
    deputy = current.deputy
    oldest_open = max(deputy.ended_before, current.journal.claim.offset)
    is_late = event.claim == deputy.claim and event.number <= deputy.number
    is_open = event.claim >= oldest_open and event.claim >= deputy.claim
    if is_late or not is_open:
        return _Decision(current, (_answer_copy(event, held=False),))
    copies = dict(deputy.copies) if event.claim == deputy.claim else {}
    copies.update({copied.key: copied for copied in event.admitted})
    if len(copies) > current.timing.max_unjournaled:
        return _Decision(current, (_answer_copy(event, held=False),))
    updated = dataclasses.replace(
        deputy,
        claim=event.claim,
        number=event.number,
        copies=copies,
    )
    return _Decision(
        dataclasses.replace(current, deputy=updated),
        (_answer_copy(event, held=True),),
    )


def _answer_copy(
    event: admission_events.CopyRequested,
    held: bool,
) -> admission_actions.AnswerCopy:
    return admission_actions.AnswerCopy(
        owner=event.owner,
        claim=event.claim,
        number=event.number,
        held=held,
    )


def drop_journaled_copies(current: _Partition) -> _Partition:
    """Return the state without the copies that are now in the stream."""
    deputy = current.deputy
    if not deputy.copies:
        return current
    journal = current.journal
    kept = {}
    if deputy.claim >= journal.settled.offset:
        for key, copied in deputy.copies.items():
            known = journal.find(key)
            if known is None or known.order < tuple(copied.order):
                kept[key] = copied
    return dataclasses.replace(
        current,
        deputy=dataclasses.replace(deputy, copies=kept),
    )
