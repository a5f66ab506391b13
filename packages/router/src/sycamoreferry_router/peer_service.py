"""Serve calls from other routing instances."""

import typing

from grpclib import server as grpc_server

from sycamoreferry_core import ids
from sycamoreferry_peer.generated import peer_grpc, peer_pb2
from sycamoreferry_router import (
    coordination_loop,
    peer_sync,
    rpc_messages,
    status_report,
    view,
)

_Stream = grpc_server.Stream


class PeerService(peer_grpc.PeerBase):  # type: ignore[misc]
    """Handle calls for coordination, catching up and status."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        instance_view: view.InstanceView,
        loops: typing.Mapping[str, coordination_loop.CoordinationLoop],
        relaying: peer_sync.PeerSync,
        reporter: status_report.StatusReporter,
    ) -> None:
        self._instance_id = instance_id
        self._view = instance_view
        self._loops = loops
        self._relay = relaying
        self._reporter = reporter

    async def Promise(
        self,
        stream: _Stream[peer_pb2.PromiseRequest, peer_pb2.PromiseReply],
    ) -> None:
        """Promise, as the deputy of a term, to claim no term for a while."""
        request = rpc_messages.require_message(await stream.recv_message())
        loop = self._loops.get(request.service)
        promised = False
        if loop is not None and request.deputy == self._instance_id:
            promised = loop.promise(
                ids.Term(request.term),
                ids.InstanceId(request.coordinator),
            )
        await stream.send_message(peer_pb2.PromiseReply(promised=promised))

    async def Release(
        self,
        stream: _Stream[peer_pb2.ReleaseRequest, peer_pb2.ReleaseReply],
    ) -> None:
        """Stop acting under earlier terms; reply whether none is in use."""
        request = rpc_messages.require_message(await stream.recv_message())
        loop = self._loops.get(request.service)
        released = False
        if loop is not None and request.holder == self._instance_id:
            released = loop.release(ids.Term(request.term))
        await stream.send_message(peer_pb2.ReleaseReply(released=released))

    async def Probe(
        self,
        stream: _Stream[peer_pb2.ProbeRequest, peer_pb2.ProbeReply],
    ) -> None:
        """Reply with the instance id and whether it acts for a service."""
        request = rpc_messages.require_message(await stream.recv_message())
        loop = self._loops.get(request.service)
        is_addressee = (
            loop is not None and request.instance == self._instance_id
        )
        acting = is_addressee and loop is not None and loop.is_acting
        await stream.send_message(
            peer_pb2.ProbeReply(instance=self._instance_id, acting=acting),
        )

    async def ReadTail(
        self,
        stream: _Stream[peer_pb2.TailRequest, peer_pb2.TailReply],
    ) -> None:
        """Reply with recent log records that this instance still holds."""
        request = rpc_messages.require_message(await stream.recv_message())
        start = ids.Offset(request.start)
        await stream.send_message(self._relay.read_recent(start))

    async def ReadState(
        self,
        stream: _Stream[peer_pb2.StateRequest, peer_pb2.StateReply],
    ) -> None:
        """Stream the folded state in parts."""
        await stream.recv_message()
        for reply in self._relay.encode_state_parts():
            await stream.send_message(reply)

    async def Status(
        self,
        stream: _Stream[peer_pb2.StatusRequest, peer_pb2.StatusReply],
    ) -> None:
        """Reply with the current status of this instance."""
        await stream.recv_message()
        await stream.send_message(self._reporter.report())
