"""Track the other instances and decide which one claims coordination."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import silent_instances, store_records

# A coordinator may act for this long after the store last confirmed its term.
AUTHORITY_MS = 1_500
# The coordinator claims its term again within this time after the store
# returned to an older copy, unless it is of a version that takes no note.
RECLAIM_TIMEOUT_MS = 1_500
# A peer that sends no message for this long is considered down.
PEER_TIMEOUT_MS = 900
# A peer that was heard this recently may be cut off from this instance only.
_MEMBER_MS = 30_000
# Each lower-ranked instance waits this much longer before it claims.
_RANK_STEP_MS = 250
# An instance that hears from no peer may itself be isolated by a network
# partition, so it claims last.
_ALONE_EXTRA_MS = 2_500
# After its start an instance waits this long to hear from a coordinator.
_START_GRACE_MS = 350
_START_RANK_STEP_MS = 100


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """Store the latest status received from a peer."""

    instance: ids.InstanceId
    incarnation: int
    received_at: clock.Millis
    is_leaving: bool
    store_age_ms: int
    has_authority: bool
    counting_weight: float
    # Whether it reaches no backend server.
    is_cut_off: bool = False
    store_era: store_records.StoreEra = store_records.NO_ERA
    # Whether it sends the coordinator heartbeats at short intervals.
    reports_often: bool = False
    # The instances that it asks for permits, by the limited server.
    counters: typing.Mapping[ids.ServerId, ids.InstanceId] = dataclasses.field(
        default_factory=dict
    )


class Peers:
    """Track the latest status of each peer."""

    def __init__(self, own: ids.InstanceId, counting_weight: float) -> None:
        self._own = own
        self._own_weight = counting_weight
        self.peer_timeout_ms = PEER_TIMEOUT_MS
        # A peer that was silent for so long may ask other instances by now.
        self.share_timeout_ms = PEER_TIMEOUT_MS
        self._peers: dict[ids.InstanceId, PeerStatus] = {}
        self._silent = silent_instances.SilentInstances()
        # When each peer was heard again after a silence or a crash.
        self._returned_at: dict[ids.InstanceId, clock.Millis] = {}

    def update(self, status: PeerStatus) -> None:
        """Store a peer's status unless it is of an earlier incarnation."""
        known = self._peers.get(status.instance)
        if known is not None and known.incarnation > status.incarnation:
            return
        if known is not None and self._has_missed(known, status):
            self._returned_at[status.instance] = status.received_at
        self._peers[status.instance] = status

    def is_new_incarnation(
        self, instance: ids.InstanceId, incarnation: int
    ) -> bool:
        """Return whether an incarnation has not been heard from before."""
        known = self._peers.get(instance)
        return known is None or known.incarnation < incarnation

    def status(self, instance: ids.InstanceId) -> PeerStatus | None:
        """Return a peer's latest status; None if it was never heard from."""
        return self._peers.get(instance)

    def alive(self, now: clock.Millis) -> list[PeerStatus]:
        """Return the peers that have not been silent for too long.

        Where heartbeats are rare, the coordinator tells which are silent.
        """
        return [
            peer
            for peer in self._peers.values()
            if now - peer.received_at < self.peer_timeout_ms
            and not self._silent.includes(peer.instance, peer.received_at, now)
        ]

    def silent_for(
        self, silent_ms: int, now: clock.Millis
    ) -> list[ids.InstanceId]:
        """Return the peers that report often and were silent for so long."""
        return [
            peer.instance
            for peer in self.members(now)
            if peer.reports_often and now - peer.received_at > silent_ms
        ]

    def record_silent(
        self,
        instances: typing.Iterable[ids.InstanceId],
        silent_ms: int,
        now: clock.Millis,
    ) -> None:
        """Record the peers that the coordinator has not heard for so long."""
        self._silent.record(instances, silent_ms, now)

    def reaching_servers(self, now: clock.Millis) -> list[PeerStatus]:
        """Return the peers alive that stay and reach backend servers."""
        return [
            peer
            for peer in self.alive(now)
            if not peer.is_leaving and not peer.is_cut_off
        ]

    def trial_members(self, now: clock.Millis) -> list[ids.InstanceId]:
        """Return the instances that take turns, this one included.

        There are none while half of them or more are not heard, since the
        others may then take turns among themselves.
        """
        members = self.members(now)
        if 2 * self.count(now) <= len(members) + 1:
            return []
        return [self._own, *(peer.instance for peer in members)]

    def members(self, now: clock.Millis) -> list[PeerStatus]:
        """Return the peers that stay, with those that are silent lately."""
        return [
            peer
            for peer in self._peers.values()
            if not peer.is_leaving and now - peer.received_at < _MEMBER_MS
        ]

    def member_count(self, now: clock.Millis) -> int:
        """Return the number of members, this instance included.

        Shares of a bound on all instances go by it: those that are not heard
        may use theirs.
        """
        return 1 + len(self.members(now))

    def is_silent(self, peer: PeerStatus, now: clock.Millis) -> bool:
        """Return whether a peer may have chosen other instances since."""
        return now - peer.received_at >= self.share_timeout_ms

    def has_missed_any(self, since: clock.Millis, now: clock.Millis) -> bool:
        """Return whether a peer was silent or crashed at any time since."""
        return any(
            self._returned_at.get(peer.instance, clock.LONG_AGO) >= since
            or (
                peer.received_at >= since
                and now - peer.received_at >= self.peer_timeout_ms
                and not peer.is_leaving
            )
            for peer in self._peers.values()
        )

    def count(self, now: clock.Millis) -> int:
        """Return the number of instances alive, this one included."""
        return 1 + len(self.alive(now))

    def rank(
        self,
        now: clock.Millis,
        apart_from: ids.InstanceId | None = None,
    ) -> int:
        """Return this instance's rank from 0 among those able to coordinate.

        The orders and reports of many instances saturate the link of a small
        one, so larger ones rank first. One peer may be left out.
        """
        own = (-self._own_weight, self._own)
        eligible = [
            (-peer.counting_weight, peer.instance)
            for peer in self.alive(now)
            if not (peer.is_leaving or peer.is_cut_off)
            and peer.store_age_ms < _STORE_FRESH_MS
            and peer.instance != apart_from
        ]
        return sum(1 for candidate in eligible if candidate < own)

    def _has_missed(self, known: PeerStatus, status: PeerStatus) -> bool:
        if known.is_leaving:
            return False
        silent_ms = status.received_at - known.received_at
        is_restarted = known.incarnation != status.incarnation
        return is_restarted or silent_ms >= self.peer_timeout_ms


# Followers call the store every few seconds, the coordinator twice a second.
_STORE_FRESH_MS = 5_000
_COORDINATOR_FRESH_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorView:
    """Describe the coordinator as this instance knows it."""

    coordinator: ids.InstanceId | None
    # Whether this instance began the term itself, before it restarted.
    is_own_earlier_term: bool
    # When this instance began to follow the coordinator or to look for one.
    since: clock.Millis
    # Whether this instance reaches no backend server.
    is_cut_off: bool = False
    # Since when the store's assignment is an older copy; None if it isn't.
    owners_lost_since: clock.Millis | None = None


def should_claim(
    view: CoordinatorView,
    peers: Peers,
    now: clock.Millis,
) -> bool:
    """Return whether this instance should claim coordination now."""
    if view.is_cut_off and peers.reaching_servers(now):
        # It could grant no keys.
        return False
    if view.is_own_earlier_term:
        return True
    if view.owners_lost_since is not None:
        wait = _rank_wait(peers, now, _RANK_STEP_MS)
        return now - view.owners_lost_since > RECLAIM_TIMEOUT_MS + wait
    return _is_coordinator_lost(view, peers, now)


def _is_coordinator_lost(
    view: CoordinatorView,
    peers: Peers,
    now: clock.Millis,
) -> bool:
    status = None
    if view.coordinator is not None:
        status = peers.status(view.coordinator)
    if status is None:
        # Not heard from since this instance began to listen.
        wait = _rank_wait(peers, now, _START_RANK_STEP_MS)
        return now - view.since > _START_GRACE_MS + wait
    silent_ms = now - max(status.received_at, view.since)
    if (
        status.has_authority
        and not status.is_leaving
        and silent_ms <= PEER_TIMEOUT_MS
    ):
        # The rank takes time in proportion to the number of instances.
        return False
    wait = _rank_wait(peers, now, _RANK_STEP_MS)
    has_no_servers = status.is_cut_off and not status.has_authority
    if status.is_leaving or (has_no_servers and not view.is_cut_off):
        return now - status.received_at > 0 and wait < now - view.since
    if silent_ms > PEER_TIMEOUT_MS + wait:
        return True
    has_lost_store = (
        not status.has_authority
        and status.store_age_ms > _COORDINATOR_FRESH_MS + wait
    )
    return has_lost_store and now - view.since > PEER_TIMEOUT_MS + wait


def _rank_wait(peers: Peers, now: clock.Millis, step_ms: int) -> int:
    wait = peers.rank(now) * step_ms
    if not peers.alive(now):
        wait += _ALONE_EXTRA_MS
    return wait


def is_authority_fresh(
    proved_at: clock.Millis,
    authority_ms: int,
    now: clock.Millis,
) -> bool:
    """Return whether a coordinator's last proof of authority still holds."""
    return now - proved_at < authority_ms
