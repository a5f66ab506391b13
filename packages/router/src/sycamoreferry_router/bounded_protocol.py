"""Free the memory of a caller's connection when too much is held."""

import asyncio
import typing

from sanic import exceptions
from sanic import request as sanic_request
from sanic.http import http1

from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router import (
    connection_limits,
    held_memory,
    lingering_protocol,
)

_State = caller_memory.HolderState
_CLOSED_AT_ONCE = frozenset((_State.IDLE, _State.UNREAD))


class RefusedError(exceptions.ServiceUnavailable):
    """Report that there is no memory for a request, which has not run."""


class BoundedProtocol(lingering_protocol.LingeringProtocol):
    """Record what a connection holds, and free it if it has to give way."""

    __slots__ = ('_limits', '_is_counted', 'held', 'is_refused')

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self._limits: connection_limits.ConnectionLimits = self.app.ctx.limits
        self._is_counted = False
        self.held = held_memory.HeldMemory()
        self.is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)  # type: ignore[no-untyped-call]
        self.held.received = self.recv_buffer
        # Writing pauses whenever something is unsent, so that its end is known.
        typing.cast(asyncio.Transport, transport).set_write_buffer_limits(0)
        self._is_counted = True
        self._limits.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._is_counted = False
        self._limits.remove(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Read a request; discard what follows a refusal."""
        if not self.is_refused:
            super().data_received(data)
            self.record()

    def resume_writing(self) -> None:
        """Count what was unsent as sent."""
        super().resume_writing()  # type: ignore[no-untyped-call]
        self.held.unsent_bytes = 0
        self.record()

    async def send(self, data: bytes) -> None:
        """Send a part of an answer; count it until it is sent."""
        await super().send(data)  # type: ignore[no-untyped-call]
        transport = self.transport
        unsent = 0 if transport is None else transport.get_write_buffer_size()
        self.held.record_sent(len(data), unsent)
        self.record()
        if self.held.phase is _State.INCOMPLETE:
            self._check_refused()

    def start_body(self, head: bytes, expected: int) -> None:
        """Count the head of a request whose body is incomplete.

        Raises RefusedError if there is no memory for the bytes expected.
        """
        self.held.start_body(head)
        self.record()
        self._check_refused()
        if expected > self._limits.free_bytes:
            raise RefusedError()

    def take_body(self) -> bytes:
        """Return the whole body; raise RefusedError if it was freed."""
        self._check_refused()
        return self.held.take_body()

    def start_waiting(self, head: bytes) -> None:
        """Count a request that is complete and waits for a server.

        Raises RefusedError if there is no memory for it.
        """
        self.held.start_waiting(head)
        self.record()
        self._check_refused()

    def mark_forwarded(self) -> None:
        """Protect the request, which a server may run from now on."""
        self.held.mark_forwarded()
        self.record()

    def may_hold(self, size: int) -> bool:
        """Count an answer to hold in memory; return False if it is too long."""
        may_hold = self.held.may_hold(size, self._limits.free_bytes)
        self.record()
        return may_hold

    def record(self) -> None:
        """Record what is held; have others give way if it is too much."""
        if self._is_counted:
            self._limits.record(self)

    def give_way(self) -> None:
        """Refuse a request that has not run; otherwise close."""
        http = self.http
        task = self._task
        if self.held.state in _CLOSED_AT_ONCE or http is None or task is None:
            self.drop()
            return
        self.is_refused = True
        self._is_counted = False
        if self.held.state is _State.INCOMPLETE and http.request is not None:
            # The task that is to be cancelled may run later than many others.
            http.request.headers.clear()
            http.request.head = b''
        self.held.clear()
        # Nothing more is read, and the connection is closed afterwards.
        http.keep_alive = False
        http.request_body = None
        # The library answers with this error when its task is cancelled.
        http.exception = RefusedError()
        if task is not asyncio.current_task():
            task.cancel()

    def drop(self) -> None:
        """Close the connection at once."""
        self._is_counted = False
        self._limits.remove(self)
        if self.transport is not None:
            self.transport.abort()

    def _check_refused(self) -> None:
        if self.is_refused:
            raise RefusedError()


class BoundedRequest(sanic_request.Request):
    """Collect a body in blocks, however small its parts are."""

    __slots__ = ()

    async def receive_body(self) -> None:
        """Receive the whole body; raise RefusedError if there is no memory."""
        stream = typing.cast(http1.Http, self.stream)
        connection = connection_of(self)
        # Such a caller sends its body after the response to its head.
        expected = stream.request_bytes if stream.expecting_continue else 0
        connection.start_body(self.head, expected or 0)
        async for part in stream:
            connection.held.add_part(part)
        self.body = connection.take_body()


def connection_of(request: sanic_request.Request) -> BoundedProtocol:
    """Return the connection that a request came on."""
    stream = typing.cast(http1.Http, request.stream)
    return typing.cast(BoundedProtocol, stream.protocol)
