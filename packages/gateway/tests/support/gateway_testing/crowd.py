"""Open many connections to a process, and read what they cost it."""

import asyncio
import contextlib
import pathlib
import re
import socket
import typing

_PART_BYTES = 65_536
_SAMPLE_INTERVAL_S = 0.02
_RECEIVE_BUFFER_BYTES = 4_096
_MEGABYTE = 1_000_000


class Crowd:
    """Hold connections that send what they are told and read nothing."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._sockets: list[socket.socket] = []

    async def connect(self, count: int) -> None:
        """Open connections; one that is refused is left out."""
        for _ in range(count):
            one = socket.socket()
            one.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            one.setblocking(False)
            self._sockets.append(one)
            with contextlib.suppress(OSError):
                await asyncio.get_running_loop().sock_connect(
                    one, ('127.0.0.1', self._port)
                )

    async def send(self, payload: bytes, limit_s: float) -> None:
        """Send the same bytes on all connections, as far as they go."""
        await asyncio.gather(
            *(self._send(one, payload, limit_s) for one in self._sockets)
        )

    def close(self) -> None:
        """Close all connections."""
        for one in self._sockets:
            one.close()

    async def _send(
        self, one: socket.socket, payload: bytes, limit_s: float
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(limit_s):
                for start in range(0, len(payload), _PART_BYTES):
                    part = payload[start : start + _PART_BYTES]
                    await loop.sock_sendall(one, part)


class ProcessWatch:
    """Watch the descriptors and the memory of a process."""

    def __init__(self, pid: int) -> None:
        self._folder = pathlib.Path(f'/proc/{pid}')
        self._peak_descriptors = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def peak_mb(self) -> float:
        """Return the peak resident memory in MB."""
        return self._memory_mb('VmHWM')

    @property
    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        return self._memory_mb('VmRSS')

    @property
    def peak_descriptors(self) -> int:
        """Return the most open descriptors that were seen."""
        return self._peak_descriptors

    async def __aenter__(self) -> typing.Self:
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *_: object) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _sample(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                count = len(list((self._folder / 'fd').iterdir()))
                self._peak_descriptors = max(self._peak_descriptors, count)
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def _memory_mb(self, name: str) -> float:
        status = (self._folder / 'status').read_text()
        found = re.search(rf'{name}:\s+(\d+) kB', status)
        if found is None:
            raise ValueError(f'no {name} in the status of a process')
        return int(found.group(1)) * 1_024 / _MEGABYTE


class UnreadServer:
    """Accept connections and read nothing from them."""

    def __init__(self) -> None:
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=128)
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self._listener.getsockname()[1])

    def stop(self) -> None:
        """Close the port with all connections that wait for it."""
        self._listener.close()
