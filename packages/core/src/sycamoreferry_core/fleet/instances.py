"""Know the other instances and decide who coordinates."""

import dataclasses

from sycamoreferry_core import clock, ids

# A peer whose messages stop for this long is taken as down.
SILENCE_MS = 900
# Each further instance in line waits this much longer before it claims.
_RANK_STEP_MS = 250
# An instance that hears nobody may itself be cut off, so it claims last.
_ALONE_EXTRA_MS = 2_500
# Without word of a coordinator at the start, one is looked for this long.
_START_GRACE_MS = 350
_START_RANK_STEP_MS = 100


@dataclasses.dataclass(slots=True)
class PeerStatus:
    """Hold what a peer last said."""

    instance: ids.InstanceId
    incarnation: int
    heard_at: clock.Millis
    is_leaving: bool
    store_age_ms: int
    has_authority: bool
    counting_weight: float


class Peers:
    """Track the instances that are heard."""

    def __init__(self, own: ids.InstanceId, counting_weight: float) -> None:
        self._own = own
        self._own_weight = counting_weight
        self.silence_ms = SILENCE_MS
        self._peers: dict[ids.InstanceId, PeerStatus] = {}

    def hear(self, status: PeerStatus) -> None:
        """Take the latest word of a peer."""
        known = self._peers.get(status.instance)
        if known is not None and known.incarnation > status.incarnation:
            return
        self._peers[status.instance] = status

    def is_new(self, instance: ids.InstanceId, incarnation: int) -> bool:
        """Tell whether an incarnation has not been heard before."""
        known = self._peers.get(instance)
        return known is None or known.incarnation < incarnation

    def status(self, instance: ids.InstanceId) -> PeerStatus | None:
        """Return the last word of a peer."""
        return self._peers.get(instance)

    def alive(self, now: clock.Millis) -> list[PeerStatus]:
        """Return the peers that were heard lately."""
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at < self.silence_ms
        ]

    def count(self, now: clock.Millis) -> int:
        """Return the number of instances alive, this one included."""
        return 1 + len(self.alive(now))

    def rank(self, now: clock.Millis) -> int:
        """Return this instance's place among those that can coordinate.

        The orders and reports of many instances fill the link of a small one,
        so larger ones come first.
        """
        own = (-self._own_weight, self._own)
        able = [
            (-peer.counting_weight, peer.instance)
            for peer in self.alive(now)
            if not peer.is_leaving and peer.store_age_ms < _STORE_FRESH_MS
        ]
        return sum(1 for place in able if place < own)


# Followers call the store every few seconds, the coordinator twice a second.
_STORE_FRESH_MS = 5_000
_COORDINATOR_FRESH_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorView:
    """Hold what an instance knows of the coordinator."""

    coordinator: ids.InstanceId | None
    # The term is this instance's own, from before it started again.
    is_own_earlier_term: bool
    # When this instance began to follow the coordinator or to look for one.
    since: clock.Millis


def should_claim(
    view: CoordinatorView,
    peers: Peers,
    now: clock.Millis,
) -> bool:
    """Tell whether this instance should claim to coordinate."""
    if view.is_own_earlier_term:
        return True
    wait = _rank_wait(peers, now, _RANK_STEP_MS)
    status = None
    if view.coordinator is not None:
        status = peers.status(view.coordinator)
    if status is None:
        # Never heard since this instance began to listen.
        wait = _rank_wait(peers, now, _START_RANK_STEP_MS)
        return now - view.since > _START_GRACE_MS + wait
    if status.is_leaving:
        return now - status.heard_at > 0 and wait < now - view.since
    silent_ms = now - max(status.heard_at, view.since)
    if silent_ms > SILENCE_MS + wait:
        return True
    has_lost_store = (
        not status.has_authority
        and status.store_age_ms > _COORDINATOR_FRESH_MS + wait
    )
    return has_lost_store and now - view.since > SILENCE_MS + wait


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
    """Tell whether a coordinator may still act on its last proof."""
    return now - proved_at < authority_ms
