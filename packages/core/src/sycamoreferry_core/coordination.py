"""Define the state on which a coordinator decides."""

import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids, profiles, records, state


@enum.unique
class MemberState(enum.Enum):
    """Name the states of a backend server in the instance list."""

    LIVE = 'live'
    LEAVING = 'leaving'


@enum.unique
class Role(enum.Enum):
    """Name the role that an instance has for a service."""

    FOLLOWER = 'follower'
    DEPUTY = 'deputy'
    COORDINATOR = 'coordinator'


@dataclasses.dataclass(frozen=True)
class ServerLink:
    """Hold what is known of one backend server under the current term."""

    server: ids.ServerId
    member_state: MemberState = MemberState.LIVE
    greeted: bool = False
    awaited_order: ids.OrderNumber | None = None
    # Clock reading in the last answer; the server counts the lease from it.
    stamp: int = 0
    stamp_received_at: clock.Millis = clock.LONG_AGO
    order_sent_at: clock.Millis = clock.LONG_AGO
    lease_bound: clock.Millis = clock.LONG_AGO
    first_unanswered_at: clock.Millis | None = None
    held_shards: frozenset[ids.ShardId] = frozenset()
    lapsed_fences: typing.Mapping[ids.ShardId, ids.Fence] = dataclasses.field(
        default_factory=dict,
    )
    # Shards that the server gave up while an order from before that may still
    # be delivered to it; used only without fence checks.
    recently_released: frozenset[ids.ShardId] = frozenset()
    release_bound: clock.Millis = clock.LONG_AGO


@dataclasses.dataclass(frozen=True)
class Candidate:
    """Name an instance that may hold a role, and where it runs."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre


@dataclasses.dataclass(frozen=True)
class CoordinatorState:
    """Hold one instance's view of the coordination of one service."""

    instance: ids.InstanceId
    service: ids.ServiceName
    shard_count: int
    checks_fence: bool = True
    timing: profiles.Timing = profiles.Timing()
    # The maximum of each setting since this instance started: a running lease
    # may have been granted under an earlier profile.
    longest_timing: profiles.Timing = profiles.Timing()
    longest_deadline_ms: int = 0
    term: state.TermState = state.TermState()
    assignment: state.Assignment = state.Assignment()
    candidates: tuple[Candidate, ...] = ()
    links: typing.Mapping[ids.ServerId, ServerLink] = dataclasses.field(
        default_factory=dict,
    )
    order_count: int = 0
    ticked_at: clock.Millis = clock.LONG_AGO
    last_orders_at: clock.Millis = clock.LONG_AGO
    orders_resumed_at: clock.Millis = clock.LONG_AGO
    entered_at: clock.Millis = clock.LONG_AGO
    # When the last log read or claim that proved the term current was sent.
    proved_at: clock.Millis = clock.LONG_AGO
    authority_until: clock.Millis = clock.LONG_AGO
    proof_asked_at: clock.Millis = clock.LONG_AGO
    # The latest term that a peer or server reported; no earlier one is acted
    # under or promised.
    highest_reported_term: ids.Term = ids.NO_TERM
    # When a later term was first seen, and when a holder confirmed its release.
    superseded_at: typing.Mapping[ids.Term, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )
    ended_at: typing.Mapping[ids.Term, clock.Millis] = dataclasses.field(
        default_factory=dict,
    )
    cleared_at: clock.Millis = clock.LONG_AGO
    promised_until: clock.Millis = clock.LONG_AGO
    # When the last promise under an earlier term ends.
    earlier_promised_until: clock.Millis = clock.LONG_AGO
    asked_as_deputy_at: clock.Millis = clock.LONG_AGO
    deputy_heard_at: clock.Millis = clock.LONG_AGO
    # The holders of a term are its coordinator and its deputy.
    holders_heard_at: clock.Millis = clock.LONG_AGO
    # Record that was sent to the log and is not read back yet.
    pending: records.AnyRecord | None = None
    pending_since: clock.Millis = clock.LONG_AGO
    pending_sent_at: clock.Millis = clock.LONG_AGO
    log_reached: bool = True
    leaving_since: typing.Mapping[ids.ServerId, clock.Millis] = (
        dataclasses.field(default_factory=dict)
    )
    moves_considered_at: clock.Millis = clock.LONG_AGO

    @property
    def role(self) -> Role:
        """Return the role of this instance for the service."""
        if self.term.coordinator == self.instance:
            return Role.COORDINATOR
        if self.term.deputy == self.instance:
            return Role.DEPUTY
        return Role.FOLLOWER

    @property
    def assigned_shards(
        self,
    ) -> typing.Mapping[ids.ServerId, frozenset[ids.ShardId]]:
        """Return the shards that the assignment gives to each server."""
        return self.assignment.shards_by_owner

    @property
    def is_cleared_by_operator(self) -> bool:
        """Tell whether an operator has cleared all claims, this term too."""
        return not self.term.unsettled

    def is_acting(self, now: clock.Millis) -> bool:
        """Tell whether it has authority, or was lately asked as the deputy."""
        if self.role is Role.COORDINATOR:
            return self.has_authority(now)
        return now <= clock.later(
            self.asked_as_deputy_at,
            self.timing.detection_ms,
        )

    def has_authority(self, now: clock.Millis) -> bool:
        """Tell whether this instance may give orders at this time."""
        if self.role is not Role.COORDINATOR or self.is_cleared_by_operator:
            return False
        if self.highest_reported_term > self.term.term:
            return False
        return now < self.authority_until
