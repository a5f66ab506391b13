"""Take what a connection does to its transport."""

import asyncio
import typing


class FakeTransport(asyncio.Transport):
    """Take what a connection does to its transport."""

    def __init__(self) -> None:
        super().__init__()
        self._is_closing = False

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        self._is_closing = True

    def abort(self) -> None:
        self._is_closing = True

    def write(self, data: typing.Any) -> None:
        """Drop the request."""

    def get_write_buffer_size(self) -> int:
        return 0
