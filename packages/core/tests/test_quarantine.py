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
    Case(
        'same two requests in both crashes',
        (('s1', 0, 'np'), ('s2', 9000, 'np')),
        '',
    ),
    Case(
        'third crash singles out one request',
        (('s1', 0, 'np'), ('s2', 9000, 'np'), ('s3', 20_000, 'p')),
        'p',
    ),
    Case(
        'servers of a rack lost in turn',
        (('s1', 0, 'ab'), ('s2', 300, 'ac'), ('s3', 600, 'd')),
        '',
    ),
    Case(
        'rack lost with an idle server',
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


def _history(
    crashes: tuple[tuple[str, int, str], ...],
) -> quarantine.CrashHistory:
    history = quarantine.CrashHistory()
    for crash in crashes:
        history = history.add_crash(_crash(*crash))
    return history


def _names(history: quarantine.CrashHistory, now: int = NOW) -> str:
    return ''.join(
        sorted(quarantine.quarantine_ends(history, SERVICE, POLICY, now)),
    )


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_only_requests_that_cause_crashes_are_quarantined(case: Case) -> None:
    assert _names(_history(case.crashes), case.now) == case.quarantined


def test_cleared_request_is_quarantined_after_two_more_crashes() -> None:
    digest = ids.RequestDigest('p')
    history = _history((('s1', 0, 'p'), ('s2', 20, 'p'))).without_digest(digest)
    assert not _names(history)
    assert not history.suspects()
    again = history.add_crash(_crash('s3', 9000, 'p'))
    assert not _names(again)
    assert _names(again.add_crash(_crash('s4', 12_000, 'p'))) == 'p'


def test_other_service_is_not_affected() -> None:
    history = _history((('s1', 0, 'p'), ('s2', 20, 'p')))
    other = ids.ServiceName('other')
    assert not quarantine.quarantine_ends(history, other, POLICY, NOW)


CRASHES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('s1', 's2', 's3', 's4')),
        strategies.integers(0, 30_000),
        strategies.text('abcdef', max_size=4),
    ),
    max_size=12,
)


@hypothesis.given(CRASHES)
def test_quarantined_request_is_the_only_one_common_to_its_crashes(
    crashes: list[tuple[str, int, str]],
) -> None:
    history = _history(tuple(crashes))
    for name in _names(history):
        ran = [crash for crash in history.crashes if name in crash.digests]
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
def test_burst_of_losses_quarantines_no_request(
    losses: list[tuple[str, int]],
    running: list[str],
) -> None:
    """Lose servers in a burst, including one that was running nothing."""
    history = _history((('s5', 1000, ''),))
    for server, at_ms in losses:
        digests = running[int(server[1]) - 1]
        history = history.add_crash(_crash(server, at_ms, digests))
    assert not _names(history)


def test_stored_crashes_and_digests_are_bounded() -> None:
    history = quarantine.CrashHistory()
    many = tuple(
        ids.RequestDigest(str(number))
        for number in range(2 * quarantine.MAX_DIGESTS_PER_CRASH)
    )
    for number in range(2 * quarantine.MAX_CRASHES):
        for digests in (many[: quarantine.MAX_DIGESTS_PER_CRASH], many):
            server = ids.ServerId(f's{number}')
            crash = quarantine.Crash(SERVICE, server, number, digests)
            history = history.add_crash(crash)
    assert len(history.crashes) == quarantine.MAX_CRASHES
    longest = max(len(crash.digests) for crash in history.crashes)
    assert longest == quarantine.MAX_DIGESTS_PER_CRASH
