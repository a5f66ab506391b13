"""Check that an answer to an order about keys is bound to that order.

A second answer to a renewal was taken for the answer to a release, and the keys
were granted to another server while the first was still at work on them.
"""

import asyncio
import dataclasses
import typing

import pytest

from gateway_testing import doubling_proxy
from sycamoreferry_adapter import key_orders
from sycamoreferry_core import ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import leases, owners
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import http_client, order_sender
from sycamoreferry_ports import boot_clock

KEY = 7
KEYS = owners.KeyRange(owners.Key(0), owners.Key(9))
HOLD_MS = 4_000


async def test_keys_are_not_granted_on_while_their_server_is_at_work(
    cluster: typing.Any,
) -> None:
    """Check a release behind a renewal that is answered twice."""
    await cluster.start(servers=2, instances=0)
    first, second = cluster.servers
    cluster.store.put('keyed.servers', second.name, b'')
    doubled: list[bytes] = []
    is_due = False

    def double_one(
        request: doubling_proxy.Message, _answer: doubling_proxy.Message
    ) -> bool:
        # One answer only: a connection with a surplus one is given up.
        if not is_due or doubled or request.target != b'/grant':
            return False
        doubled.append(request.target)
        return True

    proxy = doubling_proxy.DoublingProxy(first.port, double_one)
    await proxy.start()
    first.public_port = proxy.port
    first.processing_time_s = 1.2
    first.register()
    added = cluster.add_instance('i0')
    await cluster.wait_until(lambda: added.is_ready and cluster.is_covered())
    is_due = True
    await cluster.wait_until(lambda: bool(doubled))
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    call = asyncio.create_task(
        pool.exchange(
            added._deployment.request_address,
            cluster.encode_request('r', KEY),
            3_000,
        )
    )
    await cluster.wait_until(lambda: bool(first.running))
    second.register()
    first.register('draining')
    while first.running:
        assert not second.holds(KEY)
        await asyncio.sleep(0.01)
    await cluster.wait_until(lambda: second.holds(KEY), limit_s=2)
    assert not isinstance(await call, http_client.FailedExchange)
    proxy.stop()


class _OrderServer:
    """Answer orders by statuses, one of which may be sent again late."""

    def __init__(self) -> None:
        self.statuses: list[int] = []
        # The number of the order whose answer is sent again.
        self.doubled = 0
        self.orders = 0
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def restart(self) -> None:
        """End all connections and listen again, as a new process does."""
        self.stop()
        self.orders = 0
        await asyncio.sleep(0.01)
        await self.start()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        self._writers.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        late = b''
        while await reader.read(10_000):
            self.orders += 1
            writer.write(late)
            status = self.statuses.pop(0) if self.statuses else 200
            if not status:
                continue
            answer = b'HTTP/1.1 %d S\r\nContent-Length: 0\r\n\r\n' % status
            late = answer if self.orders == self.doubled else b''
            writer.write(answer)
        writer.close()


class _Orders:
    """Send orders to one server."""

    def __init__(self, port: int) -> None:
        self.server = servers.BackendServer(
            incarnation=servers.ServerIncarnation(
                ids.ServerId('s'), servers.IncarnationNumber(1)
            ),
            service=ids.ServiceName('v'),
            host='127.0.0.1',
            port=port,
            data_centre=ids.DataCentre('here'),
            slots=2,
            state=servers.ServerState.READY,
            warmup_ms=0,
            sequence=1,
        )
        source = boot_clock.BootClock()
        self.sender = order_sender.OrderSender(
            http_client.ConnectionPool(source),
            leases.LeaseBook(),
            reachability.Reachability(),
            source,
        )

    async def grant(
        self, fence: int = 5
    ) -> key_orders.GrantReply | http_client.FailedExchange:
        row = owners.Ownership(KEYS, self.server.incarnation, ids.Fence(fence))
        return await self.sender.grant(self.server, row, HOLD_MS)

    def is_unproven(self, fence: int = 5) -> bool:
        return self.sender.is_unproven(self.server, ids.Fence(fence))


@pytest.fixture
async def order_server() -> typing.AsyncIterator[_OrderServer]:
    server = _OrderServer()
    await server.start()
    yield server
    server.stop()


HELD = key_orders.GrantReply.HELD


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (409, key_orders.GrantReply.FENCED),
        (421, key_orders.GrantReply.OTHER_SERVER),
        (400, key_orders.GrantReply.FAILED),
    ],
)
@pytest.mark.parametrize('fence', [5, 6], ids=['renewal', 'new fence'])
async def test_late_acceptance_is_no_answer_to_a_refused_grant(
    order_server: _OrderServer,
    status: int,
    expected: key_orders.GrantReply,
    fence: int,
) -> None:
    orders = _Orders(order_server.port)
    order_server.statuses = [200, 200, status]
    order_server.doubled = 2
    assert await orders.grant() is HELD
    assert await orders.grant() is HELD
    assert await orders.grant(fence) is expected


async def test_late_acceptance_is_no_answer_to_a_release(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    order_server.statuses = [200, 200, 500]
    order_server.doubled = 2
    await orders.grant()
    await orders.grant()
    released = await orders.sender.release(orders.server, KEYS, ids.Fence(5))
    assert released is None


async def test_late_answer_does_not_stand_for_a_grant_without_one(
    order_server: _OrderServer,
) -> None:
    """Check a grant that may be carried out later."""
    orders = _Orders(order_server.port)
    order_server.statuses = [200, 200, 0]
    order_server.doubled = 2
    await orders.grant()
    await orders.grant()
    failed = await orders.grant()
    assert isinstance(failed, http_client.FailedExchange)
    assert failed.was_sent
    book = orders.sender.book
    until = book.unanswered_until(orders.server.incarnation, KEYS)
    assert until > boot_clock.BootClock().now() + HOLD_MS


async def test_renewal_does_not_reach_a_new_process_with_the_same_fence(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    assert await orders.grant() is HELD
    assert await orders.grant() is HELD
    assert not orders.is_unproven()
    await order_server.restart()
    failed = await orders.grant()
    assert isinstance(failed, http_client.FailedExchange)
    assert not order_server.orders
    # Another fence is due, and with it any process may get the keys.
    assert orders.is_unproven()
    assert not orders.is_unproven(6)
    assert await orders.grant(6) is HELD
    assert await orders.grant(6) is HELD
    assert not orders.is_unproven(6)


async def test_server_at_a_new_address_is_in_doubt(
    order_server: _OrderServer,
) -> None:
    """Check that keys are not renewed at an address that was never sent to."""
    orders = _Orders(order_server.port)
    assert not orders.is_unproven()
    assert await orders.grant() is HELD
    other = _OrderServer()
    await other.start()
    orders.server = dataclasses.replace(orders.server, port=other.port)
    assert orders.is_unproven()
    assert not orders.is_unproven(6)
    assert await orders.grant(6) is HELD
    assert not orders.is_unproven(6)
    other.stop()


async def test_grant_without_answer_leaves_the_process_in_doubt(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    order_server.statuses = [0]
    failed = await orders.grant()
    assert isinstance(failed, http_client.FailedExchange)
    assert orders.is_unproven()


async def test_refused_connection_leaves_no_doubt_of_a_server_without_orders(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    order_server.stop()
    failed = await orders.grant()
    assert isinstance(failed, http_client.FailedExchange)
    assert not failed.was_sent
    assert not orders.is_unproven(6)


async def test_grant_is_not_sent_after_its_latest_arrival(
    order_server: _OrderServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check a grant behind slow connecting, which the lease would outlast."""
    orders = _Orders(order_server.port)
    assert await orders.grant() is HELD
    received = order_server.orders

    async def open_slowly(
        *_: object,
    ) -> http_client.FailedExchange:
        await asyncio.sleep(1.1 * order_sender.GRANT_TIMEOUT_MS / 1_000)
        return http_client.FailedExchange(
            http_client.ExchangeFailure.CONNECT, was_sent=False
        )

    with monkeypatch.context() as patched:
        patched.setattr(orders.sender._connections._pool, 'open', open_slowly)
        failed = await orders.grant()
    await asyncio.sleep(0.05)
    assert isinstance(failed, http_client.FailedExchange)
    assert not failed.was_sent
    assert order_server.orders == received
    assert await orders.grant() is HELD


async def test_grants_at_the_same_time_are_all_answered(
    order_server: _OrderServer,
) -> None:
    """Check that none is taken for unproven while another is under way."""
    orders = _Orders(order_server.port)
    replies = await asyncio.gather(*(orders.grant() for _ in range(5)))
    assert replies == [HELD] * 5
    assert not orders.is_unproven()


async def test_cancelled_grant_leaves_the_process_in_doubt(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    order_server.statuses = [200, 0]
    await orders.grant()
    pending = asyncio.create_task(orders.grant())
    await asyncio.sleep(0.1)
    pending.cancel()
    await asyncio.gather(pending, return_exceptions=True)
    assert orders.is_unproven()
    assert await orders.grant(6) is HELD


OTHER_KEYS = owners.KeyRange(owners.Key(10), owners.Key(19))


@pytest.mark.parametrize(
    ('keys', 'waits'),
    [(KEYS, True), (OTHER_KEYS, False)],
    ids=['same', 'other'],
)
async def test_release_does_not_overtake_a_grant_of_its_keys(
    order_server: _OrderServer, keys: owners.KeyRange, *, waits: bool
) -> None:
    """Check a grant that would give the keys back if it arrived last."""
    orders = _Orders(order_server.port)
    order_server.statuses = [0]
    grant = asyncio.create_task(orders.grant())
    while not order_server.orders:  # noqa: ASYNC110
        await asyncio.sleep(0.005)
    release = asyncio.create_task(
        orders.sender.release(orders.server, keys, ids.Fence(5))
    )
    while order_server.orders < 2:  # noqa: ASYNC110
        await asyncio.sleep(0.005)
    assert grant.done() is waits
    await release
    await grant


async def test_connections_to_servers_that_are_gone_are_closed(
    order_server: _OrderServer,
) -> None:
    orders = _Orders(order_server.port)
    await orders.grant()
    orders.sender.keep_only([])
    assert not orders.sender._connections.knows_process(
        order_sender._address(orders.server)
    )
