"""Send admission calls to the owner of each partition."""

import asyncio
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_routing,
    clock,
    ids,
)
from sycamoreferry_router import partition_calls, partition_loop

# An instance that did not answer is asked last for this long.
UNRESPONSIVE_MS = 1000
DRAIN_TIMEOUT_MS = 2000
DRAIN_POLL_MS = 20

_Loop = partition_loop.PartitionLoop


class AdmissionPartitions:
    """Call this instance's partitions directly and others through peers."""

    def __init__(
        self,
        loops: typing.Sequence[_Loop],
        parts: partition_calls.Dependencies,
    ) -> None:
        self._loops = loops
        self._parts = parts
        self._owners: dict[int, ids.InstanceId] = {}
        self._unanswered_at: dict[ids.InstanceId, clock.Millis] = {}

    @property
    def instance_id(self) -> ids.InstanceId:
        """Return the id of this instance."""
        return self._parts.instance_id

    @property
    def loops(self) -> typing.Sequence[_Loop]:
        """Return the partition loops, indexed by partition number."""
        return self._loops

    async def run(self) -> None:
        """Run every partition until cancelled."""
        async with asyncio.TaskGroup() as group:
            for loop in self._loops:
                group.create_task(loop.run())

    def rank_targets(self, key: ids.AdmissionKey) -> list[ids.InstanceId]:
        """Return the instances to ask about a key, the likely owner first."""
        partition = self._partition_of(key)
        loop = self._loops[partition]
        ranking = [member.instance for member in loop.ranking]
        owner = loop.current.journal.claim.owner or self._owners.get(partition)
        if owner in ranking:
            ranking = [owner, *(name for name in ranking if name != owner)]
        return sorted(ranking, key=self._is_unresponsive)

    async def request_admission(
        self,
        target: ids.InstanceId,
        request: admission_events.AdmissionRequested,
    ) -> admission_actions.Answer | None:
        """Ask an instance to admit; return None if it does not answer."""
        partition = self._partition_of(request.key)
        answered = await self._request_admission(target, partition, request)
        if answered is None:
            self._unanswered_at[target] = self._parts.clock.now()
        elif answered.verdict is not admission_actions.Verdict.NOT_OWNER:
            self._owners[partition] = target
        return answered

    async def conclude(
        self,
        target: ids.InstanceId,
        concluded: admission_records.Concluded,
    ) -> bool:
        """Report how an attempt ended; return whether it was accepted."""
        partition = self._partition_of(concluded.key)
        if target == self.instance_id:
            return self._loops[partition].conclude(concluded)
        address = self._parts.address_of(target)
        if address is None:
            return False
        return await self._parts.clients.conclude(
            address,
            partition,
            concluded,
        )

    async def drain(self) -> None:
        """Wait up to DRAIN_TIMEOUT_MS until what was decided is logged."""
        pending = self._unjournaled()
        for _ in range(DRAIN_TIMEOUT_MS // DRAIN_POLL_MS):
            pending &= self._unjournaled()
            if not pending:
                return
            await asyncio.sleep(clock.seconds(DRAIN_POLL_MS))

    async def _request_admission(
        self,
        target: ids.InstanceId,
        partition: int,
        request: admission_events.AdmissionRequested,
    ) -> admission_actions.Answer | None:
        if target == self.instance_id:
            return await self._loops[partition].request_admission(request)
        address = self._parts.address_of(target)
        if address is None:
            return None
        return await self._parts.clients.admit(address, partition, request)

    def _unjournaled(self) -> frozenset[ids.AttemptId]:
        return frozenset().union(*map(_unjournaled_attempts, self._loops))

    def _partition_of(self, key: ids.AdmissionKey) -> int:
        return admission_routing.partition_of(key, len(self._loops))

    def _is_unresponsive(self, instance: ids.InstanceId) -> bool:
        since = self._unanswered_at.get(instance, clock.LONG_AGO)
        return self._parts.clock.now() < clock.later(since, UNRESPONSIVE_MS)


def _unjournaled_attempts(loop: _Loop) -> typing.Iterator[ids.AttemptId]:
    """Yield the attempts whose admission or ending is not logged."""
    owner = loop.current.owner
    yield from (admitted.attempt for admitted in owner.queued)
    yield from (concluded.attempt for concluded in owner.conclusions)
    if owner.in_flight is not None:
        batch = owner.in_flight
        yield from (admitted.attempt for admitted in batch.admitted)
        yield from (concluded.attempt for concluded in batch.concluded)
