"""Check when a server no longer holds the keys granted to it."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import leases, owners

HOLD_MS = 4_000
INCARNATION = servers.ServerIncarnation(
    ids.ServerId('a'), servers.IncarnationNumber(1)
)
KEYS = owners.KeyRange(owners.Key(0), owners.Key(999))
PART = owners.KeyRange(owners.Key(900), owners.Key(999))
OTHER = owners.KeyRange(owners.Key(1_000), owners.Key(1_999))


def _at(moment: int) -> clock.Millis:
    return clock.Millis(moment)


def _record_answered_grant(book: leases.LeaseBook, moment: int) -> None:
    until = book.record_sent(INCARNATION, KEYS, _at(moment), HOLD_MS)
    book.record_answered(INCARNATION, KEYS, until)


def test_release_frees_keys_whose_grants_were_answered() -> None:
    book = leases.LeaseBook()
    _record_answered_grant(book, 100)
    assert book.free_at_after_release(INCARNATION, PART) <= _at(100)


def test_unacknowledged_grant_may_be_applied_after_a_release() -> None:
    book = leases.LeaseBook()
    book.record_sent(INCARNATION, KEYS, _at(100), HOLD_MS)
    _record_answered_grant(book, 600)
    free_at = book.free_at_after_release(INCARNATION, PART)
    assert free_at >= _at(100 + HOLD_MS)


def test_grant_on_its_way_is_forgotten_with_the_answer_of_another() -> None:
    book = leases.LeaseBook()
    first = book.record_sent(INCARNATION, KEYS, _at(100), HOLD_MS)
    book.record_sent(INCARNATION, KEYS, _at(110), HOLD_MS)
    book.record_answered(INCARNATION, KEYS, first)
    free_at = book.free_at_after_release(INCARNATION, PART)
    assert free_at >= _at(110 + HOLD_MS)


def test_keys_of_unreachable_server_stay_held_for_a_slow_clock() -> None:
    book = leases.LeaseBook()
    _record_answered_grant(book, 100)
    free_at = book.free_at_without_release(INCARNATION, PART)
    assert free_at >= _at(100 + HOLD_MS * 102 // 100)


def test_take_over_waits_for_grants_of_the_earlier_term() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    _record_answered_grant(book, 100)
    assert book.free_at_after_release(INCARNATION, PART) == _at(12_000)


def test_confirmed_fence_ends_the_wait_for_earlier_grants() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    _record_answered_grant(book, 100)
    book.confirm_fence(INCARNATION, KEYS)
    assert book.free_at_after_release(INCARNATION, PART) <= _at(100)
    assert book.free_at_after_release(INCARNATION, OTHER) == _at(12_000)
    # A server that never answered may still hold keys of earlier grants.
    assert book.free_at_without_release(INCARNATION, PART) >= _at(12_000)


def test_confirmed_fence_does_not_cover_another_incarnation() -> None:
    book = leases.LeaseBook()
    book.assume_earlier_grants(_at(12_000))
    book.confirm_fence(INCARNATION, KEYS)
    restarted = servers.ServerIncarnation(
        INCARNATION.server, servers.IncarnationNumber(2)
    )
    assert book.free_at_after_release(restarted, PART) == _at(12_000)
