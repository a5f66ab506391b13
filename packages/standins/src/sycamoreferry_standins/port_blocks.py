"""Give out port numbers that no other process is given."""

import random
import socket
import typing

_KINDS = (socket.SOCK_STREAM, socket.SOCK_DGRAM)


class NoPortError(Exception):
    """Report that every port of a range is given out or in use."""


class PortBlocks:
    """Give out each free port of a range once.

    The range is divided into blocks. A process that gives out the ports of a
    block keeps the block's first port bound until it ends, so that no other
    process takes the block.
    """

    def __init__(self, host: str, ports: range, block_size: int) -> None:
        self._host = host
        self._ports = ports
        self._block_size = block_size
        self._locks: list[socket.socket] = []
        self._left = self._give_out()

    def take(self) -> int:
        """Return a port that is free for TCP and UDP; raise NoPortError."""
        port = next(self._left, None)
        if port is None:
            raise NoPortError(
                f'no port is free in {self._ports}; end processes that'
                ' keep ports there',
            )
        return port

    def _give_out(self) -> typing.Iterator[int]:
        firsts = list(self._ports[:: self._block_size])
        # Ports of a process that has just ended are seldom given out again.
        random.SystemRandom().shuffle(firsts)
        for first in firsts:
            if self._lock(first):
                block = range(first, first + self._block_size)[1:]
                yield from filter(self._is_free, block)

    def _lock(self, first: int) -> bool:
        lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            lock.bind((self._host, first))
        except OSError:
            lock.close()
            return False
        self._locks.append(lock)
        return True

    def _is_free(self, port: int) -> bool:
        return all(self._can_bind(kind, port) for kind in _KINDS)

    def _can_bind(self, kind: socket.SocketKind, port: int) -> bool:
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((self._host, port))
            except OSError:
                return False
        return True
