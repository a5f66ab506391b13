"""Open a connection for each order, so that its answer can be no other's.

Servers name no ID in answers to orders, and a faulty one may send an answer
again when the next order arrives. So each connection carries one order.

A server may also start again under its ID between two orders. So the connection
for the next order is opened before an order is sent: the answer to that order
shows that both lead to the same process.
"""

import asyncio
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import http_client

# Servers keep idle connections for longer.
_MAX_IDLE_MS = 4_000
_NOT_SENT = http_client.FailedExchange(
    http_client.ExchangeFailure.CONNECT, was_sent=False
)

_Opened = http_client.Connection | http_client.FailedExchange


@dataclasses.dataclass(slots=True)
class _Process:
    """Hold what is known of the process at an address."""

    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)
    # A connection without an order, to the process that answered the last one.
    following: http_client.Connection | None = None
    followed_since: clock.Millis = clock.LONG_AGO
    has_orders: bool = False
    # Whether another process may have taken its place since the first order.
    is_in_doubt: bool = False

    def record(
        self, following: _Opened, now: clock.Millis, *, is_answered: bool
    ) -> None:
        """Keep the connection for the next order if this one was answered."""
        if isinstance(following, http_client.Connection):
            self.following = following
            self.followed_since = now
        if not is_answered or self.following is None:
            self.doubt()

    def doubt(self) -> None:
        """Close the connection, which may lead to another process."""
        if self.following is not None:
            self.following.close()
        self.following = None
        self.is_in_doubt = self.has_orders


class OrderConnections:
    """Send each order on a connection of its own."""

    def __init__(
        self, pool: http_client.ConnectionPool, source: clock.Clock
    ) -> None:
        self._pool = pool
        self._clock = source
        self._processes: dict[deployment.Address, _Process] = {}

    def knows_process(self, address: deployment.Address) -> bool:
        """Tell whether a process got an order by exchange_with_same."""
        process = self._processes.get(address)
        return process is not None and process.has_orders

    def take_doubt(self, address: deployment.Address) -> bool:
        """Tell whether another process may run there since the last call.

        It may if nothing is known of the address, such as a new one.
        """
        process = self._processes.get(address)
        if process is None:
            return True
        if process.lock.locked():
            return False
        self._check(process)
        if not process.is_in_doubt:
            return False
        self._processes.pop(address)
        return True

    def keep_only(self, known: typing.Container[deployment.Address]) -> None:
        """Close the connections to servers that are gone."""
        for address, process in list(self._processes.items()):
            if address not in known and not process.lock.locked():
                process.doubt()
                self._processes.pop(address)

    async def exchange(
        self,
        address: deployment.Address,
        payload: bytes,
        timeout_ms: float,
    ) -> http_client.ExchangeResult:
        """Send an order to whatever process runs at an address."""
        ends_at = _end_of(timeout_ms)
        opened = await self._pool.open(address, timeout_ms)
        if isinstance(opened, http_client.FailedExchange):
            return opened
        return await _send(opened, payload, ends_at)

    async def exchange_with_same(
        self,
        address: deployment.Address,
        payload: bytes,
        timeout_ms: float,
    ) -> http_client.ExchangeResult:
        """Send an order to the process that answered the last one, or to none.

        The first order goes to whatever process runs there.
        """
        process = self._processes.setdefault(address, _Process())
        ends_at = _end_of(timeout_ms)
        try:
            async with asyncio.timeout_at(ends_at):
                await process.lock.acquire()
        except TimeoutError:
            return _NOT_SENT
        try:
            return await self._exchange_next(address, process, payload, ends_at)
        finally:
            process.lock.release()

    async def _exchange_next(
        self,
        address: deployment.Address,
        process: _Process,
        payload: bytes,
        ends_at: float,
    ) -> http_client.ExchangeResult:
        connection = await self._take_connection(address, process, ends_at)
        if isinstance(connection, http_client.FailedExchange):
            process.doubt()
            return connection
        following = await self._open(address, ends_at)
        if _left_ms(ends_at) <= 0:
            # A later arrival would outlast the lease that is recorded for it.
            _close(following)
            process.following = connection
            return _NOT_SENT
        is_answered = False
        process.has_orders = True
        try:
            outcome = await _send(connection, payload, ends_at)
            is_answered = not isinstance(outcome, http_client.FailedExchange)
        finally:
            process.record(
                following, self._clock.now(), is_answered=is_answered
            )
        return outcome

    async def _take_connection(
        self, address: deployment.Address, process: _Process, ends_at: float
    ) -> _Opened:
        """Return a connection to the same process, if there was any before."""
        self._check(process)
        connection = process.following
        process.following = None
        if connection is not None:
            return connection
        if process.has_orders:
            return _NOT_SENT
        return await self._open(address, ends_at)

    async def _open(
        self, address: deployment.Address, ends_at: float
    ) -> _Opened:
        left_ms = max(0, _left_ms(ends_at))
        return await self._pool.open(address, left_ms)

    def _check(self, process: _Process) -> None:
        """Doubt a process whose connection has ended or was idle for long."""
        following = process.following
        if following is None:
            return
        idle_ms = self._clock.now() - process.followed_since
        if not following.is_open or idle_ms > _MAX_IDLE_MS:
            process.doubt()


def _end_of(timeout_ms: float) -> float:
    now = asyncio.get_running_loop().time()
    return now + timeout_ms / clock.MILLIS_PER_SECOND


def _left_ms(ends_at: float) -> float:
    left_s = ends_at - asyncio.get_running_loop().time()
    return left_s * clock.MILLIS_PER_SECOND


def _close(opened: _Opened) -> None:
    if isinstance(opened, http_client.Connection):
        opened.close()


async def _send(
    connection: http_client.Connection, payload: bytes, ends_at: float
) -> http_client.ExchangeResult:
    """Send an order and close its connection."""
    try:
        async with asyncio.timeout_at(ends_at):
            return await connection.exchange(payload, None)
    except TimeoutError:
        return http_client.FailedExchange(
            http_client.ExchangeFailure.TIMEOUT, was_sent=True
        )
    finally:
        connection.close()
