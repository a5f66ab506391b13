"""Check that a part of an instance that raises is restarted."""

import asyncio

import pytest

from sycamoreferry_router import supervision


@pytest.fixture(autouse=True)
def _short_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(supervision, 'RESTART_DELAY_MS', 1)


@pytest.mark.parametrize(
    'error', [RecursionError(), MemoryError(), ValueError('x' * 100_000)]
)
async def test_part_that_raises_is_restarted(error: Exception) -> None:
    """Tasks that ended by an exception stayed unnoticed until the stop."""
    starts: list[int] = []

    async def work() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise error

    async with asyncio.timeout(2):
        await supervision.run_restarting(work)
    assert starts == [0, 1, 2]


async def test_cancelled_part_is_not_restarted() -> None:
    starts: list[int] = []

    async def work() -> None:
        starts.append(len(starts))
        await asyncio.sleep(10)

    task = asyncio.create_task(supervision.run_restarting(work))
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert starts == [0]
