"""Check what callers get while a server sends bytes without end."""

import asyncio
import contextlib
import typing

import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

OK_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: seal\r\n'
ENDLESS = {
    'head': (OK_HEAD, b'A: b\r\n'),
    'body': (OK_HEAD + b'\r\n', b'a'),
    'chunk': (
        OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0;',
        b'a',
    ),
    'no answer': (b'', b'\r\n'),
}
BLOCK_BYTES = 65_536
DEADLINE_MS = 2_000


class Sender:
    """Answer with a start and one part without end, in place of a server."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self._start = start
        self._block = part * (BLOCK_BYTES // len(part))
        self.requests = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            request = await reader.read(10_000)
            if request:
                self.requests += 1
                await self._send(request, writer)
        writer.transport.abort()

    async def _send(self, request: bytes, writer: asyncio.StreamWriter) -> None:
        request_id = request.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
        if b'%' in self._start:
            writer.write(self._start % request_id)
        while not writer.is_closing():
            writer.write(self._block)
            await writer.drain()
            await asyncio.sleep(0)


async def _start(
    cluster: typing.Any,
    sender: Sender,
    servers: int,
    kind: str,
) -> asyncio.Server:
    """Start a cluster whose first server is the sender."""
    listener = await asyncio.start_server(sender.serve, '127.0.0.1', 0)
    await cluster.start(servers, instances=1, kind=kind, is_keyed=False)
    cluster.servers[0].public_port = listener.sockets[0].getsockname()[1]
    cluster.servers[0].register()
    only = cluster.instances[0]
    await cluster.wait_until(
        lambda: (
            only.is_ready
            and len(only._view.fleet.servers) == servers
            and only._view.fleet.servers['s0'].port
            == cluster.servers[0].public_port
        ),
    )
    return listener


async def _call(
    cluster: typing.Any,
    pool: http_client.ConnectionPool,
    name: str,
) -> http_messages.HttpResponse:
    outcome = await pool.exchange(
        cluster.instances[0]._deployment.request_address,
        cluster.encode_request(name, 1, deadline_ms=DEADLINE_MS),
        DEADLINE_MS + 500,
    )
    assert isinstance(outcome, http_messages.HttpResponse)
    return outcome


@pytest.mark.parametrize(('start', 'part'), ENDLESS.values(), ids=ENDLESS)
async def test_safe_requests_are_answered_by_another_server(
    cluster: typing.Any,
    start: bytes,
    part: bytes,
) -> None:
    sender = Sender(start, part)
    listener = await _start(cluster, sender, servers=2, kind='safe')
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    # Requests at a time leave no server idle.
    cluster.servers[1].processing_time_s = 0.05
    for first in range(0, 20, 4):
        replies = await asyncio.gather(
            *(_call(cluster, pool, f'r{first + more}') for more in range(4))
        )
        answered = {(reply.status, reply.body) for reply in replies}
        assert answered == {(200, b's1')}
    assert sender.requests
    listener.close()


@pytest.mark.parametrize(('start', 'part'), ENDLESS.values(), ids=ENDLESS)
async def test_unsafe_request_ends_with_an_unknown_outcome(
    cluster: typing.Any,
    start: bytes,
    part: bytes,
) -> None:
    sender = Sender(start, part)
    listener = await _start(cluster, sender, servers=1, kind='unsafe')
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    reply = await _call(cluster, pool, 'r0')
    assert reply.status == 502
    assert sender.requests == 1
    listener.close()


async def test_server_without_end_is_suspended(cluster: typing.Any) -> None:
    sender = Sender(*ENDLESS['head'])
    listener = await _start(cluster, sender, servers=2, kind='safe')
    only = cluster.instances[0]
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    cluster.servers[1].processing_time_s = 0.05
    calls = [
        asyncio.create_task(_call(cluster, pool, f'r{number}'))
        for number in range(8)
    ]
    await cluster.wait_until(
        lambda: only._loads.is_suspended('s0', only._view.clock.now()), 2
    )
    replies = await asyncio.gather(*calls)
    assert {reply.status for reply in replies} == {200}
    listener.close()
