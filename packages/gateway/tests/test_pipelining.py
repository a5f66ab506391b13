"""Check callers that send requests before the first is answered."""

import asyncio
import typing

import pytest

from gateway_testing import slow_caller
from sycamoreferry_core import clock
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import caller_messages, http_server
from sycamoreferry_ports import boot_clock

LIMITS = routes.CallerLimits(
    header_bytes=4_000,
    body_bytes=200_000,
    header_timeout_ms=1_000,
    idle_timeout_ms=2_000,
)
# No more requests of a connection are read and unanswered.
READ_AHEAD = 16
# What a connection may keep of bytes and answers besides.
KEPT_BYTES = 4_000_000
TIMEOUT_S = 5


class Gate:
    """Answer requests when the test says so; paths below /safe are safe."""

    def __init__(self) -> None:
        self.clock = boot_clock.BootClock()
        self.begun: list[str] = []
        self.received_at: dict[str, clock.Millis] = {}
        self.cancelled: list[str] = []
        self.failing: set[str] = set()
        self.answer_bytes = 0
        self._may_answer: dict[str, asyncio.Event] = {}
        self.server = http_server.HttpServer(
            self.handle,
            self.clock,
            lambda request: request.path.startswith('/safe'),
        )
        self.server.limits = LIMITS

    async def start(self) -> int:
        await self.server.listen('127.0.0.1', 0)
        assert self.server._listener is not None
        port: int = self.server._listener.sockets[0].getsockname()[1]
        return port

    def release(self, *paths: str) -> None:
        for path in paths:
            self._event(path).set()

    async def handle(
        self, request: caller_messages.CallerRequest
    ) -> caller_messages.CallerAnswer:
        self.begun.append(request.path)
        self.received_at[request.path] = request.received_at
        try:
            await self._event(request.path).wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.path)
            raise
        if request.path in self.failing:
            raise ValueError(request.path)
        body = request.path.encode() + bytes(self.answer_bytes)
        return caller_messages.CallerAnswer(200, (), body)

    def _event(self, path: str) -> asyncio.Event:
        return self._may_answer.setdefault(path, asyncio.Event())


@pytest.fixture
async def gate() -> typing.AsyncIterator[Gate]:
    made = Gate()
    yield made
    made.server.stop_listening()
    made.server.close_connections()
    await asyncio.sleep(0)


class Caller:
    """Send bytes and read answers on one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, *paths: str, extra: str = '') -> None:
        for path in paths:
            self.writer.write(_request(path, extra))

    async def read(self) -> tuple[str, bytes]:
        """Return the head and the body of the next answer."""
        async with asyncio.timeout(TIMEOUT_S):
            head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
            if 'Content-Length: ' not in head:
                return head, b''
            size = int(head.partition('Content-Length: ')[2].split('\r')[0])
            return head, await self.reader.readexactly(size)

    async def read_end(self) -> bytes:
        async with asyncio.timeout(TIMEOUT_S):
            return await self.reader.read()


def _request(path: str, extra: str = '') -> bytes:
    return f'GET {path} HTTP/1.1\r\nHost: h\r\n{extra}\r\n'.encode()


async def _connect(gate: Gate) -> Caller:
    port = await gate.start()
    return Caller(*await asyncio.open_connection('127.0.0.1', port))


async def _until(condition: typing.Callable[[], bool]) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(0.005)


def _connection(gate: Gate) -> typing.Any:
    (connection,) = gate.server.connections
    return connection


async def test_safe_requests_run_side_by_side_and_are_answered_in_order(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    paths = ['/safe/0', '/safe/1', '/safe/2']
    caller.send(*paths)
    await _until(lambda: gate.begun == paths)
    gate.release('/safe/2', '/safe/1')
    await asyncio.sleep(0.05)
    assert not caller.reader._buffer  # type: ignore[attr-defined]
    gate.release('/safe/0')
    assert [(await caller.read())[1].decode() for _ in paths] == paths
    caller.writer.close()


@pytest.mark.parametrize(
    ('sent', 'begun'),
    [
        (['/safe/0', '/unsafe/1', '/safe/2'], ['/safe/0']),
        (['/unsafe/0', '/safe/1'], ['/unsafe/0']),
        (['/unsafe/0', '/unsafe/1'], ['/unsafe/0']),
        (['/safe/0', '/safe/1', '/unsafe/2'], ['/safe/0', '/safe/1']),
    ],
)
async def test_unsafe_request_runs_alone(
    gate: Gate, sent: list[str], begun: list[str]
) -> None:
    caller = await _connect(gate)
    caller.send(*sent)
    await asyncio.sleep(0.05)
    assert gate.begun == begun
    gate.release(*sent)
    assert [(await caller.read())[1].decode() for _ in sent] == sent
    assert gate.begun == sent
    caller.writer.close()


async def test_requests_behind_one_that_closes_the_connection_do_not_run(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.send('/safe/0')
    caller.send('/safe/1', extra='Connection: close\r\n')
    caller.send('/unsafe/2', '/safe/3')
    await _until(lambda: len(gate.begun) == 2)
    gate.release('/safe/0', '/safe/1', '/unsafe/2', '/safe/3')
    await caller.read()
    head, body = await caller.read()
    assert body == b'/safe/1'
    assert 'Connection: close' in head
    assert not await caller.read_end()
    assert gate.begun == ['/safe/0', '/safe/1']


async def test_answer_that_closes_is_not_lost_to_bytes_sent_behind_it(
    gate: Gate,
) -> None:
    """Closing a socket with unread bytes would reset the connection."""
    caller = await _connect(gate)
    gate.answer_bytes = 300_000
    caller.send('/safe/0')
    caller.send('/safe/1', extra='Connection: close\r\n')
    gate.release('/safe/0', '/safe/1')
    await _until(lambda: len(gate.begun) == 2)
    for number in range(50):
        caller.send(f'/unsafe/{number}')
        await asyncio.sleep(0.001)
    for _ in range(2):
        assert len((await caller.read())[1]) > gate.answer_bytes
    assert not await caller.read_end()
    caller.writer.close()


async def test_body_above_the_limit_is_answered_while_it_is_sent(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    size = 20 * LIMITS.body_bytes
    caller.writer.write(
        f'POST /unsafe/0 HTTP/1.1\r\nContent-Length: {size}\r\n\r\n'.encode()
    )
    for _ in range(20):
        caller.writer.write(bytes(LIMITS.body_bytes))
        await asyncio.sleep(0.002)
    head, _ = await caller.read()
    assert ' 413 ' in head
    caller.writer.close()


async def test_wait_behind_other_requests_counts_as_time_since_receipt(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.send('/unsafe/0', '/unsafe/1')
    await _until(lambda: bool(gate.begun))
    await asyncio.sleep(0.2)
    gate.release('/unsafe/0', '/unsafe/1')
    await _until(lambda: len(gate.begun) == 2)
    waited_ms = gate.clock.now() - gate.received_at['/unsafe/1']
    assert waited_ms >= 190
    caller.writer.close()


async def test_continue_is_sent_after_the_answers_due(gate: Gate) -> None:
    caller = await _connect(gate)
    caller.send('/safe/0', '/safe/1')
    caller.writer.write(
        b'POST /unsafe/2 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n'
        b'Expect: 100-continue\r\n\r\n'
    )
    await _until(lambda: len(gate.begun) == 2)
    await asyncio.sleep(0.05)
    assert not caller.reader._buffer  # type: ignore[attr-defined]
    gate.release('/safe/0', '/safe/1', '/unsafe/2')
    await caller.read()
    await caller.read()
    assert (await caller.read())[0] == 'HTTP/1.1 100 Continue\r\n\r\n'
    caller.writer.write(b'ab')
    assert (await caller.read())[1] == b'/unsafe/2'
    caller.writer.close()


async def test_caller_that_sends_without_waiting_is_read_no_further(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.writer.transport.set_write_buffer_limits(high=0)
    sent = 0
    try:
        async with asyncio.timeout(0.5):
            while True:
                caller.send(*(f'/safe/{sent + one}' for one in range(1_000)))
                sent += 1_000
                await caller.writer.drain()
    except TimeoutError:
        assert sent < 200_000
    assert len(gate.begun) == READ_AHEAD
    connection = _connection(gate)
    # A slice of short requests may have been parsed beyond the limit.
    assert len(connection._pipeline) < 200
    assert len(connection._input) < KEPT_BYTES
    gate.release(*(f'/safe/{number}' for number in range(sent)))
    for number in range(2_000):
        assert (await caller.read())[1] == f'/safe/{number}'.encode()
    caller.writer.close()


async def test_caller_that_does_not_read_answers_starts_no_more_requests(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
    gate.answer_bytes = 500_000
    paths = [f'/safe/{number}' for number in range(200)]
    gate.release(*paths)
    caller.send(*paths)
    await asyncio.sleep(0.5)
    unsent = _connection(gate)._transport.get_write_buffer_size()
    held = _connection(gate)._pipeline.held_bytes
    assert unsent + held < (READ_AHEAD + 2) * gate.answer_bytes
    assert len(gate.begun) < 60
    caller.writer.transport.resume_reading()  # type: ignore[attr-defined]
    for path in paths:
        assert (await caller.read())[1].startswith(path.encode())
    caller.writer.close()


async def test_caller_that_reads_nothing_for_the_idle_timeout_is_cut_off(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.writer.transport.pause_reading()  # type: ignore[attr-defined]
    gate.answer_bytes = 20_000_000
    gate.release('/safe/0')
    caller.send('/safe/0')
    await _until(lambda: bool(gate.begun))
    await asyncio.sleep(0.3)
    connection = _connection(gate)
    now = gate.clock.now()
    connection.sweep(now, LIMITS)
    connection.sweep(clock.later(now, LIMITS.idle_timeout_ms + 1), LIMITS)
    await _until(lambda: not gate.server.connections)
    caller.writer.close()


async def test_caller_that_leaves_cancels_all_its_requests(gate: Gate) -> None:
    caller = await _connect(gate)
    paths = [f'/safe/{number}' for number in range(5)]
    caller.send(*paths)
    await _until(lambda: len(gate.begun) == 5)
    caller.writer.close()
    await _until(lambda: sorted(gate.cancelled) == paths)
    assert gate.server.is_idle


async def test_request_without_an_answer_ends_the_connection(
    gate: Gate,
) -> None:
    """The answers behind it would be taken for its own."""
    caller = await _connect(gate)
    gate.failing.add('/safe/0')
    caller.send('/safe/0', '/safe/1')
    await _until(lambda: len(gate.begun) == 2)
    gate.release('/safe/1')
    await asyncio.sleep(0.05)
    gate.release('/safe/0')
    with pytest.raises(OSError):
        assert not await caller.read_end()
        raise ConnectionResetError
    caller.writer.close()


async def test_malformed_request_ends_none_of_those_before_it(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.send('/safe/0', '/safe/1')
    caller.writer.write(b'POST /unsafe/2 HTTP/1.1\r\nContent-Length: x\r\n\r\n')
    caller.send('/safe/3')
    await _until(lambda: len(gate.begun) == 2)
    gate.release('/safe/1')
    await asyncio.sleep(0.05)
    gate.release('/safe/0')
    assert (await caller.read())[1] == b'/safe/0'
    assert (await caller.read())[1] == b'/safe/1'
    head, _ = await caller.read()
    assert ' 400 ' in head
    assert 'Connection: close' in head
    assert gate.begun == ['/safe/0', '/safe/1']
    caller.writer.close()


async def test_body_inside_a_pipeline_belongs_to_its_request(
    gate: Gate,
) -> None:
    caller = await _connect(gate)
    caller.send('/safe/0')
    body = _request('/safe/smuggled')
    head = f'POST /unsafe/1 HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    caller.writer.write(head.encode() + body)
    caller.send('/safe/2')
    gate.release('/safe/0', '/unsafe/1', '/safe/2')
    for path in (b'/safe/0', b'/unsafe/1', b'/safe/2'):
        assert (await caller.read())[1] == path
    assert gate.begun == ['/safe/0', '/unsafe/1', '/safe/2']
    caller.writer.close()


async def test_requests_read_before_a_stop_are_answered(gate: Gate) -> None:
    caller = await _connect(gate)
    paths = ['/safe/0', '/safe/1', '/unsafe/2']
    caller.send(*paths)
    await _until(lambda: len(gate.begun) == 2)
    gate.server.is_draining = True
    gate.release(*paths)
    heads = [(await caller.read())[0] for _ in paths]
    assert ['Connection: close' in head for head in heads] == [
        False,
        False,
        True,
    ]
    assert not await caller.read_end()
    caller.writer.close()


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
async def test_time_behind_other_requests_is_taken_from_the_deadline(
    cluster: typing.Any, kind: str
) -> None:
    """The first request takes longer than the second may wait."""
    await cluster.start(1, 1, kind, is_keyed=False)
    await cluster.wait_until(lambda: cluster.instances[0].is_ready)
    server = cluster.servers[0]
    server.processing_time_s = 0.7
    address = cluster.instances[0]._deployment.request_address
    caller = Caller(*await asyncio.open_connection(address.host, address.port))
    caller.writer.write(cluster.encode_request('a', 1, deadline_ms=2_000))
    caller.writer.write(cluster.encode_request('b', 1, deadline_ms=500))
    head, _ = await caller.read()
    assert ' 200 ' in head
    head, _ = await caller.read()
    ran = [request for request, _ in server.ran]
    if kind == 'unsafe':
        assert ' 503 ' in head
        assert ran == ['a']
    else:
        assert ' 502 ' in head or ' 504 ' in head
        assert ran == ['a', 'b']
    caller.writer.close()


async def _start(cluster: typing.Any, kind: str) -> Caller:
    await cluster.start(1, 1, kind, is_keyed=False)
    await cluster.wait_until(lambda: cluster.instances[0].is_ready)
    address = cluster.instances[0]._deployment.request_address
    return Caller(*await asyncio.open_connection(address.host, address.port))


async def test_leaving_caller_ends_its_requests_at_their_servers(
    cluster: typing.Any,
) -> None:
    caller = await _start(cluster, 'safe')
    server = cluster.servers[0]
    server.processing_time_s = 5
    for number in range(5):
        caller.writer.write(cluster.encode_request(f'r{number}', 1))
    await cluster.wait_until(lambda: server.running >= 2)
    caller.writer.close()
    await cluster.wait_until(lambda: not server.running, limit_s=0.5)


@pytest.mark.parametrize('kind', ['safe', 'unsafe'])
async def test_planned_stop_leaves_no_pipelined_request_without_an_answer(
    cluster: typing.Any, kind: str
) -> None:
    """Those that the server gets are answered, whatever waits behind them."""
    caller = await _start(cluster, kind)
    server = cluster.servers[0]
    server.processing_time_s = 1.2
    sent = [f'r{number}' for number in range(6)]
    for name in sent:
        caller.writer.write(cluster.encode_request(name, 1, deadline_ms=9_000))
    await cluster.wait_until(lambda: bool(server.running))
    cluster.instances[0].request_stop(asyncio.get_running_loop())
    statuses = []
    while True:
        try:
            head, _ = await caller.read()
        except asyncio.IncompleteReadError as error:
            assert not error.partial
            break
        statuses.append(head.split()[1])
    ran = [request for request, _ in server.ran]
    assert statuses.count('503') + len(ran) >= len(sent)
    assert len(statuses) >= len(ran)
    assert statuses[: len(ran)].count('503') <= len(sent) - len(ran)
    caller.writer.close()


async def test_caller_that_reads_slowly_gets_the_last_answer_whole(
    gate: Gate,
) -> None:
    gate.answer_bytes = 6_000_000
    sweeping = asyncio.create_task(gate.server.sweep_forever())
    caller = await slow_caller.SlowCaller(await gate.start()).connect()
    gate.release('/safe/0', '/safe/1')
    await caller.send(
        _request('/safe/0') + _request('/safe/1', 'Connection: close\r\n')
    )
    heads = [await caller.read_head()]
    # Shorter than the idle timeout, and longer than a connection lingers.
    await asyncio.sleep(1.7)
    await caller.send(_request('/safe/2'))
    bodies = [await caller.read_body(heads[0], duration_s=0.5)]
    heads.append(await caller.read_head())
    await asyncio.sleep(1.7)
    await caller.send(_request('/safe/3'))
    bodies.append(await caller.read_body(heads[1], duration_s=0.5))
    assert [len(body) for body in bodies] == [6_000_007] * 2
    caller.close()
    sweeping.cancel()
