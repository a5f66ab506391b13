"""Count the memory that one connection of a caller holds."""

from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router.filters import answer

# Measured: 5 to 8 KB for each of 600 connections that sent nothing.
_CONNECTION_BYTES = 8_192
# A head is held as bytes, as text and in the headers for the server.
_HEAD_COPIES = 3
# Measured with 3,000 lines of two bytes in each head.
_HEADER_LINE_BYTES = 200
# An answer is copied once when its head is prepended.
_ANSWER_COPIES = 2
# Parts of a streamed answer that are read ahead of the caller.
_STREAM_BYTES = 262_144

# A longer buffer that grows is copied, and leaves gaps in the heap.
_BLOCK_BYTES = 65_536

_State = caller_memory.HolderState


class HeldMemory:
    """Hold the sizes of a request and its answer, and the body so far."""

    def __init__(self) -> None:
        self.phase = _State.IDLE
        # What was received and not yet read.
        self.received = bytearray()
        # A part of an answer that is not sent in full; it is kept whole.
        self.unsent_bytes = 0
        self._head_bytes = 0
        # The body, as far as it was read.
        self._blocks: list[bytes] = []
        self._last_block = bytearray()
        self._body_bytes = 0
        self._answer_bytes = 0
        self._is_streaming = False

    @property
    def state(self) -> _State:
        """Return why the memory is held."""
        if self.phase is _State.FORWARDED:
            return self.phase
        if self.unsent_bytes:
            return _State.UNREAD
        if self.phase is _State.IDLE and self.received:
            return _State.INCOMPLETE
        return self.phase

    @property
    def total_bytes(self) -> int:
        """Return the bytes that the connection holds in all."""
        return (
            _CONNECTION_BYTES
            + len(self.received)
            + self._head_bytes
            + self._body_bytes
            + self._answer_bytes
            + self.unsent_bytes
        )

    def start_body(self, head: bytes) -> None:
        """Count the head of a request whose body is incomplete."""
        self.phase = _State.INCOMPLETE
        self._head_bytes = _head_cost(head)

    def add_part(self, part: bytes) -> None:
        """Add a part to the body."""
        self._body_bytes += len(part)
        self._last_block += part
        if len(self._last_block) >= _BLOCK_BYTES:
            self._blocks.append(bytes(self._last_block))
            self._last_block.clear()

    def take_body(self) -> bytes:
        """Return the whole body, which is still counted."""
        body = b''.join((*self._blocks, self._last_block))
        self._blocks.clear()
        self._last_block.clear()
        return body

    def start_waiting(self, head: bytes) -> None:
        """Count a request that is complete and waits for a server."""
        self.phase = _State.WAITING
        self._head_bytes = _head_cost(head)

    def mark_forwarded(self) -> None:
        """Count a request that a server may run from now on."""
        self.phase = _State.FORWARDED
        self._answer_bytes = 0

    def may_hold(self, size: int, free_bytes: int) -> bool:
        """Count an answer to hold in memory; return False if it is too long."""
        held = size * _ANSWER_COPIES
        if held > max(caller_memory.SMALL_BYTES, free_bytes):
            return False
        self._answer_bytes = held
        return True

    def start_answer(self, rendered: answer.HttpAnswer) -> None:
        """Count an answer that is about to be sent, instead of its request."""
        self.phase = _State.UNREAD
        self._body_bytes = 0
        self._is_streaming = rendered.download is not None
        self._answer_bytes = len(rendered.body) * _ANSWER_COPIES
        if self._is_streaming:
            self._answer_bytes += _STREAM_BYTES

    def record_sent(self, size: int, unsent_bytes: int) -> None:
        """Count a part of an answer until it is sent in full."""
        if unsent_bytes:
            self.unsent_bytes = size
        if self.phase is _State.UNREAD and not self._is_streaming:
            self.end_answer()

    def end_answer(self) -> None:
        """Count only what is unsent of the answer."""
        self.phase = _State.IDLE
        self._is_streaming = False
        self._head_bytes = 0
        self._answer_bytes = 0

    def clear(self) -> None:
        """Free what was received of a request."""
        self.received.clear()
        self._blocks.clear()
        self._last_block.clear()


def _head_cost(head: bytes) -> int:
    lines = head.count(b'\n')
    return len(head) * _HEAD_COPIES + lines * _HEADER_LINE_BYTES
