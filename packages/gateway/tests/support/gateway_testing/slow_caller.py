"""Call an instance over a socket and read the answer when the test says so."""

import asyncio
import socket
import typing

_RECEIVE_BUFFER_BYTES = 4_096
_PART_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'


class SlowCaller:
    """Hold a connection whose answers stay with the instance until read."""

    def __init__(self, port: int) -> None:
        self._socket = socket.socket()
        # Set before the connection is made, so that its window stays small.
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._port = port
        self._received = bytearray()

    async def connect(self) -> typing.Self:
        """Connect to the instance."""
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self._socket, ('127.0.0.1', self._port))
        return self

    async def send(self, payload: bytes) -> None:
        """Send bytes."""
        await asyncio.get_running_loop().sock_sendall(self._socket, payload)

    def read_fast(self) -> None:
        """Take as many bytes at once as the kernel allows."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _PART_BYTES * 4
        )

    async def read_head(self) -> str:
        """Return the head of the next answer; what follows it is kept."""
        while _HEAD_END not in self._received:
            await self._receive()
        head = self._take(self._received.index(_HEAD_END) + len(_HEAD_END))
        return head.decode('latin-1').lower()

    async def read_body(self, head: str, duration_s: float = 0) -> bytes:
        """Return the body of an answer, read evenly over a duration."""
        size = int(head.partition('content-length: ')[2].split('\r')[0])
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while len(self._received) < size:
            await self._receive()
            share = len(self._received) / size
            due_at = began_at + duration_s * share
            await asyncio.sleep(max(0, due_at - loop.time()))
        return self._take(size)

    async def read_end(self) -> bytes:
        """Return what follows until the instance closes the connection."""
        loop = asyncio.get_running_loop()
        part = bytes(self._received)
        rest = bytearray()
        while part:
            rest += part
            part = await loop.sock_recv(self._socket, _PART_BYTES)
        return bytes(rest)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _take(self, size: int) -> bytes:
        taken = bytes(self._received[:size])
        self._received = self._received[size:]
        return taken

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        part = await loop.sock_recv(self._socket, _PART_BYTES)
        if not part:
            raise EOFError(f'{len(self._received)} bytes of an answer')
        self._received += part
