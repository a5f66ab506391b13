"""Send a request to servers until it is answered or given up on."""

import asyncio
import dataclasses
import functools
import random
import typing

from sycamoreferry_core import (
    clock,
    ids,
    outcomes,
    owner_wait,
    profiles,
    retries,
)
from sycamoreferry_ports import http_forward
from sycamoreferry_router import (
    crash_guard,
    messages,
    metrics,
    owner_watch,
    rooms,
    traces,
    view,
)
from sycamoreferry_router.filters import forward, resolve, select, verify


@dataclasses.dataclass(frozen=True)
class Parts:
    """Hold what attempts work with."""

    seen: view.InstanceView
    clock: clock.Clock
    forwarder: http_forward.HttpForwarder
    origin: forward.Origin
    guard: crash_guard.CrashGuard
    metrics: metrics.Metrics
    chance: random.Random


class Attempts:
    """Try once, then decide between another attempt and the end."""

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._rooms = rooms.Rooms(
            parts.seen,
            parts.clock,
            select.Selector(parts.origin.data_centre, parts.chance),
            parts.chance,
        )
        self._owners = owner_watch.OwnerWatch(
            parts.seen,
            parts.clock,
            parts.chance,
        )
        self._budgets: dict[ids.ServiceName, retries.RetryBudget] = {}

    async def run(
        self,
        admitted: messages.Identified,
    ) -> outcomes.Outcome:
        """Send the request until it is answered or given up on."""
        attempt = retries.Attempt(0, admitted.idempotent, admitted.deadline)
        self._earn(admitted)
        tried: frozenset[ids.ServerId] = frozenset()
        while True:
            outcome = await self._try_once(admitted, tried)
            if isinstance(outcome, outcomes.Answered):
                self._owners.note_answer(admitted, outcome)
                return outcome
            given_up = await self._pause(outcome, attempt, admitted)
            if given_up is not None:
                return given_up
            attempt = attempt.after(outcome)
            tried |= {outcome.way.server}

    async def _pause(
        self,
        failure: outcomes.Failure,
        attempt: retries.Attempt,
        admitted: messages.Identified,
    ) -> outcomes.Failure | None:
        """Wait before the next attempt, or return what ends the request."""
        if admitted.shard is not None and owner_wait.is_missing_owner(failure):
            return await self._wait_for_owner(failure, attempt, admitted)
        decided = self._decide(failure, attempt, admitted)
        if isinstance(decided, retries.GiveUp):
            return decided.failure
        await asyncio.sleep(clock.seconds(decided.delay_ms))
        return None

    async def _wait_for_owner(
        self,
        failure: outcomes.Failure,
        attempt: retries.Attempt,
        admitted: messages.Identified,
    ) -> outcomes.Failure | None:
        looks = 0
        while True:
            decided = self._owners.decide(admitted, failure)
            if isinstance(decided, owner_wait.ComeBack):
                late = dataclasses.replace(
                    failure,
                    retry_after_ms=decided.retry_after_ms,
                )
                return attempt.conclude(late)
            if await self._owners.wait(admitted, failure, looks):
                return None
            # One of those that wait asks the server again, for a token.
            if self._spend(admitted.service.service_name):
                return None
            looks += 1

    def _spend(self, service: ids.ServiceName) -> bool:
        if not self._budgets[service].has_token:
            return False
        self._budgets[service] = self._budgets[service].spend()
        self._parts.metrics.retries.inc({'service': service})
        return True

    def _policy(self, admitted: messages.Identified) -> profiles.Retries:
        return self._parts.seen.profile(admitted.service.profile).retries

    def _earn(self, admitted: messages.Identified) -> None:
        service = admitted.service.service_name
        policy = self._policy(admitted)
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(float(policy.budget_floor))
        self._budgets[service] = budget.earn(policy)

    def _decide(
        self,
        failure: outcomes.Failure,
        attempt: retries.Attempt,
        admitted: messages.Identified,
    ) -> retries.RetryAfter | retries.GiveUp:
        service = admitted.service.service_name
        decided = retries.decide_retry(
            failure,
            attempt,
            self._policy(admitted),
            self._budgets[service],
            self._parts.clock.now(),
            self._parts.chance.random(),
        )
        if isinstance(decided, retries.RetryAfter):
            self._spend(service)
        return decided

    async def _try_once(
        self,
        admitted: messages.Identified,
        tried: frozenset[ids.ServerId],
    ) -> outcomes.Outcome:
        resolved = resolve.resolve(admitted, self._parts.seen)
        if isinstance(resolved, outcomes.NotRun):
            return resolved
        selected = await self._rooms.take(resolved, tried)
        if isinstance(selected, outcomes.NotRun):
            return selected
        leave = functools.partial(self._rooms.leave, selected)
        sent_at = self._parts.clock.now()
        try:
            outcome = await self._forward(selected)
        except BaseException:
            leave()
            raise
        self._rooms.learn(selected, outcome, sent_at)
        return _leave_at_end(outcome, leave)

    async def _forward(
        self,
        selected: messages.Selected,
    ) -> outcomes.Outcome:
        with traces.hop('ferry.forward'):
            forwarded = await forward.forward(
                selected,
                self._parts.forwarder,
                self._parts.origin,
                self._parts.guard,
                self._parts.clock.now(),
            )
        if isinstance(forwarded, outcomes.NotRun):
            return forwarded
        return verify.verify(forwarded)


def _leave_at_end(
    outcome: outcomes.Outcome,
    leave: typing.Callable[[], None],
) -> outcomes.Outcome:
    if isinstance(outcome, outcomes.Answered) and outcome.download is not None:
        outcome.download.when_closed(leave)
    else:
        leave()
    return outcome
