"""Check what is known of the rate limits that servers name."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import rate_limits

SERVER = servers.ServerIncarnation(
    ids.ServerId('s'), servers.IncarnationNumber(1)
)


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def test_only_changes_of_a_limit_are_reported_as_new() -> None:
    limits = rate_limits.RateLimits()
    assert limits.record_limit(SERVER, 2.5, _at(0))
    assert not limits.record_limit(SERVER, 2.5, _at(10))
    assert limits.record_limit(SERVER, 4, _at(20))
    assert limits.get(SERVER.server) == 4
    assert limits.limited_count == 1


@pytest.mark.parametrize(
    ('sent_at', 'is_lifted'), [(99, False), (100, True), (150, True)]
)
def test_answer_sent_before_a_limit_does_not_lift_it(
    sent_at: int, is_lifted: bool
) -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 2.5, _at(100))
    assert limits.record_no_limit(SERVER, _at(sent_at)) == is_lifted
    assert (limits.get(SERVER.server) is None) == is_lifted


def test_new_life_has_no_limit_before_it_has_answered() -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 2, _at(0))
    fresh = servers.ServerIncarnation(
        SERVER.server, servers.IncarnationNumber(2)
    )
    assert limits.get(SERVER.server) == 2
    assert limits.record_no_limit(fresh, _at(100))
    assert limits.get(SERVER.server) is None
    assert not limits.merge(SERVER, rate_limits.RateStatement(2, _at(200)))
    assert limits.get(SERVER.server) is None


def test_limit_is_lost_while_the_entry_of_its_server_lapses() -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 2, _at(0))
    limits.keep_only((), _at(5_000))
    assert limits.get(SERVER.server) == 2
    limits.keep_only({SERVER.server}, _at(60_000))
    assert limits.get(SERVER.server) == 2
    limits.keep_only((), _at(60_000))
    assert limits.get(SERVER.server) is None


def test_newest_statement_holds() -> None:
    limits = rate_limits.RateLimits()
    limits.merge(SERVER, rate_limits.RateStatement(2, _at(100)))
    limits.merge(SERVER, rate_limits.RateStatement(None, _at(50)))
    assert limits.get(SERVER.server) == 2
    limits.merge(SERVER, rate_limits.RateStatement(None, _at(150)))
    assert limits.get(SERVER.server) is None
    limits.merge(SERVER, rate_limits.RateStatement(2, _at(120)))
    assert limits.get(SERVER.server) is None


def test_lifted_limit_is_reported_for_a_while() -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 2, _at(0))
    limits.record_no_limit(SERVER, _at(100))
    assert limits.recent(_at(200))[SERVER].requests_per_s is None
    assert not limits.recent(_at(60_000))


def test_server_that_takes_nothing_still_gets_a_request_now_and_then() -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 0, _at(0))
    limit = limits.get(SERVER.server)
    # The platform allows five requests in any 4 s besides the limit.
    assert limit is not None
    assert 0 < limit * 4 < 5


def test_limit_of_a_server_without_requests_is_confirmed_for_a_while() -> None:
    limits = rate_limits.RateLimits()
    limits.record_limit(SERVER, 2, _at(0))
    assert limits.get_confirmed(SERVER.server, _at(1_000)) == 2
    assert limits.get_confirmed(SERVER.server, _at(60_000)) is None
    assert limits.get(SERVER.server) == 2
