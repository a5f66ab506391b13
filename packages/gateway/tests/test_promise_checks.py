"""Check the soak's checks of fences, leaving servers and back-offs."""

import pytest

from gateway_testing import intervals, promise_checks

LIFE = promise_checks.ServerLife('s0', 1)
NEXT_LIFE = promise_checks.ServerLife('s0', 2)


@pytest.mark.parametrize(
    ('grants', 'is_found'),
    [
        pytest.param([('a', 0, 9, 5), ('b', 0, 9, 6)], False, id='above'),
        pytest.param([('a', 0, 9, 5), ('b', 9, 12, 5)], True, id='equal'),
        pytest.param([('a', 0, 9, 5), ('b', 10, 12, 5)], False, id='apart'),
        pytest.param([('a', 0, 9, 5), ('a', 0, 9, 4)], False, id='own'),
        pytest.param(
            [('a', 0, 9, 5), ('b', 0, 9, 6), ('a', 0, 9, 5)],
            False,
            id='same-again',
        ),
        pytest.param(
            [('a', 0, 9, 5), ('b', 4, 4, 6), ('a', 5, 9, 5)],
            False,
            id='part-again',
        ),
        pytest.param(
            [('a', 0, 9, 5), ('b', 10, 19, 6), ('a', 0, 12, 5)],
            True,
            id='more-than-before',
        ),
        pytest.param(
            [('a', 0, 2, 5), ('a', 6, 9, 5), ('b', 3, 3, 7), ('a', 0, 9, 5)],
            True,
            id='gap-between-parts',
        ),
        pytest.param(
            [('a', 0, 2, 7), ('b', 5, 9, 7), ('c', 0, 9, 7)],
            True,
            id='several-servers',
        ),
    ],
)
def test_only_new_keys_need_a_fence_above_all_of_other_servers(
    grants: list[tuple[str, int, int, int]], *, is_found: bool
) -> None:
    check = promise_checks.FenceCheck()
    found = [check.accept(promise_checks.Grant(*row)) for row in grants]
    assert found[:-1] == [None] * (len(grants) - 1)
    assert (found[-1] is not None) == is_found


@pytest.mark.parametrize(
    ('sender', 'life', 'sent_at', 'told_at'),
    [
        ('i0', LIFE, 3.0, None),
        ('i0', LIFE, 3.01, 1.0),
        ('i1', LIFE, 9.0, None),
        ('i0', NEXT_LIFE, 9.0, None),
    ],
)
def test_request_is_late_once_its_sender_knew_for_longer_than_drain(
    sender: str,
    life: promise_checks.ServerLife,
    sent_at: float,
    told_at: float | None,
) -> None:
    check = promise_checks.DrainCheck()
    check.tell('i0', LIFE, 1.0)
    check.tell('i0', LIFE, 2.0)
    assert check.told_at(sender, life, sent_at) == told_at


@pytest.mark.parametrize(
    ('arrivals', 'is_broken'),
    [
        ([1.1, 1.2, 1.5, 2.0, 2.5], False),
        ([1.6, 2.0, 2.5], True),
        ([1.6, 2.5, 3.0], True),
        ([1.6, 2.5, 3.1], False),
    ],
)
def test_back_off_is_broken_by_three_requests_after_its_slack(
    arrivals: list[float], *, is_broken: bool
) -> None:
    check = promise_checks.BackOffCheck()
    check.ask('i0', LIFE, 1.0, 2)
    for now in arrivals:
        check.arrive('i0', LIFE, now)
        check.arrive('i1', LIFE, now)
        check.arrive('i0', NEXT_LIFE, now)
    assert bool(check.broken()) == is_broken


def test_intervals_overlap_spans_that_they_share_a_moment_with() -> None:
    faults = intervals.Intervals()
    faults.end(0)
    faults.begin(1)
    faults.begin(2)
    assert faults.overlap(5, 6)
    faults.end(3)
    faults.end(4)
    assert faults.overlap(2, 9)
    assert not faults.overlap(3.1, 9)
    assert faults.ended_within(2.9, 3.2)
    assert not faults.ended_within(3.1, 3.4)
