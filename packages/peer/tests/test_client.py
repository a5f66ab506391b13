"""Check calls to peers whose replies can't be decoded."""

import socket
import typing

import pytest
from grpclib import const
from grpclib import server as grpc_server
from grpclib.encoding import base

from sycamoreferry_peer import client
from sycamoreferry_peer.generated import peer_pb2

TIMEOUT_MS = 2_000


class _RawCodec(base.CodecBase):
    """Send and receive messages as bytes, in the place of protobuf."""

    __content_subtype__ = 'proto'

    def encode(self, message: bytes, message_type: typing.Any) -> bytes:
        return message

    def decode(self, data: bytes, message_type: typing.Any) -> bytes:
        return data


class _Handler:
    """Reply to each call for a status with the same bytes."""

    def __init__(self, reply: bytes) -> None:
        self._reply = reply

    def __mapping__(self) -> dict[str, const.Handler]:
        return {
            '/sycamoreferry.peer.Peer/Status': const.Handler(
                self._answer, const.Cardinality.UNARY_UNARY, bytes, bytes
            )
        }

    async def _answer(self, stream: 'grpc_server.Stream[bytes, bytes]') -> None:
        await stream.recv_message()
        await stream.send_message(self._reply)


@pytest.mark.parametrize(
    ('reply', 'is_read'),
    [
        (peer_pb2.StatusReply(instance='i').SerializeToString(), True),
        (b'', True),
        (bytes((255,)) * 20, False),
        (bytes((10, 100)), False),
        (bytes((0x0B,)) * 1_000, False),
    ],
)
async def test_reply_that_cannot_be_decoded_is_none(
    reply: bytes, is_read: bool
) -> None:
    """It ended the loop that had called."""
    server = grpc_server.Server([_Handler(reply)], codec=_RawCodec())
    with socket.create_server(('127.0.0.1', 0)) as listening:
        await server.start(sock=listening)
        peers = client.PeerClient(TIMEOUT_MS)
        address = client.PeerAddress(*listening.getsockname())
        received = await peers.status(address)
        peers.close()
        server.close()
        await server.wait_closed()
    assert (received is not None) == is_read
