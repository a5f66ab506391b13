import pathlib
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from sycamoreferry_core import (
    admission_actions,
    admission_asks,
    admission_claims,
    admission_events,
    admission_journal,
    admission_journaling,
    admission_records,
    admission_state,
    clock,
    ids,
)
from sycamoreferry_standins import admission_world

NAMES = ('a', 'b', 'c', 'd')
KEYS = ('k1', 'k2')
TIMING = admission_state.Timing(
    window_ms=20_000,
    limit_without_log_ms=5000,
    detection_ms=400,
    batch_ms=20,
)
TRACES = sorted((pathlib.Path(__file__).parent / 'traces').glob('*.jsonl'))

Patch = typing.Callable[[pytest.MonkeyPatch], None]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Break what can break, while callers repeat two requests."""

    def __init__(self) -> None:
        super().__init__()
        self.world = admission_world.World(NAMES, TIMING)
        self.world.advance(1500)

    @stateful.rule(
        key=strategies.sampled_from(KEYS),
        name=strategies.sampled_from(NAMES),
        ending=strategies.sampled_from(admission_records.Ending),
        run_ms=strategies.sampled_from((5, 300, 3000)),
        wait=strategies.sampled_from((0, 3, 30, 700)),
    )
    def request(
        self,
        key: str,
        name: str,
        ending: admission_records.Ending,
        run_ms: int,
        wait: int,
    ) -> None:
        self.world.request(key, ids.InstanceId(name), ending, run_ms)
        self.world.advance(wait)

    @stateful.rule(duration=strategies.sampled_from((4, 10, 60, 500, 3000)))
    def advance(self, duration: int) -> None:
        self.world.advance(duration)

    @stateful.rule(
        down=strategies.booleans(),
        lose_answers=strategies.booleans(),
        append_ms=strategies.sampled_from((3, 3, 150, 2000)),
    )
    def change_log(
        self,
        down: bool,
        lose_answers: bool,
        append_ms: int,
    ) -> None:
        self.world.faults = admission_world.LogFaults(
            down,
            lose_answers,
            append_ms,
        )

    @stateful.rule(
        name=strategies.sampled_from(NAMES),
        cut=strategies.booleans(),
    )
    def change_contact_with_log(self, name: str, cut: bool) -> None:
        self.world.nodes[ids.InstanceId(name)].cut_from_log = cut

    @stateful.rule(
        pair=strategies.sets(
            strategies.sampled_from(NAMES),
            min_size=2,
            max_size=2,
        ),
    )
    def change_cut(self, pair: set[str]) -> None:
        self.world.cuts ^= {frozenset(pair)}

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def change_pause(self, name: str) -> None:
        instance = ids.InstanceId(name)
        if self.world.nodes[instance].paused:
            self.world.resume(instance)
        else:
            self.world.pause(instance)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.world.kill(ids.InstanceId(name))

    @stateful.rule(repeat=strategies.booleans())
    def change_repeats(self, repeat: bool) -> None:
        self.world.repeat_messages = repeat

    @stateful.invariant()
    def nothing_runs_twice(self) -> None:
        assert not self.world.doubled_runs(TIMING.window_ms)


AdmissionMachine.TestCase.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
)
test_nothing_runs_twice = AdmissionMachine.TestCase


class Step(msgspec.Struct, kw_only=True):
    at: int
    request: str = ''
    through: str = ''
    ending: admission_records.Ending = admission_records.Ending.ANSWERED
    run_ms: int = 20
    expect: admission_actions.Verdict | None = None
    kill: str = ''
    pause: str = ''
    resume: str = ''
    join: str = ''
    cut_log: str = ''
    heal_log: str = ''
    cut: tuple[str, str] | None = None
    heal: tuple[str, str] | None = None
    log_down: bool | None = None
    append_ms: int | None = None


class Outcome(msgspec.Struct, kw_only=True):
    runs: dict[str, int]
    breaks_without: str = ''


class Trace(typing.NamedTuple):
    steps: list[Step]
    outcome: Outcome


def _load(path: pathlib.Path) -> Trace:
    lines = path.read_bytes().splitlines()
    return Trace(
        [msgspec.json.decode(line, type=Step) for line in lines[:-1]],
        msgspec.json.decode(lines[-1], type=Outcome),
    )


def _play(trace: Trace) -> admission_world.World:
    world = admission_world.World(NAMES, TIMING)
    for step in trace.steps:
        world.advance(step.at - world.now)
        _change(world, step)
    world.advance(3000)
    return world


def _change(world: admission_world.World, step: Step) -> None:
    for name, change in (
        (step.kill, world.kill),
        (step.pause, world.pause),
        (step.resume, world.resume),
        (step.join, world.add_node),
    ):
        if name:
            change(ids.InstanceId(name))
    if step.cut_log:
        world.nodes[ids.InstanceId(step.cut_log)].cut_from_log = True
    if step.heal_log:
        world.nodes[ids.InstanceId(step.heal_log)].cut_from_log = False
    if step.cut:
        world.cuts.add(frozenset(step.cut))
    if step.heal:
        world.cuts.discard(frozenset(step.heal))
    if step.log_down is not None:
        world.faults.down = step.log_down
    if step.append_ms is not None:
        world.faults.append_ms = step.append_ms
    if step.request:
        world.request(
            step.request,
            ids.InstanceId(step.through),
            step.ending,
            step.run_ms,
        )


def _count_runs(world: admission_world.World) -> dict[str, int]:
    counts: dict[str, int] = {}
    for run in world.runs:
        counts[run.key] = counts.get(run.key, 0) + 1
    return counts


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_stated(path: pathlib.Path) -> None:
    trace = _load(path)
    world = _play(trace)
    expected = [step.expect for step in trace.steps if step.request]
    assert [made.verdict for made in world.requests] == expected
    assert _count_runs(world) == trace.outcome.runs


def _without_read_back(patch: pytest.MonkeyPatch) -> None:
    def flush_and_admit(
        current: admission_state.PartitionState,
        now: clock.Millis,
    ) -> admission_state.Decision:
        decision = flush(current, now)
        return decision.then(
            lambda state, _: admission_asks.admit_waiting(
                state,
                tuple(state.owner.waiting.values()),
            ),
            now,
        )

    flush = admission_journaling.flush
    patch.setattr(admission_journaling, 'flush', flush_and_admit)


def _without_void_batches(patch: pytest.MonkeyPatch) -> None:
    def read_back(
        current: admission_state.PartitionState,
        now: clock.Millis,
    ) -> admission_state.Decision:
        batch = current.owner.in_flight
        seen = batch is not None and batch.number > 0
        return admission_asks.admit_waiting(
            current,
            tuple(current.owner.waiting.values()) if seen else (),
        )

    patch.setattr(admission_journaling, 'take_back_flight', lambda state: state)
    patch.setattr(admission_journaling, 'accept_read_back', read_back)


def _without_settling(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_claims, '_is_over', lambda state, now: True)


def _without_copies(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_claims, '_copies', lambda state: ())


def _without_stopping(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_claims,
        '_stop_before',
        lambda state, offset: state,
    )


def _without_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_asks, 'can_copy', lambda state, now: True)


def _without_waiting_for_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_state.PartitionState,
        'with_drift',
        lambda state, duration: TIMING.detection_ms,
    )


def _without_window(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_journal, 'SWEEPS_A_BATCH', 0)
    patch.setattr(
        admission_journal.Journal,
        'find',
        lambda journal, key: None,
    )


SWITCHES: dict[str, Patch] = {
    'read_back': _without_read_back,
    'void_batches': _without_void_batches,
    'settling': _without_settling,
    'copies': _without_copies,
    'stopping': _without_stopping,
    'limit': _without_limit,
    'waiting_for_limit': _without_waiting_for_limit,
    'window': _without_window,
}


@pytest.mark.parametrize(
    'path',
    [path for path in TRACES if _load(path).outcome.breaks_without],
    ids=lambda path: path.stem,
)
def test_trace_runs_twice_without_its_mechanism(
    path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    trace = _load(path)
    SWITCHES[trace.outcome.breaks_without](monkeypatch)
    world = _play(trace)
    assert world.doubled_runs(TIMING.window_ms)


def test_ask_with_another_body_is_refused() -> None:
    world = admission_world.World(NAMES, TIMING)
    world.advance(1500)
    owner = ids.InstanceId('a')
    world.request('k', owner, admission_records.Ending.ANSWERED)
    world.advance(500)
    other = admission_events.Asked(
        ids.AdmissionKey('k'),
        ids.Fingerprint('another'),
        ids.AttemptId('x'),
        2000,
    )
    state = world.nodes[owner].state
    answered = admission_asks.ask(state, other, clock.Millis(world.now))
    assert answered.actions == (
        admission_actions.Answer(
            other.attempt,
            admission_actions.Verdict.REUSED,
        ),
    )
