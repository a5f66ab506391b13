"""Check that a slow server's answer is not given up for a failure.

The instance broke an attempt off after a share of its time to try another
server, found none with room, and answered 502 although the first was at work.
"""

import asyncio
import typing

import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import caller_messages, http_client
from sycamoreferry_ports import boot_clock

DEADLINE_MS = 1_500
# Longer than the first attempt may take alone, and within the deadline.
SLOW_S = 1.1
CALLS = 4


@pytest.fixture(params=[False, True], ids=['direct', 'permits'], autouse=True)
def _permits(
    monkeypatch: pytest.MonkeyPatch, request: pytest.FixtureRequest
) -> None:
    if request.param:
        monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', -1)


async def _start(cluster: typing.Any, kind: str, servers: int) -> typing.Any:
    await cluster.start(servers, instances=1, kind=kind, is_keyed=False)
    only = cluster.instances[0]
    await cluster.wait_until(
        lambda: only.is_ready and len(only._view.fleet.servers) == servers
    )
    return only


async def _call(
    cluster: typing.Any, only: typing.Any, name: str
) -> http_messages.HttpResponse:
    reply = await http_client.ConnectionPool(boot_clock.BootClock()).exchange(
        only._deployment.request_address,
        cluster.encode_request(name, 1, deadline_ms=DEADLINE_MS),
        DEADLINE_MS + 500,
    )
    assert isinstance(reply, http_messages.HttpResponse)
    return reply


@pytest.mark.parametrize('kind', ['safe', 'download'])
async def test_slow_answer_is_not_replaced_if_no_other_server_exists(
    cluster: typing.Any, kind: str
) -> None:
    only = await _start(cluster, kind, servers=1)
    cluster.servers[0].processing_time_s = SLOW_S
    reply = await _call(cluster, only, 'r0')
    assert (reply.status, reply.body) == (200, b's0')
    assert len(cluster.servers[0].ran) == 1


@pytest.mark.parametrize('kind', ['safe', 'download'])
async def test_slow_answers_are_not_replaced_if_the_others_are_full(
    cluster: typing.Any, kind: str
) -> None:
    only = await _start(cluster, kind, servers=2)
    for server in cluster.servers:
        server.processing_time_s = SLOW_S
    replies = await asyncio.gather(
        *(_call(cluster, only, f'r{number}') for number in range(CALLS))
    )
    assert [reply.status for reply in replies] == [200] * CALLS


async def test_slow_answer_is_taken_if_the_retry_fails(
    cluster: typing.Any,
) -> None:
    only = await _start(cluster, 'safe', servers=2)
    slow, failing = cluster.servers
    slow.processing_time_s = SLOW_S
    failing.status = 500
    replies = [
        await _call(cluster, only, f'r{number}') for number in range(CALLS)
    ]
    beside = {name for name, _ in slow.ran}
    assert beside
    assert {
        reply.status
        for number, reply in enumerate(replies)
        if f'r{number}' in beside
    } == {200}


async def test_retry_answers_while_the_first_server_is_slow(
    cluster: typing.Any,
) -> None:
    only = await _start(cluster, 'safe', servers=2)
    cluster.servers[0].processing_time_s = DEADLINE_MS / 1_000
    replies = [
        await _call(cluster, only, f'r{number}') for number in range(CALLS)
    ]
    assert {(reply.status, reply.body) for reply in replies} == {(200, b's1')}
    # The first server is told that its answer is not needed.
    await cluster.wait_until(lambda: not cluster.servers[0].running, 0.5)


async def test_server_that_rejects_late_leaves_no_unknown_outcome(
    cluster: typing.Any,
) -> None:
    only = await _start(cluster, 'safe', servers=1)
    server = cluster.servers[0]

    async def reject_late(
        _request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        await asyncio.sleep(SLOW_S)
        return caller_messages.CallerAnswer(503, (('Not-Executed', '1'),), b'')

    server._run = reject_late
    reply = await _call(cluster, only, 'r0')
    assert reply.status == 503
