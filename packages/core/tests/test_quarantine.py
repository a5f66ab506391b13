import dataclasses

import hypothesis
import pytest
from hypothesis import strategies

from sycamoreferry_core import ids, profiles, quarantine

SERVICE = ids.ServiceName('booking-svc')
POLICY = profiles.Quarantine(duration_ms=60_000, burst_ms=2000)
NOW = 50_000


@dataclasses.dataclass(frozen=True)
class Case:
    name: str
    crashes: tuple[tuple[str, int, str], ...]
    quarantined: str
    now: int = NOW


CASES = (
    Case('one crash', (('s1', 0, 'p'),), ''),
    Case('second crash', (('s1', 0, 'p'), ('s2', 20, 'p')), 'p'),
    Case('same server again', (('s1', 0, 'p'), ('s1', 9000, 'p')), 'p'),
    Case('one crash seen twice', (('s1', 0, 'p'), ('s1', 900, 'p')), ''),
    Case('neighbours', (('s1', 0, 'npm'), ('s2', 20, 'pq')), 'p'),
    Case('neighbour twice', (('s1', 0, 'np'), ('s2', 9000, 'np')), ''),
    Case(
        'third crash tells neighbours apart',
        (('s1', 0, 'np'), ('s2', 9000, 'np'), ('s3', 20_000, 'p')),
        'p',
    ),
    Case(
        'a rack goes one by one',
        (('s1', 0, 'ab'), ('s2', 300, 'ac'), ('s3', 600, 'd')),
        '',
    ),
    Case(
        'a rack goes with empty servers',
        (('s1', 0, 'a'), ('s2', 300, 'a'), ('s3', 600, '')),
        '',
    ),
    Case(
        'over',
        (('s1', 0, 'p'), ('s2', 20, 'p')),
        '',
        POLICY.duration_ms + 20,
    ),
)


def _crash(server: str, at_ms: int, digests: str) -> quarantine.Crash:
    return quarantine.Crash(
        SERVICE,
        ids.ServerId(server),
        at_ms,
        tuple(ids.RequestDigest(name) for name in digests),
    )


def _book(crashes: tuple[tuple[str, int, str], ...]) -> quarantine.CrashBook:
    book = quarantine.CrashBook()
    for crash in crashes:
        book = book.note(_crash(*crash))
    return book


def _names(book: quarantine.CrashBook, now: int = NOW) -> str:
    return ''.join(
        sorted(quarantine.quarantined(book, SERVICE, POLICY, now)),
    )


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_crashes_quarantine_who_caused_them(case: Case) -> None:
    assert _names(_book(case.crashes), case.now) == case.quarantined


def test_cleared_request_is_free_until_two_more_crashes() -> None:
    poison = ids.RequestDigest('p')
    book = _book((('s1', 0, 'p'), ('s2', 20, 'p'))).clear(poison)
    assert not _names(book)
    assert not book.suspects()
    again = book.note(_crash('s3', 9000, 'p'))
    assert not _names(again)
    assert _names(again.note(_crash('s4', 12_000, 'p'))) == 'p'


def test_other_service_is_left_alone() -> None:
    book = _book((('s1', 0, 'p'), ('s2', 20, 'p')))
    other = ids.ServiceName('other')
    assert not quarantine.quarantined(book, other, POLICY, NOW)


CRASHES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('s1', 's2', 's3', 's4')),
        strategies.integers(0, 30_000),
        strategies.text('abcdef', max_size=4),
    ),
    max_size=12,
)


@hypothesis.given(CRASHES)
def test_quarantined_alone_ran_in_two_crashes(
    crashes: list[tuple[str, int, str]],
) -> None:
    book = _book(tuple(crashes))
    for name in _names(book):
        ran = [crash for crash in book.crashes if name in crash.digests]
        assert len(ran) >= 2
        common = set(ran[0].digests)
        for crash in ran:
            common &= set(crash.digests)
        assert common == {name}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(('s1', 's2', 's3', 's4')),
            strategies.integers(0, 2000),
        ),
        max_size=20,
    ),
    strategies.lists(
        strategies.text('abcdef', max_size=4),
        min_size=4,
        max_size=4,
    ),
)
def test_burst_of_losses_quarantines_nobody(
    losses: list[tuple[str, int]],
    running: list[str],
) -> None:
    """Lose servers in a burst, one of which ran none of the others' work."""
    book = _book((('s5', 1000, ''),))
    for server, at_ms in losses:
        digests = running[int(server[1]) - 1]
        book = book.note(_crash(server, at_ms, digests))
    assert not _names(book)


def test_memory_is_bounded() -> None:
    book = quarantine.CrashBook()
    many = tuple(
        ids.RequestDigest(str(number))
        for number in range(2 * quarantine.MOST_DIGESTS)
    )
    for number in range(2 * quarantine.MOST_CRASHES):
        for half in (many[: quarantine.MOST_DIGESTS], many):
            server = ids.ServerId(f's{number}')
            crash = quarantine.Crash(SERVICE, server, number, half)
            book = book.note(crash)
    assert len(book.crashes) == quarantine.MOST_CRASHES
    longest = max(len(crash.digests) for crash in book.crashes)
    assert longest == quarantine.MOST_DIGESTS
