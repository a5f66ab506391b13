"""Send HTTP requests over pooled keep-alive connections."""

import asyncio
import dataclasses
import enum
import socket
import struct
import typing

import httptools

from sycamoreferry_core import clock, http_messages
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import (
    body_budget,
    reply_reader,
    request_identity,
)

# A round trip between data centres takes some 10 ms; a lost packet is
# retransmitted after 200 ms or more.
CONNECT_TIMEOUT_MS = 450
# The server closes idle connections; the margin covers a close that is already
# under way.
_MAX_IDLE_MS = 4_000
_KEEP_ALIVE_MARGIN_MS = 1_000
# A time-out with more digits is far above the idle time.
_MAX_DIGITS = 9
# A linger time of zero makes a close send a reset.
_LINGER_ZERO = struct.pack('ii', 1, 0)
# A complete answer above this size counts while the loop may take time to
# pass it on; then its receiver counts it. Before, answers of 8 MB that
# were complete at once took 48 MB that nothing counted.
_HELD_BYTES = 65_536
_PASS_ON_MS = 100

# Bounds the IDs that are kept of a connection.
_MAX_EXCHANGES = 128


@enum.unique
class ExchangeFailure(enum.Enum):
    """Name the reasons why an exchange has no answer."""

    CONNECT = 'connect'
    RESET = 'reset'
    CLOSED = 'closed'
    TIMEOUT = 'timeout'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class FailedExchange:
    """Hold why there is no answer and whether the request may have arrived."""

    failure: ExchangeFailure
    was_sent: bool
    # Whether the server's machine refused or reset a new connection.
    was_refused: bool = False
    # Whether the pool had no memory for the answer, which is no fault of the
    # server.
    lacked_memory: bool = dataclasses.field(default=False, compare=False)

    @property
    def may_be_restart(self) -> bool:
        """Tell whether the server may have started again.

        A time-out is the sign of a lost link or a paused process instead, and
        a connection that is closed may have been idle for too long.
        """
        was_reset = self.failure is ExchangeFailure.RESET and self.was_sent
        return was_reset or self.was_refused


# An encoded request, whole or in parts of which none is copied.
Payload = bytes | tuple[bytes, ...]

ExchangeResult = http_messages.HttpResponse | FailedExchange


class Connection(asyncio.Protocol):
    """Send one request at a time and read its answer."""

    def __init__(
        self,
        source: clock.Clock,
        budget: body_budget.BodyBudget,
    ) -> None:
        self._clock = source
        self._budget = budget
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[ExchangeResult] | None = None
        self._identity: request_identity.RequestIdentity | None = None
        self._exchange_count = 0
        # The IDs of the requests that were sent.
        self._carried: set[str] = set()
        self._reader = reply_reader.ReplyReader(self._complete)
        self._is_reusable = True
        self._expires_at = clock.LONG_AGO

    @property
    def is_open(self) -> bool:
        """Tell whether the connection can carry another exchange."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and self._is_reusable
        )

    def is_fresh(self, now: clock.Millis) -> bool:
        """Tell whether it can be reused before the server times it out."""
        return self.is_open and now < self._expires_at

    def has_carried(self, identity: request_identity.RequestIdentity) -> bool:
        """Tell whether a late answer may name the ID of a request."""
        return identity.request_id in self._carried

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    async def exchange(
        self,
        payload: Payload,
        identity: request_identity.RequestIdentity | None,
    ) -> ExchangeResult:
        """Send a request and return its complete answer, or the failure.

        Without an identity, the first answer is taken for that of the request.
        """
        if not self.is_open or self._transport is None:
            return FailedExchange(ExchangeFailure.CLOSED, was_sent=False)
        self._waiter = asyncio.get_running_loop().create_future()
        self._identity = identity
        self._exchange_count += 1
        if identity is not None:
            self._carried.add(identity.request_id)
        expects_body = identity is None or identity.expects_body
        self._reader = reply_reader.ReplyReader(
            self._complete, expects_body=expects_body
        )
        if not expects_body:
            # A body that is sent in spite of it is no part of a later answer.
            self._is_reusable = False
        if isinstance(payload, bytes):
            self._transport.write(payload)
        else:
            self._transport.writelines(payload)
        try:
            return await self._waiter
        except asyncio.CancelledError:
            self.abort()
            raise
        finally:
            # It holds the answer, and an idle connection may be kept for long.
            self._waiter = None

    def abort(self) -> None:
        """Reset the connection and discard unsent bytes."""
        self._is_reusable = False
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        raw = transport.get_extra_info('socket')
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
        transport.abort()

    def reject_answer(self, *, lacks_memory: bool = True) -> None:
        """Fail the exchange with a malformed answer; reset the connection."""
        failure = ExchangeFailure.MALFORMED
        self._finish(
            FailedExchange(failure, was_sent=True, lacked_memory=lacks_memory)
        )
        self._reader.reset()
        self.abort()

    def data_received(self, data: bytes) -> None:
        """Parse an answer; close the connection on unsolicited bytes."""
        if self._waiter is None or self._waiter.done():
            self._is_reusable = False
            self.close()
            return
        try:
            self._reader.feed(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reject_answer(lacks_memory=False)
        self._budget.record(self, self._reader.kept_bytes)
        if self._waiter.done() and self._reader.has_begun:
            # Bytes after the answer; nothing waits for them.
            self.close()

    def eof_received(self) -> bool:
        """Complete an answer whose body ends with the connection."""
        self._is_reusable = False
        unframed = self._reader.ends_with_connection
        if unframed and self._waiter is not None and not self._waiter.done():
            self._complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, if any."""
        self._is_reusable = False
        # The reader and its parser refer to each other and are freed late.
        self._reader.reset()
        self._budget.record(self, 0)
        failure = ExchangeFailure.CLOSED
        if exc is not None:
            failure = ExchangeFailure.RESET
        self._finish(FailedExchange(failure, was_sent=True))

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        self._is_reusable = False
        if self._transport is not None:
            self._transport.close()

    def _complete(self) -> None:
        if self._reader.closes:
            self._is_reusable = False
        kept_bytes = self._reader.kept_bytes
        reply = self._reader.take_reply()
        if self._waiter is None or self._waiter.done():
            # A second answer to one request; nothing waits for it.
            self.close()
            return
        if not self._belongs(reply):
            self._is_reusable = False
            return
        transport = self._transport
        if transport is not None and transport.get_write_buffer_size():
            self._is_reusable = False
        self._update_expiry(reply)
        self._finish(reply)
        if kept_bytes > _HELD_BYTES:
            self._budget.hold(kept_bytes)
            asyncio.get_running_loop().call_later(
                clock.seconds(_PASS_ON_MS), self._budget.free, kept_bytes
            )
        if not self._is_reusable:
            self.close()

    def _belongs(self, reply: http_messages.HttpResponse) -> bool:
        """Tell whether an answer is certainly that of the request sent last.

        A server that names no ID gets each request on a connection of its own.
        """
        if self._identity is None:
            return True
        match = self._identity.match(reply)
        if match is request_identity.Match.UNNAMED:
            self._is_reusable = False
            return self._exchange_count == 1
        if self._exchange_count >= _MAX_EXCHANGES:
            self._is_reusable = False
        return match is request_identity.Match.OWN

    def _update_expiry(self, reply: http_messages.HttpResponse) -> None:
        keep_ms = _MAX_IDLE_MS
        keep_alive = reply.header('keep-alive')
        if keep_alive is not None and 'timeout=' in keep_alive:
            digits = (
                keep_alive.partition('timeout=')[2].partition(',')[0].strip()
            )
            if digits.isascii() and digits.isdigit():
                limit = int(digits[:_MAX_DIGITS]) * clock.MILLIS_PER_SECOND
                keep_ms = min(keep_ms, limit - _KEEP_ALIVE_MARGIN_MS)
        self._expires_at = clock.later(self._clock.now(), keep_ms)

    def _finish(self, outcome: ExchangeResult) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(outcome)


class ConnectionPool:
    """Reuse idle connections by address, and open new ones."""

    def __init__(
        self,
        source: clock.Clock,
        memory_mb: int = deployment.DEFAULT_MEMORY_MB,
    ) -> None:
        self._clock = source
        self._budget = body_budget.BodyBudget(memory_mb)
        self._idle: dict[deployment.Address, list[Connection]] = {}
        self.opened_count = 0

    async def exchange(
        self,
        address: deployment.Address,
        payload: Payload,
        timeout_ms: float,
        identity: request_identity.RequestIdentity | None = None,
    ) -> ExchangeResult:
        """Send a request; return its answer, or a failure after timeout_ms."""
        connection = self._take_idle(address, identity)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + timeout_ms / clock.MILLIS_PER_SECOND
        if connection is None:
            opened = await self._open(address, timeout_ms)
            if isinstance(opened, FailedExchange):
                return opened
            connection = opened
        try:
            async with asyncio.timeout_at(ends_at):
                outcome = await connection.exchange(payload, identity)
        except TimeoutError:
            return FailedExchange(ExchangeFailure.TIMEOUT, was_sent=True)
        if connection.is_open:
            self._idle.setdefault(address, []).append(connection)
        return outcome

    async def open(
        self, address: deployment.Address, timeout_ms: float
    ) -> Connection | FailedExchange:
        """Open a connection that the pool does not keep."""
        return await self._open(address, timeout_ms)

    async def can_connect(self, address: deployment.Address) -> bool:
        """Tell whether a new connection can be opened; close it again."""
        opened = await self._open(address, CONNECT_TIMEOUT_MS)
        if isinstance(opened, FailedExchange):
            return False
        opened.close()
        return True

    def close_expired(self) -> None:
        """Close idle connections that are too old to be reused."""
        for address in list(self._idle):
            self._drop_stale(address)

    def _take_idle(
        self,
        address: deployment.Address,
        identity: request_identity.RequestIdentity | None,
    ) -> Connection | None:
        """Return the connection used last that did not carry the same ID."""
        self._drop_stale(address)
        connections = self._idle.get(address, [])
        for connection in reversed(connections):
            if identity is None or not connection.has_carried(identity):
                connections.remove(connection)
                return connection
        return None

    def _drop_stale(self, address: deployment.Address) -> None:
        """Close idle connections that are too old."""
        now = self._clock.now()
        kept = []
        for connection in self._idle.pop(address, ()):
            if connection.is_fresh(now):
                kept.append(connection)
                continue
            connection.close()
        if kept:
            self._idle[address] = kept

    async def _open(
        self,
        address: deployment.Address,
        timeout_ms: float,
    ) -> Connection | FailedExchange:
        loop = asyncio.get_running_loop()
        limit_ms = min(timeout_ms, CONNECT_TIMEOUT_MS)
        try:
            async with asyncio.timeout(limit_ms / clock.MILLIS_PER_SECOND):
                _, connection = await loop.create_connection(
                    lambda: Connection(self._clock, self._budget),
                    address.host,
                    address.port,
                )
        except (OSError, TimeoutError) as error:
            return FailedExchange(
                ExchangeFailure.CONNECT,
                was_sent=False,
                was_refused=isinstance(error, ConnectionError),
            )
        self.opened_count += 1
        return connection


def encode_request(
    method: str,
    target: str,
    headers: http_messages.Headers,
    body: bytes,
) -> bytes:
    """Encode a request; add Content-Length if it has or may have a body."""
    return b''.join(encode_parts(method, target, headers, body))


def encode_parts(
    method: str,
    target: str,
    headers: http_messages.Headers,
    body: bytes,
) -> tuple[bytes, ...]:
    """Encode a request as `encode_request` does; copy no large body."""
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{name}: {content}' for name, content in headers)
    if body or method not in _BODYLESS_METHODS:
        lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return http_messages.join_small(head, body)


_BODYLESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))


def encode_call(call: http_messages.HttpRequest, host: str) -> bytes:
    """Encode a call of the platform's API."""
    headers = (('Host', host), *call.headers)
    return encode_request(call.method, call.target, headers, call.body)
