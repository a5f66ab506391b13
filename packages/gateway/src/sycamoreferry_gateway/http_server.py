"""Serve HTTP/1.1 to callers."""

import asyncio
import dataclasses
import http
import typing

import httptools

from sycamoreferry_core import clock, http_messages
from sycamoreferry_core.traffic import routes

_ACCEPT_BACKLOG = 1024
_SWEEP_INTERVAL_MS = 500
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    ),
)
_BODYLESS_STATUSES = frozenset((204, 304))


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """Hold a complete request; header names keep the case of the caller."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str
    keep_alive: bool

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str | None:
        """Return the first value of a header; the name must be lower case."""
        for header_name, content in self.headers:
            if header_name.lower() == name:
                return content
        return None

    def end_to_end_headers(self) -> list[tuple[str, str]]:
        """Return the headers to forward, without hop-by-hop ones."""
        connection_options = {
            part.strip().lower()
            for name, content in self.headers
            if name.lower() == 'connection'
            for part in content.split(',')
        }
        return [
            row
            for row in self.headers
            if row[0].lower() not in _HOP_BY_HOP_HEADERS
            and row[0].lower() not in connection_options
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Hold status, headers and body of an answer to a caller."""

    status: int
    headers: http_messages.Headers
    body: bytes


Handler = typing.Callable[
    [CallerRequest],
    typing.Coroutine[typing.Any, typing.Any, CallerAnswer],
]


def answer_from_server(reply: http_messages.HttpResponse) -> CallerAnswer:
    """Return a backend server's answer without hop-by-hop headers."""
    headers = tuple(
        row for row in reply.headers if row[0] not in _HOP_BY_HOP_HEADERS
    )
    return CallerAnswer(reply.status, headers, reply.body)


class CallerConnection(asyncio.Protocol):
    """Serve a connection's requests one at a time, in order."""

    def __init__(self, server: 'HttpServer') -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._caller = ''
        self._target = b''
        self._headers: list[tuple[str, str]] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._reading_since: clock.Millis | None = None
        self._idle_since = server.clock.now()
        self._queue: list[CallerRequest] = []
        self._task: asyncio.Task[None] | None = None
        # The status of a request that was rejected while it was read; it is
        # answered after those before it, and nothing is read any more.
        self._rejected: http.HTTPStatus | None = None

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in flight and no answer is unsent."""
        if self._task is not None or self._reading_since is not None:
            return False
        return not (self._transport and self._transport.get_write_buffer_size())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        peer = transport.get_extra_info('peername')
        self._caller = peer[0] if peer else ''
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a half-closed stream as a disconnect."""
        if self._task is not None:
            self._task.cancel()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse requests; answer malformed ones with 400."""
        if self._rejected is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(http.HTTPStatus.BAD_REQUEST)
        except httptools.HttpParserError:
            self._reject(http.HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b''
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._reading_since = self._server.clock.now()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._target += url
        self._add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.decode('latin-1'), value.decode('latin-1')))
        self._add_header_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Send 100 Continue to a caller that expects it."""
        for name, content in self._headers:
            if name.lower() == 'expect' and content == '100-continue':
                _write(self._transport, b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; answer 413 above the limit."""
        self._body.extend(body)
        limits = self._server.limits
        if limits is not None and len(self._body) > limits.body_bytes:
            self._reject(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        self._reading_since = None
        if self._rejected is not None:
            return
        request = CallerRequest(
            self._parser.get_method().decode('ascii'),
            self._target.decode('latin-1'),
            self._headers,
            bytes(self._body),
            self._caller,
            self._parser.should_keep_alive(),
        )
        self._queue.append(request)
        self._serve_next()

    def sweep(self, now: clock.Millis, limits: routes.CallerLimits) -> None:
        """Close the connection if it exceeded the idle or read timeout."""
        if self._task is not None:
            return
        if self._reading_since is not None:
            if now - self._reading_since > limits.header_timeout_ms:
                self._reject(http.HTTPStatus.REQUEST_TIMEOUT)
        elif now - self._idle_since > limits.idle_timeout_ms:
            self.close()

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        if self._transport is not None:
            self._transport.close()

    def _add_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        limits = self._server.limits
        if limits is not None and self._header_bytes > limits.header_bytes:
            self._reject(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _serve_next(self) -> None:
        if self._task is not None or not self._queue:
            return
        request = self._queue.pop(0)
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request),
        )

    async def _serve(self, request: CallerRequest) -> None:
        try:
            answer = await self._server.handler(request)
        finally:
            self._task = None
            self._idle_since = self._server.clock.now()
        # Requests that were read before a stop are answered.
        is_last = self._server.is_draining and not self._queue
        closes = not request.keep_alive or is_last
        _write(
            self._transport,
            _encode_answer(answer, request.method, closes=closes),
        )
        if closes:
            self.close()
        elif self._queue:
            self._serve_next()
        elif self._rejected is not None:
            _write(self._transport, _encode_rejection(self._rejected))
            self.close()

    def _reject(self, status: http.HTTPStatus) -> None:
        if self._rejected is not None:
            return
        self._rejected = status
        self._reading_since = None
        if self._task is None:
            _write(self._transport, _encode_rejection(status))
            self.close()


class HttpServer:
    """Accept connections of callers and pass their requests to a handler."""

    def __init__(self, handler: Handler, source: clock.Clock) -> None:
        self.handler = handler
        self.clock = source
        self.connections: set[CallerConnection] = set()
        self.limits: routes.CallerLimits | None = None
        self.is_draining = False
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            port,
            backlog=_ACCEPT_BACKLOG,
        )

    async def sweep_forever(self) -> None:
        """Close connections that exceeded their timeouts."""
        while True:
            await asyncio.sleep(clock.seconds(_SWEEP_INTERVAL_MS))
            if self.limits is not None:
                now = self.clock.now()
                for connection in list(self.connections):
                    connection.sweep(now, self.limits)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in flight and no answer is unsent."""
        return not self.busy_count

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request or an unsent answer."""
        return sum(not connection.is_idle for connection in self.connections)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self) -> None:
        """Close connections without a request in flight or an unsent answer."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def close_connections(self) -> None:
        """Close all connections, also those with a request in flight."""
        for connection in list(self.connections):
            connection.close()


def _write(transport: asyncio.Transport | None, payload: bytes) -> None:
    if transport is not None and not transport.is_closing():
        transport.write(payload)


def _encode_rejection(status: http.HTTPStatus) -> bytes:
    answer = CallerAnswer(int(status), (), b'')
    return _encode_answer(answer, 'GET', closes=True)


def _encode_answer(answer: CallerAnswer, method: str, *, closes: bool) -> bytes:
    phrase = _PHRASES.get(answer.status, 'Unknown')
    lines = [f'HTTP/1.1 {answer.status} {phrase}']
    lines.extend(f'{name}: {content}' for name, content in answer.headers)
    if answer.status not in _BODYLESS_STATUSES:
        lines.append(f'Content-Length: {len(answer.body)}')
    if closes:
        lines.append('Connection: close')
    lines.append('\r\n')
    head = '\r\n'.join(lines).encode('latin-1')
    return head if method == 'HEAD' else head + answer.body


_PHRASES = {int(status): status.phrase for status in http.HTTPStatus}
