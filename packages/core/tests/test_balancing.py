import random

import hypothesis
import pytest
from hypothesis import strategies as st

from sycamoreferry_core import balancing, clock, ids, outliers

NOW = clock.Millis(100_000)
COMMON = balancing.ScoringContext(10, NOW)


def _load(
    in_flight: int = 0,
    recent_ms: float = 10,
    age_ms: int = 0,
    warm_since: clock.Millis = clock.LONG_AGO,
) -> balancing.TargetLoad:
    return balancing.TargetLoad(
        ids.ServerId('plain-1'),
        in_flight,
        recent_ms,
        clock.Millis(NOW - age_ms),
        warm_since,
    )


@pytest.mark.parametrize(
    ('better', 'worse'),
    [
        (_load(1), _load(2)),
        (_load(1, 10), _load(1, 50)),
        (_load(1, 50, age_ms=60_000), _load(1, 50)),
        (_load(3), _load(1, warm_since=clock.Millis(NOW - 100))),
        (_load(3, warm_since=clock.Millis(NOW - 6000)), _load(4)),
    ],
)
def test_better_target_is_chosen(
    better: balancing.TargetLoad,
    worse: balancing.TargetLoad,
) -> None:
    for seed in range(20):
        draw = random.Random(seed).randrange
        assert balancing.choose([better, worse], COMMON, draw) == 0
        assert balancing.choose([worse, better], COMMON, draw) == 1


@hypothesis.given(
    st.lists(st.integers(0, 50), min_size=2, max_size=20),
    st.integers(),
)
def test_most_loaded_target_is_never_chosen(
    counts: list[int],
    seed: int,
) -> None:
    hypothesis.assume(counts.count(max(counts)) == 1)
    loads = [_load(count) for count in counts]
    chosen = balancing.choose(loads, COMMON, random.Random(seed).randrange)
    assert chosen is not None
    assert counts[chosen] < max(counts)


def test_no_targets_gives_no_choice() -> None:
    assert balancing.choose([], COMMON, random.Random(1).randrange) is None


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 5), st.booleans(), st.integers(0, 3000)),
        max_size=300,
    ),
)
def test_half_the_targets_stay_usable_and_ejections_end(
    events: list[tuple[int, bool, int]],
) -> None:
    names = [ids.ServerId(str(number)) for number in range(6)]
    healths = {name: outliers.HEALTHY for name in names}
    now = clock.Millis(0)
    for number, good, wait in events:
        now = clock.later(now, wait)
        name = names[number]
        healths[name] = (
            outliers.after_success()
            if good
            else outliers.after_failure(healths[name], now)
        )
        assert len(outliers.usable_targets(names, healths, now)) >= 3
    later = clock.later(now, outliers.MAX_EJECTION_MS)
    assert outliers.usable_targets(names, healths, later) == tuple(names)


def test_each_ejection_lasts_twice_as_long() -> None:
    health = outliers.HEALTHY
    now = NOW
    durations_ms = []
    for _ in range(3):
        while not health.is_ejected(now):
            health = outliers.after_failure(health, now)
        durations_ms.append(health.ejected_until - now)
        now = health.ejected_until
    assert durations_ms == [1000, 2000, 4000]
    assert outliers.after_failure(outliers.HEALTHY, NOW).failures == 1


def test_at_most_half_of_the_targets_are_ejected() -> None:
    names = [ids.ServerId(str(number)) for number in range(7)]
    healths = {}
    for name in names:
        health = outliers.HEALTHY
        for _ in range(outliers.FAILURES_TO_EJECT):
            health = outliers.after_failure(health, NOW)
        healths[name] = health
    assert len(outliers.usable_targets(names, healths, NOW)) == 4
