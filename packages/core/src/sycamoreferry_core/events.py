"""Define the events that a coordinator handles."""

import dataclasses
import typing

from sycamoreferry_core import (
    clock,
    coordination,
    ids,
    profiles,
    shard_loads,
    state,
)


@dataclasses.dataclass(frozen=True)
class Ticked:
    """Tell that the periodic tick is due."""


@dataclasses.dataclass(frozen=True)
class StateFolded:
    """Tell the state of the service after the log entries applied so far."""

    term: state.TermState
    assignment: state.Assignment
    candidates: tuple[coordination.Candidate, ...]
    timing: profiles.Timing
    pending_folded: bool
    longest_deadline_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ServersListed:
    """Tell which backend servers the instance list names."""

    members: tuple[tuple[ids.ServerId, coordination.MemberState], ...]


@dataclasses.dataclass(frozen=True)
class MoveCheckDue:
    """Tell the inputs of move decisions: time of day, policy, loads, pins."""

    at: clock.UnixMillis
    policy: profiles.Moves
    loads: shard_loads.ShardLoads = shard_loads.ShardLoads()
    wishes: state.PlacementConstraints = state.PlacementConstraints()
    recent_moves: tuple[state.RecentMove, ...] = ()


@dataclasses.dataclass(frozen=True)
class TailRead:
    """Tell that the tail showed no later claim."""

    sent_at: clock.Millis
    term: ids.Term


@dataclasses.dataclass(frozen=True)
class TailReadFailed:
    """Tell that the log did not answer."""


@dataclasses.dataclass(frozen=True)
class DeputyPromised:
    """Tell that the deputy promised to claim nothing for a while."""

    sent_at: clock.Millis
    term: ids.Term


@dataclasses.dataclass(frozen=True)
class DeputyAsked:
    """Tell that the coordinator asked this instance for its promise."""

    term: ids.Term
    coordinator: ids.InstanceId


@dataclasses.dataclass(frozen=True)
class HolderAnswered:
    """Tell that the coordinator or the deputy answered a probe."""


@dataclasses.dataclass(frozen=True)
class ReleaseAsked:
    """Tell that the coordinator of a term asked for a release."""

    term: ids.Term


@dataclasses.dataclass(frozen=True)
class HolderReleased:
    """Tell that a holder of earlier terms no longer acts or promises."""

    term: ids.Term
    holder: ids.InstanceId


@dataclasses.dataclass(frozen=True)
class ServerAnswered:
    """Tell how a backend server answered an order of its term."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber
    stamp: int
    received_at: clock.Millis
    held_shards: frozenset[ids.ShardId] | None
    lapsed_fences: typing.Mapping[ids.ShardId, ids.Fence] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class ServerRefused:
    """Tell that a backend server follows a later term."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber
    followed_term: ids.Term


@dataclasses.dataclass(frozen=True)
class ServerFailed:
    """Tell that an order got no answer; the server may still obey it."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber


Event = (
    Ticked
    | StateFolded
    | ServersListed
    | MoveCheckDue
    | TailRead
    | TailReadFailed
    | DeputyPromised
    | DeputyAsked
    | HolderAnswered
    | ReleaseAsked
    | HolderReleased
    | ServerAnswered
    | ServerRefused
    | ServerFailed
)
