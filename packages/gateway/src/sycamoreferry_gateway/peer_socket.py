"""Exchange UDP datagrams with other instances.

A lost datagram costs little, since the next heartbeat repeats its content, and
without persistent connections none can stall unnoticed between instances.
"""

import asyncio
import typing
import zlib

import msgspec

from sycamoreferry_gateway import event_log, peer_messages

_Address = tuple[str, int]
MessageHandler = typing.Callable[[peer_messages.PeerMessage, _Address], None]

# The largest payload of a UDP datagram, less a margin.
MAX_DATAGRAM_BYTES = 60_000
_COMPRESSED_MARK = b'z'
_PLAIN_MARK = b'p'
_COMPRESS_ABOVE_BYTES = 1_200
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024


class PeerSocket(asyncio.DatagramProtocol):
    """Exchange messages with all peers over one UDP socket."""

    def __init__(
        self,
        handler: MessageHandler,
        log: event_log.EventLog,
    ) -> None:
        self._handler = handler
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, host: str, port: int) -> None:
        """Bind the socket; raise OSError if the address is not available."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending; called by the event loop."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Close the socket if it was opened."""
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
        """Send a message to several instances, without waiting for delivery.

        A message above the datagram limit is logged and dropped. Raises
        OverflowError or MsgspecError if it can't be encoded.
        """
        datagram = _pack(peer_messages.encode(message))
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self._log.write_rate_limited(
                'peers',
                'message exceeds the datagram limit and is dropped',
                bytes=len(datagram),
            )
            return
        for receiver in receivers:
            self._send_datagram(datagram, receiver)

    def datagram_received(self, data: bytes, addr: typing.Any) -> None:
        """Decode a datagram for the handler; log and drop a malformed one."""
        try:
            message = peer_messages.decode(_unpack(data))
        except (msgspec.MsgspecError, zlib.error, ValueError) as error:
            self._log.write_rate_limited(
                'peers',
                'malformed datagram is dropped',
                sender=str(addr),
                reason=str(error),
            )
            return
        try:
            self._handler(message, (addr[0], addr[1]))
        except Exception as error:
            self._log.write_rate_limited(
                'peers',
                'message could not be handled',
                sender=str(addr),
                type=type(message).__name__,
                reason=repr(error),
            )

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        self._log.write_rate_limited(
            'peers', 'datagram could not be delivered', reason=str(exc)
        )

    def _send_datagram(self, datagram: bytes, receiver: _Address) -> None:
        """Send to one receiver; one that can't be reached stops no other."""
        if self._transport is None:
            return
        try:
            self._transport.sendto(datagram, receiver)
        except (OSError, ValueError, OverflowError) as error:
            self._log.write_rate_limited(
                'peers',
                'datagram could not be sent',
                receiver=str(receiver),
                reason=repr(error),
            )


def _pack(payload: bytes) -> bytes:
    if len(payload) > _COMPRESS_ABOVE_BYTES:
        return _COMPRESSED_MARK + zlib.compress(payload, 1)
    return _PLAIN_MARK + payload


def _unpack(datagram: bytes) -> bytes:
    mark, payload = datagram[:1], datagram[1:]
    if mark == _COMPRESSED_MARK:
        inflater = zlib.decompressobj()
        return inflater.decompress(payload, _MAX_MESSAGE_BYTES)
    if mark == _PLAIN_MARK:
        return payload
    raise ValueError('datagram does not begin with the mark z or p')
