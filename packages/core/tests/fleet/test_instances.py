"""Check when an instance claims coordination after losing the coordinator."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances

OWN = ids.InstanceId('b')
COORDINATOR = ids.InstanceId('a')
OTHER = ids.InstanceId('c')
START = clock.Millis(10_000)


def _status(
    name: ids.InstanceId,
    heard_at: int,
    *,
    is_leaving: bool = False,
    store_age_ms: int = 0,
    has_authority: bool = True,
    counting_weight: float = 1,
    is_cut_off: bool = False,
) -> instances.PeerStatus:
    return instances.PeerStatus(
        name,
        1,
        clock.Millis(heard_at),
        is_leaving,
        store_age_ms,
        has_authority,
        counting_weight=counting_weight,
        is_cut_off=is_cut_off,
    )


def _view(
    *, is_own: bool = False, is_cut_off: bool = False
) -> instances.CoordinatorView:
    return instances.CoordinatorView(
        OWN if is_own else COORDINATOR, is_own, START, is_cut_off
    )


def _claim_delay_ms(
    view: instances.CoordinatorView,
    peers: instances.Peers,
    others_heard: tuple[ids.InstanceId, ...] = (OTHER,),
) -> int | None:
    """Return how long after the start this instance claims."""
    for elapsed in range(0, 10_000, 10):
        now = clock.Millis(START + elapsed)
        for name in others_heard:
            peers.update(_status(name, now, has_authority=False))
        if instances.should_claim(view, peers, now):
            return elapsed
    return None


def test_coordinator_that_sends_heartbeats_is_not_replaced() -> None:
    peers = instances.Peers(OWN, 1)
    claimed = _claim_delay_ms(_view(), peers, (COORDINATOR, OTHER))
    assert claimed is None


def test_silent_coordinator_is_replaced_within_two_seconds() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(COORDINATOR, START))
    claimed = _claim_delay_ms(_view(), peers)
    assert claimed is not None
    assert instances.PEER_TIMEOUT_MS <= claimed <= 2_000


def test_coordinator_never_heard_since_start_is_replaced_within_600_ms() -> (
    None
):
    # After a power failure of all instances, none has heard from a coordinator.
    claimed = _claim_delay_ms(_view(), instances.Peers(OWN, 1))
    assert claimed is not None
    assert claimed <= 600


def test_instance_claims_its_own_earlier_term_at_once() -> None:
    assert _claim_delay_ms(_view(is_own=True), instances.Peers(OWN, 1)) == 0


def test_leaving_coordinator_is_replaced_at_once() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(COORDINATOR, START, is_leaving=True))
    claimed = _claim_delay_ms(_view(), peers)
    assert claimed is not None
    assert claimed <= 300


def test_coordinator_that_lost_the_store_is_replaced() -> None:
    peers = instances.Peers(OWN, 1)
    for elapsed in range(0, 4_000, 50):
        now = clock.Millis(START + elapsed)
        peers.update(
            _status(
                COORDINATOR,
                now,
                store_age_ms=elapsed,
                has_authority=elapsed < 1_500,
            ),
        )
        peers.update(_status(OTHER, now, has_authority=False))
        if instances.should_claim(_view(), peers, now):
            assert elapsed <= 2_500
            return
    raise AssertionError('no instance claimed within 4 s')


def test_instance_that_hears_no_peer_waits_longer() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(COORDINATOR, START))
    alone = _claim_delay_ms(_view(), peers, ())
    assert alone is not None
    assert alone > 2_500


def test_lower_ranked_instance_claims_later() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(COORDINATOR, START))
    second = _claim_delay_ms(_view(), peers, (ids.InstanceId('aa'), OTHER))
    first = _claim_delay_ms(_view(), instances.Peers(OWN, 1), (OTHER,))
    assert first is not None
    assert second is not None
    assert second > first


def test_larger_instance_ranks_first() -> None:
    small = instances.Peers(OWN, 1)
    large = instances.Peers(OWN, 4)
    for peers in (small, large):
        peers.update(_status(OTHER, START, counting_weight=2))
    assert large.rank(START) == 0
    assert small.rank(START) == 1


def test_status_of_older_incarnation_is_ignored() -> None:
    peers = instances.Peers(OWN, 1)
    newer = _status(COORDINATOR, START)
    newer.incarnation = 2
    peers.update(newer)
    peers.update(_status(COORDINATOR, START + 10, is_leaving=True))
    status = peers.status(COORDINATOR)
    assert status is not None
    assert not status.is_leaving


def test_coordinator_that_gave_up_without_servers_is_replaced_at_once() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(
        _status(COORDINATOR, START, has_authority=False, is_cut_off=True)
    )
    claimed = _claim_delay_ms(_view(), peers)
    assert claimed is not None
    assert claimed <= 300


def test_instance_without_servers_claims_only_if_no_peer_reaches_any() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(OTHER, START, is_cut_off=True))
    for is_own in (True, False):
        view = _view(is_own=is_own, is_cut_off=True)
        assert _claim_delay_ms(view, peers) is None
    alone = _view(is_own=True, is_cut_off=True)
    assert instances.should_claim(alone, instances.Peers(OWN, 1), START)


def test_instance_without_servers_ranks_behind_all_that_reach_them() -> None:
    peers = instances.Peers(OWN, 1)
    peers.update(_status(COORDINATOR, START, is_cut_off=True))
    assert peers.rank(START) == 0


def test_silent_peers_leave_their_share_of_a_bound_to_the_others() -> None:
    peers = instances.Peers(ids.InstanceId('i0'), 1)
    for number in range(1, 10):
        peers.update(_status(ids.InstanceId(f'i{number}'), 0))
    assert peers.member_count(clock.Millis(500)) == 10
    assert peers.count(clock.Millis(5_000)) == 1
    assert peers.member_count(clock.Millis(5_000)) == 10
    assert peers.member_count(clock.Millis(60_000)) == 1
