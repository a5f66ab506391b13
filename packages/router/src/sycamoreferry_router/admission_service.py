"""Serve admission calls from other instances."""

import typing

from grpclib import server as grpc_server

from sycamoreferry_core import (
    admission_events,
    admission_records,
    ids,
)
from sycamoreferry_peer import admission_client
from sycamoreferry_peer.generated import admission_grpc, admission_pb2
from sycamoreferry_router import partition_loop, rpc_messages

_Stream = grpc_server.Stream


class AdmissionService(admission_grpc.AdmissionBase):  # type: ignore[misc]
    """Handle Admit, Conclude, Copy, Yield and Probe calls."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        loops: typing.Sequence[partition_loop.PartitionLoop],
    ) -> None:
        self._instance_id = instance_id
        self._loops = loops

    async def Admit(
        self,
        stream: _Stream[admission_pb2.AdmitRequest, admission_pb2.AdmitReply],
    ) -> None:
        """Reply with the verdict on an attempt."""
        request = rpc_messages.require_message(await stream.recv_message())
        answered = await self._loops[request.partition].request_admission(
            admission_events.AdmissionRequested(
                key=ids.AdmissionKey(request.key),
                fingerprint=ids.Fingerprint(request.fingerprint),
                attempt=ids.AttemptId(request.attempt),
                deadline_ms=request.deadline_ms,
            ),
        )
        await stream.send_message(
            admission_pb2.AdmitReply(
                verdict=answered.verdict.value,
                hint=answered.hint,
            ),
        )

    async def Conclude(
        self,
        stream: _Stream[
            admission_pb2.ConcludeRequest,
            admission_pb2.ConcludeReply,
        ],
    ) -> None:
        """Record how an attempt ended."""
        request = rpc_messages.require_message(await stream.recv_message())
        loop = self._loops[request.partition]
        taken = loop.conclude(
            admission_records.Concluded(
                ids.AdmissionKey(request.key),
                ids.AttemptId(request.attempt),
                admission_records.Ending(request.ending),
            ),
        )
        await stream.send_message(
            admission_pb2.ConcludeReply(
                taken=taken,
                hint=loop.current.journal.claim.owner,
            ),
        )

    async def Copy(
        self,
        stream: _Stream[admission_pb2.CopyRequest, admission_pb2.CopyReply],
    ) -> None:
        """Hold admissions for the owner, as the deputy of its claim."""
        request = rpc_messages.require_message(await stream.recv_message())
        held = request.deputy == self._instance_id and self._loops[
            request.partition
        ].hold_copy(
            admission_events.CopyRequested(
                owner=ids.InstanceId(request.owner),
                claim=ids.Offset(request.claim),
                number=request.number,
                admitted=admission_client.from_messages(request.admitted),
            ),
        )
        await stream.send_message(admission_pb2.CopyReply(held=held))

    async def Yield(
        self,
        stream: _Stream[admission_pb2.YieldRequest, admission_pb2.YieldReply],
    ) -> None:
        """Stop admitting under older claims; reply with their admissions."""
        request = rpc_messages.require_message(await stream.recv_message())
        if request.holder != self._instance_id:
            await stream.send_message(admission_pb2.YieldReply(over=False))
            return
        admitted = self._loops[request.partition].yield_claims(
            admission_events.YieldRequested(
                ids.InstanceId(request.claimant),
                ids.Offset(request.claim),
            ),
        )
        await stream.send_message(
            admission_pb2.YieldReply(
                over=True,
                admitted=admission_client.to_messages(admitted),
            ),
        )

    async def Probe(
        self,
        stream: _Stream[
            admission_pb2.PartitionProbe,
            admission_pb2.PartitionProbeReply,
        ],
    ) -> None:
        """Reply with the instance id, and start to follow the partition."""
        request = rpc_messages.require_message(await stream.recv_message())
        self._loops[request.partition].start_following()
        await stream.send_message(
            admission_pb2.PartitionProbeReply(instance=self._instance_id),
        )
