"""Run requests through the filters in a fixed order."""

import dataclasses
import random
import secrets
import typing

from sycamoreferry_core import clock, ids, outcomes, result_codes
from sycamoreferry_ports import http_forward
from sycamoreferry_router import (
    attempts,
    crash_guard,
    logs,
    messages,
    metrics,
    settings,
    time_limits,
    traces,
    view,
)
from sycamoreferry_router.filters import accept, admit, forward, identify

REQUEST_ID_BYTES = 8
_log = logs.part_logger('pipeline')
_OUTCOME_UNKNOWN = result_codes.ResultCode.OUTCOME_UNKNOWN


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the collaborators of the filters."""

    config: settings.Settings
    instance_view: view.InstanceView
    clock: clock.Clock
    forwarder: http_forward.HttpForwarder
    origin: forward.Origin
    guard: crash_guard.CrashGuard
    metrics: metrics.Metrics
    rng: random.Random


class Pipeline:
    """Serve requests: accept, identify and admit them, then run attempts."""

    def __init__(
        self,
        dependencies: Dependencies,
        gates: typing.Sequence[admit.Gate] = (),
    ) -> None:
        self._dependencies = dependencies
        self.time_limits = time_limits.TimeLimits(dependencies.clock)
        self._attempts = attempts.AttemptRunner(
            attempts.Dependencies(
                instance_view=dependencies.instance_view,
                clock=dependencies.clock,
                forwarder=dependencies.forwarder,
                origin=dependencies.origin,
                guard=dependencies.guard,
                metrics=dependencies.metrics,
                rng=dependencies.rng,
                time_limits=self.time_limits,
            ),
        )
        self._identify_context = identify.IdentifyContext(
            services={
                service.name: service
                for service in dependencies.config.services
            },
            bounds=dependencies.config.bounds,
            instance_view=dependencies.instance_view,
        )
        self._readiness = admit.ReadinessGate(dependencies.instance_view)
        self._gates = (self._readiness, *gates)

    @property
    def draining(self) -> bool:
        """Return True if new requests are refused because of a shutdown."""
        return self._readiness.draining

    def start_draining(self, ends_at: clock.Millis) -> None:
        """Reject new requests; answer those in flight by a time."""
        self._readiness.draining = True
        self.time_limits.end_by(ends_at)

    async def serve(self, incoming: messages.Incoming) -> outcomes.Outcome:
        """Run a request to its outcome and count it in the metrics."""
        with traces.start_span('ferry.request', incoming.headers):
            outcome = await self._serve_catching_errors(incoming)
        service = self._identify_context.services.get(incoming.service)
        self._dependencies.metrics.count_outcome(
            service.name if service else 'unknown',
            outcome,
        )
        return outcome

    async def _serve_catching_errors(
        self,
        incoming: messages.Incoming,
    ) -> outcomes.Outcome:
        try:
            return await self._serve(incoming)
        except Exception as error:
            # The request may have run already, so its outcome is unknown.
            _log.error(
                'internal error while serving a request; outcome unknown: {!r}',
                error,
            )
            return outcomes.Unknown(_OUTCOME_UNKNOWN)

    async def _serve(self, incoming: messages.Incoming) -> outcomes.Outcome:
        accepted = accept.accept(incoming, self._identify_context.bounds)
        if isinstance(accepted, outcomes.NotRun):
            return accepted
        identified = identify.identify(
            accepted, self._identify_context, _new_request_id
        )
        if isinstance(identified, outcomes.NotRun):
            return identified
        return await self._pass_gates(identified, self._gates)

    async def _pass_gates(
        self,
        identified: messages.Identified,
        gates: typing.Sequence[admit.Gate],
    ) -> outcomes.Outcome:
        if not gates:
            return await self._attempts.run(identified)
        gate, *others = gates
        admitted = await self._enter(gate, identified)
        if not isinstance(admitted, messages.Identified):
            return admitted
        try:
            outcome = await self._pass_gates(admitted, others)
        except BaseException:
            # The caller disconnected, possibly while a server ran the request.
            await gate.leave(admitted, outcomes.Unknown(_OUTCOME_UNKNOWN))
            raise
        await gate.leave(admitted, outcome)
        return outcome

    async def _enter(
        self,
        gate: admit.Gate,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        try:
            async with self.time_limits.limit():
                return await gate.enter(identified)
        except time_limits.TimeLimitError:
            return admit.leaving()


def _new_request_id() -> ids.RequestId:
    return ids.RequestId(secrets.token_hex(REQUEST_ID_BYTES))
