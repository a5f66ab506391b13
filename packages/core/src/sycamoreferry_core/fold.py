"""Apply the records of the log to the state in offset order."""

import dataclasses
import functools
import typing

import pydantic

from sycamoreferry_core import (
    clock,
    ids,
    profiles,
    records,
    result_codes,
    snapshot_progress,
    state,
)

_ACCEPTED = result_codes.ResultCode.ANSWERED

KeyType = typing.TypeVar('KeyType')
HeldType = typing.TypeVar('HeldType')


@dataclasses.dataclass(frozen=True)
class Accepted:
    """Hold the state after an accepted record."""

    state: state.LogState


@dataclasses.dataclass(frozen=True)
class Refused:
    """Hold the result code that says why a record was rejected."""

    code: result_codes.ResultCode


Verdict = Accepted | Refused


class OffsetGapError(ValueError):
    """Report a record that is not the next one after the state."""


def fold_all(
    log_state: state.LogState,
    logged: typing.Iterable[records.LoggedRecord],
) -> state.LogState:
    """Apply records in order; raise OffsetGapError if any is missing."""
    for entry in logged:
        log_state = fold_one(log_state, entry)
    return log_state


def fold_one(
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> state.LogState:
    """Apply one record; a record that was applied before is ignored."""
    if entry.offset < log_state.next_offset:
        return log_state
    if entry.offset > log_state.next_offset:
        raise OffsetGapError(
            f'expected offset {log_state.next_offset}, got {entry.offset};'
            ' reload the state from a snapshot',
        )
    advanced = dataclasses.replace(
        log_state,
        next_offset=ids.Offset(entry.offset + 1),
    )
    try:
        record = records.decode_record(entry.payload)
    except records.BadRecordError:
        return advanced
    if advanced.verdict_of(record.record_id) is not None:
        return advanced
    verdict = apply_record(record, advanced, entry)
    return _with_verdict(advanced, record, entry.offset, verdict)


def _with_verdict(
    before: state.LogState,
    record: records.AnyRecord,
    offset: ids.Offset,
    verdict: Verdict,
) -> state.LogState:
    code = _ACCEPTED if isinstance(verdict, Accepted) else verdict.code
    after = verdict.state if isinstance(verdict, Accepted) else before
    return dataclasses.replace(
        after,
        remembered=before.remembered.add(offset, record.record_id, code),
    )


def with_entry(
    mapping: typing.Mapping[KeyType, HeldType],
    key: KeyType,
    value: HeldType,
) -> dict[KeyType, HeldType]:
    """Copy a mapping with one entry added or replaced."""
    return {**mapping, key: value}


@functools.singledispatch
def apply_record(
    record: object,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    """Return the state after a record, or why the record is rejected."""
    return Refused(result_codes.ResultCode.BAD_RECORD)


@apply_record.register
def _apply_term_claimed(
    record: records.TermClaimed,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.term_of(record.service)
    is_successor = record.follows == current.term
    if not is_successor or record.term != current.term + 1:
        return Refused(result_codes.ResultCode.STALE_TERM)
    claimed = dataclasses.replace(
        current,
        term=record.term,
        coordinator=record.coordinator,
        deputy=record.deputy,
        unsettled=(*current.unsettled, record),
    )
    return Accepted(
        dataclasses.replace(
            log_state,
            terms=with_entry(log_state.terms, record.service, claimed),
        ),
    )


@apply_record.register
def _apply_term_settled(
    record: records.TermSettled,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.term_of(record.service)
    if record.term != current.term:
        return Refused(result_codes.ResultCode.STALE_TERM)
    settled = dataclasses.replace(
        current,
        settled=ids.Term(record.term - 1),
        unsettled=current.unsettled[-1:],
        past_owners=(),
    )
    return Accepted(_with_term(log_state, record.service, settled))


@apply_record.register
def _apply_holders_released(
    record: records.HoldersReleased,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.term_of(record.service)
    if record.term > current.term:
        return Refused(result_codes.ResultCode.STALE_TERM)
    released = dataclasses.replace(
        current,
        unsettled=tuple(
            claim for claim in current.unsettled if claim.term > record.term
        ),
    )
    return Accepted(_with_term(log_state, record.service, released))


def _with_term(
    log_state: state.LogState,
    service: ids.ServiceName,
    term: state.TermState,
) -> state.LogState:
    terms = with_entry(log_state.terms, service, term)
    return dataclasses.replace(log_state, terms=terms)


@apply_record.register
def _apply_assignment_revised(
    record: records.AssignmentRevised,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    if record.term != log_state.term_of(record.service).term:
        return Refused(result_codes.ResultCode.STALE_TERM)
    revised = _revised_assignment(
        log_state.assignment_of(record.service),
        record,
        ids.Fence(entry.offset),
    )
    if revised is None:
        return Refused(result_codes.ResultCode.BAD_RECORD)
    assignments = with_entry(log_state.assignments, record.service, revised)
    with_owners = _with_past_owners(log_state, record)
    return Accepted(
        dataclasses.replace(
            with_owners,
            assignments=assignments,
            recent_moves=_updated_recent_moves(log_state, record),
        ),
    )


def _with_past_owners(
    log_state: state.LogState,
    record: records.AssignmentRevised,
) -> state.LogState:
    before = log_state.assignment_of(record.service)
    previous_owners = {
        owner
        for change in record.changes
        for owner in map(before.owner_of, change.shards)
        if owner
    }
    current = log_state.term_of(record.service)
    updated = dataclasses.replace(
        current,
        past_owners=tuple(sorted(previous_owners.union(current.past_owners))),
    )
    return _with_term(log_state, record.service, updated)


def _updated_recent_moves(
    log_state: state.LogState,
    record: records.AssignmentRevised,
) -> typing.Mapping[ids.ServiceName, tuple[state.RecentMove, ...]]:
    if not record.cause.is_voluntary:
        return log_state.recent_moves
    oldest = record.decided_at - clock.MILLIS_PER_HOUR
    kept = tuple(
        move
        for move in log_state.recent_moves.get(record.service, ())
        if move.decided_at > oldest
    )
    moved = state.RecentMove(
        cause=record.cause,
        decided_at=record.decided_at,
        shards=tuple(
            shard for change in record.changes for shard in change.shards
        ),
    )
    return with_entry(
        log_state.recent_moves,
        record.service,
        (*kept, moved),
    )


def _revised_assignment(
    assignment: state.Assignment,
    record: records.AssignmentRevised,
    fence: ids.Fence,
) -> state.Assignment | None:
    count = record.shard_count
    owners = list(assignment.owners) or [ids.ServerId('')] * count
    fences = list(assignment.fences) or [ids.NO_FENCE] * count
    if len(owners) != count:
        return None
    for change in record.changes:
        for shard in change.shards:
            if not 0 <= shard < count:
                return None
            owners[shard] = change.server
            fences[shard] = fence
    return state.Assignment(tuple(owners), tuple(fences))


@apply_record.register
def _apply_profile_published(
    record: records.ProfilePublished,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.profiles.get(record.name)
    number = current.number if current else ids.NO_PROFILE_NUMBER
    if record.revises != number:
        return Refused(result_codes.ResultCode.STALE_PROFILE)
    try:
        profile = profiles.parse_profile(record.body)
    except pydantic.ValidationError:
        return Refused(result_codes.ResultCode.BAD_RECORD)
    published = state.PublishedProfile(
        number=ids.ProfileNumber(number + 1),
        profile=profile,
        offset=entry.offset,
    )
    return Accepted(
        dataclasses.replace(
            log_state,
            profiles=with_entry(log_state.profiles, record.name, published),
        ),
    )


@apply_record.register
def _apply_instance_joined(
    record: records.InstanceJoined,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    joined = state.InstanceState(
        instance=record.instance,
        data_centre=record.data_centre,
        peer_host=record.peer_host,
        peer_port=record.peer_port,
        request_port=record.request_port,
    )
    instances = with_entry(log_state.instances, record.instance, joined)
    return Accepted(dataclasses.replace(log_state, instances=instances))


@apply_record.register
def _apply_drain_requested(
    record: records.DrainRequested,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.placement_constraints_of(record.service)
    drained = set(current.drained) - {record.server}
    if record.drain:
        drained.add(record.server)
    constraints = dataclasses.replace(current, drained=tuple(sorted(drained)))
    return _with_constraints(log_state, record.service, constraints)


@apply_record.register
def _apply_shard_pinned(
    record: records.ShardPinned,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    current = log_state.placement_constraints_of(record.service)
    pins = dict(current.pins)
    pins.pop(record.shard, None)
    if record.server is not None:
        pins[record.shard] = record.server
    constraints = dataclasses.replace(current, pins=pins)
    return _with_constraints(log_state, record.service, constraints)


def _with_constraints(
    log_state: state.LogState,
    service: ids.ServiceName,
    constraints: state.PlacementConstraints,
) -> Verdict:
    updated = with_entry(log_state.wishes, service, constraints)
    return Accepted(dataclasses.replace(log_state, wishes=updated))


@apply_record.register
def _apply_state_snapshot(
    record: records.StateSnapshot,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    if record.covers <= log_state.snapshots.covers:
        return Refused(result_codes.ResultCode.STALE_SNAPSHOT)
    if not 0 <= record.part < record.parts or record.covers > entry.offset:
        return Refused(result_codes.ResultCode.BAD_RECORD)
    progress = snapshot_progress.add_part(log_state.snapshots, record)
    return Accepted(dataclasses.replace(log_state, snapshots=progress))


@apply_record.register
def _apply_instance_left(
    record: records.InstanceLeft,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    if record.instance not in log_state.instances:
        return Refused(result_codes.ResultCode.UNKNOWN_INSTANCE)
    instances = dict(log_state.instances)
    instances.pop(record.instance)
    return Accepted(dataclasses.replace(log_state, instances=instances))


@apply_record.register(records.ServerCrashed)
@apply_record.register(records.SuspicionCleared)
def _apply_crash_record(
    record: records.ServerCrashed | records.SuspicionCleared,
    log_state: state.LogState,
    entry: records.LoggedRecord,
) -> Verdict:
    history = log_state.crash_book
    if isinstance(record, records.ServerCrashed):
        history = history.add_crash(record.crash)
    else:
        history = history.without_digest(record.digest)
    return Accepted(dataclasses.replace(log_state, crash_book=history))
