"""Send datagrams to other instances and take theirs.

A datagram that is lost costs little, since the next heartbeat repeats it, and
no kept connection can go silent between instances.
"""

import asyncio
import typing
import zlib

import msgspec

from sycamoreferry_gateway import event_log, peer_messages

_Address = tuple[str, int]
MessageHandler = typing.Callable[[peer_messages.PeerMessage, _Address], None]

# The largest payload of a UDP datagram, less a margin.
MOST_DATAGRAM_BYTES = 60_000
_COMPRESSED_MARK = b'z'
_PLAIN_MARK = b'p'
_COMPRESS_ABOVE_BYTES = 1_200
_LONGEST_MESSAGE_BYTES = 8 * 1024 * 1024


class PeerLink(asyncio.DatagramProtocol):
    """Exchange messages over one socket."""

    def __init__(
        self,
        handler: MessageHandler,
        log: event_log.EventLog,
    ) -> None:
        self._handler = handler
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: peer_messages.PeerMessage, to: _Address) -> None:
        """Send a message to one instance."""
        self.send_all(message, (to,))

    def send_all(
        self,
        message: peer_messages.PeerMessage,
        receivers: typing.Iterable[_Address],
    ) -> None:
        """Send a message to several instances."""
        datagram = _pack(peer_messages.encode(message))
        if len(datagram) > MOST_DATAGRAM_BYTES:
            self._log.sample(
                'peers',
                'message is too large to send',
                bytes=len(datagram),
            )
            return
        if self._transport is None:
            return
        for receiver in receivers:
            self._transport.sendto(datagram, receiver)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Decode a datagram and hand it on."""
        try:
            message = peer_messages.decode(_unpack(data))
        except (msgspec.MsgspecError, zlib.error, ValueError) as error:
            self._log.sample(
                'peers',
                'datagram is malformed',
                sender=str(addr),
                reason=str(error),
            )
            return
        self._handler(message, (addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        self._log.sample('peers', 'datagram was refused', reason=str(exc))


def _pack(payload: bytes) -> bytes:
    if len(payload) > _COMPRESS_ABOVE_BYTES:
        return _COMPRESSED_MARK + zlib.compress(payload, 1)
    return _PLAIN_MARK + payload


def _unpack(datagram: bytes) -> bytes:
    mark, payload = datagram[:1], datagram[1:]
    if mark == _COMPRESSED_MARK:
        inflater = zlib.decompressobj()
        return inflater.decompress(payload, _LONGEST_MESSAGE_BYTES)
    if mark == _PLAIN_MARK:
        return payload
    raise ValueError('unknown kind of datagram')
