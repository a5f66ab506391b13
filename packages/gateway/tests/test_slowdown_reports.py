"""Check that the slowdown of a server reaches the instances that choose."""

import asyncio
import typing

import msgspec
import pytest

from sycamoreferry_core import ids
from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import (
    counting_instances,
    http_client,
    peer_messages,
)
from sycamoreferry_ports import boot_clock

INSTANCES = 3
# More than the interval of heartbeats in the mesh.
REPORT_S = 0.1


async def _start(cluster: typing.Any, load: str) -> typing.Any:
    """Start a cluster; return an instance that does not count the requests."""
    await cluster.start(servers=1, instances=INSTANCES, is_keyed=False)
    cluster.servers[0].load = load
    await cluster.wait_until(
        lambda: all(
            one.is_ready
            and one._view.peers.count(one._clock.now()) == INSTANCES
            for one in cluster.instances
        )
    )
    line = counting_instances.pool_line(ids.ServiceName('keys'), 0)
    return next(
        one
        for one in cluster.instances
        if one._deployment.instance
        != one._dispatcher.permits.counting.of_line(line)
    )


async def _call(cluster: typing.Any, target: typing.Any) -> int:
    payload = cluster.encode_request('r1', 0, deadline_ms=3_000)
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    address = target._deployment.request_address
    reply = await pool.exchange(address, payload, 4_000)
    assert not isinstance(reply, http_client.FailedExchange)
    return reply.status


def _known(cluster: typing.Any) -> list[list[float]]:
    """Return what each instance knows of the only server."""
    return [
        one._loads.slowdowns.fresh_reports(one._clock.now())
        for one in cluster.instances
    ]


# Without the mesh, the caller's instance and the one that counts know it.
@pytest.mark.parametrize(('mesh_peers', 'informed'), [(-1, 2), (16, INSTANCES)])
async def test_instances_that_choose_learn_the_slowdown(
    cluster: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
    mesh_peers: int,
    informed: int,
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    caller = await _start(cluster, '1,0,2,300')
    known = 0
    for _ in range(20):
        assert await _call(cluster, caller) == 200
        await asyncio.sleep(REPORT_S)
        known = max(known, _known(cluster).count([3.0]))
    assert known == informed


async def test_server_with_three_figures_has_no_slowdown(
    cluster: typing.Any,
) -> None:
    caller = await _start(cluster, '1,0,2')
    assert await _call(cluster, caller) == 200
    assert _known(cluster) == [[]] * INSTANCES


class _EarlierReturn(msgspec.Struct, array_like=True, tag='permit-return'):
    """Read a return as the versions without slowdowns do."""

    instance: str
    number: int
    line: str
    failed: str
    answered: str


def test_earlier_instance_reads_a_return_with_a_slowdown() -> None:
    sent = peer_messages.PermitReturn(
        'i', 1, 'line', '', 's', sent_at=9, slowdown=3.0, slowdown_at=5
    )
    encoded = peer_messages.encode(sent)
    assert peer_messages.decode(encoded) == sent
    earlier = msgspec.msgpack.decode(encoded, type=_EarlierReturn)
    assert earlier == _EarlierReturn('i', 1, 'line', '', 's')
    read = peer_messages.decode(msgspec.msgpack.encode(earlier))
    assert isinstance(read, peer_messages.PermitReturn)
    assert not read.slowdown
