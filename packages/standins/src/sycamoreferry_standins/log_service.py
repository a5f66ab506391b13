"""Stand in for the platform's append-only log."""

import asyncio
import dataclasses
import http

import msgspec
from sanic import request as sanic_request
from sanic import response

from sycamoreferry_core import clock
from sycamoreferry_ports import wire
from sycamoreferry_standins import web

_UNAVAILABLE = int(http.HTTPStatus.SERVICE_UNAVAILABLE)


class LogFaults(msgspec.Struct, frozen=True):
    """Set what the log does wrong."""

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0
    keep_records: int = 1_000_000


class Counters(msgspec.Struct):
    """Count what the log was asked."""

    appends: int = 0
    reads: int = 0
    bytes_read: int = 0


@dataclasses.dataclass
class Stream:
    """Hold the records of one stream."""

    first_offset: int = 0
    payloads: list[str] = dataclasses.field(default_factory=list)
    grown: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def end_offset(self) -> int:
        """Return the offset that the next append gets."""
        return self.first_offset + len(self.payloads)

    def append(self, payload: str, keep_records: int) -> int:
        """Append a payload and forget records past retention."""
        offset = self.end_offset
        self.payloads.append(payload)
        excess = len(self.payloads) - keep_records
        if excess > 0:
            self.payloads = self.payloads[excess:]
            self.first_offset += excess
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def read(self, start: int, limit: int) -> wire.LogTail:
        """Return records from an offset on."""
        begin = max(start, self.first_offset)
        index = begin - self.first_offset
        return wire.LogTail(
            first_offset=self.first_offset,
            end_offset=self.end_offset,
            entries=tuple(
                wire.LogEntry(begin + place, payload)
                for place, payload in enumerate(
                    self.payloads[index : index + limit],
                )
            ),
        )


class LogService:
    """Serve streams over HTTP, with faults on demand."""

    def __init__(self) -> None:
        self._streams: dict[str, Stream] = {}
        self._faults = LogFaults()
        self.counters = Counters()

    def add_routes(self, app: web.App) -> None:
        """Add the log's routes to an application."""
        app.add_route(
            self._append,
            '/streams/<name:str>/records',
            methods=('POST',),
        )
        app.add_route(self._read, '/streams/<name:str>/records')
        app.add_route(self._set_faults, '/log/faults', methods=('POST',))
        app.add_route(self._show_counters, '/log/counters')

    def stream(self, name: str) -> Stream:
        """Return a stream, which begins empty."""
        return self._streams.setdefault(name, Stream())

    async def _append(
        self,
        request: sanic_request.Request,
        name: str,
    ) -> response.HTTPResponse:
        await asyncio.sleep(clock.seconds(self._faults.delay_ms))
        if self._faults.down:
            return response.text('the log is down', status=_UNAVAILABLE)
        self.counters.appends += 1
        offset = self.stream(name).append(
            request.body.decode(),
            self._faults.keep_records,
        )
        if self._faults.lose_answers > 0:
            self._faults = msgspec.structs.replace(
                self._faults,
                lose_answers=self._faults.lose_answers - 1,
            )
            return response.text('the answer was lost', status=_UNAVAILABLE)
        return web.json_answer(wire.LogAppended(offset))

    async def _read(
        self,
        request: sanic_request.Request,
        name: str,
    ) -> response.HTTPResponse:
        await asyncio.sleep(clock.seconds(self._faults.delay_ms))
        stream = self.stream(name)
        start = int(request.args.get('from', '0'))
        wait_ms = int(request.args.get('wait_ms', '0'))
        if not self._faults.down and start >= stream.end_offset and wait_ms:
            await _wait_for(stream.grown, wait_ms)
        if self._faults.down:
            return response.text('the log is down', status=_UNAVAILABLE)
        answer = web.json_answer(
            stream.read(start, int(request.args.get('limit', '500'))),
        )
        self.counters.reads += 1
        self.counters.bytes_read += len(answer.body or b'')
        return answer

    async def _set_faults(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        self._faults = msgspec.json.decode(request.body, type=LogFaults)
        return web.json_answer(self._faults)

    async def _show_counters(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        return web.json_answer(self.counters)


async def _wait_for(event: asyncio.Event, wait_ms: int) -> None:
    try:
        await asyncio.wait_for(event.wait(), clock.seconds(wait_ms))
    except TimeoutError:
        return
