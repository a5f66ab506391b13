"""Check which share of a server's limit an instance may grant."""

import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances
from sycamoreferry_core.traffic import limit_shares

SERVER = ids.ServerId('s')
NAMES = tuple(ids.InstanceId(f'i{number}') for number in range(4))
NOW = clock.Millis(100_000)


def _peers_of(
    own: ids.InstanceId,
    counters: typing.Mapping[ids.InstanceId, ids.InstanceId],
    silent: typing.Container[ids.InstanceId] = (),
    leaving: typing.Container[ids.InstanceId] = (),
) -> instances.Peers:
    """Return what an instance heard of those that have a counter."""
    peers = instances.Peers(own, 1)
    for name in NAMES:
        if name == own:
            continue
        age_ms = 2_000 if name in silent else 100
        status = instances.PeerStatus(
            name, 1, clock.later(NOW, -age_ms), name in leaving, 0, False, 1
        )
        stated = counters.get(name)
        if stated is not None:
            status.counters = {SERVER: stated}
        peers.update(status)
    return peers


def _share(
    own: ids.InstanceId, own_counter: ids.InstanceId, peers: instances.Peers
) -> float:
    return limit_shares.share_of(SERVER, own, own_counter, peers, NOW)


def test_instance_that_all_ask_grants_the_whole_limit() -> None:
    counters = dict.fromkeys(NAMES, NAMES[0])
    for name in NAMES:
        share = _share(name, NAMES[0], _peers_of(name, counters))
        assert share == int(name == NAMES[0])


@pytest.mark.parametrize('stated', [True, False])
def test_peers_that_named_no_counter_are_not_expected_to_follow(
    *, stated: bool
) -> None:
    counters = dict.fromkeys(NAMES, NAMES[0]) if stated else {}
    assert _share(NAMES[0], NAMES[0], _peers_of(NAMES[0], counters)) == 1


def test_halves_that_do_not_hear_each_other_grant_the_limit_twice() -> None:
    counters = {name: NAMES[0] for name in NAMES}
    one = _peers_of(NAMES[0], counters, silent=NAMES[2:])
    other = _peers_of(
        NAMES[2], dict.fromkeys(NAMES, NAMES[2]), silent=NAMES[:2]
    )
    shares = _share(NAMES[0], NAMES[0], one), _share(NAMES[2], NAMES[2], other)
    assert shares == (0.5, 0.5)


def test_instance_that_only_some_skip_grants_the_share_of_those() -> None:
    counters = dict.fromkeys(NAMES[:3], NAMES[0]) | {NAMES[3]: NAMES[1]}
    shares = [
        _share(name, NAMES[0], _peers_of(name, counters)) for name in NAMES
    ]
    assert shares == [0.75, 0.25, 0, 0]


def test_peers_of_a_leaving_counter_are_expected_to_ask_the_next() -> None:
    counters = dict.fromkeys(NAMES, NAMES[0])
    peers = _peers_of(NAMES[1], counters, leaving=NAMES[:1])
    assert _share(NAMES[1], NAMES[1], peers) == 1
