"""Delay requests while their shard has no serving owner."""

import asyncio
import collections
import dataclasses
import random

from sycamoreferry_core import clock, ids, outcomes, owner_wait
from sycamoreferry_router import messages, view

INITIAL_POLL_MS = 10
MAX_POLL_MS = 100
# An outage without a request for this long has ended; a later failure
# starts a new one.
OUTAGE_EXPIRY_MS = 60_000


@dataclasses.dataclass
class OwnerOutage:
    """Record since when an owner has been failing, and its last failure."""

    since: clock.Millis
    last_failure: clock.Millis
    ended: asyncio.Event


_Owner = tuple[ids.ServiceName, ids.ServerId]


class OwnerWatch:
    """Track owner outages and wake requests that wait for them to end."""

    def __init__(
        self,
        instance_view: view.InstanceView,
        time_source: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._view = instance_view
        self._clock = time_source
        self._rng = rng
        self._outages: dict[_Owner, OwnerOutage] = {}
        self._waiting: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )

    def decide(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
    ) -> owner_wait.WaitUntil | owner_wait.RetryLater:
        """Decide whether to wait for an owner that is due by the deadline."""
        now = self._clock.now()
        outage = self._record_failure(_owner(admitted, failure), now)
        return owner_wait.decide_wait(
            outage.since,
            admitted.deadline,
            self._waiting[admitted.service.service_name],
            self._view.profile(admitted.service.profile),
            now,
        )

    def record_answer(
        self,
        admitted: messages.Identified,
        answered: outcomes.Answered,
    ) -> None:
        """End the outage of a server that answered, and wake its waiters."""
        if self._outages:
            outage = self._outages.pop(_owner(admitted, answered), None)
            if outage is not None:
                outage.ended.set()

    async def wait(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
        earlier_polls: int,
    ) -> bool:
        """Wait one backoff step; return True if the owner is new or back."""
        service = admitted.service.service_name
        max_delay_ms = min(MAX_POLL_MS, INITIAL_POLL_MS * 2**earlier_polls)
        delay_ms = 1 + max_delay_ms * self._rng.random()
        self._waiting[service] += 1
        try:
            return await self._poll(admitted, failure, delay_ms)
        finally:
            self._waiting[service] -= 1

    async def _poll(
        self,
        admitted: messages.Identified,
        failure: outcomes.Failure,
        delay_ms: float,
    ) -> bool:
        outage = self._outages.get(_owner(admitted, failure))
        if outage is None:
            return True
        try:
            async with asyncio.timeout(delay_ms / clock.MILLIS_PER_SECOND):
                await outage.ended.wait()
        except TimeoutError:
            if not self._has_moved(admitted, failure.destination.server):
                return False
        outage.ended.set()
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

    def _record_failure(self, owner: _Owner, now: clock.Millis) -> OwnerOutage:
        outage = self._outages.get(owner)
        if outage is None or now - outage.last_failure > OUTAGE_EXPIRY_MS:
            outage = OwnerOutage(now, now, asyncio.Event())
            self._outages[owner] = outage
        outage.last_failure = now
        return outage


def _owner(
    admitted: messages.Identified,
    outcome: outcomes.Outcome,
) -> _Owner:
    return admitted.service.service_name, outcome.destination.server
