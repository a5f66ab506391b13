"""Measure a process while many callers send large requests at once.

Each body was limited, the sum of all was not: 400 connections whose bodies of
1 MB stopped one byte short took 419 MB, and the process ran out of memory. The
requests of all other callers ended with it.
"""

import asyncio
import contextlib
import json
import logging
import pathlib
import typing

import pytest

from gateway_testing import crowd
from sycamoreferry_core import http_messages
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

pytestmark = pytest.mark.crowds
_logger = logging.getLogger(__name__)

MEMORY_MB = 100
MAX_DESCRIPTORS = 1_000
BODY_BYTES = 1_000_000
LARGEST_BODY_BYTES = 67_108_864
SEND_S = 6.0
TIMEOUT_MS = 30_000
HEAD = (
    b'POST /k/a HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\nDeadline-Ms: 30000\r\n'
)
GET = HEAD.replace(b'POST', b'GET') + b'\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
WITH_LENGTH = HEAD + b'Content-Length: %d\r\n\r\n' % BODY_BYTES
WHOLE = WITH_LENGTH + b'a' * BODY_BYTES
CHUNK = b'2710\r\n' + b'a' * 10_000 + b'\r\n'
SHORT_BY_A_BYTE = WHOLE[:-1]
# The number of connections and what each of them sends.
CROWDS = {
    'length': (120, SHORT_BY_A_BYTE),
    'chunks': (120, CHUNKED + CHUNK * (BODY_BYTES // 10_000)),
    'one-byte chunks': (20, CHUNKED + b'1\r\na\r\n' * 50_000),
    'expect': (
        400,
        WITH_LENGTH.replace(b'\r\n\r\n', b'\r\nExpect: 100-continue\r\n\r\n'),
    ),
    'endless header': (120, HEAD + b'A: ' + b'a' * BODY_BYTES),
    'endless target': (120, b'GET /' + b'a' * BODY_BYTES),
    'header lines': (400, HEAD + b'ab:\r\n' * 2_600),
    'trailers': (120, CHUNKED + b'0\r\n' + b'ab:\r\n' * 200_000),
}


class _Play:
    """Hold a process with little memory and what a test does to it."""

    def __init__(self, cluster: typing.Any, folder: pathlib.Path) -> None:
        self.cluster = cluster
        self.memory_mb = MEMORY_MB
        self._folder = folder
        self._pool = http_client.ConnectionPool(boot_clock.BootClock())

    @property
    def port(self) -> int:
        return int(self.process.deployment.request_address.port)

    async def start(
        self,
        *,
        servers: int = 1,
        slots: int = 2,
        body_bytes: int = BODY_BYTES,
        max_descriptors: int = MAX_DESCRIPTORS,
        first_port: int = 0,
    ) -> None:
        """Start servers and a process that is given the lowered limits."""
        cluster = self.cluster
        await cluster.start(servers=servers, instances=0, is_keyed=False)
        rows = cluster.store.topics['keyed.op']
        configured = json.loads(rows[0][1])
        configured['Version'] = 'r2'
        configured['Limits'].update(
            MaxBodyBytes=body_bytes, HeaderTimeout='30s', IdleTimeout='30s'
        )
        path = configured['VirtualHosts'][0]['Paths'][0]
        path.update(Timeout=f'{TIMEOUT_MS}ms', Slo=f'{TIMEOUT_MS}ms')
        cluster.store.put('keyed.op', 'config', json.dumps(configured).encode())
        cluster.servers[0].public_port = first_port
        for server in cluster.servers:
            server.slots = slots
            server.register()
        settings_text = cluster.settings_text

        def lowered(chosen: typing.Any, store_port: int) -> str:
            text = str(settings_text(chosen, store_port))
            text += f'Self.Limits.MemoryMb={self.memory_mb}\n'
            return text.replace('MaxFds=1000', f'MaxFds={max_descriptors}')

        cluster.settings_text = lowered
        self.max_descriptors = max_descriptors
        self.process = cluster.start_process(
            'i0', self._folder, cluster.store.port
        )
        async with asyncio.timeout(20):
            while await self.ask('start') != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.1)
        self.watch = crowd.ProcessWatch(self.process.pid)
        self.memory_before_mb = self.watch.memory_mb

    async def ask(self, name: str, body: bytes = b'') -> int:
        """Return the status of a request, 0 if it has no answer."""
        payload = HEAD.replace(b'Id: c', b'Id: ' + name.encode())
        reply = await self._pool.exchange(
            self.process.deployment.request_address,
            payload + b'Content-Length: %d\r\n\r\n' % len(body) + body,
            TIMEOUT_MS,
        )
        if isinstance(reply, http_messages.HttpResponse):
            return reply.status
        return 0

    async def check(self) -> None:
        """Check that the process is within its limits and serves."""
        for server in self.cluster.servers:
            server.processing_time_s = 0
        status = await self.ask('ordinary')
        watch = self.watch
        measured = (
            f'{watch.peak_mb:.0f} MB of {self.memory_mb} at the peak, '
            f'{watch.memory_mb:.0f} after, {self.memory_before_mb:.0f} '
            f'before, {watch.peak_descriptors} descriptors, {status}'
        )
        _logger.warning(measured)
        assert self.process.is_running, measured
        assert status == 200, measured
        assert watch.peak_mb < self.memory_mb, measured
        assert watch.peak_descriptors < self.max_descriptors, measured


@pytest.fixture
def play(cluster: typing.Any, tmp_path: pathlib.Path) -> _Play:
    return _Play(cluster, tmp_path)


async def _send(play: _Play, port: int, count: int, payload: bytes) -> None:
    """Let a crowd send, and check the process while it stays connected."""
    gathered = crowd.Crowd(port)
    async with play.watch:
        with contextlib.closing(gathered):
            await gathered.connect(count)
            await gathered.send(payload, SEND_S)
            await play.check()


@pytest.mark.parametrize(('count', 'payload'), CROWDS.values(), ids=CROWDS)
async def test_incomplete_requests_stay_within_the_memory(
    play: _Play, count: int, payload: bytes
) -> None:
    await play.start()
    await _send(play, play.port, count, payload)


async def test_slow_senders_stay_within_the_memory(play: _Play) -> None:
    await play.start()
    gathered = crowd.Crowd(play.port)
    async with play.watch:
        with contextlib.closing(gathered):
            await gathered.connect(120)
            await gathered.send(WHOLE[:-20], SEND_S)
            for _ in range(10):
                await gathered.send(b'a', 0.2)
                await asyncio.sleep(0.1)
            await play.check()


async def test_pipelined_bodies_stay_within_the_memory(play: _Play) -> None:
    await play.start()
    play.cluster.servers[0].processing_time_s = 8
    await _send(play, play.port, 10, GET + WHOLE * 15)


async def test_bodies_that_wait_for_servers_stay_within_the_memory(
    play: _Play,
) -> None:
    await play.start()
    play.cluster.servers[0].processing_time_s = 2
    await _send(play, play.port, 120, WHOLE)


async def test_bodies_that_a_server_does_not_read_stay_within_the_memory(
    play: _Play,
) -> None:
    unread = crowd.UnreadServer()
    with contextlib.closing(unread._listener):
        await play.start(servers=2, slots=40, first_port=unread.port)
        play.cluster.servers[1].processing_time_s = 2
        await _send(play, play.port, 120, WHOLE)


async def test_unread_answers_stay_within_the_memory(play: _Play) -> None:
    await play.start(slots=6)
    server = play.cluster.servers[0]
    server.answer_body = b'a' * 8_000_000
    gathered = crowd.Crowd(play.port)
    async with play.watch:
        with contextlib.closing(gathered):
            await gathered.connect(30)
            await gathered.send(GET, SEND_S)
            # One request was sent before the crowd's.
            await play.cluster.wait_until(lambda: len(server.ran) > 30)
            # Ordinary answers are small. A large one would compete for the
            # memory for answers with those that the server still sends.
            server.answer_body = b''
            await play.check()


@pytest.mark.parametrize('name', ['length', 'header lines'])
@pytest.mark.parametrize('server', ['peer_port', 'metrics_port'])
async def test_other_ports_stay_within_the_memory(
    play: _Play, server: str, name: str
) -> None:
    await play.start()
    port = getattr(play.process.deployment, server)
    await _send(play, port, *CROWDS[name])


@pytest.mark.parametrize('payload', [b'', b'GET / HTTP/1.1\r\n'])
@pytest.mark.parametrize(
    'server', ['request_address', 'peer_port', 'metrics_port']
)
async def test_connections_stay_within_the_descriptors(
    play: _Play, server: str, payload: bytes
) -> None:
    await play.start(max_descriptors=400)
    chosen = getattr(play.process.deployment, server)
    port = chosen if isinstance(chosen, int) else chosen.port
    await _send(play, port, 500, payload)


async def test_largest_body_is_served_with_the_least_memory(
    play: _Play,
) -> None:
    play.memory_mb = 160
    await play.start(body_bytes=LARGEST_BODY_BYTES)
    async with play.watch:
        assert await play.ask('large', bytes(LARGEST_BODY_BYTES)) == 200
        await play.check()


async def test_memory_is_returned_after_a_crowd(play: _Play) -> None:
    await play.start()
    await _send(play, play.port, 120, WHOLE)
    await asyncio.sleep(2)
    grown_mb = play.watch.memory_mb - play.memory_before_mb
    _logger.warning('%.0f MB more than before', grown_mb)
    assert grown_mb < 15
