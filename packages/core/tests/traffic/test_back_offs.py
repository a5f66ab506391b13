"""Check how long servers are sent no requests."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import back_offs

SERVER = servers.ServerIncarnation(
    ids.ServerId('s'), servers.IncarnationNumber(1)
)
RESTARTED = servers.ServerIncarnation(
    ids.ServerId('s'), servers.IncarnationNumber(2)
)


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def test_back_off_ends_by_itself() -> None:
    known = back_offs.BackOffs()
    assert known.record_delay(SERVER, 3_000, _at(100))
    assert known.remaining_ms(SERVER, _at(1_100)) == 2_000
    assert known.count(_at(3_099)) == 1
    assert known.remaining_ms(SERVER, _at(3_100)) == 0
    assert known.count(_at(3_100)) == 0


def test_later_answer_does_not_shorten_a_back_off() -> None:
    known = back_offs.BackOffs()
    known.record_delay(SERVER, 3_000, _at(0))
    assert not known.record_delay(SERVER, 500, _at(1_000))
    known.record_answer(SERVER, _at(1_200))
    assert known.remaining_ms(SERVER, _at(2_000)) == 1_000


def test_requests_after_a_back_off_are_spaced_until_one_is_answered() -> None:
    known = back_offs.BackOffs()
    known.record_delay(SERVER, 1_000, _at(0))
    known.record_start(SERVER, _at(1_000))
    assert known.remaining_ms(SERVER, _at(1_100)) > 0
    assert known.remaining_ms(SERVER, _at(1_250)) == 0
    known.record_start(SERVER, _at(1_250))
    known.record_answer(SERVER, _at(1_300))
    assert known.is_empty
    assert known.remaining_ms(SERVER, _at(1_300)) == 0


def test_servers_are_closed_until_the_next_request_is_due() -> None:
    known = back_offs.BackOffs()
    known.record_delay(SERVER, 1_000, _at(0))
    assert known.closed_ids(_at(999)) == {SERVER.server}
    assert not known.closed_ids(_at(1_000))
    known.record_start(SERVER, _at(1_000))
    assert known.closed_ids(_at(1_001)) == {SERVER.server}


def test_new_incarnation_has_no_back_off() -> None:
    known = back_offs.BackOffs()
    known.record_delay(SERVER, 3_000, _at(0))
    assert known.remaining_ms(RESTARTED, _at(1)) == 0
    known.keep_only({RESTARTED})
    assert known.is_empty


@pytest.mark.parametrize('delay_ms', [3_600_000, 10**15])
def test_back_off_lasts_an_hour_at_most(delay_ms: int) -> None:
    known = back_offs.BackOffs()
    known.record_delay(SERVER, delay_ms, _at(0))
    assert known.remaining_ms(SERVER, _at(3_599_999)) == 1
    assert known.remaining_ms(SERVER, _at(3_600_000)) == 0
