"""Run the attempts of a request, with retries and owner failover."""

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
    result_codes,
    retries,
)
from sycamoreferry_ports import http_forward
from sycamoreferry_router import (
    crash_guard,
    messages,
    metrics,
    owner_watch,
    target_dispatcher,
    time_limits,
    traces,
    view,
)
from sycamoreferry_router.filters import (
    admit,
    forward,
    resolve,
    select,
    verify,
)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the collaborators that running attempts needs."""

    instance_view: view.InstanceView
    clock: clock.Clock
    forwarder: http_forward.HttpForwarder
    origin: forward.Origin
    guard: crash_guard.CrashGuard
    metrics: metrics.Metrics
    rng: random.Random
    time_limits: time_limits.TimeLimits


@dataclasses.dataclass(slots=True)
class _Progress:
    """Record how far a request has come."""

    attempt: retries.Attempt
    # The server of the latest attempt, unless it certainly did not run.
    sent_to: outcomes.Destination | None = None

    def failure(self) -> outcomes.Failure:
        """Return the failure to report if the request is stopped now."""
        if self.sent_to is None:
            return self.attempt.final_failure(admit.leaving())
        return outcomes.Unknown(
            result_codes.ResultCode.OUTCOME_UNKNOWN,
            admit.RETRY_AFTER_MS,
            self.sent_to,
        )


class AttemptRunner:
    """Send requests to servers and retry failures within the budget."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._dispatcher = target_dispatcher.TargetDispatcher(
            dependencies.instance_view,
            dependencies.clock,
            select.Selector(dependencies.origin.data_centre, dependencies.rng),
            dependencies.rng,
            dependencies.time_limits,
        )
        self._owner_watch = owner_watch.OwnerWatch(
            dependencies.instance_view,
            dependencies.clock,
            dependencies.rng,
        )
        self._budgets: dict[ids.ServiceName, retries.RetryBudget] = {}

    async def run(
        self,
        admitted: messages.Identified,
    ) -> outcomes.Outcome:
        """Attempt the request until it is answered or retries are exhausted."""
        progress = _Progress(
            retries.Attempt(0, admitted.idempotent, admitted.deadline),
        )
        try:
            async with self._dependencies.time_limits.limit():
                return await self._run(admitted, progress)
        except time_limits.TimeLimitError:
            return progress.failure()
        except asyncio.CancelledError:
            if not admitted.incoming.holder.is_refused:
                raise
            # Cancelled to free its memory, not because the caller left.
            _uncancel()
            return progress.attempt.final_failure(
                admit.overloaded(self._dependencies.rng)
            )

    async def _run(
        self,
        admitted: messages.Identified,
        progress: _Progress,
    ) -> outcomes.Outcome:
        self._earn_retry_budget(admitted)
        tried: frozenset[ids.ServerId] = frozenset()
        while True:
            outcome = await self._try_once(admitted, tried, progress)
            if isinstance(outcome, outcomes.Answered):
                self._owner_watch.record_answer(admitted, outcome)
                return outcome
            final_failure = await self._wait_before_retry(
                outcome, progress.attempt, admitted
            )
            if final_failure is not None:
                return final_failure
            progress.attempt = progress.attempt.after(outcome)
            tried |= {outcome.destination.server}

    async def _wait_before_retry(
        self,
        failure: outcomes.Failure,
        attempt: retries.Attempt,
        admitted: messages.Identified,
    ) -> outcomes.Failure | None:
        """Wait before the next attempt, or return the final failure."""
        if admitted.shard is not None and owner_wait.is_missing_owner(failure):
            return await self._wait_for_owner(failure, attempt, admitted)
        decision = self._decide(failure, attempt, admitted)
        if isinstance(decision, retries.GiveUp):
            return decision.failure
        await asyncio.sleep(clock.seconds(decision.delay_ms))
        return None

    async def _wait_for_owner(
        self,
        failure: outcomes.Failure,
        attempt: retries.Attempt,
        admitted: messages.Identified,
    ) -> outcomes.Failure | None:
        polls = 0
        while True:
            decision = self._owner_watch.decide(
                self._bounded(admitted), failure
            )
            if isinstance(decision, owner_wait.RetryLater):
                delayed = dataclasses.replace(
                    failure,
                    retry_after_ms=decision.retry_after_ms,
                )
                return attempt.final_failure(delayed)
            if await self._owner_watch.wait(admitted, failure, polls):
                return None
            # Spending a retry token lets one waiting request probe the server.
            if self._spend_retry_token(admitted.service.service_name):
                return None
            polls += 1

    def _spend_retry_token(self, service: ids.ServiceName) -> bool:
        if not self._budgets[service].has_token:
            return False
        self._budgets[service] = self._budgets[service].spend()
        self._dependencies.metrics.retries.inc({'service': service})
        return True

    def _policy(self, admitted: messages.Identified) -> profiles.Retries:
        return self._dependencies.instance_view.profile(
            admitted.service.profile
        ).retries

    def _earn_retry_budget(self, admitted: messages.Identified) -> None:
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
        deadline = self._dependencies.time_limits.bound(attempt.deadline)
        decision = retries.decide_retry(
            failure,
            dataclasses.replace(attempt, deadline=deadline),
            self._policy(admitted),
            self._budgets[service],
            self._dependencies.clock.now(),
            self._dependencies.rng.random(),
        )
        if isinstance(decision, retries.RetryAfter):
            self._spend_retry_token(service)
        return decision

    async def _try_once(
        self,
        admitted: messages.Identified,
        tried: frozenset[ids.ServerId],
        progress: _Progress,
    ) -> outcomes.Outcome:
        resolved = resolve.resolve(
            self._bounded(admitted), self._dependencies.instance_view
        )
        if isinstance(resolved, outcomes.NotRun):
            return resolved
        selected = await self._dispatcher.acquire(resolved, tried)
        if isinstance(selected, outcomes.NotRun):
            return selected
        release = functools.partial(self._dispatcher.release, selected)
        sent_at = self._dependencies.clock.now()
        progress.sent_to = selected.way
        admitted.incoming.holder.mark_forwarded()
        is_repeated = selected.server.server in tried
        try:
            outcome = await self._forward(
                dataclasses.replace(selected, is_repeated=is_repeated)
            )
        except BaseException:
            release()
            raise
        if isinstance(outcome, outcomes.NotRun):
            progress.sent_to = None
        self._dispatcher.record_outcome(selected, outcome, sent_at)
        return _release_at_end(outcome, release)

    async def _forward(
        self,
        selected: messages.Selected,
    ) -> outcomes.Outcome:
        bounded = dataclasses.replace(
            selected, identified=self._bounded(selected.identified)
        )
        with traces.start_span('ferry.forward'):
            forwarded = await forward.forward(
                bounded,
                self._dependencies.forwarder,
                self._dependencies.origin,
                self._dependencies.guard,
                self._dependencies.clock.now(),
            )
        if isinstance(forwarded, outcomes.NotRun):
            return forwarded
        return verify.verify(forwarded)

    def _bounded(self, identified: messages.Identified) -> messages.Identified:
        """Return the request with the deadline that the shutdown leaves it."""
        return dataclasses.replace(
            identified,
            deadline=self._dependencies.time_limits.bound(identified.deadline),
        )


def _uncancel() -> None:
    task = asyncio.current_task()
    if task is not None:
        task.uncancel()


def _release_at_end(
    outcome: outcomes.Outcome,
    release: typing.Callable[[], None],
) -> outcomes.Outcome:
    if isinstance(outcome, outcomes.Answered) and outcome.download is not None:
        outcome.download.on_close(release)
    else:
        release()
    return outcome
