"""Call other routing instances over gRPC."""

import dataclasses
import typing

from google.protobuf import message
from grpclib import client as grpc_client
from grpclib import exceptions

from sycamoreferry_core import clock
from sycamoreferry_peer.generated import (
    load_grpc,
    load_pb2,
    peer_grpc,
    peer_pb2,
)

_CALL_ERRORS = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
    message.DecodeError,
)

ReplyType = typing.TypeVar('ReplyType')


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Hold the address on which an instance accepts calls from peers."""

    host: str
    port: int


class PeerClient:
    """Make calls to peers, with one gRPC channel per address."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._channels: dict[PeerAddress, grpc_client.Channel] = {}

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def keep_only(self, addresses: frozenset[PeerAddress]) -> None:
        """Close the channels to all other addresses."""
        for address in tuple(self._channels):
            if address not in addresses:
                self._channels.pop(address).close()

    async def promise(
        self,
        address: PeerAddress,
        request: peer_pb2.PromiseRequest,
    ) -> peer_pb2.PromiseReply | None:
        """Ask a deputy for its promise; return None if no reply came."""
        return await self._call(self._stub(address).Promise, request)

    async def release(
        self,
        address: PeerAddress,
        request: peer_pb2.ReleaseRequest,
    ) -> peer_pb2.ReleaseReply | None:
        """Ask a holder of earlier terms to stop acting under them."""
        return await self._call(self._stub(address).Release, request)

    async def probe(
        self,
        address: PeerAddress,
        request: peer_pb2.ProbeRequest,
    ) -> peer_pb2.ProbeReply | None:
        """Probe an instance; the reply says whether it acts for the service."""
        return await self._call(self._stub(address).Probe, request)

    async def read_tail(
        self,
        address: PeerAddress,
        request: peer_pb2.TailRequest,
    ) -> peer_pb2.TailReply | None:
        """Read the log records that an instance still has in memory."""
        return await self._call(self._stub(address).ReadTail, request)

    async def read_state(
        self,
        address: PeerAddress,
    ) -> list[peer_pb2.StateReply]:
        """Read the folded state of an instance; empty if no reply came."""
        replies = await self._call(
            self._stub(address).ReadState,
            peer_pb2.StateRequest(),
        )
        return list(replies or ())

    async def status(
        self,
        address: PeerAddress,
    ) -> peer_pb2.StatusReply | None:
        """Return the status of an instance, or None if no reply came."""
        return await self._call(
            self._stub(address).Status,
            peer_pb2.StatusRequest(),
        )

    async def report_load(
        self,
        address: PeerAddress,
        request: load_pb2.LoadReport,
    ) -> load_pb2.LoadReply | None:
        """Report request counts; return None if no reply came."""
        stub = load_grpc.LoadStub(self.channel(address))
        return await self._call(stub.Report, request)

    def channel(self, address: PeerAddress) -> grpc_client.Channel:
        """Return the channel to an address; create it on first use."""
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc_client.Channel(address.host, address.port)
            self._channels[address] = channel
        return channel

    def _stub(self, address: PeerAddress) -> peer_grpc.PeerStub:
        return peer_grpc.PeerStub(self.channel(address))

    async def _call(
        self,
        method: typing.Callable[..., typing.Awaitable[ReplyType]],
        request: object,
    ) -> ReplyType | None:
        return await call(method, request, self._timeout_ms)


async def call(
    method: typing.Callable[..., typing.Awaitable[ReplyType]],
    request: object,
    timeout_ms: int,
) -> ReplyType | None:
    """Call a method of a peer; return None on an error or a time-out."""
    try:
        return await method(request, timeout=clock.seconds(timeout_ms))
    except _CALL_ERRORS:
        return None
