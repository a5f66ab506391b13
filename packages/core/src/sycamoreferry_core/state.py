"""Define the state that every instance builds by replaying the log."""

import dataclasses
import functools
import typing

from sycamoreferry_core import (
    clock,
    ids,
    profiles,
    quarantine,
    records,
    result_codes,
    verdicts,
)


@dataclasses.dataclass(frozen=True)
class TermState:
    """Hold the current term of a service."""

    term: ids.Term = ids.NO_TERM
    coordinator: ids.InstanceId = ids.InstanceId('')
    deputy: ids.InstanceId = ids.InstanceId('')
    settled: ids.Term = ids.NO_TERM
    unsettled: tuple[records.TermClaimed, ...] = ()
    past_owners: tuple[ids.ServerId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Hold each shard's owner and fencing token, indexed by shard id."""

    owners: tuple[ids.ServerId, ...] = ()
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

    number: ids.ProfileNumber
    profile: profiles.Profile
    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class InstanceState:
    """Hold the addresses at which a routing instance is reached."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    peer_host: str
    peer_port: int
    request_port: int


@dataclasses.dataclass(frozen=True)
class RecentMove:
    """Hold a voluntary move that still counts as churn."""

    cause: records.MoveCause
    decided_at: clock.UnixMillis
    shards: tuple[ids.ShardId, ...]


@dataclasses.dataclass(frozen=True)
class PlacementConstraints:
    """Hold the drains and pins that operators set for a service."""

    drained: tuple[ids.ServerId, ...] = ()
    pins: typing.Mapping[ids.ShardId, ids.ServerId] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class UnfinishedSnapshot:
    """Hold the parts that an incomplete snapshot in the log still lacks."""

    snapshot: ids.SnapshotId
    covers: ids.Offset
    missing: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class SnapshotProgress:
    """Hold the offset that the newest complete snapshot covers up to."""

    covers: ids.Offset = ids.FIRST_OFFSET
    unfinished: tuple[UnfinishedSnapshot, ...] = ()


@dataclasses.dataclass(frozen=True)
class LogState:
    """Hold the result of replaying the log up to an offset."""

    next_offset: ids.Offset = ids.FIRST_OFFSET
    terms: typing.Mapping[ids.ServiceName, TermState] = dataclasses.field(
        default_factory=dict,
    )
    assignments: typing.Mapping[ids.ServiceName, Assignment] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    profiles: typing.Mapping[ids.ProfileName, PublishedProfile] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    instances: typing.Mapping[ids.InstanceId, InstanceState] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    wishes: typing.Mapping[ids.ServiceName, PlacementConstraints] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    recent_moves: typing.Mapping[ids.ServiceName, tuple[RecentMove, ...]] = (
        dataclasses.field(
            default_factory=dict,
        )
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
