"""Count the bytes of a connection that its peer has not acknowledged."""

import asyncio
import fcntl
import struct
import termios

_COUNT = struct.Struct('i')


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes in the kernel's send queue; 0 if it can't be asked."""
    connected = transport.get_extra_info('socket')
    if connected is None or connected.fileno() < 0:
        return 0
    try:
        count = fcntl.ioctl(
            connected.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
    except OSError:
        return 0
    return int(_COUNT.unpack(count)[0])
