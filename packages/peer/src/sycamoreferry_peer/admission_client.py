"""Call the owners, deputies and claimants of admission partitions."""

import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    ids,
)
from sycamoreferry_peer import client
from sycamoreferry_peer.generated import admission_grpc, admission_pb2

_Admitted = admission_records.Admitted


class AdmissionClient:
    """Make admission calls to other instances over shared gRPC channels."""

    def __init__(
        self,
        peers: client.PeerClient,
        admit_timeout_ms: int,
        timeout_ms: int,
    ) -> None:
        self._peers = peers
        self._admit_timeout_ms = admit_timeout_ms
        self._timeout_ms = timeout_ms

    async def admit(
        self,
        address: client.PeerAddress,
        partition: int,
        asked: admission_events.AdmissionRequested,
    ) -> admission_actions.Answer | None:
        """Ask an instance to admit an attempt; return None if no reply came."""
        reply = await client.call(
            self._stub(address).Admit,
            admission_pb2.AdmitRequest(
                partition=partition,
                key=asked.key,
                fingerprint=asked.fingerprint,
                attempt=asked.attempt,
                deadline_ms=asked.deadline_ms,
            ),
            self._admit_timeout_ms,
        )
        if reply is None:
            return None
        return admission_actions.Answer(
            asked.attempt,
            admission_actions.Verdict(reply.verdict),
            ids.InstanceId(reply.hint),
        )

    async def conclude(
        self,
        address: client.PeerAddress,
        partition: int,
        concluded: admission_records.Concluded,
    ) -> bool:
        """Report how an attempt ended; return whether it was accepted."""
        reply = await client.call(
            self._stub(address).Conclude,
            admission_pb2.ConcludeRequest(
                partition=partition,
                key=concluded.key,
                attempt=concluded.attempt,
                ending=concluded.ending.value,
            ),
            self._timeout_ms,
        )
        return reply is not None and reply.taken

    async def copy(
        self,
        address: client.PeerAddress,
        partition: int,
        owner: ids.InstanceId,
        action: admission_actions.SendCopy,
    ) -> bool:
        """Replicate admissions to a deputy; return whether it stored them."""
        reply = await client.call(
            self._stub(address).Copy,
            admission_pb2.CopyRequest(
                partition=partition,
                owner=owner,
                deputy=action.deputy,
                claim=action.claim,
                number=action.number,
                admitted=to_messages(action.admitted),
            ),
            self._timeout_ms,
        )
        return reply is not None and reply.held

    async def yield_claims(
        self,
        address: client.PeerAddress,
        request: admission_pb2.YieldRequest,
    ) -> tuple[_Admitted, ...] | None:
        """Ask a holder to give up older claims and return its admissions.

        Return None if no reply came or another instance answered.
        """
        reply = await client.call(
            self._stub(address).Yield,
            request,
            self._timeout_ms,
        )
        if reply is None or not reply.over:
            return None
        return from_messages(reply.admitted)

    async def probe(
        self,
        address: client.PeerAddress,
        partition: int,
        instance: ids.InstanceId,
    ) -> bool:
        """Return whether the instance with this id answers at the address."""
        reply = await client.call(
            self._stub(address).Probe,
            admission_pb2.PartitionProbe(
                partition=partition,
                instance=instance,
            ),
            self._timeout_ms,
        )
        return reply is not None and reply.instance == instance

    def _stub(
        self,
        address: client.PeerAddress,
    ) -> admission_grpc.AdmissionStub:
        return admission_grpc.AdmissionStub(self._peers.channel(address))


def to_messages(
    admitted: typing.Iterable[_Admitted],
) -> list[admission_pb2.Admitted]:
    """Convert admissions to protobuf messages."""
    return [
        admission_pb2.Admitted(
            key=entry.key,
            fingerprint=entry.fingerprint,
            attempt=entry.attempt,
            deadline_ms=entry.deadline_ms,
            claim=entry.order[0],
            serial=entry.order[1],
        )
        for entry in admitted
    ]


def from_messages(
    messages: typing.Iterable[admission_pb2.Admitted],
) -> tuple[_Admitted, ...]:
    """Convert protobuf messages to admissions."""
    return tuple(
        _Admitted(
            key=ids.AdmissionKey(message.key),
            fingerprint=ids.Fingerprint(message.fingerprint),
            attempt=ids.AttemptId(message.attempt),
            deadline_ms=message.deadline_ms,
            order=admission_records.Order(
                ids.Offset(message.claim),
                message.serial,
            ),
        )
        for message in messages
    )
