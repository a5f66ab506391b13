"""Check that instances keep the rate limits that servers name."""

import asyncio
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

INSTANCES = 4
LIMIT_PER_S = 2
# The platform's StabilityWindow, from which on a named limit holds.
STABILITY_MS = 3_000
WINDOW_MS = 4_000
# Ten times what the limited server takes.
INTERVAL_S = 0.05
LOAD_S = 8
KEYS = tuple(range(0, 65_536, 2_048))


def _most_in_window(arrived_at: list[int], since: int) -> int:
    counted = [at for at in arrived_at if at >= since]
    return max(
        (
            sum(start <= at < start + WINDOW_MS for at in counted)
            for start in counted
        ),
        default=0,
    )


async def _load(cluster: typing.Any, duration_s: float) -> list[object]:
    """Send requests through all instances in turn; return their results."""
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    calls = []
    for number in range(int(duration_s / INTERVAL_S)):
        target = cluster.instances[number % INSTANCES]
        payload = cluster.encode_request(f'r{number}', KEYS[number % len(KEYS)])
        call = pool.exchange(target._deployment.request_address, payload, 3_000)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(INTERVAL_S)
    replies = await asyncio.gather(*calls)
    return [
        reply.failure
        if isinstance(reply, http_client.FailedExchange)
        else reply.status
        for reply in replies
    ]


async def _start(cluster: typing.Any, *, is_keyed: bool) -> typing.Any:
    """Start a cluster with load; return the server that is to be limited."""
    await cluster.start(servers=2, instances=INSTANCES, is_keyed=is_keyed)
    for server in cluster.servers:
        server.processing_time_s = 0.02
    await cluster.wait_until(
        lambda: all(
            one.is_ready and len(one._view.peer_addresses) == INSTANCES - 1
            for one in cluster.instances
        ),
    )
    if is_keyed:
        await cluster.wait_until(cluster.is_covered)
    await _load(cluster, 1)
    return cluster.servers[0]


@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'pool'])
@pytest.mark.parametrize('mesh_peers', [16, 0], ids=['mesh', 'permits'])
async def test_server_gets_no_more_requests_than_the_limit_it_names(
    cluster: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
    mesh_peers: int,
    *,
    is_keyed: bool,
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    limited = await _start(cluster, is_keyed=is_keyed)
    limited.rate_limit = str(LIMIT_PER_S)
    named_at = limited.clock.now()
    results = await _load(cluster, LOAD_S)
    most = _most_in_window(limited.arrived_at, named_at + STABILITY_MS)
    # The platform allows half as much again, and five requests.
    assert most <= 1.5 * LIMIT_PER_S * WINDOW_MS / 1_000 + 5
    if not is_keyed:
        assert set(results) == {200}


async def test_keys_of_a_limited_server_are_served_by_others(
    cluster: typing.Any,
) -> None:
    limited = await _start(cluster, is_keyed=True)
    for server in cluster.servers:
        server.processing_time_s = 0.05
    limited.rate_limit = str(LIMIT_PER_S)
    # Service for each key is to be back within this time after a loss.
    await _load(cluster, STABILITY_MS / 1_000)
    results = await _load(cluster, LOAD_S - STABILITY_MS / 1_000)
    assert results.count(200) >= 0.95 * len(results)
