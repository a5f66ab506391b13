"""Check answers that break off at any byte, also within their heads.

A caller must not get an answer that broke off as a complete success.
"""

import asyncio
import itertools
import typing

import pytest

from gateway_testing import fake_transport
from sycamoreferry_core import http_messages
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import body_budget, http_client, request_identity
from sycamoreferry_ports import boot_clock

KEY = 7
# Every byte is tried without an instance.
STEP = 23
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nResponse-Seal: s\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
LENGTH = HEAD + b'Content-Length: 12\r\n\r\n'
ANSWERS = {
    'length': LENGTH + b'all of it ok',
    'length first': b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
    b'Request-Id: 1\r\n\r\n',
    'chunks': HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'6\r\nall of\r\n6\r\n it ok\r\n0\r\n\r\n',
    'trailers': HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
    b'6\r\nall of\r\n0\r\nA: b\r\n\r\n',
    'no content': b'HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n',
    'interim': CONTINUE + LENGTH + b'all of it ok',
    'hints': HINTS + CONTINUE + LENGTH + b'all of it ok',
    'other first': b'HTTP/1.1 200 OK\r\nRequest-Id: 9\r\n'
    b'Content-Length: 2\r\n\r\nno' + LENGTH + b'all of it ok',
    'error': b'HTTP/1.1 503 S\r\nRequest-Id: 1\r\nNot-Executed: 1\r\n'
    b'Content-Length: 0\r\n\r\n',
}
OWN = request_identity.RequestIdentity('request-id', '1')
OWN_HEAD = request_identity.RequestIdentity(
    'request-id', '1', expects_body=False
)
ends = pytest.mark.parametrize(
    'is_reset', [False, True], ids=['close', 'reset']
)


def _beginnings(answer: bytes) -> list[bytes]:
    """Return what may have come of an answer that is not complete."""
    return [answer[:size] for size in range(len(answer))]


async def _receive(
    identity: request_identity.RequestIdentity,
    parts: typing.Iterable[bytes],
    *,
    is_reset: bool,
) -> http_client.ExchangeResult:
    """Return the outcome of parts after which the connection ends."""
    connection = http_client.Connection(
        boot_clock.BootClock(), body_budget.BodyBudget()
    )
    transport = fake_transport.FakeTransport()
    connection.connection_made(transport)
    pending = asyncio.ensure_future(connection.exchange(b'', identity))
    await asyncio.sleep(0)
    for part in parts:
        if not transport.is_closing():
            connection.data_received(part)
    if not is_reset and not transport.is_closing():
        connection.eof_received()
    connection.connection_lost(ConnectionResetError() if is_reset else None)
    return await pending


@ends
@pytest.mark.parametrize('answer', ANSWERS.values(), ids=ANSWERS.keys())
async def test_answer_that_breaks_off_at_any_byte_is_no_answer(
    answer: bytes, *, is_reset: bool
) -> None:
    for part in _beginnings(answer):
        outcome = await _receive(OWN, [part], is_reset=is_reset)
        assert isinstance(outcome, http_client.FailedExchange), part
        assert outcome.was_sent
    whole = await _receive(OWN, [answer], is_reset=is_reset)
    assert isinstance(whole, http_messages.HttpResponse)


@ends
async def test_answer_without_a_length_ends_with_its_connection_only(
    *, is_reset: bool
) -> None:
    """Check that a head that breaks off is no head without a length."""
    answer = HEAD + b'\r\nall of it'
    for size in range(len(answer) + 1):
        outcome = await _receive(OWN, [answer[:size]], is_reset=is_reset)
        is_whole = size >= len(HEAD) + 2 and not is_reset
        assert isinstance(outcome, http_messages.HttpResponse) is is_whole


@ends
@pytest.mark.parametrize('first', [b'', CONTINUE, HINTS])
async def test_answer_to_a_head_request_ends_with_its_head(
    first: bytes, *, is_reset: bool
) -> None:
    answer = first + HEAD + b'Content-Length: 5000\r\n\r\n'
    for part in _beginnings(answer):
        outcome = await _receive(OWN_HEAD, [part], is_reset=is_reset)
        assert isinstance(outcome, http_client.FailedExchange)
    for rest in (b'', b'a body in spite of it'):
        whole = await _receive(OWN_HEAD, [answer + rest], is_reset=is_reset)
        assert isinstance(whole, http_messages.HttpResponse)
        assert not whole.body


async def test_switch_of_protocols_that_was_not_asked_for_is_malformed() -> (
    None
):
    answer = (
        b'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n'
        b'Upgrade: h2c\r\nRequest-Id: 1\r\n\r\n'
    )
    outcome = await _receive(OWN, [answer, LENGTH], is_reset=False)
    assert isinstance(outcome, http_client.FailedExchange)


class _CuttingServer:
    """Break each answer to a request off later than the one before."""

    def __init__(
        self, target_port: int, *, is_reset: bool, path: bytes = b'/k/'
    ) -> None:
        self.port = 0
        self.is_over = False
        # The beginning of the targets whose answers break off.
        self._path = path
        self._target_port = target_port
        self._is_reset = is_reset
        self._sizes = itertools.count(1, STEP)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        server_reader, server_writer = await asyncio.open_connection(
            '127.0.0.1', self._target_port
        )
        self._writers.add(server_writer)
        while request := await reader.read(100_000):
            server_writer.write(request)
            answer = await server_reader.read(100_000)
            if not request.split(b' ')[1].startswith(self._path):
                writer.write(answer)
                continue
            size = next(self._sizes)
            end = len(answer)
            if request.startswith(b'HEAD '):
                end = answer.index(b'\r\n\r\n') + 4
            self.is_over = size >= end
            writer.write(answer[: min(size, end - 1)])
            if self._is_reset:
                await asyncio.sleep(0.002)
                writer.transport.abort()
            writer.close()
            break


@ends
@pytest.mark.parametrize(
    ('kind', 'method'),
    [
        ('unsafe', 'POST'),
        ('safe', 'GET'),
        ('download', 'GET'),
        ('safe', 'HEAD'),
    ],
)
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
async def test_caller_gets_no_success_for_an_answer_that_broke_off(
    cluster: typing.Any,
    kind: str,
    method: str,
    *,
    is_keyed: bool,
    is_reset: bool,
) -> None:
    await cluster.start(servers=1, instances=0, kind=kind, is_keyed=is_keyed)
    server = cluster.servers[0]
    cutting = _CuttingServer(server.port, is_reset=is_reset)
    await cutting.start()
    server.public_port = cutting.port
    server.register()
    only = cluster.add_instance('i0')
    await cluster.wait_until(
        lambda: only.is_ready and (not is_keyed or cluster.is_covered())
    )
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    for number in range(40):
        # A server that fails is suspended for longer than its deadline.
        only._loads._tracked.clear()
        name = f'r{number}'
        reply = await pool.exchange(
            only._deployment.request_address,
            cluster.encode_request(name, KEY, method=method),
            3_000,
            request_identity.RequestIdentity(
                'request-id', name, expects_body=method != 'HEAD'
            ),
        )
        assert isinstance(reply, http_messages.HttpResponse)
        assert reply.status not in range(200, 300)
        runs = [ran for ran, _ in server.ran if ran == name]
        assert not runs or reply.status not in {408, 421, 429, 503}
        if cutting.is_over:
            break
    assert cutting.is_over
    cutting.stop()


class _CutOff(reachability.Reachability):
    """Report that no server can be reached, whatever probes find."""

    @property
    def is_cut_off(self) -> bool:
        return True


async def _start_relaying(
    cluster: typing.Any, kind: str, *, is_keyed: bool
) -> typing.Any:
    """Start two instances of which the first relays to the second."""
    await cluster.start(servers=1, instances=2, kind=kind, is_keyed=is_keyed)
    first, second = cluster.instances
    await cluster.wait_until(
        lambda: (
            (not is_keyed or cluster.is_covered())
            and second._deployment.instance in first._view.peer_addresses
            and all(
                one.is_ready and one._view.peers.alive(one._clock.now())
                for one in cluster.instances
            )
        )
    )
    first._loads.reachability = _CutOff()
    return first


async def _check_cut_answers(
    cluster: typing.Any, cutting: _CuttingServer, method: str
) -> list[int]:
    """Send requests until an answer is not cut any more; return statuses."""
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    address = cluster.instances[0]._deployment.request_address
    server = cluster.servers[0]
    statuses = []
    for number in range(80):
        for one in cluster.instances:
            # A server that fails is suspended for longer than its deadline.
            one._loads._tracked.clear()
        name = f'r{number}'
        reply = await pool.exchange(
            address,
            cluster.encode_request(name, KEY, method=method),
            3_000,
            request_identity.RequestIdentity('request-id', name),
        )
        assert isinstance(reply, http_messages.HttpResponse)
        statuses.append(reply.status)
        runs = [ran for ran, _ in server.ran if ran == name]
        assert not runs or reply.status not in {408, 421, 429, 503}
        if reply.status == 200:
            assert reply.body == server.name.encode()
            assert reply.header('response-seal') == 'seal'
        if method == 'POST':
            assert len(runs) <= 1
        if cutting.is_over:
            break
    assert cutting.is_over
    return statuses


relayed_kinds = pytest.mark.parametrize(
    ('kind', 'method'),
    [('unsafe', 'POST'), ('safe', 'GET'), ('download', 'GET')],
)


@ends
@relayed_kinds
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
async def test_relayed_answer_of_a_server_that_broke_off_is_no_success(
    cluster: typing.Any,
    kind: str,
    method: str,
    *,
    is_keyed: bool,
    is_reset: bool,
) -> None:
    """Check answers that break off between a server and the second instance."""
    first = await _start_relaying(cluster, kind, is_keyed=is_keyed)
    relay = first._request_handler.relay
    forward = relay.forward
    relayed: list[str] = []

    async def forward_and_note(proxied: typing.Any) -> typing.Any:
        relayed.append(proxied.request_id)
        return await forward(proxied)

    relay.forward = forward_and_note
    server = cluster.servers[0]
    cutting = _CuttingServer(server.port, is_reset=is_reset)
    await cutting.start()
    server.public_port = cutting.port
    server.register()
    await cluster.wait_until(
        lambda: (
            all(
                known.port == cutting.port
                for one in cluster.instances
                for known in one._view.servers_of('keys')
            )
            and (not is_keyed or cluster.is_covered())
        )
    )
    statuses = await _check_cut_answers(cluster, cutting, method)
    assert 200 not in statuses
    assert len(relayed) == len(statuses)
    cutting.stop()


@ends
@relayed_kinds
async def test_relay_that_broke_off_is_no_success(
    cluster: typing.Any, kind: str, method: str, *, is_reset: bool
) -> None:
    """Check answers that break off between the two instances."""
    first = await _start_relaying(cluster, kind, is_keyed=True)
    second = cluster.instances[1]._deployment
    host, port = first._view.peer_addresses[second.instance]
    cutting = _CuttingServer(port, is_reset=is_reset, path=b'/relay')
    await cutting.start()
    first._view.peer_addresses[second.instance] = (host, cutting.port)
    statuses = await _check_cut_answers(cluster, cutting, method)
    if method == 'POST':
        assert 200 not in statuses
    cutting.stop()


async def test_caller_gets_the_answer_to_a_head_request(
    cluster: typing.Any,
) -> None:
    await cluster.start(servers=1, instances=1)
    await cluster.wait_until(cluster.is_covered)
    only = cluster.instances[0]
    address = only._deployment.request_address
    reader, writer = await asyncio.open_connection(address.host, address.port)
    writer.write(cluster.encode_request('r', KEY, method='HEAD'))
    head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 1)
    assert head.startswith(b'HTTP/1.1 200')
    writer.close()
