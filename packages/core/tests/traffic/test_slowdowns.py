"""Check the factor that is expected from the slowdowns of servers."""

import random

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import server_choice, server_load, slowdowns

SERVICE = ids.ServiceName('v')


def _server(name: str) -> servers.BackendServer:
    return servers.BackendServer(
        servers.ServerIncarnation(
            ids.ServerId(name), servers.IncarnationNumber(1)
        ),
        SERVICE,
        'host',
        1,
        ids.DataCentre('d'),
        2,
        servers.ServerState.READY,
        0,
        1,
    )


SLOW, FAST, SILENT = map(_server, ('slow', 'fast', 'silent'))


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def _reported() -> slowdowns.Slowdowns:
    known = slowdowns.Slowdowns()
    known.record(SLOW, 3, _at(0))
    known.record(FAST, 1, _at(0))
    return known


def test_factor_falls_to_the_mean_within_half_a_second() -> None:
    known = _reported()
    factors = [known.relative_factor(SLOW, _at(at)) for at in (0, 200, 500)]
    assert factors == [1.5, 1.25, 1]
    assert known.relative_factor(FAST, _at(0)) == pytest.approx(0.5)
    assert known.fresh_reports(_at(200)) == [3, 1]
    assert not known.fresh_reports(_at(500))


def test_server_without_a_report_is_expected_to_be_as_measured() -> None:
    assert _reported().relative_factor(SILENT, _at(0)) == 1


def test_older_report_does_not_replace_a_newer_one() -> None:
    known = _reported()
    known.merge(SLOW, 1, _at(-50), counts=True)
    assert known.relative_factor(SLOW, _at(0)) == pytest.approx(1.5)


def test_only_own_reports_are_passed_on() -> None:
    known = _reported()
    assert known.own_report(SLOW.incarnation.server, _at(10)) is not None
    known.merge(SLOW, 1, _at(5), counts=True)
    assert known.own_report(SLOW.incarnation.server, _at(10)) is None


@pytest.mark.parametrize('slowdown', [0.0, 1e9])
def test_wrong_report_is_limited(slowdown: float) -> None:
    known = _reported()
    known.record(SLOW, slowdown, _at(1))
    assert 0 < known.relative_factor(SLOW, _at(1)) < 20


def test_server_that_reports_to_be_slow_is_not_chosen() -> None:
    loads = server_load.ServerLoads()
    loads.slowdowns = _reported()
    inputs = server_choice.ChoiceInputs(
        SLOW.data_centre, frozenset(), _at(50), in_flight={}
    )
    chosen = server_choice.choose_server(
        (SLOW, SILENT, FAST), loads, inputs, lambda: 0.5
    )
    assert chosen == FAST
    mean_ms = loads.duration_ms(SLOW)
    assert loads.current_duration_ms(SLOW, _at(50)) > mean_ms
    assert loads.current_duration_ms(FAST, _at(50)) < mean_ms


def test_few_open_servers_are_compared_where_slowdowns_are_reported() -> None:
    """Fails if drawing few leaves a request to a suspended or full server."""
    known = [_server(f's{number}') for number in range(8)]
    ids_of = [server.incarnation.server for server in known]
    loads = server_load.ServerLoads()
    inputs = server_choice.ChoiceInputs(
        SLOW.data_centre, frozenset(ids_of[:2]), _at(0)
    )
    draw = random.Random(1).sample
    drawn = server_choice.draw_candidates(known, loads, inputs, draw)
    assert drawn == known
    loads.slowdowns = _reported()
    for _ in range(3):
        loads.record_failure(ids_of[2], _at(0))
        loads.start(ids_of[3])
    drawn = server_choice.draw_candidates(known, loads, inputs, draw)
    assert set(drawn) == set(known[4:])
    loads.finish(ids_of[3])
    drawn = server_choice.draw_candidates(known, loads, inputs, draw)
    assert len(drawn) == 4
    assert known[2] not in drawn
