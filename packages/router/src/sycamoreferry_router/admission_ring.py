"""Reach the owner of each admission partition."""

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
from sycamoreferry_router import partition_io, partition_loop

# A silent instance is asked last for this long, in milliseconds.
SILENCE_MS = 1000
DRAIN_LIMIT_MS = 2000
DRAIN_POLL_MS = 20

_Loop = partition_loop.PartitionLoop


class AdmissionRing:
    """Hold the partitions of one instance, and the way to those of others."""

    def __init__(
        self,
        loops: typing.Sequence[_Loop],
        parts: partition_io.Parts,
    ) -> None:
        self._loops = loops
        self._parts = parts
        self._owners: dict[int, ids.InstanceId] = {}
        self._silent: dict[ids.InstanceId, clock.Millis] = {}

    @property
    def me(self) -> ids.InstanceId:
        """Return this instance."""
        return self._parts.me

    @property
    def loops(self) -> typing.Sequence[_Loop]:
        """Return the loop of each partition."""
        return self._loops

    async def run(self) -> None:
        """Run every partition until cancelled."""
        await asyncio.gather(*(loop.run() for loop in self._loops))

    def line_of(self, key: ids.AdmissionKey) -> list[ids.InstanceId]:
        """Return whom to ask about a key, the likely owner first."""
        partition = self._partition_of(key)
        loop = self._loops[partition]
        line = [member.instance for member in loop.line]
        owner = loop.current.journal.claim.owner or self._owners.get(partition)
        if owner in line:
            line = [owner, *(name for name in line if name != owner)]
        return sorted(line, key=self._is_silent)

    async def ask(
        self,
        target: ids.InstanceId,
        asked: admission_events.Asked,
    ) -> admission_actions.Answer | None:
        """Ask an instance to admit; nothing where it does not answer."""
        partition = self._partition_of(asked.key)
        answered = await self._ask(target, partition, asked)
        if answered is None:
            self._silent[target] = self._parts.clock.now()
        elif answered.verdict is not admission_actions.Verdict.NOT_OWNER:
            self._owners[partition] = target
        return answered

    async def conclude(
        self,
        target: ids.InstanceId,
        concluded: admission_records.Concluded,
    ) -> bool:
        """Tell an instance how an attempt ended; tell whether it took it."""
        partition = self._partition_of(concluded.key)
        if target == self.me:
            return self._loops[partition].end(concluded)
        address = self._parts.address_of(target)
        if address is None:
            return False
        return await self._parts.clients.conclude(
            address,
            partition,
            concluded,
        )

    async def drain(self) -> None:
        """Wait a while until what was admitted here is in the log."""
        for _ in range(DRAIN_LIMIT_MS // DRAIN_POLL_MS):
            if not any(_is_unjournaled(loop) for loop in self._loops):
                return
            await asyncio.sleep(clock.seconds(DRAIN_POLL_MS))

    async def _ask(
        self,
        target: ids.InstanceId,
        partition: int,
        asked: admission_events.Asked,
    ) -> admission_actions.Answer | None:
        if target == self.me:
            return await self._loops[partition].ask(asked)
        address = self._parts.address_of(target)
        if address is None:
            return None
        return await self._parts.clients.admit(address, partition, asked)

    def _partition_of(self, key: ids.AdmissionKey) -> int:
        return admission_routing.partition_of(key, len(self._loops))

    def _is_silent(self, instance: ids.InstanceId) -> bool:
        since = self._silent.get(instance, clock.LONG_AGO)
        return self._parts.clock.now() < clock.later(since, SILENCE_MS)


def _is_unjournaled(loop: _Loop) -> bool:
    owner = loop.current.owner
    return bool(owner.queued or owner.in_flight)
