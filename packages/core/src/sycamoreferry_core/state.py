"""Define the state that every instance builds by replaying the log."""

import dataclasses
import functools
import typing

from sycamoreferry_core import (
    ids,
    profiles,
    quarantine,
    record_fields,
    records,
    result_codes,
    verdicts,
)


@dataclasses.dataclass(frozen=True)
class TermState:
    """Hold the current term of a service."""

    term: record_fields.Term = ids.NO_TERM
    coordinator: record_fields.InstanceId = ids.InstanceId('')
    deputy: record_fields.InstanceId = ids.InstanceId('')
    settled: record_fields.Term = ids.NO_TERM
    unsettled: tuple[records.TermClaimed, ...] = ()
    past_owners: tuple[record_fields.ServerId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Hold each shard's owner and fencing token, indexed by shard id."""

    owners: tuple[record_fields.ServerId, ...] = ()
    fences: tuple[ids.Fence, ...] = ()

    def owner_of(self, shard: ids.ShardId) -> ids.ServerId | None:
        """Return the owner of a shard; None for an unknown shard id."""
        return self.owners[shard] if shard < len(self.owners) else None

    @functools.cached_property
    def shards_by_owner(
        self,
    ) -> typing.Mapping[ids.ServerId, frozenset[ids.ShardId]]:
        """Return the shards of each owner; unowned shards are left out."""
        owned: dict[ids.ServerId, list[ids.ShardId]] = {}
        for shard, owner in enumerate(self.owners):
            owned.setdefault(owner, []).append(ids.ShardId(shard))
        owned.pop(ids.ServerId(''), None)
        return {owner: frozenset(shards) for owner, shards in owned.items()}


@dataclasses.dataclass(frozen=True)
class PublishedProfile:
    """Hold the newest accepted revision of a profile and its offset."""

    number: record_fields.ProfileNumber
    profile: profiles.Profile
    offset: record_fields.Offset


@dataclasses.dataclass(frozen=True)
class InstanceState:
    """Hold the addresses at which a routing instance is reached."""

    instance: record_fields.InstanceId
    data_centre: record_fields.DataCentre
    peer_host: record_fields.PeerHost
    peer_port: record_fields.Port
    request_port: record_fields.Port


@dataclasses.dataclass(frozen=True)
class RecentMove:
    """Hold a voluntary move that still counts as churn."""

    cause: records.MoveCause
    decided_at: record_fields.UnixMillis
    shards: tuple[record_fields.ShardId, ...]


@dataclasses.dataclass(frozen=True)
class PlacementConstraints:
    """Hold the drains and pins that operators set for a service."""

    drained: tuple[record_fields.ServerId, ...] = ()
    pins: typing.Mapping[record_fields.ShardId, record_fields.ServerId] = (
        dataclasses.field(
            default_factory=dict,
        )
    )


@dataclasses.dataclass(frozen=True)
class UnfinishedSnapshot:
    """Hold the parts that an incomplete snapshot in the log still lacks."""

    snapshot: record_fields.SnapshotId
    covers: record_fields.Offset
    missing: tuple[record_fields.SnapshotPart, ...]


@dataclasses.dataclass(frozen=True)
class SnapshotProgress:
    """Hold the offset that the newest complete snapshot covers up to."""

    covers: record_fields.Offset = ids.FIRST_OFFSET
    unfinished: tuple[UnfinishedSnapshot, ...] = ()


@dataclasses.dataclass(frozen=True)
class LogState:
    """Hold the result of replaying the log up to an offset."""

    next_offset: record_fields.Offset = ids.FIRST_OFFSET
    terms: typing.Mapping[record_fields.ServiceName, TermState] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    assignments: typing.Mapping[record_fields.ServiceName, Assignment] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    profiles: typing.Mapping[record_fields.ProfileName, PublishedProfile] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    instances: typing.Mapping[record_fields.InstanceId, InstanceState] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    wishes: typing.Mapping[record_fields.ServiceName, PlacementConstraints] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    recent_moves: typing.Mapping[
        record_fields.ServiceName, tuple[RecentMove, ...]
    ] = dataclasses.field(
        default_factory=dict,
    )
    snapshots: SnapshotProgress = SnapshotProgress()
    remembered: verdicts.RecentVerdicts = verdicts.RecentVerdicts()
    crash_book: quarantine.CrashHistory = quarantine.CrashHistory()

    def term_of(self, service: ids.ServiceName) -> TermState:
        """Return the term of a service; term 0 if none was claimed."""
        return self.terms.get(service, _NO_TERM_STATE)

    def assignment_of(self, service: ids.ServiceName) -> Assignment:
        """Return the assignment of a service; empty if there is none."""
        return self.assignments.get(service, _NO_ASSIGNMENT)

    def placement_constraints_of(
        self, service: ids.ServiceName
    ) -> PlacementConstraints:
        """Return the drains and pins that operators set for a service."""
        return self.wishes.get(service, _NO_CONSTRAINTS)

    def verdict_of(
        self,
        record_id: ids.RecordId,
    ) -> result_codes.ResultCode | None:
        """Return the result code of a recent record; None if not seen."""
        return self.remembered.code_of(record_id)


_NO_TERM_STATE = TermState()
_NO_ASSIGNMENT = Assignment()
_NO_CONSTRAINTS = PlacementConstraints()
