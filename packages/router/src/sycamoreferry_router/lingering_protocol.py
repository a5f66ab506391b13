"""Close the connections of callers once they have received their answers."""

import asyncio
import typing

from sanic.server.protocols import http_protocol

from sycamoreferry_core import clock
from sycamoreferry_ports import send_queue

_POLL_MS = 20
# Closing with unread bytes resets a connection, and the caller may lose what it
# has not read. So it has this time to close first, once it has received all.
_LINGER_MS = 1_000
# A caller that receives nothing for so long has given up.
_STALL_MS = 15_000


class LingeringProtocol(http_protocol.HttpProtocol):
    """End the stream after the last answer, and wait for the caller to close.

    The library closes at once, and aborts a caller that reads for long.
    """

    # The library's classes have no dictionaries.
    __slots__ = ('_lingering',)

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self._lingering: asyncio.Task[None] | None = None

    def data_received(self, data: bytes) -> None:
        """Read a request; discard what follows the last answer."""
        if self._lingering is None:
            super().data_received(data)

    def close(self, timeout: float | None = None) -> None:
        """End the stream; the connection is closed when the caller closes."""
        transport = self.transport
        if transport is None or transport.is_closing() or self._lingering:
            return
        transport.write_eof()
        transport.resume_reading()
        self._lingering = self.loop.create_task(self._linger(transport))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop to wait for the caller."""
        if self._lingering is not None:
            self._lingering.cancel()
        super().connection_lost(exc)  # type: ignore[no-untyped-call]

    async def _linger(self, transport: asyncio.Transport) -> None:
        unsent = unsent_bytes(transport)
        stalled_ms = 0
        while unsent and stalled_ms < _STALL_MS:
            await asyncio.sleep(clock.seconds(_POLL_MS))
            before, unsent = unsent, unsent_bytes(transport)
            stalled_ms = 0 if unsent < before else stalled_ms + _POLL_MS
        if unsent:
            transport.abort()
            return
        await asyncio.sleep(clock.seconds(_LINGER_MS))
        transport.close()


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the bytes that the caller's machine has not received."""
    in_process = transport.get_write_buffer_size()
    return in_process + send_queue.unacknowledged_bytes(transport)
