"""Hold requests whose shard has lost its owner until it has one."""

import asyncio
import collections
import dataclasses
import random

from sycamoreferry_core import clock, ids, outcomes, owner_wait
from sycamoreferry_router import messages, view

FIRST_LOOK_MS = 10
LONGEST_LOOK_MS = 100
# A loss that nobody asked about for this long is another loss.
FORGET_MS = 60_000


@dataclasses.dataclass
class Loss:
    """Hold since when a server does not serve its shards."""

    since: clock.Millis
    asked: clock.Millis
    over: asyncio.Event


_Owner = tuple[ids.ServiceName, ids.ServerId]


class OwnerWatch:
    """Know which owners are lost, and wake who waits for new ones."""

    def __init__(
        self,
        seen: view.InstanceView,
        timer: clock.Clock,
        chance: random.Random,
    ) -> None:
        self._view = seen
        self._clock = timer
        self._chance = chance
        self._losses: dict[_Owner, Loss] = {}
        self._waiting: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )

    def decide(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
    ) -> owner_wait.WaitUntil | owner_wait.ComeBack:
        """Wait where an owner is expected before the deadline."""
        now = self._clock.now()
        loss = self._note_loss(_owner(admitted, failure), now)
        return owner_wait.decide_wait(
            loss.since,
            admitted.deadline,
            self._waiting[admitted.service.service_name],
            self._view.profile(admitted.service.profile),
            now,
        )

    def note_answer(
        self,
        admitted: messages.Identified,
        answered: outcomes.Answered,
    ) -> None:
        """Wake the requests that wait for a server that answers again."""
        if self._losses:
            loss = self._losses.pop(_owner(admitted, answered), None)
            if loss is not None:
                loss.over.set()

    async def wait(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
        number: int,
    ) -> bool:
        """Wait a while; tell whether the owner is another one or back."""
        service = admitted.service.service_name
        longest = min(LONGEST_LOOK_MS, FIRST_LOOK_MS * 2**number)
        delay = 1 + longest * self._chance.random()
        self._waiting[service] += 1
        try:
            return await self._look(admitted, failure, delay)
        finally:
            self._waiting[service] -= 1

    async def _look(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
        delay_ms: float,
    ) -> bool:
        loss = self._losses.get(_owner(admitted, failure))
        if loss is None:
            return True
        try:
            async with asyncio.timeout(delay_ms / clock.MILLIS_PER_SECOND):
                await loss.over.wait()
        except TimeoutError:
            if not self._has_moved(admitted, failure.way.server):
                return False
        loss.over.set()
        return True

    def _has_moved(
        self,
        admitted: messages.Identified,
        server: ids.ServerId,
    ) -> bool:
        if admitted.shard is None:
            return False
        service = admitted.service.service_name
        assigned = self._view.log_state.assignment_of(service)
        owner = assigned.owner_of(admitted.shard)
        return owner is not None and owner != server

    def _note_loss(self, owner: _Owner, now: clock.Millis) -> Loss:
        loss = self._losses.get(owner)
        if loss is None or now - loss.asked > FORGET_MS:
            loss = Loss(now, now, asyncio.Event())
            self._losses[owner] = loss
        loss.asked = now
        return loss


def _owner(
    admitted: messages.Identified,
    outcome: outcomes.Outcome,
) -> _Owner:
    return admitted.service.service_name, outcome.way.server
