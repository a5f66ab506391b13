"""Write answers to a caller, and close its connection after the last."""

import asyncio
import dataclasses
import http

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import caller_messages
from sycamoreferry_ports import send_queue

# Closing with unread bytes resets a connection, and the caller may lose the
# answers that it has not read. So the caller has this time to close first.
_LINGER_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class UnsentAnswer:
    """Hold a request whose answer has not reached its caller whole."""

    request: caller_messages.CallerRequest
    bytes_in_process: int
    # Sent by the process, and not acknowledged by the caller's machine.
    bytes_in_kernel: int


class CallerOutput:
    """Write to a transport and track whether the caller reads."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._last_answered: caller_messages.CallerRequest | None = None
        # When the caller was last seen to read and the bytes unsent then; None
        # while it reads fast enough.
        self._stalled: tuple[clock.Millis, int] | None = None
        self._lingers_since: clock.Millis | None = None

    @property
    def is_stalled(self) -> bool:
        """Tell whether the caller reads more slowly than answers are ready."""
        return self._stalled is not None

    @property
    def has_unsent(self) -> bool:
        """Tell whether bytes wait to be sent."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def unsent_answer(self) -> UnsentAnswer | None:
        """Return the last answer if some of its bytes are not received."""
        in_process = self._transport.get_write_buffer_size()
        in_kernel = send_queue.unacknowledged_bytes(self._transport)
        if self._last_answered is None or not (in_process or in_kernel):
            return None
        return UnsentAnswer(self._last_answered, in_process, in_kernel)

    def write_answer(
        self,
        request: caller_messages.CallerRequest,
        answer: caller_messages.CallerAnswer,
        *,
        closes: bool,
    ) -> None:
        """Write the answer to a request."""
        self._last_answered = request
        self.write(
            caller_messages.encode_answer(answer, request.method, closes=closes)
        )

    def write_rejection(self, status: http.HTTPStatus) -> None:
        """Write the answer to a request that was rejected while it was read."""
        self.write(caller_messages.encode_rejection(status))

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the last answer has been written."""
        if self._lingers_since is None and not self._transport.is_closing():
            self._transport.write(payload)

    def pause(self, now: clock.Millis) -> None:
        """Note that the caller has stopped to read."""
        self._stalled = (now, self._transport.get_write_buffer_size())

    def resume(self) -> None:
        """Note that the caller reads again."""
        self._stalled = None

    def end(self, now: clock.Millis) -> None:
        """End the stream; the connection is closed when the caller closes."""
        if self._lingers_since is None:
            self._lingers_since = now
            if not self._transport.is_closing():
                self._transport.write_eof()

    def sweep(self, now: clock.Millis, limits: routes.CallerLimits) -> None:
        """Close a connection that has ended; abort one that is not read."""
        if self._lingers_since is not None:
            if now - self._lingers_since > _LINGER_MS:
                self._transport.close()
        if self._stalled is None:
            return
        since, unsent = self._stalled
        remaining = self._transport.get_write_buffer_size()
        if remaining < unsent:
            self._stalled = (now, remaining)
        elif now - since > limits.idle_timeout_ms:
            self._transport.abort()
