import hypothesis
from hypothesis import strategies as st

from sycamoreferry_core import limits

HIGHEST = 12
LATENCIES = st.lists(st.one_of(st.none(), st.floats(1, 5000)), max_size=200)


def _settle(held: limits.AdaptiveLimit, latency_ms: float) -> float:
    for _ in range(400):
        in_flight = int(held.limit)
        held = limits.after_answer(held, latency_ms, 10, in_flight, HIGHEST)
    return held.limit


@hypothesis.given(LATENCIES)
def test_limit_stays_within_its_bounds(answers: list[float | None]) -> None:
    held = limits.AdaptiveLimit()
    base: float = 0
    for latency in answers:
        if latency is None:
            held = limits.after_shed(held)
        else:
            base = limits.follow_base(base, latency)
            held = limits.after_answer(held, latency, base, 1, HIGHEST)
        assert limits.LOWEST_LIMIT <= held.limit <= HIGHEST
        assert held.has_room(0)


def test_limit_follows_the_latency() -> None:
    assert _settle(limits.AdaptiveLimit(), 12) == HIGHEST
    assert _settle(limits.AdaptiveLimit(HIGHEST), 200) < 2


def test_limit_that_is_not_used_does_not_grow() -> None:
    held = limits.AdaptiveLimit(4)
    for _ in range(100):
        held = limits.after_answer(held, 10, 10, 0, HIGHEST)
    assert held.limit == 4


def test_share_is_at_least_one() -> None:
    assert limits.share_of(110, 9) == 12
    assert limits.share_of(2, 9) == 1
    assert limits.share_of(2, 0) == 2
