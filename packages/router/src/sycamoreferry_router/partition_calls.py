"""Call the log and other instances for one admission partition."""

import dataclasses
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_state,
    clock,
    ids,
)
from sycamoreferry_peer import admission_client
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import admission_pb2
from sycamoreferry_ports import log_port
from sycamoreferry_router import view

EventCoroutine = typing.Coroutine[
    typing.Any,
    typing.Any,
    admission_events.Event | None,
]


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the dependencies shared by the loops of all partitions."""

    instance_id: ids.InstanceId
    instance_view: view.InstanceView
    clients: admission_client.AdmissionClient
    clock: clock.Clock
    timing: admission_state.Timing
    read_wait_ms: int

    def address_of(
        self,
        instance: ids.InstanceId,
    ) -> peer_client.PeerAddress | None:
        """Return the peer address of an instance, or None if not joined."""
        found = self.instance_view.log_state.instances.get(instance)
        if found is None:
            return None
        return peer_client.PeerAddress(found.peer_host, found.peer_port)


class PartitionCalls:
    """Make the calls of one partition; each returns an event or None."""

    def __init__(
        self,
        number: int,
        stream: log_port.LogService,
        parts: Dependencies,
    ) -> None:
        self._number = number
        self._stream = stream
        self._parts = parts

    async def read(
        self,
        start: ids.Offset,
        wait_ms: int,
    ) -> admission_events.StreamRead | admission_events.LogFailed:
        """Read the stream from an offset; wait up to wait_ms for records."""
        sent_at = self._parts.clock.now()
        outcome = await self._stream.read(start, wait_ms)
        if isinstance(outcome, log_port.ReadFailed):
            return admission_events.LogFailed()
        next_offset = outcome.logged[-1].offset + 1 if outcome.logged else start
        return admission_events.StreamRead(
            logged=outcome.logged,
            caught_up=next_offset >= outcome.end_offset,
            sent_at=sent_at,
        )

    async def append(
        self,
        action: admission_actions.Append,
    ) -> admission_events.LogFailed | None:
        """Append a record; only reading it back shows that it took effect."""
        payload = admission_records.encode_record(action.record)
        outcome = await self._stream.append(payload)
        if isinstance(outcome, log_port.Appended):
            return None
        return admission_events.LogFailed()

    async def send_copy(
        self,
        action: admission_actions.SendCopy,
    ) -> admission_events.CopyAnswered:
        """Send a copy to the deputy; without an answer it is not held."""
        address = self._parts.address_of(action.deputy)
        held = address is not None and await self._parts.clients.copy(
            address,
            self._number,
            self._parts.instance_id,
            action,
        )
        return admission_events.CopyAnswered(
            action.claim,
            action.number,
            held,
        )

    async def ask_yield(
        self,
        holder: ids.InstanceId,
        claim: ids.Offset,
    ) -> admission_events.YieldConfirmed | None:
        """Ask a holder of older claims to yield; None without an answer."""
        address = self._parts.address_of(holder)
        if address is None:
            return None
        admitted = await self._parts.clients.yield_claims(
            address,
            admission_pb2.YieldRequest(
                partition=self._number,
                claimant=self._parts.instance_id,
                holder=holder,
                claim=claim,
            ),
        )
        if admitted is None:
            return None
        return admission_events.YieldConfirmed(claim, admitted)

    async def probe(
        self,
        action: admission_actions.Probe,
    ) -> admission_events.PeerHeard | None:
        """Probe an instance; return None where it does not answer."""
        address = self._parts.address_of(action.instance)
        if address is None:
            return None
        heard = await self._parts.clients.probe(
            address,
            self._number,
            action.instance,
        )
        return admission_events.PeerHeard(action.instance) if heard else None
