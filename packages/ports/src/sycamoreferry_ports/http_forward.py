"""Forward requests to backend servers over HTTP."""

import asyncio
import contextlib
import dataclasses
import http
import typing

import aiohttp
import yarl
from aiohttp import hdrs

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_ports import bounded_body, headers, send_once, wire

# Connecting to a server normally takes about a millisecond.
CONNECT_TIMEOUT_MS = 300
CHUNK_BYTES = 65_536
DEFAULT_MAX_BUFFERED_BYTES = 262_144

_BODILESS = frozenset(
    (int(http.HTTPStatus.NO_CONTENT), int(http.HTTPStatus.NOT_MODIFIED)),
)
_NO_AUTO_HEADERS = (
    hdrs.ACCEPT,
    hdrs.ACCEPT_ENCODING,
    hdrs.CONTENT_TYPE,
    hdrs.USER_AGENT,
)


def _hold_any(size: int) -> bool:
    return True


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """Hold a request for a backend server.

    The answer may take timeout_ms, a streamed one remaining_ms in all.
    """

    method: str
    target: str
    headers: typing.Mapping[str, str]
    body: bytes
    timeout_ms: int
    remaining_ms: int
    request_id: ids.RequestId
    # Whether the server got the request before.
    is_repeated: bool = False
    # Whether an answer of so many bytes may be held; otherwise it is streamed.
    may_hold: typing.Callable[[int], bool] = _hold_any


class Download:
    """Stream the body of an answer that is too long to buffer."""

    def __init__(
        self,
        answer: aiohttp.ClientResponse,
        first: bytes,
        ends_at: float,
    ) -> None:
        self._answer = answer
        self._first = first
        self._ends_at = ends_at
        self._on_close: list[typing.Callable[[], None]] = []

    def on_close(self, call: typing.Callable[[], None]) -> None:
        """Register a callback that close() runs, also after a failure."""
        self._on_close.append(call)

    def seconds_left(self) -> float:
        """Return the seconds until the deadline; negative once past it."""
        return self._ends_at - _loop_time()

    async def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the whole body; raise BodyTruncatedError if it is truncated."""
        yield self._first
        rest = self._answer.content.iter_chunked(CHUNK_BYTES)
        try:
            async for chunk in rest:
                yield chunk
        except aiohttp.ClientError as error:
            raise outcomes.BodyTruncatedError(repr(error)) from error

    def close(self) -> None:
        """Drop the connection if partly read, then run the callbacks."""
        self._answer.close()
        while self._on_close:
            self._on_close.pop()()


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """Hold a complete answer, or the start of one that is streamed."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes
    download: Download | None = None
    # On a reused connection, only an echoed request id proves that the answer
    # belongs to this request.
    needs_echo: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Report that no connection was opened, so nothing was sent."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class IncompleteAnswer:
    """Report that the answer is missing, truncated or without framing."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class TimedOut:
    """Report that the answer did not arrive within the time-out."""


ForwardOutcome = Received | NotSent | IncompleteAnswer | TimedOut


def _open_session(*, pooled: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=not pooled),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        timeout=aiohttp.ClientTimeout(
            connect=clock.seconds(CONNECT_TIMEOUT_MS)
        ),
        skip_auto_headers=_NO_AUTO_HEADERS,
        middlewares=(send_once.send_once,),
    )


@contextlib.asynccontextmanager
async def open_forwarder(
    max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
) -> typing.AsyncIterator['HttpForwarder']:
    """Open a forwarder; its HTTP sessions are closed on exit."""
    async with (
        _open_session(pooled=True) as pooled,
        _open_session(pooled=False) as single,
    ):
        yield HttpForwarder(pooled, single, max_buffered_bytes)


class HttpForwarder:
    """Forward requests without pipelining.

    Connections are reused only for servers whose answers echo the request id.
    A repeated request gets a connection of its own, as a late second answer to
    the first send has the same id.
    """

    def __init__(
        self,
        pooled: aiohttp.ClientSession,
        single: aiohttp.ClientSession,
        max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES,
    ) -> None:
        self._pooled = pooled
        self._single = single
        self._max_buffered_bytes = max_buffered_bytes
        self._echoes: dict[ids.ServerId, bool] = {}

    async def forward(
        self,
        request: ForwardedRequest,
        server: wire.ListedServer,
    ) -> ForwardOutcome:
        """Send a request once; return the answer, or why there is none."""
        try:
            return await self._forward(request, server)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return NotSent(f'connection to {server.server} failed: {error}')
        except aiohttp.ClientError as error:
            return IncompleteAnswer(
                f'answer of {server.server} incomplete: {error!r}'
            )
        except TimeoutError:
            return TimedOut()

    async def _forward(
        self,
        request: ForwardedRequest,
        server: wire.ListedServer,
    ) -> ForwardOutcome:
        echoes = self._echoes.get(server.server, False)
        reusable = echoes and not request.is_repeated
        ends_at = _loop_time() + clock.seconds(request.remaining_ms)
        async with asyncio.timeout(clock.seconds(request.timeout_ms)):
            answer = await self._send(request, server, reusable=reusable)
            try:
                return await self._receive(
                    answer, ends_at, reusable, request.may_hold
                )
            except BaseException:
                answer.close()
                raise

    async def _send(
        self,
        request: ForwardedRequest,
        server: wire.ListedServer,
        *,
        reusable: bool,
    ) -> aiohttp.ClientResponse:
        session = self._pooled if reusable else self._single
        answer = await session.request(
            request.method,
            _url(server, request.target),
            headers=request.headers,
            data=request.body or None,
            allow_redirects=False,
        )
        self._record_echo(server.server, answer, request.request_id)
        return answer

    def _record_echo(
        self,
        server: ids.ServerId,
        answer: aiohttp.ClientResponse,
        request_id: ids.RequestId,
    ) -> None:
        # A server that once failed to echo the request id stays unpooled.
        echoed = answer.headers.get(headers.REQUEST_ID) == request_id
        self._echoes[server] = echoed and self._echoes.get(server, True)

    async def _receive(
        self,
        answer: aiohttp.ClientResponse,
        ends_at: float,
        needs_echo: bool,
        may_hold: typing.Callable[[int], bool],
    ) -> Received | IncompleteAnswer:
        if answer.status not in bounded_body.FINAL_STATUSES:
            answer.close()
            return IncompleteAnswer(f'the answer has status {answer.status}')
        if not _is_framed(answer):
            answer.close()
            return IncompleteAnswer(
                'the answer has neither Content-Length nor chunked encoding'
            )
        max_bytes = _bytes_to_hold(answer, self._max_buffered_bytes)
        if not may_hold(max_bytes):
            max_bytes = 0
        body = await _read_up_to(answer, max_bytes)
        download = None
        if not answer.content.at_eof():
            download = Download(answer, body, ends_at)
        return Received(
            answer.status,
            answer.headers,
            body,
            download,
            needs_echo=needs_echo,
        )


def _url(server: wire.ListedServer, target: str) -> yarl.URL:
    # Already encoded: the server must get the path as the caller wrote it.
    return yarl.URL(
        f'http://{server.host}:{server.port}{target}',
        encoded=True,
    )


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _is_framed(answer: aiohttp.ClientResponse) -> bool:
    if answer.method == hdrs.METH_HEAD or answer.status in _BODILESS:
        return True
    if hdrs.CONTENT_LENGTH in answer.headers:
        return True
    coding = answer.headers.get(hdrs.TRANSFER_ENCODING, '')
    return coding.lower() == 'chunked'


def _bytes_to_hold(answer: aiohttp.ClientResponse, max_bytes: int) -> int:
    length = answer.content_length
    return max_bytes if length is None else min(length, max_bytes)


async def _read_up_to(answer: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    length = answer.content_length
    if length is not None and length <= max_bytes:
        return await answer.read()
    parts = []
    size = 0
    while size <= max_bytes:
        chunk = await answer.content.readany()
        if not chunk:
            break
        parts.append(chunk)
        size += len(chunk)
    return b''.join(parts)
