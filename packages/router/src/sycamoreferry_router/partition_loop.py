"""Run one admission partition; the core package decides."""

import asyncio
import functools
import typing

from sycamoreferry_core import (
    admission,
    admission_actions,
    admission_events,
    admission_records,
    admission_routing,
    admission_state,
    clock,
    ids,
    state,
)
from sycamoreferry_ports import log_port
from sycamoreferry_router import logs, partition_calls

TICK_MS = 25
IDLE_TICK_MS = 50
READ_RETRY_MS = 200

_AnswerFuture = asyncio.Future[admission_actions.Answer]

_log = logs.part_logger('admission')


class PartitionLoop:
    """Feed events to one partition and carry out the resulting actions."""

    def __init__(
        self,
        number: int,
        stream: log_port.LogService,
        parts: partition_calls.Dependencies,
    ) -> None:
        self._number = number
        self.calls = partition_calls.PartitionCalls(number, stream, parts)
        self._parts = parts
        self._follow_started = asyncio.Event()
        self._ranked_instances: typing.Mapping[
            ids.InstanceId, state.InstanceState
        ] = {}
        self._ranking: tuple[admission_events.Member, ...] = ()
        self._answers: dict[ids.AttemptId, list[_AnswerFuture]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._state = admission_state.start(
            parts.instance_id,
            parts.timing,
            parts.clock.now(),
        )

    @property
    def current(self) -> admission_state.PartitionState:
        """Return the partition state after the latest event."""
        return self._state

    @property
    def ranking(self) -> tuple[admission_events.Member, ...]:
        """Return the joined instances in the partition's ranking."""
        instances = self._parts.instance_view.log_state.instances
        if instances is not self._ranked_instances:
            self._ranked_instances = instances
            self._ranking = admission_routing.rank_instances(
                self._number,
                instances.values(),
            )
        return self._ranking

    async def run(self) -> None:
        """Read the stream and feed ticks until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_ticks())
            group.create_task(self._run_reads())

    async def request_admission(
        self,
        request: admission_events.AdmissionRequested,
    ) -> admission_actions.Answer:
        """Feed an admission request and wait for its answer."""
        self.start_following()
        answered: _AnswerFuture = asyncio.get_running_loop().create_future()
        self._answers.setdefault(request.attempt, []).append(answered)
        self.feed(request)
        return await answered

    def conclude(self, concluded: admission_records.Concluded) -> bool:
        """Record how an attempt ended; return whether this instance serves."""
        self.feed(admission_events.AttemptEnded(concluded))
        return self._state.is_serving

    def hold_copy(self, event: admission_events.CopyRequested) -> bool:
        """Hold a copy of admissions for the owner; return whether held."""
        self.start_following()
        started_actions = self.feed(event)
        return any(
            isinstance(action, admission_actions.AnswerCopy) and action.held
            for action in started_actions
        )

    def yield_claims(
        self,
        event: admission_events.YieldRequested,
    ) -> tuple[admission_records.Admitted, ...]:
        """Give up older claims; return the admissions held under them."""
        for action in self.feed(event):
            if isinstance(action, admission_actions.ConfirmYield):
                return action.admitted
        return ()

    def start_following(self) -> None:
        """Start to read the stream; a repeated call has no effect."""
        self._follow_started.set()

    def feed(
        self,
        event: admission_events.Event,
    ) -> tuple[admission_actions.Action, ...]:
        """Update the state for an event and start the resulting actions."""
        before = self._state
        decision = admission.decide(event, before, self._parts.clock.now())
        self._state = decision.state
        self._log_change(before)
        for action in decision.actions:
            carry_out(action, self)
        return decision.actions

    def resolve_waiting(self, action: admission_actions.Answer) -> None:
        """Resolve the futures that wait for the answer to an attempt."""
        for waiting in self._answers.pop(action.attempt, ()):
            if not waiting.done():
                waiting.set_result(action)

    def start_call(self, work: partition_calls.EventCoroutine) -> None:
        """Start a call in a task and feed the event that it returns."""
        task = asyncio.get_running_loop().create_task(self._finish(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _finish(self, work: partition_calls.EventCoroutine) -> None:
        event = await work
        if event is not None:
            self.feed(event)

    async def _run_ticks(self) -> None:
        while True:
            waiting = self._state.owner.waiting
            tick_ms = TICK_MS if waiting else IDLE_TICK_MS
            await asyncio.sleep(clock.seconds(tick_ms))
            if not self._parts.instance_view.caught_up:
                continue
            ranking = self.ranking
            if admission_routing.is_follower(ranking, self._parts.instance_id):
                self.start_following()
            if ranking != self._state.ranking:
                self.feed(admission_events.MembersChanged(ranking))
            if self._follow_started.is_set():
                self.feed(admission_events.Ticked())

    async def _run_reads(self) -> None:
        await self._follow_started.wait()
        while True:
            current = self._state
            event = await self.calls.read(
                current.journal.next_offset,
                self._parts.read_wait_ms if current.is_log_current else 0,
            )
            self.feed(event)
            if isinstance(event, admission_events.LogFailed):
                await asyncio.sleep(clock.seconds(READ_RETRY_MS))

    def _log_change(self, before: admission_state.PartitionState) -> None:
        claim = self._state.journal.claim
        if claim != before.journal.claim:
            _log.info(
                'partition {}: owner {}, deputy {}',
                self._number,
                claim.owner,
                claim.deputy or 'none',
            )
        if before.is_log_available and not self._state.is_log_available:
            _log.warning('partition {}: the log does not answer', self._number)


@functools.singledispatch
def carry_out(action: object, loop: PartitionLoop) -> None:
    """Start the calls for an action; raise TypeError if unknown."""
    raise TypeError(f'no handler is registered for the action {action!r}')


@carry_out.register
def _carry_out_answer(
    action: admission_actions.Answer,
    loop: PartitionLoop,
) -> None:
    loop.resolve_waiting(action)


@carry_out.register
def _carry_out_append(
    action: admission_actions.Append,
    loop: PartitionLoop,
) -> None:
    loop.start_call(loop.calls.append(action))


@carry_out.register
def _carry_out_copy(
    action: admission_actions.SendCopy,
    loop: PartitionLoop,
) -> None:
    loop.start_call(loop.calls.send_copy(action))


@carry_out.register
def _carry_out_ask_yield(
    action: admission_actions.RequestYield,
    loop: PartitionLoop,
) -> None:
    for holder in action.holders:
        loop.start_call(loop.calls.ask_yield(holder, action.claim))


@carry_out.register
def _carry_out_probe(
    action: admission_actions.Probe,
    loop: PartitionLoop,
) -> None:
    loop.start_call(loop.calls.probe(action))


@carry_out.register(admission_actions.AnswerCopy)
@carry_out.register(admission_actions.ConfirmYield)
def _carry_out_reply(
    action: admission_actions.Action,
    loop: PartitionLoop,
) -> None:
    """Do nothing: the call that fed the event returns the reply."""
