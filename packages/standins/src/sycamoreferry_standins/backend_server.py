"""Stand in for a backend server that owns keys."""

import asyncio
import dataclasses
import http
import typing

import msgspec
import xxhash
from sanic import request as sanic_request
from sanic import response

from sycamoreferry_core import clock, ids
from sycamoreferry_ports import headers, wire
from sycamoreferry_standins import grant_book, web

_UNAVAILABLE = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
_CONFLICT = int(http.HTTPStatus.CONFLICT)


class ServerFaults(msgspec.Struct, frozen=True):
    """Set what a backend server does wrong."""

    crashed: bool = False
    frozen: bool = False
    shed: bool = False
    draining: bool = False
    cut_short: bool = False
    mix_up: bool = False
    lie_healthy: bool = False
    lie_load: int | None = None
    extra_delay_ms: int = 0
    cold_start_ms: int = 0
    cut_from: tuple[str, ...] = ()
    crash_on_key: str = ''


class Run(msgspec.Struct):
    """Witness one run of a request."""

    server: str
    request_id: str
    idempotency_key: str
    key: str
    shard: int
    fence: int
    method: str
    started: int
    ended: int = 0
    trace_parent: str = ''
    cancelled: bool = False
    refused: bool = False


class AnswerBody(msgspec.Struct, frozen=True):
    """Let a caller check that an answer is whole and its own."""

    request_id: str
    server: str
    key: str
    body_digest: str
    padding: str


@dataclasses.dataclass(frozen=True)
class Description:
    """Describe a backend server."""

    server: ids.ServerId
    service: ids.ServiceName
    data_centre: ids.DataCentre
    slots: int
    connections: int
    work_ms: int
    link_ms: int
    checks_fence: bool
    answer_bytes: int


class CrashedError(Exception):
    """Report that the server is gone; the connection is cut."""


class BackendServer:
    """Run requests for the shards it was granted, and witness each run."""

    def __init__(self, described: Description, timer: clock.Clock) -> None:
        self.described = described
        self.runs: list[Run] = []
        self._clock = timer
        self._book = grant_book.GrantBook(
            timer,
            checks_fence=described.checks_fence,
        )
        self._slots = asyncio.Semaphore(described.slots)
        self._present = 0
        self._running = 0
        self._faults = ServerFaults()
        self._cold_until = clock.LONG_AGO
        self._thawed = asyncio.Event()
        self._thawed.set()

    def add_routes(self, app: web.App) -> None:
        """Add the server's routes to an application."""
        app.add_route(self._obey, '/ferry/orders', methods=('POST',))
        app.add_route(self._show_load, '/ferry/load')
        app.add_route(self._show_runs, '/standin/runs')
        app.add_route(self._set_faults, '/standin/faults', methods=('POST',))
        app.add_route(
            self._serve,
            '/<path:path>',
            methods=('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'),
        )

    async def _set_faults(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        self._faults = msgspec.json.decode(request.body, type=ServerFaults)
        self._cold_until = clock.later(
            self._clock.now(),
            self._faults.cold_start_ms,
        )
        if self._faults.crashed:
            self._book.forget()
        if self._faults.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()
        return web.json_answer(self._faults)

    async def _show_runs(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        return web.json_answer(self.runs)

    async def _show_load(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        await self._meet_network(request)
        return web.json_answer(self._load())

    def _load(self) -> wire.LoadReport:
        running = self._running
        if self._faults.lie_load is not None:
            running = self._faults.lie_load
        return wire.LoadReport(
            running=running,
            waiting=self._present - self._running,
            slots=self.described.slots,
            healthy=self._faults.lie_healthy or not self._faults.shed,
        )

    async def _meet_network(self, request: sanic_request.Request) -> None:
        sender = request.headers.get(headers.INSTANCE, '')
        cut = any(sender.startswith(name) for name in self._faults.cut_from)
        if self._faults.crashed or cut:
            _cut_off(request)
        await self._thawed.wait()
        await asyncio.sleep(clock.seconds(self._delay_from(request)))

    def _delay_from(self, request: sanic_request.Request) -> int:
        origin = request.headers.get(headers.DATA_CENTRE, '')
        if origin in {'', self.described.data_centre}:
            return 0
        return 2 * self.described.link_ms

    async def _obey(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        await self._meet_network(request)
        order = msgspec.json.decode(request.body, type=wire.AnyOrder)
        return web.json_answer(self._book.obey(order))

    async def _serve(
        self,
        request: sanic_request.Request,
        path: str,
    ) -> response.HTTPResponse:
        await self._meet_network(request)
        refusal = self._refusal(request)
        if refusal is not None:
            return _refuse(request, refusal)
        self._present += 1
        try:
            async with self._slots:
                return await self._run(request)
        finally:
            self._present -= 1

    def _refusal(self, request: sanic_request.Request) -> str | None:
        if self._faults.shed or self._present >= self.described.connections:
            return 'shed'
        if self._faults.draining:
            return 'draining'
        return self._ownership_refusal(request)

    def _ownership_refusal(self, request: sanic_request.Request) -> str | None:
        granted = _granted(request)
        if granted is None or self._book.may_begin(*granted):
            return None
        return 'not-owner'

    def _may_commit(self, request: sanic_request.Request) -> bool:
        granted = _granted(request)
        return granted is None or self._book.holds(*granted)

    async def _run(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        refusal = self._ownership_refusal(request)
        if refusal is not None:
            return _refuse(request, refusal)
        self._running += 1
        witnessed = self._witness(request)
        shard = ids.ShardId(witnessed.shard)
        try:
            with self._book.closing.running(shard):
                await self._work(request)
                witnessed.refused = not self._may_commit(request)
        except asyncio.CancelledError:
            witnessed.cancelled = True
            raise
        finally:
            witnessed.ended = self._clock.now()
            self._running -= 1
        if witnessed.refused:
            return _refuse(request, 'not-owner')
        return await self._answer(request)

    async def _work(self, request: sanic_request.Request) -> None:
        if self._is_crashed_by(request):
            self._faults = msgspec.structs.replace(self._faults, crashed=True)
            self._book.forget()
            _cut_off(request)
        cold = max(0, self._cold_until - self._clock.now())
        work = self.described.work_ms + self._faults.extra_delay_ms + cold
        await asyncio.sleep(clock.seconds(work))
        await self._thawed.wait()
        if self._faults.crashed:
            _cut_off(request)

    def _is_crashed_by(self, request: sanic_request.Request) -> bool:
        # In a service without keys, the path takes the key's place.
        named = request.headers.get(headers.KEY, request.path)
        return named == self._faults.crash_on_key

    def _witness(self, request: sanic_request.Request) -> Run:
        run = Run(
            server=self.described.server,
            request_id=request.headers.get(headers.REQUEST_ID, ''),
            idempotency_key=request.headers.get(headers.IDEMPOTENCY_KEY, ''),
            key=request.headers.get(headers.KEY, ''),
            shard=int(request.headers.get(headers.SHARD, '-1')),
            fence=int(request.headers.get(headers.FENCE, '-1')),
            method=request.method,
            started=self._clock.now(),
            trace_parent=request.headers.get(headers.TRACE_PARENT, ''),
        )
        self.runs.append(run)
        return run

    async def _answer(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        request_id = request.headers.get(headers.REQUEST_ID, '')
        if self._faults.mix_up and len(self.runs) > 1:
            request_id = self.runs[-2].request_id
        answer = web.json_answer(
            AnswerBody(
                request_id=request_id,
                server=self.described.server,
                key=request.headers.get(headers.KEY, ''),
                body_digest=xxhash.xxh3_64_hexdigest(request.body),
                padding='.' * self.described.answer_bytes,
            ),
        )
        answer.headers[headers.REQUEST_ID] = request_id
        load = self._load()
        answer.headers[headers.LOAD] = f'{load.running}/{load.waiting}'
        if self._faults.cut_short:
            await _send_half(request, answer)
        return answer


def _granted(
    request: sanic_request.Request,
) -> tuple[ids.ShardId, ids.Fence] | None:
    shard = request.headers.get(headers.SHARD)
    if shard is None:
        return None
    fence = int(request.headers.get(headers.FENCE, '-1'))
    return ids.ShardId(int(shard)), ids.Fence(fence)


def _refuse(
    request: sanic_request.Request,
    reason: str,
) -> response.HTTPResponse:
    status = _CONFLICT if reason == 'not-owner' else _UNAVAILABLE
    return response.text(
        reason,
        status=status,
        headers={
            headers.NOT_RUN: reason,
            headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, ''),
        },
    )


def _transport(request: sanic_request.Request) -> asyncio.Transport:
    return typing.cast(asyncio.Transport, request.transport)


def _cut_off(request: sanic_request.Request) -> typing.NoReturn:
    _transport(request).abort()
    raise CrashedError('the server is gone')


async def _send_half(
    request: sanic_request.Request,
    answer: response.HTTPResponse,
) -> None:
    body = answer.body or b''
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    _transport(request).write(head.encode() + body[: len(body) // 2])
    await asyncio.sleep(0)
    _transport(request).close()
    raise CrashedError('the answer was cut short')
