"""Check that bytes without end from a server stay bounded, over sockets."""

import asyncio
import contextlib
import gc
import tracemalloc
import typing

import pytest

from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import http_client, request_identity
from sycamoreferry_ports import boot_clock

REQUEST = http_client.encode_request('GET', '/a', (('Host', 'b'),), b'')
# Long enough that a sender without end passes each limit first.
TIMEOUT_MS = 10_000
BLOCK_BYTES = 65_536
MIB = 1_048_576
OK_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED_HEAD = OK_LINE + b'Transfer-Encoding: chunked\r\n\r\n'
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
ENDLESS_HEADS = {
    'status line': (b'HTTP/1.1 200 ', b'a'),
    'blank lines': (b'', b'\r\n'),
    'header name': (OK_LINE, b'a'),
    'header value': (OK_LINE + b'A: ', b'a'),
    'headers': (OK_LINE, b'A: b\r\n'),
    'interim answers': (b'', INTERIM),
    'interim head': (INTERIM + b'HTTP/1.1 103 Early Hints\r\n', b'A: b\r\n'),
}
ENDLESS_FRAMING = {
    'chunk size': (CHUNKED_HEAD, b'0'),
    'chunk extension': (CHUNKED_HEAD + b'2;', b'a'),
    'trailers': (CHUNKED_HEAD + b'2\r\nok\r\n0\r\n', b'A: b\r\n'),
    'trailer': (CHUNKED_HEAD + b'2\r\nok\r\n0\r\nA: ', b'a'),
}


class EndlessServer:
    """Answer each request with a start and then one part without end."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self._start = start
        self._block = part * (BLOCK_BYTES // len(part))
        self.pause_s = 0.0
        self.sent_bytes = 0
        self.connections = 0
        self.has_stopped = asyncio.Event()

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.connections += 1
        with contextlib.suppress(OSError):
            if await reader.read(10_000):
                writer.write(self._start)
                await self._send_without_end(writer)
        self.has_stopped.set()
        writer.transport.abort()

    async def _send_without_end(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(self._block)
            await writer.drain()
            self.sent_bytes += len(self._block)
            await asyncio.sleep(self.pause_s)


Serve = typing.Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    typing.Coroutine[typing.Any, typing.Any, None],
]


@pytest.fixture
async def listen() -> typing.AsyncIterator[typing.Any]:
    servers = []

    async def start(serve: Serve) -> deployment.Address:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return deployment.Address('127.0.0.1', port)

    yield start
    for server in servers:
        server.close()


@pytest.fixture
def pool() -> http_client.ConnectionPool:
    return http_client.ConnectionPool(boot_clock.BootClock())


def _is_malformed(outcome: http_client.ExchangeResult) -> bool:
    return outcome == http_client.FailedExchange(
        http_client.ExchangeFailure.MALFORMED, was_sent=True
    )


@pytest.mark.parametrize(
    ('start', 'part'),
    [*ENDLESS_HEADS.values(), *ENDLESS_FRAMING.values()],
    ids=[*ENDLESS_HEADS, *ENDLESS_FRAMING],
)
async def test_head_or_framing_without_end_closes_the_connection(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
    start: bytes,
    part: bytes,
) -> None:
    server = EndlessServer(start, part)
    address = await listen(server.serve)
    outcome = await pool.exchange(address, REQUEST, TIMEOUT_MS)
    assert _is_malformed(outcome)
    await asyncio.wait_for(server.has_stopped.wait(), 1)
    # The rest lies in buffers of sockets.
    assert server.sent_bytes < 16 * MIB


async def test_long_head_of_a_proper_answer_is_read(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    value = 'a' * 20_000

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        head = f'A: {value}\r\nContent-Length: 2\r\n\r\n'
        writer.write(OK_LINE + head.encode() + b'ok')

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    assert outcome.header('a') == value


async def test_proper_chunks_of_one_byte_are_read(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    length = 90_000

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(CHUNKED_HEAD + b'1\r\nx\r\n' * length + b'0\r\n\r\n')
        await writer.drain()

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    assert outcome.body == b'x' * length


async def test_trailers_are_not_taken_for_headers(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(CHUNKED_HEAD + b'2\r\nok\r\n0\r\nResponse-Seal: 1\r\n\r\n')

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    assert outcome.body == b'ok'
    assert outcome.header('response-seal') is None


@pytest.mark.parametrize(
    'status_line',
    [
        b'HTTP/1.1 099 Odd',
        b'HTTP/1.1 000 Odd',
        b'HTTP/1.1 600 Odd',
        b'HTTP/1.1 999 Odd',
        b'HTTP/1.1 000',
        b'HTTP/1.1 0 Odd',
        b'HTTP/1.1 00 Odd',
        b'HTTP/1.1 20 Odd',
        b'HTTP/1.1 0200 Odd',
        b'HTTP/1.1 2000 Odd',
        b'HTTP/1.1 65736 Odd',
        b'HTTP/1.1 -200 Odd',
        b'HTTP/1.1 +200 Odd',
        b'HTTP/1.1  200 Odd',
        b'HTTP/1.1 200Odd',
        b'HTTP/1.1 2e2 Odd',
        b'HTTP/1.1 abc Odd',
        b'HTTP/1.1 ',
        b'HTTP/1.1',
        b'HTTP/1.1 101 Odd',
    ],
)
async def test_status_out_of_range_is_malformed(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
    status_line: bytes,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(status_line + b'\r\nContent-Length: 2\r\n\r\nok')

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert _is_malformed(outcome)


async def test_connection_with_the_start_of_a_surplus_answer_is_closed(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    closed = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(OK_LINE + b'Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK')
        if not await reader.read(10_000):
            closed.set()

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    await asyncio.wait_for(closed.wait(), 1)


async def test_malformed_answer_ends_a_request_that_is_still_sent(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    has_failed = asyncio.Event()
    is_lost = asyncio.Event()
    received = []

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(b'no answer at all\r\n\r\n')
        await has_failed.wait()
        with contextlib.suppress(ConnectionResetError):
            while block := await reader.read(BLOCK_BYTES):
                received.append(len(block))
        is_lost.set()

    payload = http_client.encode_request('POST', '/a', (), b'x' * 16 * MIB)
    outcome = await pool.exchange(await listen(serve), payload, TIMEOUT_MS)
    has_failed.set()
    assert _is_malformed(outcome)
    await asyncio.wait_for(is_lost.wait(), 1)
    assert sum(received) < len(payload)


@pytest.mark.parametrize(
    'start',
    [
        OK_LINE + b'\r\n',
        CHUNKED_HEAD + b'ffffffff\r\n',
        OK_LINE + b'Content-Length: 999999999999\r\n\r\n',
    ],
    ids=['until close', 'chunk', 'length'],
)
async def test_body_without_end_closes_the_connection(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
    start: bytes,
) -> None:
    server = EndlessServer(start, b'a')
    address = await listen(server.serve)
    outcome = await pool.exchange(address, REQUEST, TIMEOUT_MS)
    assert _is_malformed(outcome)
    await asyncio.wait_for(server.has_stopped.wait(), 1)
    assert server.sent_bytes < 32 * MIB


async def test_body_longer_than_the_limit_is_rejected_by_its_length(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(OK_LINE + b'Content-Length: 999999999999\r\n\r\na')
        await reader.read()

    outcome = await pool.exchange(await listen(serve), REQUEST, 1_000)
    assert _is_malformed(outcome)


@pytest.mark.parametrize('framing', ['until close', 'chunks', 'length'])
async def test_long_body_of_a_proper_answer_is_read(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
    framing: str,
) -> None:
    body = b'x' * 8 * MIB
    answers = {
        'until close': OK_LINE + b'\r\n' + body,
        'chunks': CHUNKED_HEAD + b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body),
        'length': OK_LINE + b'Content-Length: %d\r\n\r\n' % len(body) + body,
    }

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(answers[framing])
        writer.close()

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    assert outcome.body == body


async def test_unfinished_answer_is_freed_with_its_connection(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(CHUNKED_HEAD + b'ffffffff\r\n' + b'a' * 8 * MIB)
        await reader.read()
        writer.transport.abort()

    address = await listen(serve)
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        await pool.exchange(address, REQUEST, 1_000)
        await asyncio.sleep(0.1)
        kept_bytes, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert peak_bytes > 8 * MIB
    assert kept_bytes < MIB


async def test_long_bodies_at_one_time_stay_within_the_memory(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    body_bytes = 12 * MIB

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(CHUNKED_HEAD + b'ffffffff\r\n' + b'a' * body_bytes)
        await reader.read()
        writer.transport.abort()

    async def serve_short(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(CHUNKED_HEAD + b'2\r\no')
        await asyncio.sleep(1)
        writer.write(b'k\r\n0\r\n\r\n')

    long = await listen(serve)
    short = await listen(serve_short)
    outcomes = await asyncio.gather(
        pool.exchange(short, REQUEST, TIMEOUT_MS),
        *(pool.exchange(long, REQUEST, 8_000) for _ in range(10)),
    )
    assert not isinstance(outcomes[0], http_client.FailedExchange)
    kept = [one for one in outcomes[1:] if not _is_malformed(one)]
    assert len(kept) * body_bytes <= 64 * MIB


async def test_proper_answers_are_read_beside_a_sender_without_end(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(10_000):
            writer.write(OK_LINE + b'Content-Length: 2\r\n\r\nok')

    proper = await listen(serve)
    address = await listen(EndlessServer(OK_LINE + b'\r\n', b'a').serve)
    others = [
        asyncio.create_task(pool.exchange(address, REQUEST, TIMEOUT_MS))
        for _ in range(10)
    ]
    answered = 0
    while not all(other.done() for other in others):
        outcome = await pool.exchange(proper, REQUEST, TIMEOUT_MS)
        assert not isinstance(outcome, http_client.FailedExchange)
        answered += 1
    # Each body has some 256 reads of 64 KiB; a proper answer takes its turn
    # between them.
    assert answered >= 20
    assert all(_is_malformed(other.result()) for other in others)


async def test_trickle_does_not_extend_the_time_limit(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(OK_LINE)
        with contextlib.suppress(OSError):
            while not writer.is_closing():
                writer.write(b'A: b\r\n')
                await writer.drain()
                await asyncio.sleep(0.01)

    loop = asyncio.get_running_loop()
    started_at = loop.time()
    outcome = await pool.exchange(await listen(serve), REQUEST, 300)
    assert outcome == http_client.FailedExchange(
        http_client.ExchangeFailure.TIMEOUT, was_sent=True
    )
    assert loop.time() - started_at < 1


async def test_bytes_without_end_on_an_idle_connection_close_it(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    server = EndlessServer(OK_LINE + b'Content-Length: 0\r\n\r\n', b'a')
    address = await listen(server.serve)
    outcome = await pool.exchange(address, REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    await asyncio.wait_for(server.has_stopped.wait(), 1)
    assert server.sent_bytes < 16 * MIB


async def test_answers_to_other_requests_without_end_are_malformed(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
) -> None:
    foreign = OK_LINE + b'Request-Id: 9\r\nContent-Length: 2\r\n\r\nno'
    server = EndlessServer(b'', foreign)
    address = await listen(server.serve)
    outcome = await pool.exchange(
        address,
        REQUEST,
        TIMEOUT_MS,
        request_identity.RequestIdentity('request-id', '1'),
    )
    assert _is_malformed(outcome)
    await asyncio.wait_for(server.has_stopped.wait(), 1)
    assert server.sent_bytes < 16 * MIB


@pytest.mark.parametrize(
    'named',
    ['\xb2', '9' * 5_000],
    ids=['superscript', 'too many digits'],
)
@pytest.mark.parametrize('framing', ['Content-Length: 2\r\n', ''])
async def test_odd_keep_alive_does_not_lose_the_answer(
    listen: typing.Any,
    pool: http_client.ConnectionPool,
    framing: str,
    named: str,
) -> None:
    head = f'Keep-Alive: timeout={named}\r\n{framing}\r\n'

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.read(10_000)
        writer.write(OK_LINE + head.encode('latin-1') + b'ok')
        writer.close()

    outcome = await pool.exchange(await listen(serve), REQUEST, TIMEOUT_MS)
    assert not isinstance(outcome, http_client.FailedExchange)
    assert outcome.body == b'ok'
