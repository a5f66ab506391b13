"""Call other routing instances."""

import dataclasses
import typing

from grpclib import client as grpc_client
from grpclib import exceptions

from sycamoreferry_core import clock
from sycamoreferry_peer.generated import (
    load_grpc,
    load_pb2,
    peer_grpc,
    peer_pb2,
)

_UNREACHED = (
    exceptions.GRPCError,
    exceptions.StreamTerminatedError,
    OSError,
    TimeoutError,
)

ReplyType = typing.TypeVar('ReplyType')


@dataclasses.dataclass(frozen=True)
class PeerAddress:
    """Hold where an instance listens for its peers."""

    host: str
    port: int


class PeerClients:
    """Keep one channel to each instance that is called."""

    def __init__(self, timeout_ms: int) -> None:
        self._timeout_ms = timeout_ms
        self._channels: dict[PeerAddress, grpc_client.Channel] = {}

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def keep_only(self, addresses: frozenset[PeerAddress]) -> None:
        """Close the channels to instances that are gone."""
        for address in tuple(self._channels):
            if address not in addresses:
                self._channels.pop(address).close()

    async def promise(
        self,
        address: PeerAddress,
        request: peer_pb2.PromiseRequest,
    ) -> peer_pb2.PromiseReply | None:
        """Ask a deputy for its promise; nothing where it does not answer."""
        return await self._call(self._stub(address).Promise, request)

    async def release(
        self,
        address: PeerAddress,
        request: peer_pb2.ReleaseRequest,
    ) -> peer_pb2.ReleaseReply | None:
        """Ask a holder of earlier terms whether it acts no more."""
        return await self._call(self._stub(address).Release, request)

    async def probe(
        self,
        address: PeerAddress,
        request: peer_pb2.ProbeRequest,
    ) -> peer_pb2.ProbeReply | None:
        """Ask an instance whether it is there."""
        return await self._call(self._stub(address).Probe, request)

    async def read_tail(
        self,
        address: PeerAddress,
        request: peer_pb2.TailRequest,
    ) -> peer_pb2.TailReply | None:
        """Read records of the log that an instance still holds."""
        return await self._call(self._stub(address).ReadTail, request)

    async def read_state(
        self,
        address: PeerAddress,
    ) -> list[peer_pb2.StateReply]:
        """Read the folded state of an instance; empty without an answer."""
        replies = await self._call(
            self._stub(address).ReadState,
            peer_pb2.StateRequest(),
        )
        return list(replies or ())

    async def status(
        self,
        address: PeerAddress,
    ) -> peer_pb2.StatusReply | None:
        """Ask an instance for its status."""
        return await self._call(
            self._stub(address).Status,
            peer_pb2.StatusRequest(),
        )

    async def report_load(
        self,
        address: PeerAddress,
        request: load_pb2.LoadReport,
    ) -> load_pb2.LoadReply | None:
        """Report counts of requests; nothing where no answer came."""
        stub = load_grpc.LoadStub(self.channel(address))
        return await self._call(stub.Report, request)

    def channel(self, address: PeerAddress) -> grpc_client.Channel:
        """Return the channel to an instance."""
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
    """Call a method of a peer; nothing where it does not answer."""
    try:
        return await method(request, timeout=clock.seconds(timeout_ms))
    except _UNREACHED:
        return None
