"""Write answers to a caller, and close its connection after the last."""

import asyncio
import collections
import dataclasses
import http

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import caller_messages
from sycamoreferry_ports import send_queue

# Closing with unread bytes resets a connection, and the caller may lose the
# answers that it has not read. So the caller has this time to close first, once
# it has received them.
_LINGER_MS = 1_000
# The kernel takes some MB of a larger part, of which nothing is freed then.
_LARGE_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class UnsentAnswer:
    """Describe an answer that has not reached its caller whole."""

    # The ID of its request, if that has one.
    request_id: str | None
    bytes_in_process: int
    # Sent by the process, and not acknowledged by the caller's machine.
    bytes_in_kernel: int


class CallerOutput:
    """Write to a transport and track whether the caller reads."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._has_answered = False
        self._last_request_id: str | None = None
        self._is_stalled = False
        # When the caller was last seen to receive bytes, and how many it had
        # received then; None while it reads fast enough.
        self._receiving: tuple[clock.Millis, int] | None = None
        # The bytes that were written in all.
        self._written = 0
        # The ends of large parts among them, and their sizes.
        self._large: collections.deque[tuple[int, int]] = collections.deque()
        self._is_ended = False
        self._is_caller_done = False
        # When the caller was seen to have received the end of the stream.
        self._received_at: clock.Millis | None = None

    @property
    def is_stalled(self) -> bool:
        """Tell whether the caller reads more slowly than answers are ready."""
        return self._is_stalled

    @property
    def is_busy(self) -> bool:
        """Tell whether answers are unsent, or the caller is to close first."""
        is_lingering = self._is_ended and not self._is_caller_done
        return is_lingering or self._count_unsent() > 0

    @property
    def bytes_in_process(self) -> int:
        """Return the memory of what the connection did not take yet.

        A large part is freed as a whole, when its last byte is taken.
        """
        in_process = self._transport.get_write_buffer_size()
        if not in_process:
            self._large.clear()
            return 0
        sent = self._written - in_process
        while self._large and self._large[0][0] <= sent:
            self._large.popleft()
        return max(in_process, sum(size for _, size in self._large))

    @property
    def unsent_answer(self) -> UnsentAnswer | None:
        """Return the last answer if some of its bytes are not received."""
        if not (self._has_answered and self._count_unsent()):
            return None
        return UnsentAnswer(
            self._last_request_id,
            self._transport.get_write_buffer_size(),
            send_queue.unacknowledged_bytes(self._transport),
        )

    def attach(self, transport: asyncio.Transport) -> None:
        """Store the transport; call it before anything else."""
        self._transport = transport

    def write_answer(
        self,
        request: caller_messages.CallerRequest,
        answer: caller_messages.CallerAnswer,
        *,
        closes: bool,
    ) -> None:
        """Write the answer to a request."""
        self._has_answered = True
        self._last_request_id = request.header(request_headers.REQUEST_ID)
        parts = caller_messages.encode_answer(
            answer, request.method, closes=closes
        )
        for part in parts:
            self.write(part)

    def write_rejection(self, status: http.HTTPStatus) -> None:
        """Write the answer to a request that was rejected while it was read."""
        self.write(caller_messages.encode_rejection(status))

    def write(self, payload: bytes) -> None:
        """Write bytes, unless the last answer has been written."""
        if not (self._is_ended or self._transport.is_closing()):
            self._written += len(payload)
            if len(payload) > _LARGE_BYTES:
                self._large.append((self._written, len(payload)))
            self._transport.write(payload)

    def pause(self) -> None:
        """Note that the caller has stopped to read."""
        self._is_stalled = True

    def resume(self) -> None:
        """Note that the caller reads again."""
        self._is_stalled = False

    def end(self) -> None:
        """End the stream; the connection is closed when the caller closes."""
        if not self._is_ended:
            self._is_ended = True
            if not self._transport.is_closing():
                self._transport.write_eof()

    def close(self, *, discards_unsent: bool = False) -> None:
        """Close the connection once buffered bytes are written, or now."""
        if discards_unsent:
            self._transport.abort()
        else:
            self._transport.close()

    def end_as_caller_has(self) -> bool:
        """End the stream too; tell whether bytes are still to be sent."""
        self._is_caller_done = True
        if not self._count_unsent():
            return False
        self.end()
        return True

    def sweep(self, now: clock.Millis, limits: routes.CallerLimits) -> None:
        """Close a connection that has ended; abort one that is not read."""
        if not (self._is_ended or self._is_stalled):
            self._receiving = None
            return
        unsent = self._count_unsent()
        if unsent:
            self._check_progress(now, self._written - unsent, limits)
        elif self._is_caller_done:
            self._transport.close()
        elif self._is_ended:
            self._linger(now)

    def _count_unsent(self) -> int:
        in_process = self._transport.get_write_buffer_size()
        return in_process + send_queue.unacknowledged_bytes(self._transport)

    def _check_progress(
        self, now: clock.Millis, received: int, limits: routes.CallerLimits
    ) -> None:
        if self._receiving is None or received > self._receiving[1]:
            self._receiving = (now, received)
        elif now - self._receiving[0] > limits.idle_timeout_ms:
            self._transport.abort()

    def _linger(self, now: clock.Millis) -> None:
        if self._received_at is None:
            self._received_at = now
        elif now - self._received_at > _LINGER_MS:
            self._transport.close()
