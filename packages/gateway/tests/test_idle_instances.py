"""Check that an instance without requests takes little processor time."""

import asyncio
import typing

import hypothesis
import pytest
from hypothesis import strategies

from sycamoreferry_core.fleet import instances, message_intervals
from sycamoreferry_gateway import tick_timer

INSTANCES = 5
WATCH_S = 3
# 1.5% of a core at about 0.4 ms for each time that the process wakes up.
MOST_WAKES_PER_S = 38
# Ticks closer than this are handled in one round of the event loop.
ROUND_S = 0.004
MOST_RANKINGS_PER_S = 5
INTERVALS_MS = (50, 100, 150, 500)


class _Wakes:
    """Record when the periodic work of one instance wakes up."""

    def __init__(self, instance: typing.Any) -> None:
        self.times: list[float] = []
        self._wait = instance._view.ticks.wait
        instance._view.ticks.wait = self._recorded_wait

    def rounds(self) -> int:
        """Return the number of rounds of the event loop."""
        times = sorted(self.times)
        return sum(
            later - earlier > ROUND_S
            for earlier, later in zip(times, times[1:], strict=False)
        )

    async def _recorded_wait(self, interval_ms: int) -> None:
        await self._wait(interval_ms)
        self.times.append(asyncio.get_running_loop().time())


@pytest.fixture(params=['mesh', 'spread'])
async def follower(
    request: pytest.FixtureRequest,
    monkeypatch: pytest.MonkeyPatch,
    cluster: typing.Any,
) -> typing.Any:
    """Return an instance that does not coordinate."""
    if request.param == 'spread':
        monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', 0)
    await cluster.start(2, INSTANCES)
    await cluster.wait_until(cluster.is_covered)
    await asyncio.sleep(2)
    leader = cluster.leader()
    return next(one for one in cluster.instances if one is not leader)


async def test_periodic_work_wakes_an_idle_instance_at_common_times(
    follower: typing.Any,
) -> None:
    wakes = _Wakes(follower)
    await asyncio.sleep(WATCH_S)
    assert wakes.rounds() <= WATCH_S * MOST_WAKES_PER_S


async def test_instance_that_hears_the_coordinator_rarely_ranks_the_others(
    follower: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Ranking takes time in proportion to the number of instances."""
    rankings: list[instances.Peers] = []
    rank = instances.Peers.rank

    def record(
        self: instances.Peers, *asked: typing.Any, **options: typing.Any
    ) -> int:
        rankings.append(self)
        return rank(self, *asked, **options)

    monkeypatch.setattr(instances.Peers, 'rank', record)
    await asyncio.sleep(WATCH_S)
    own = sum(peers is follower._view.peers for peers in rankings)
    assert own <= WATCH_S * MOST_RANKINGS_PER_S


@hypothesis.given(
    now_ms=strategies.floats(0, 10_000_000),
    interval_ms=strategies.sampled_from(INTERVALS_MS),
)
def test_next_tick_is_a_multiple_of_the_interval(
    now_ms: float, interval_ms: int
) -> None:
    left_ms = tick_timer.until_tick_ms(now_ms, interval_ms)
    ticks = (now_ms + left_ms) / interval_ms
    assert ticks == pytest.approx(round(ticks))
    waited = left_ms / interval_ms
    assert waited == pytest.approx(min(max(waited, 0), 1.1))


@pytest.mark.parametrize('interval_ms', INTERVALS_MS)
def test_timer_that_fires_early_causes_no_second_tick(interval_ms: int) -> None:
    now_ms = 3 * interval_ms - 0.02 * interval_ms
    left_ms = tick_timer.until_tick_ms(now_ms, interval_ms)
    assert left_ms == pytest.approx(1.02 * interval_ms)


def test_instances_tick_at_different_times() -> None:
    """Those that tick together would report to the coordinator in bursts."""
    phases = {tick_timer.TickTimer()._phase_ms % 50 for _ in range(20)}
    assert max(phases) - min(phases) > 20
