"""Check when keys are free of a server that held them."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import leases, owners

HOLD_MS = 4_000
LIFE = servers.ServerLife(ids.ServerId('a'), servers.Born(1))
KEYS = owners.KeyRange(owners.Key(0), owners.Key(999))
PART = owners.KeyRange(owners.Key(900), owners.Key(999))
OTHER = owners.KeyRange(owners.Key(1_000), owners.Key(1_999))


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def _answered(book: leases.LeaseBook, moment: int) -> None:
    earlier = book.unanswered_until(LIFE, KEYS)
    book.record_sent(LIFE, KEYS, _at(moment), HOLD_MS)
    book.record_answered(LIFE, KEYS, earlier_unanswered=earlier)


def test_release_frees_keys_whose_grants_were_answered() -> None:
    book = leases.LeaseBook()
    _answered(book, 100)
    assert book.free_after_release(LIFE, PART) <= _at(100)


def test_grant_without_answer_may_be_applied_after_a_release() -> None:
    book = leases.LeaseBook()
    book.record_sent(LIFE, KEYS, _at(100), HOLD_MS)
    _answered(book, 600)
    free_at = book.free_after_release(LIFE, PART)
    assert free_at >= _at(100 + HOLD_MS)


def test_slow_clock_of_a_server_is_waited_for() -> None:
    book = leases.LeaseBook()
    _answered(book, 100)
    free_at = book.free_without_release(LIFE, PART)
    assert free_at >= _at(100 + HOLD_MS * 102 // 100)


def test_take_over_waits_for_grants_of_the_earlier_term() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    _answered(book, 100)
    assert book.free_after_release(LIFE, PART) == _at(12_000)


def test_new_fence_that_a_server_took_ends_the_wait() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    _answered(book, 100)
    book.confirm_fence(LIFE, KEYS)
    assert book.free_after_release(LIFE, PART) <= _at(100)
    assert book.free_after_release(LIFE, OTHER) == _at(12_000)
    # A server that never answered may still hold what it was given before.
    assert book.free_without_release(LIFE, PART) >= _at(12_000)


def test_other_incarnation_is_not_confirmed() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    book.confirm_fence(LIFE, KEYS)
    reborn = servers.ServerLife(LIFE.server, servers.Born(2))
    assert book.free_after_release(reborn, PART) == _at(12_000)
