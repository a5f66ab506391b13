"""Answer other routing instances."""

import typing

from grpclib import server as grpc_server

from sycamoreferry_core import events, ids
from sycamoreferry_peer.generated import peer_grpc, peer_pb2
from sycamoreferry_router import calls, coordination_loop, relay, view

_Stream = grpc_server.Stream


class PeerService(peer_grpc.PeerBase):  # type: ignore[misc]
    """Serve promises, probes, records and status."""

    def __init__(
        self,
        me: ids.InstanceId,
        data_centre: str,
        seen: view.InstanceView,
        loops: typing.Mapping[str, coordination_loop.CoordinationLoop],
        relaying: relay.Relay,
    ) -> None:
        self._me = me
        self._data_centre = data_centre
        self._view = seen
        self._loops = loops
        self._relay = relaying

    async def Promise(
        self,
        stream: _Stream[peer_pb2.PromiseRequest, peer_pb2.PromiseReply],
    ) -> None:
        """Promise to claim nothing for a while, as the deputy of a term."""
        request = calls.required(await stream.recv_message())
        loop = self._loops.get(request.service)
        promised = False
        if loop is not None and request.deputy == self._me:
            before = loop.current.promised_until
            loop.feed(
                events.DeputyAsked(
                    ids.Term(request.term),
                    ids.InstanceId(request.coordinator),
                ),
            )
            promised = loop.current.promised_until > before
        await stream.send_message(peer_pb2.PromiseReply(promised=promised))

    async def Probe(
        self,
        stream: _Stream[peer_pb2.ProbeRequest, peer_pb2.ProbeReply],
    ) -> None:
        """Say that this instance is there."""
        await stream.recv_message()
        await stream.send_message(peer_pb2.ProbeReply(instance=self._me))

    async def ReadTail(
        self,
        stream: _Stream[peer_pb2.TailRequest, peer_pb2.TailReply],
    ) -> None:
        """Hand out records of the log that this instance still holds."""
        request = calls.required(await stream.recv_message())
        start = ids.Offset(request.start)
        await stream.send_message(self._relay.read_recent(start))

    async def ReadState(
        self,
        stream: _Stream[peer_pb2.StateRequest, peer_pb2.StateReply],
    ) -> None:
        """Hand out the folded state in parts."""
        await stream.recv_message()
        for reply in self._relay.write_state():
            await stream.send_message(reply)

    async def Status(
        self,
        stream: _Stream[peer_pb2.StatusRequest, peer_pb2.StatusReply],
    ) -> None:
        """Report what this instance has in force."""
        await stream.recv_message()
        log_state = self._view.log_state
        await stream.send_message(
            peer_pb2.StatusReply(
                instance=self._me,
                data_centre=self._data_centre,
                next_offset=log_state.next_offset,
                profiles=[
                    peer_pb2.ProfileInForce(name=name, number=held.number)
                    for name, held in log_state.profiles.items()
                ],
                services=[
                    _service_status(name, loop)
                    for name, loop in self._loops.items()
                ],
            ),
        )


def _service_status(
    name: str,
    loop: coordination_loop.CoordinationLoop,
) -> peer_pb2.ServiceStatus:
    return peer_pb2.ServiceStatus(
        service=name,
        term=loop.current.term.term,
        coordinator=loop.current.term.coordinator,
        deputy=loop.current.term.deputy,
        role=loop.current.role.value,
        has_authority=loop.has_authority,
    )
