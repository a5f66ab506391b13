"""Check that all instances together send cold servers few requests."""

import asyncio
import dataclasses
import json
import typing

import pytest

from gateway_testing import limit_play
from sycamoreferry_core.fleet import message_intervals

WARMUP_MS = 4_000
PER_S = 4.5
BOUND = 1.5 * PER_S + 8
LOAD_PER_S = 100
ENTRY_MS = 870
# A server's entry is read up to a second after it was written.
READ_MS = 1_000


def _in_most_loaded_second(arrived_at: list[int]) -> int:
    return max(
        sum(start <= at < start + 1_000 for at in arrived_at)
        for start in arrived_at
    )


async def _write_entries(cluster: typing.Any) -> None:
    while True:
        for server in cluster.servers:
            server.register()
        await asyncio.sleep(ENTRY_MS / 1_000)


@pytest.fixture(params=[16, 0], ids=['mesh', 'permits'])
async def start(
    cluster: typing.Any,
    encode_configuration: typing.Callable[..., bytes],
    monkeypatch: pytest.MonkeyPatch,
    request: pytest.FixtureRequest,
) -> typing.Any:
    """Return a function that starts load on servers with a bound."""
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', request.param)
    make = cluster._deployment

    def deployment(name: str) -> typing.Any:
        made = make(name)
        bounds = dataclasses.replace(
            made.bounds, warmup_overage=1.5, warmup_slack=8
        )
        return dataclasses.replace(made, bounds=bounds)

    async def begin(*, is_keyed: bool) -> limit_play.LimitPlay:
        play = limit_play.LimitPlay(cluster)
        await play.start(2, 4, is_keyed=is_keyed, processing_time_s=0.02)
        config = json.loads(encode_configuration(2, is_keyed=is_keyed))
        warm_up = {'Warmup': f'{WARMUP_MS}ms', 'WarmupPerS': PER_S}
        config['Services'][0].update(warm_up)
        cluster.store.put('keyed.op', 'config', json.dumps(config).encode())
        play.load(LOAD_PER_S)
        await asyncio.sleep(1)
        return play

    monkeypatch.setattr(cluster, '_deployment', deployment)
    return begin


@pytest.mark.parametrize('cold_count', [1, 2], ids=['one', 'all'])
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'pool'])
async def test_cold_servers_get_no_more_requests_than_they_tolerate(
    cluster: typing.Any, start: typing.Any, cold_count: int, *, is_keyed: bool
) -> None:
    """Fails if instances that share servers don't pace requests together."""
    play = await start(is_keyed=is_keyed)
    writing = asyncio.create_task(_write_entries(cluster))
    cold = cluster.servers[:cold_count]
    began_at = cold[0].clock.now()
    for server in cold:
        server.cold_until = began_at + WARMUP_MS
    await asyncio.sleep(WARMUP_MS / 1_000)
    play.stop()
    writing.cancel()
    since = began_at + ENTRY_MS + READ_MS
    for server in cold:
        arrived = [at for at in server.arrived_at if at >= since]
        assert _in_most_loaded_second(arrived) <= BOUND
    # No request fails, or is lost, for the pace.
    assert set(play.statuses) <= {200, 503}
    if cold_count == 1 and not is_keyed:
        assert set(play.statuses) == {200}


async def test_server_that_refused_connections_is_taken_for_cold(
    cluster: typing.Any, start: typing.Any
) -> None:
    """Fails if a restarted server is overrun before it writes an entry."""
    play = await start(is_keyed=False)
    restarted = cluster.servers[0]
    restarted.stop()
    await asyncio.sleep(0.5)
    await restarted.start()
    up_at = restarted.clock.now()
    await asyncio.sleep(WARMUP_MS / 2_000)
    play.stop()
    arrived = [at for at in restarted.arrived_at if at >= up_at]
    assert 0 < _in_most_loaded_second(arrived) <= BOUND
