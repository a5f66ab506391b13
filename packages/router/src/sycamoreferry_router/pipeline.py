"""Pass a request through the filters, in this order."""

import asyncio
import dataclasses
import random
import secrets
import typing

from sycamoreferry_core import clock, ids, outcomes, retries
from sycamoreferry_platform import http_forward
from sycamoreferry_router import (
    crash_guard,
    messages,
    metrics,
    settings,
    traces,
    view,
)
from sycamoreferry_router.filters import (
    accept,
    admit,
    forward,
    identify,
    resolve,
    select,
    verify,
)

REQUEST_ID_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Parts:
    """Hold what the filters work with."""

    chosen: settings.Settings
    seen: view.InstanceView
    clock: clock.Clock
    forwarder: http_forward.HttpForwarder
    origin: forward.Origin
    guard: crash_guard.CrashGuard
    metrics: metrics.Metrics
    chance: random.Random


class Pipeline:
    """Serve requests: accept, identify, admit, then try until it ends."""

    def __init__(
        self,
        parts: Parts,
        gates: typing.Sequence[admit.Gate] = (),
    ) -> None:
        self._parts = parts
        self._selector = select.Selector(parts.chance)
        self._budgets: dict[ids.ServiceName, retries.RetryBudget] = {}
        self._known = identify.Known(
            services={
                service.name: service for service in parts.chosen.services
            },
            bounds=parts.chosen.bounds,
            seen=parts.seen,
        )
        self._readiness = admit.ReadinessGate(parts.seen)
        self._gates = (self._readiness, *gates)

    @property
    def leaving(self) -> bool:
        """Tell whether new requests are refused because of a shutdown."""
        return self._readiness.leaving

    def start_leaving(self) -> None:
        """Refuse new requests from now on."""
        self._readiness.leaving = True

    async def serve(self, incoming: messages.Incoming) -> outcomes.Outcome:
        """Return how the request ended."""
        with traces.hop('ferry.request', incoming.headers):
            outcome = await self._serve(incoming)
        service = self._known.services.get(incoming.service)
        self._parts.metrics.count_outcome(
            service.name if service else 'unknown',
            outcome,
        )
        return outcome

    async def _serve(self, incoming: messages.Incoming) -> outcomes.Outcome:
        accepted = accept.accept(incoming, self._known.bounds)
        if isinstance(accepted, outcomes.NotRun):
            return accepted
        identified = identify.identify(accepted, self._known, _new_request_id)
        if isinstance(identified, outcomes.NotRun):
            return identified
        return await self._pass_gates(identified, self._gates)

    async def _pass_gates(
        self,
        identified: messages.Identified,
        gates: typing.Sequence[admit.Gate],
    ) -> outcomes.Outcome:
        if not gates:
            return await self._try_until_ended(identified)
        gate, *others = gates
        admitted = await gate.enter(identified)
        if not isinstance(admitted, messages.Identified):
            return admitted
        outcome = await self._pass_gates(admitted, others)
        await gate.leave(admitted, outcome)
        return outcome

    async def _try_until_ended(
        self,
        admitted: messages.Identified,
    ) -> outcomes.Outcome:
        service = admitted.service.service_name
        policy = self._parts.seen.profile(admitted.service.profile).retries
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.RetryBudget(float(policy.budget_floor))
        self._budgets[service] = budget.earn(policy)
        attempt = retries.Attempt(0, admitted.idempotent, admitted.deadline)
        while True:
            outcome = await self._try_once(admitted)
            if isinstance(outcome, outcomes.Answered):
                return outcome
            decided = retries.decide_retry(
                outcome,
                attempt,
                policy,
                self._budgets[service],
                self._parts.clock.now(),
                self._parts.chance.random(),
            )
            if isinstance(decided, retries.GiveUp):
                return decided.failure
            self._budgets[service] = self._budgets[service].spend()
            self._parts.metrics.retries.inc({'service': service})
            await asyncio.sleep(clock.seconds(decided.delay_ms))
            attempt = dataclasses.replace(attempt, number=attempt.number + 1)

    async def _try_once(
        self,
        admitted: messages.Identified,
    ) -> outcomes.Outcome:
        resolved = resolve.resolve(admitted, self._parts.seen)
        if isinstance(resolved, outcomes.NotRun):
            return resolved
        selected = self._selector.select(resolved)
        if isinstance(selected, outcomes.NotRun):
            return selected
        forwarded = await self._forward(selected)
        if isinstance(forwarded, outcomes.NotRun):
            return forwarded
        return verify.verify(forwarded)

    async def _forward(
        self,
        selected: messages.Selected,
    ) -> messages.Forwarded | outcomes.NotRun:
        self._selector.enter(selected.server.server)
        try:
            with traces.hop('ferry.forward'):
                return await forward.forward(
                    selected,
                    self._parts.forwarder,
                    self._parts.origin,
                    self._parts.guard,
                    self._parts.clock.now(),
                )
        finally:
            self._selector.leave(selected.server.server)


def _new_request_id() -> ids.RequestId:
    return ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
