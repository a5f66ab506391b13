"""Check that the HTTP clients end answers that have no end."""

import asyncio
import typing

import aiohttp
import pytest

from sycamoreferry_core import actions, ids
from sycamoreferry_ports import (
    headers,
    http_forward,
    http_instance_list,
    http_log,
    http_orders,
    http_probe,
    log_port,
    wire,
)
from sycamoreferry_standins import scripted_server

BLOCK_BYTES = 65_536
MIB = 1_048_576
OK_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = OK_LINE + b'Transfer-Encoding: chunked\r\n\r\n'
LENGTH_HEAD = OK_LINE + b'Content-Length: 999999999999\r\n\r\n'
ENDLESS_BODIES = {
    'until close': (OK_LINE + b'\r\n', b'a'),
    'chunk': (CHUNKED_HEAD + b'ffffffff\r\n', b'a'),
    'length': (LENGTH_HEAD, b'a'),
}
ENDLESS_HEADS = {
    'status line': (b'HTTP/1.1 200 ', b'a'),
    'header value': (OK_LINE + b'A: ', b'a'),
    'headers': (OK_LINE, b'A: b\r\n'),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
}
ENDLESS_FRAMING = {
    'trailers': (CHUNKED_HEAD + b'2\r\nok\r\n0\r\n', b'A: b\r\n'),
    'trailer': (CHUNKED_HEAD + b'2\r\nok\r\n0\r\nA: ', b'a'),
}
# What the parser reads over without an error.
ENDLESS_IGNORED = {
    'blank lines': (b'', b'\r\n'),
    'chunk extension': (CHUNKED_HEAD + b'2;', b'a'),
}
TIMEOUT_MS = 1_000
REQUEST = http_forward.ForwardedRequest(
    'GET',
    '/a',
    {headers.REQUEST_ID: 'r1'},
    b'',
    TIMEOUT_MS,
    TIMEOUT_MS,
    ids.RequestId('r1'),
)


class Sender:
    """Send a start and then one part without end."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self.sent_bytes = 0
        self.has_stopped = asyncio.Event()
        self._start = start
        self._block = part * (BLOCK_BYTES // len(part))

    async def send(
        self, _head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self._start)
        try:
            await self._send_without_end(writer)
        finally:
            self.has_stopped.set()

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(self._block)
            await writer.drain()
            self.sent_bytes += len(self._block)
            await asyncio.sleep(0)


async def _read_list(session: aiohttp.ClientSession, url: str) -> bool:
    listed = await http_instance_list.HttpInstanceList(session, url).read()
    return listed is None


async def _append(session: aiohttp.ClientSession, url: str) -> bool:
    outcome = await http_log.HttpLog(session, url, 's').append(b'a')
    return isinstance(outcome, log_port.AppendUnknown)


async def _read_log(session: aiohttp.ClientSession, url: str) -> bool:
    log = http_log.HttpLog(session, url, 's')
    outcome = await log.read(ids.Offset(0), 0)
    return isinstance(outcome, log_port.ReadFailed)


def _listed(url: str) -> wire.ListedServer:
    host, _, port = url.removeprefix('http://').partition(':')
    return wire.ListedServer(
        server=ids.ServerId('s'),
        service=ids.ServiceName('plain'),
        data_centre=ids.DataCentre('north'),
        host=host,
        port=int(port),
        state='live',
    )


async def _probe(session: aiohttp.ClientSession, url: str) -> bool:
    probed = await http_probe.HttpProbe(session).probe(_listed(url))
    return probed is not http_probe.ProbeResult.ANSWERED


async def _order(session: aiohttp.ClientSession, url: str) -> bool:
    sender = http_orders.SenderIdentity(
        ids.ServiceName('plain'),
        ids.InstanceId('i'),
        ids.DataCentre('north'),
    )
    order = actions.Renew(
        server=ids.ServerId('s'),
        term=ids.Term(1),
        number=ids.OrderNumber(1),
        stamp=1,
        lease_ms=1_000,
        digest=0,
    )
    client = http_orders.HttpOrderClient(session, sender)
    return await client.send(order, _listed(url), TIMEOUT_MS) is None


HasFailed = typing.Callable[
    [aiohttp.ClientSession, str], typing.Awaitable[bool]
]


@pytest.mark.parametrize(
    ('start', 'part'), ENDLESS_BODIES.values(), ids=ENDLESS_BODIES
)
@pytest.mark.parametrize(
    'has_failed', [_read_list, _append, _read_log, _probe, _order]
)
async def test_body_without_end_fails_the_call(
    has_failed: HasFailed,
    start: bytes,
    part: bytes,
) -> None:
    sender = Sender(start, part)
    async with (
        scripted_server.ScriptedServer(sender.send) as server,
        aiohttp.ClientSession() as session,
    ):
        listed = server.listed
        assert await has_failed(session, f'http://{listed.host}:{listed.port}')
        await asyncio.wait_for(sender.has_stopped.wait(), 1)
    assert sender.sent_bytes < 96 * MIB


@pytest.mark.parametrize(
    ('start', 'part'),
    [*ENDLESS_HEADS.values(), *ENDLESS_FRAMING.values()],
    ids=[*ENDLESS_HEADS, *ENDLESS_FRAMING],
)
async def test_forwarded_request_fails_at_a_head_or_framing_without_end(
    start: bytes,
    part: bytes,
) -> None:
    sender = Sender(start, part)
    async with (
        scripted_server.ScriptedServer(sender.send) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        outcome = await forwarder.forward(REQUEST, server.listed)
        assert not isinstance(outcome, http_forward.Received)
        await asyncio.wait_for(sender.has_stopped.wait(), 1)
    assert sender.sent_bytes < 96 * MIB


@pytest.mark.parametrize(
    ('start', 'part'), ENDLESS_IGNORED.values(), ids=ENDLESS_IGNORED
)
async def test_forwarded_request_fails_at_its_time_limit(
    start: bytes,
    part: bytes,
) -> None:
    sender = Sender(start, part)
    async with (
        scripted_server.ScriptedServer(sender.send) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        outcome = await forwarder.forward(REQUEST, server.listed)
        assert outcome == http_forward.TimedOut()
        await asyncio.wait_for(sender.has_stopped.wait(), 1)
