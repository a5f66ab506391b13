import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_standins import closing_shards

SHARD = ids.ShardId(3)
GRACE_MS = 2000


@pytest.mark.parametrize(
    ('runs', 'waited_ms', 'closed'),
    [
        (0, 0, (SHARD,)),
        (1, 0, ()),
        (1, GRACE_MS - 1, ()),
        (1, GRACE_MS, (SHARD,)),
    ],
)
def test_shard_closes_when_its_requests_end_or_the_grace_is_over(
    runs: int,
    waited_ms: int,
    closed: tuple[ids.ShardId, ...],
) -> None:
    timer = clock.ManualClock()
    closing = closing_shards.ClosingShards(timer)
    closing.close(SHARD, GRACE_MS)
    assert closing.is_closing(SHARD)
    timer.advance(waited_ms)
    if runs:
        with closing.running(SHARD):
            assert closing.take_closed() == closed
        return
    assert closing.take_closed() == closed


def test_repeated_close_does_not_lengthen_the_grace() -> None:
    timer = clock.ManualClock()
    closing = closing_shards.ClosingShards(timer)
    with closing.running(SHARD):
        closing.close(SHARD, GRACE_MS)
        timer.advance(GRACE_MS)
        closing.close(SHARD, GRACE_MS)
        assert closing.take_closed() == (SHARD,)


def test_shard_granted_again_stays_open() -> None:
    closing = closing_shards.ClosingShards(clock.ManualClock())
    closing.close(SHARD, GRACE_MS)
    closing.reopen(SHARD)
    assert not closing.is_closing(SHARD)
    assert closing.take_closed() == ()
