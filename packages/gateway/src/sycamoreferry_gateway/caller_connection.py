"""Serve the requests of one connection."""

import asyncio
import http
import typing

from sycamoreferry_core import clock, result_codes
from sycamoreferry_core.traffic import caller_memory, routes
from sycamoreferry_gateway import (
    answers,
    caller_account,
    caller_budget,
    caller_input,
    caller_messages,
    caller_output,
    request_pipeline,
    request_reader,
)

_RETRY_AFTER_MS = 1_000
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ServerState(typing.Protocol):
    """Tell what a connection needs to know of its server."""

    @property
    def handler(self) -> caller_messages.Handler:
        """Return the function that answers requests."""

    @property
    def is_idempotent(
        self,
    ) -> typing.Callable[[caller_messages.CallerRequest], bool]:
        """Return the function that tells which requests may run twice."""

    @property
    def clock(self) -> clock.Clock:
        """Return the clock."""

    @property
    def limits(self) -> routes.CallerLimits | None:
        """Return the limits for callers; None if they are not known."""

    @property
    def budget(self) -> caller_budget.CallerBudget:
        """Return the account of the memory of all connections."""

    @property
    def is_draining(self) -> bool:
        """Tell whether connections are closed after the answers due."""

    def add(self, connection: 'CallerConnection') -> None:
        """Add an open connection; another may be closed for it."""

    def discard(self, connection: 'CallerConnection') -> None:
        """Discard a closed connection."""


class CallerConnection(asyncio.Protocol):
    """Read requests, run them and write their answers in order."""

    def __init__(self, server: ServerState) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self.output = caller_output.CallerOutput()
        self._reader = request_reader.RequestReader(
            lambda: server.limits, self._add_request
        )
        self._pipeline = request_pipeline.RequestPipeline()
        self._tasks: set[asyncio.Task[None]] = set()
        self._input = caller_input.CallerInput()
        # Whether no more requests are accepted.
        self._is_ending = False
        self._idle_since = server.clock.now()
        self.account = caller_account.CallerAccount(
            server.budget,
            self._input,
            self._reader,
            self._pipeline,
            self.output,
            self._refuse,
        )

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in flight and no answer is unsent."""
        if self._pipeline or self._reader.reading_since is not None:
            return False
        return not self.output.is_busy

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register the connection."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.output.attach(self._transport)
        peer = transport.get_extra_info('peername')
        self._reader.caller = peer[0] if peer else ''
        self.account.update()
        self._server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self._server.discard(self)
        for task in self._tasks:
            task.cancel()
        # Requests, readers and connections refer to each other and are freed
        # late; their bytes are freed here.
        self._is_ending = True
        self._input.clear()
        self._reader.discard()
        self._pipeline.clear()
        self.account.close()

    def eof_received(self) -> bool:
        """Treat a half-closed stream as a disconnect, once all is sent."""
        for task in self._tasks:
            task.cancel()
        self._is_ending = True
        return not self._tasks and self.output.end_as_caller_has()

    def pause_writing(self) -> None:
        """Start no further request while the caller does not read."""
        self.output.pause()

    def resume_writing(self) -> None:
        """Start the requests that waited for the caller to read."""
        self.output.resume()
        self._start_requests()
        self.account.update()

    def data_received(self, data: bytes) -> None:
        """Parse requests, as far as there is room for them."""
        if not self._is_ending:
            self._input.append(self._server.clock.now(), data)
            self._parse()

    def sweep(self, now: clock.Millis, limits: routes.CallerLimits) -> None:
        """Close the connection if it exceeded one of its timeouts."""
        self.output.sweep(now, limits)
        self.account.refresh()
        if self._pipeline or self._is_ending:
            return
        # A caller may have been told to wait before it sends a body.
        self._write_answers()
        reading_since = self._reader.reading_since
        if reading_since is None:
            if now - self._idle_since > limits.idle_timeout_ms:
                self.close()
        elif (
            now - max(reading_since, self._idle_since)
            > limits.header_timeout_ms
        ):
            self._reader.reject(http.HTTPStatus.REQUEST_TIMEOUT)
            self._write_answers()

    def reject_incomplete(self) -> None:
        """Reject a request that is still being read as not run."""
        if self._reader.reading_since is not None and not self._pipeline:
            self._reader.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)
            self._write_answers()

    def close(self) -> None:
        """Close the connection once buffered bytes are written."""
        if self._transport is not None:
            self._transport.close()

    def _parse(self) -> None:
        while not self._pipeline.is_full:
            part = self._input.take_slice()
            if part is None:
                break
            received_at, data = part
            self._reader.feed(data, received_at)
            if self._reader.rejected is not None:
                self._is_ending = True
            if self._is_ending:
                self._input.clear()
        self._start_requests()
        self._write_answers()
        if self._transport is not None:
            self._input.pause_or_resume(self._transport)
        self.account.update()

    def _refuse(self) -> None:
        """Refuse the requests that were not sent on as not run."""
        is_reading = self._reader.reading_since is not None
        self._is_ending = True
        self._input.clear()
        if is_reading:
            self._reader.reject(http.HTTPStatus.SERVICE_UNAVAILABLE)
        refused = answers.refusal(
            result_codes.ResultCode.OVERLOADED,
            'memory for callers is used up',
            _RETRY_AFTER_MS,
        )
        self._pipeline.refuse(refused.answer, closes=not is_reading)
        self._write_answers()

    def _add_request(self, request: caller_messages.CallerRequest) -> None:
        if self._is_ending:
            return
        request.on_forward = self.account.record_forward
        self._pipeline.append(
            request, is_idempotent=self._server.is_idempotent(request)
        )
        self._is_ending = not request.keep_alive

    def _start_requests(self) -> None:
        if self.output.is_stalled:
            return
        loop = asyncio.get_running_loop()
        for exchange in self._pipeline.take_startable():
            task = loop.create_task(self._serve(exchange))
            exchange.task = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            if exchange.request.is_large:
                # What refers to a request that has ended may be freed late.
                task.add_done_callback(exchange.request.free_body)

    async def _serve(self, exchange: request_pipeline.Exchange) -> None:
        try:
            exchange.answer = await self._server.handler(exchange.request)
        finally:
            # A copy for a relay is freed with the request's run.
            exchange.request.copied_bytes = 0
            if exchange.answer is None and self._transport is not None:
                # No later answer may take the place of this one.
                self._transport.abort()
        self._write_answers()
        self._parse()

    def _write_answers(self) -> None:
        """Write the answers that no earlier request is waited for."""
        exchange = self._pipeline.take_answered()
        while exchange is not None and exchange.answer is not None:
            self._write_answer(exchange.request, exchange.answer)
            exchange = self._pipeline.take_answered()
        if self._pipeline:
            return
        if self._reader.rejected is not None:
            self._is_ending = True
            self.output.write_rejection(self._reader.rejected)
            self.output.end()
        elif self._reader.expects_continue and self._server.budget.has_room(
            caller_memory.SMALL_BYTES
        ):
            self._reader.expects_continue = False
            self.output.write(_CONTINUE)

    def _write_answer(
        self,
        request: caller_messages.CallerRequest,
        answer: caller_messages.CallerAnswer,
    ) -> None:
        self._idle_since = self._server.clock.now()
        # Requests that were read before a stop are answered.
        is_last = self._server.is_draining and not self._pipeline
        closes = is_last or not request.keep_alive
        self.output.write_answer(request, answer, closes=closes)
        if closes:
            # Bytes may still come behind the last answer.
            self._is_ending = True
            self.output.end()
