"""Buffer the received bytes of a connection that are not parsed yet."""

import asyncio
import collections

from sycamoreferry_core import clock

# Bytes are parsed in slices, so that few requests are read beyond the limit.
_SLICE_BYTES = 4_096
# Above this, the transport is not read until earlier requests are answered.
_MAX_UNPARSED_BYTES = 65_536


class CallerInput:
    """Hold received bytes with the time at which each part was received."""

    def __init__(self) -> None:
        self._parts: collections.deque[tuple[clock.Millis, bytes]] = (
            collections.deque()
        )
        # What was taken of the first part.
        self._taken = 0
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes."""
        return self._size

    def append(self, received_at: clock.Millis, data: bytes) -> None:
        """Add received bytes."""
        self._parts.append((received_at, data))
        self._size += len(data)

    def take_slice(self) -> tuple[clock.Millis, bytes] | None:
        """Remove and return the first bytes with their time of receipt."""
        if not self._parts:
            return None
        received_at, data = self._parts[0]
        part = data[self._taken : self._taken + _SLICE_BYTES]
        self._taken += len(part)
        self._size -= len(part)
        if self._taken >= len(data):
            self._parts.popleft()
            self._taken = 0
        return received_at, part

    def clear(self) -> None:
        """Discard all bytes."""
        self._parts.clear()
        self._taken = 0
        self._size = 0

    def pause_or_resume(self, transport: asyncio.Transport) -> None:
        """Read the transport only while there is room."""
        may_read = len(self) <= _MAX_UNPARSED_BYTES
        if transport.is_closing() or may_read == transport.is_reading():
            return
        if may_read:
            transport.resume_reading()
        else:
            transport.pause_reading()
