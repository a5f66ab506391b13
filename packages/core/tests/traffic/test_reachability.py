"""Check when an instance takes itself for cut off from all servers."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import reachability


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def _failed(*names: str) -> reachability.Reachability:
    links = reachability.Reachability()
    for number, name in enumerate(names):
        links.record_failure(ids.ServerId(name), _at(10 * number))
    return links


@pytest.mark.parametrize(
    ('names', 'known_servers', 'is_suspect'),
    [
        ('ab', 9, False),
        ('aaaa', 9, False),
        ('aab', 9, True),
        ('aaa', 1, True),
        ('aab', 0, False),
    ],
)
def test_failures_of_several_servers_lead_to_a_probe(
    names: str, known_servers: int, *, is_suspect: bool
) -> None:
    links = _failed(*names)
    assert links.should_probe(known_servers, _at(100)) == is_suspect


def test_failures_that_are_far_apart_lead_to_no_probe() -> None:
    links = _failed('a', 'b')
    links.record_failure(ids.ServerId('c'), _at(60_000))
    assert not links.should_probe(9, _at(60_000))


def test_probes_decide_and_go_on_until_a_server_is_reached() -> None:
    links = _failed('a', 'b', 'c')
    assert links.record_probe(_at(100), has_reached=False)
    assert links.is_cut_off
    assert not links.should_probe(9, _at(101))
    assert links.should_probe(9, _at(60_000))
    assert links.record_probe(_at(60_000), has_reached=True)
    assert not links.is_cut_off
    assert not links.should_probe(9, _at(120_000))


def test_reached_server_ends_the_suspicion() -> None:
    links = _failed('a', 'b', 'c')
    assert not links.record_probe(_at(100), has_reached=True)
    assert not links.should_probe(9, _at(1_000))
