import hypothesis
from hypothesis import strategies as st

from sycamoreferry_core import limits

MAX_LIMIT = 12
LATENCIES = st.lists(st.one_of(st.none(), st.floats(1, 5000)), max_size=200)


def _limit_after_answers(
    current: limits.AdaptiveLimit, latency_ms: float
) -> float:
    for _ in range(400):
        in_flight = int(current.limit)
        current = limits.after_answer(
            current, latency_ms, 10, in_flight, MAX_LIMIT
        )
    return current.limit


@hypothesis.given(LATENCIES)
def test_limit_stays_within_its_bounds(answers: list[float | None]) -> None:
    current = limits.AdaptiveLimit()
    base: float = 0
    for latency in answers:
        if latency is None:
            current = limits.after_shed(current)
        else:
            base = limits.update_base_latency(base, latency)
            current = limits.after_answer(current, latency, base, 1, MAX_LIMIT)
        assert limits.MIN_LIMIT <= current.limit <= MAX_LIMIT
        assert current.has_room(0)


def test_limit_grows_at_low_latency_and_shrinks_at_high() -> None:
    assert _limit_after_answers(limits.AdaptiveLimit(), 12) == MAX_LIMIT
    assert _limit_after_answers(limits.AdaptiveLimit(MAX_LIMIT), 200) < 2


def test_unreached_limit_does_not_grow() -> None:
    current = limits.AdaptiveLimit(4)
    for _ in range(100):
        current = limits.after_answer(current, 10, 10, 0, MAX_LIMIT)
    assert current.limit == 4


def test_share_is_at_least_one() -> None:
    assert limits.slots_per_instance(110, 9) == 12
    assert limits.slots_per_instance(2, 9) == 1
    assert limits.slots_per_instance(2, 0) == 2
