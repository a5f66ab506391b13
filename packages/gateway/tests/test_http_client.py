"""Check which replies the HTTP client accepts as complete, over sockets."""

import asyncio
import socket
import struct
import typing

import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import http_client, request_identity
from sycamoreferry_ports import boot_clock

REQUEST = http_client.encode_request('GET', '/a', (('Host', 'b'),), b'')
COMPLETE_REPLY = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 2\r\n\r\nok'
)
SECOND_REPLY = COMPLETE_REPLY.replace(b'Request-Id: 1', b'Request-Id: 2')
FOREIGN_REPLY = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: 9\r\nContent-Length: 2\r\n\r\nno'
)
TIMEOUT_MS = 300
# SO_LINGER of zero seconds makes a close send RST.
LINGER_ZERO = struct.pack('ii', 1, 0)

# Bytes to send, or 'reset' or 'close' for the connection.
Script = list[bytes | str]


class ScriptedServer:
    """Answer each request by the next script, the last one repeatedly."""

    def __init__(self, scripts: list[Script]) -> None:
        self._scripts = scripts
        self.connections = 0
        self.requests = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        while await reader.read(10_000):
            script = self._scripts[min(self.requests, len(self._scripts) - 1)]
            self.requests += 1
            for step in script:
                if step == 'reset':
                    await asyncio.sleep(0.05)
                    raw = writer.get_extra_info('socket')
                    raw.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
                    )
                    writer.transport.abort()
                    return
                if step == 'close':
                    writer.close()
                    return
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()


@pytest.fixture
async def run_scripts() -> typing.AsyncIterator[typing.Any]:
    servers = []

    async def start(
        *scripts: Script,
    ) -> tuple[ScriptedServer, deployment.Address, http_client.ConnectionPool]:
        scripted = ScriptedServer(list(scripts))
        server = await asyncio.start_server(scripted.serve, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        return scripted, deployment.Address('127.0.0.1', port), pool

    yield start
    for server in servers:
        server.close()


async def _exchange(
    pool: http_client.ConnectionPool,
    address: deployment.Address,
    request_id: str = '1',
) -> http_client.ExchangeResult:
    identity = request_identity.RequestIdentity('request-id', request_id)
    return await pool.exchange(address, REQUEST, TIMEOUT_MS, identity)


@pytest.mark.parametrize(
    ('script', 'expected'),
    [
        ([COMPLETE_REPLY], b'ok'),
        ([COMPLETE_REPLY[:30], COMPLETE_REPLY[30:]], b'ok'),
        # A reply to an earlier request is skipped.
        ([FOREIGN_REPLY + COMPLETE_REPLY], b'ok'),
        # Without a length, the end of the connection ends the reply.
        ([b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nall', 'close'], b'all'),
        (
            [
                b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
            ],
            b'ok',
        ),
    ],
)
async def test_complete_reply_is_returned(
    run_scripts: typing.Any,
    script: Script,
    expected: bytes,
) -> None:
    _, address, pool = await run_scripts(script)
    outcome = await _exchange(pool, address)
    assert isinstance(outcome, http_messages.HttpResponse)
    assert outcome.body == expected


@pytest.mark.parametrize(
    ('script', 'failure'),
    [
        (['reset'], http_client.ExchangeFailure.RESET),
        (['close'], http_client.ExchangeFailure.CLOSED),
        ([COMPLETE_REPLY[:-1], 'close'], http_client.ExchangeFailure.CLOSED),
        ([COMPLETE_REPLY[:-1]], http_client.ExchangeFailure.TIMEOUT),
        ([FOREIGN_REPLY], http_client.ExchangeFailure.TIMEOUT),
        ([b'no answer at all\r\n\r\n'], http_client.ExchangeFailure.MALFORMED),
        (
            [b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nall', 'reset'],
            http_client.ExchangeFailure.RESET,
        ),
    ],
)
async def test_incomplete_reply_fails_with_its_cause(
    run_scripts: typing.Any,
    script: Script,
    failure: http_client.ExchangeFailure,
) -> None:
    _, address, pool = await run_scripts(script)
    outcome = await _exchange(pool, address)
    assert isinstance(outcome, http_client.FailedExchange)
    assert outcome.was_sent
    assert outcome.failure is failure


async def test_connection_is_reused_for_the_next_request(
    run_scripts: typing.Any,
) -> None:
    scripted, address, pool = await run_scripts(
        [COMPLETE_REPLY], [SECOND_REPLY]
    )
    await _exchange(pool, address)
    second = await _exchange(pool, address, '2')
    assert isinstance(second, http_messages.HttpResponse)
    assert scripted.connections == 1
    assert scripted.requests == 2


async def test_connection_with_a_surplus_reply_is_not_reused(
    run_scripts: typing.Any,
) -> None:
    scripted, address, pool = await run_scripts(
        [COMPLETE_REPLY + FOREIGN_REPLY], [SECOND_REPLY]
    )
    first = await _exchange(pool, address)
    second = await _exchange(pool, address, '2')
    assert isinstance(first, http_messages.HttpResponse)
    assert isinstance(second, http_messages.HttpResponse)
    assert scripted.connections == 2


async def test_connection_closed_by_the_server_is_not_reused(
    run_scripts: typing.Any,
) -> None:
    closing = COMPLETE_REPLY.replace(
        b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n'
    )
    scripted, address, pool = await run_scripts([closing], [SECOND_REPLY])
    await _exchange(pool, address)
    await _exchange(pool, address, '2')
    assert scripted.connections == 2


async def test_request_on_a_refused_connection_was_not_sent() -> None:
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    outcome = await _exchange(pool, deployment.Address('127.0.0.1', 1))
    assert isinstance(outcome, http_client.FailedExchange)
    assert not outcome.was_sent


async def test_cancelled_request_resets_its_connection(
    run_scripts: typing.Any,
) -> None:
    scripted, address, pool = await run_scripts([], [COMPLETE_REPLY])
    task = asyncio.ensure_future(_exchange(pool, address))
    await asyncio.sleep(0.05)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    outcome = await _exchange(pool, address)
    assert isinstance(outcome, http_messages.HttpResponse)
    assert scripted.connections == 2
