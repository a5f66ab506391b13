"""Measure the memory of a process whose servers send without end.

Each of many connections kept the start of an answer that never ended, and the
process ran out of memory; the requests of all callers ended with it.
"""

import asyncio
import contextlib
import pathlib
import re
import typing

import pytest

from sycamoreferry_core import http_messages
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

pytestmark = pytest.mark.processes

# The memory of an instance on the users' machines.
MEMORY_LIMIT_MB = 300
FAULTY = 23
SLOTS = 20
CALLS = 240
DEADLINE_MS = 4_000
# All connections share the event loop of the test with the stand-ins.
GOOD_DEADLINE_MS = 10_000
KEYS = range(0, 65_536, 64)
BLOCK_BYTES = 65_536
# Less than what ends the reading of a head.
HEAD_BYTES = 60_000
TRICKLE_S = 0.1
OK_HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nResponse-Seal: seal\r\n'
CHUNKED = OK_HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# The start of an answer, a part that follows, and how much of it comes at once.
ENDLESS = {
    'short headers': (OK_HEAD, b'a:\r\n', HEAD_BYTES),
    'long header': (OK_HEAD + b'A: ', b'a', HEAD_BYTES),
    'interim answers': (b'', b'HTTP/1.1 102 Wait\r\nA: b\r\n\r\n', 300),
    'interim heads': (b'HTTP/1.1 102 Wait\r\n', b'a:\r\n', HEAD_BYTES),
    'body': (OK_HEAD + b'\r\n', b'a', 16_000_000),
    'body with a length': (
        OK_HEAD + b'Content-Length: 16000000\r\n\r\n',
        b'a',
        15_000_000,
    ),
    'short chunks': (CHUNKED, b'64\r\n%b\r\n' % (b'a' * 100), 300_000),
    'one-byte chunks': (CHUNKED, b'1\r\na\r\n', 300_000),
    'chunk extension': (CHUNKED + b'2;', b'a', HEAD_BYTES),
    'trailers': (CHUNKED + b'2\r\nok\r\n0\r\n', b'a:\r\n', HEAD_BYTES),
    'blank lines': (b'', b'\r\n', HEAD_BYTES),
}


class _Front:
    """Pass orders on to a server, and answer requests without end."""

    def __init__(
        self,
        target_port: int,
        start: bytes,
        part: bytes,
        at_once: int,
        path: bytes = b'/k/',
    ) -> None:
        self.port = 0
        self.open_count = 0
        self._target_port = target_port
        self._start = start
        self._part = part
        self._at_once = at_once
        # The beginning of the targets whose answers have no end.
        self._path = path
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
            while request := await reader.read(BLOCK_BYTES):
                if request.split(b' ')[1].startswith(self._path):
                    await self._send_without_end(request, writer)
                target_writer.write(request)
                writer.write(await target_reader.read(BLOCK_BYTES))
            target_writer.close()
        writer.transport.abort()

    async def _send_without_end(
        self, request: bytes, writer: asyncio.StreamWriter
    ) -> None:
        name = request.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
        writer.write(self._start.replace(b'%b', name))
        block = self._part * max(1, BLOCK_BYTES // len(self._part))
        left = self._at_once
        self.open_count += 1
        while not writer.is_closing():
            writer.write(block[: max(0, left)] or self._part)
            await writer.drain()
            left -= len(block)
            await asyncio.sleep(0 if left > 0 else TRICKLE_S)


def _peak_mb(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', status)
    assert found is not None
    return int(found.group(1)) / 1_024


async def _start_servers(
    cluster: typing.Any, encode_configuration: typing.Callable[..., bytes]
) -> None:
    await cluster.start(servers=FAULTY + 1, instances=0, kind='unsafe')
    content = encode_configuration(
        2, 'unsafe', timeout_ms=GOOD_DEADLINE_MS, objective_ms=DEADLINE_MS
    )
    cluster.store.put('keyed.op', 'config', content)


async def _put_fronts(
    cluster: typing.Any, *endless: typing.Any
) -> list[_Front]:
    """Put a faulty front before each server but the first."""
    fronts = [_Front(server.port, *endless) for server in cluster.servers[1:]]
    for server, front in zip(cluster.servers[1:], fronts, strict=True):
        await front.start()
        server.public_port = front.port
    for server in cluster.servers:
        server.slots = SLOTS
        server.register()
    return fronts


@pytest.mark.parametrize(
    ('start', 'part', 'at_once'), ENDLESS.values(), ids=ENDLESS
)
async def test_answers_without_end_stay_within_the_memory(
    cluster: typing.Any,
    tmp_path: pathlib.Path,
    encode_configuration: typing.Callable[..., bytes],
    start: bytes,
    part: bytes,
    at_once: int,
) -> None:
    await _start_servers(cluster, encode_configuration)
    fronts = await _put_fronts(cluster, start, part, at_once)
    process = cluster.start_process('i0', tmp_path, cluster.store.port)
    await cluster.wait_until(cluster.is_covered, limit_s=30)
    address = process.deployment.request_address
    pool = http_client.ConnectionPool(boot_clock.BootClock())

    async def call(
        name: str, key: int, deadline_ms: int = DEADLINE_MS
    ) -> http_client.ExchangeResult:
        payload = cluster.encode_request(
            name, key, deadline_ms=deadline_ms, method='POST'
        )
        return await pool.exchange(address, payload, deadline_ms + 1_000)

    good = cluster.servers[0]
    good_key = next(key for key in KEYS if good.holds(key))
    bad_keys = [key for key in KEYS if not good.holds(key)]
    step = max(1, len(bad_keys) // CALLS)
    bad_calls = [
        asyncio.create_task(call(f'bad{key}', key)) for key in bad_keys[::step]
    ]
    replies: list[http_client.ExchangeResult] = []
    while not all(one.done() for one in bad_calls):
        name = f'good{len(replies)}'
        replies.append(await call(name, good_key, GOOD_DEADLINE_MS))
        await asyncio.sleep(0.05)
    assert sum(front.open_count for front in fronts) > CALLS // 2
    assert process.is_running
    assert _peak_mb(process.pid) < MEMORY_LIMIT_MB
    statuses = [
        reply.status
        for reply in replies
        if isinstance(reply, http_messages.HttpResponse)
    ]
    assert statuses == [200] * len(replies)
    for front in fronts:
        front.stop()


@pytest.mark.parametrize('name', ['short headers', 'body', 'interim heads'])
async def test_order_answers_without_end_stay_within_the_memory(
    cluster: typing.Any,
    tmp_path: pathlib.Path,
    encode_configuration: typing.Callable[..., bytes],
    name: str,
) -> None:
    await _start_servers(cluster, encode_configuration)
    fronts = await _put_fronts(cluster, *ENDLESS[name], b'/grant')
    process = cluster.start_process('i0', tmp_path, cluster.store.port)
    good = cluster.servers[0]
    await cluster.wait_until(lambda: bool(good.granted), limit_s=30)
    key = good.granted[0].first
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    for number in range(40):
        reply = await pool.exchange(
            process.deployment.request_address,
            cluster.encode_request(f'r{number}', key),
            GOOD_DEADLINE_MS,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        assert reply.status == 200
        await asyncio.sleep(0.1)
    assert sum(front.open_count for front in fronts) > FAULTY
    assert process.is_running
    assert _peak_mb(process.pid) < MEMORY_LIMIT_MB
    for front in fronts:
        front.stop()
