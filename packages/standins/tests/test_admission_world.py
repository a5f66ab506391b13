import dataclasses
import pathlib
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from sycamoreferry_core import (
    admission,
    admission_actions,
    admission_claims,
    admission_events,
    admission_journal,
    admission_records,
    admission_replication,
    admission_requests,
    admission_state,
    clock,
    ids,
    records,
)
from sycamoreferry_standins import admission_callers, admission_world

NAMES = ('a', 'b', 'c', 'd')
PLACES = strategies.integers(0, 3)
FAULTS = ('none', 'down', 'slow', 'cut')
LOSSES = ('none', 'pause', 'replace')
TIMING = admission_state.Timing(
    window_ms=20_000,
    limit_without_log_ms=5000,
    detection_ms=400,
    batch_ms=20,
)
TRACES = sorted(
    (pathlib.Path(__file__).parent / 'traces' / 'admission').glob('*.jsonl')
)

Patch = typing.Callable[[pytest.MonkeyPatch], None]


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Break what can break, while callers repeat a request.

    Places count from the owner: 0 is the owner, 1 its deputy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = admission_world.World(NAMES, TIMING)
        self.callers = admission_callers.Callers(self.world)
        self.world.advance(1500)
        self.joined = len(NAMES)
        self.key = 'k0'

    def instance_at(self, place: int) -> ids.InstanceId:
        nodes = self.world.nodes
        newest = max(
            (node.state.journal for node in nodes.values() if node.alive),
            key=lambda journal: journal.next_offset,
        )
        holders = [newest.claim.owner, newest.claim.deputy]
        alive = [name for name, node in nodes.items() if node.alive]
        others = [name for name in alive if name not in holders]
        line = [name for name in holders if name in alive] + others
        return line[place % len(line)]

    @stateful.rule(
        fault=strategies.sampled_from(FAULTS),
        inside=strategies.sets(PLACES, min_size=1, max_size=2),
        through=PLACES,
        ending=strategies.sampled_from(admission_records.Ending),
        run_ms=strategies.sampled_from((5, 300, 3000)),
        wait=strategies.sampled_from((0, 3, 30, 500)),
        loss=strategies.sampled_from(LOSSES),
        healed=strategies.booleans(),
        rest=strategies.sampled_from((60, 1500, 3000, 9000)),
    )
    def repeat_across_a_fault(
        self,
        fault: str,
        inside: set[int],
        through: int,
        ending: admission_records.Ending,
        run_ms: int,
        wait: int,
        loss: str,
        healed: bool,
        rest: int,
    ) -> None:
        self.key = f'k{len(self.callers.requests)}'
        lost = [self.instance_at(place) for place in sorted(inside)]
        self.make_fault(fault, inside)
        self.world.advance(wait)
        self.callers.request(
            self.key, self.instance_at(through), ending, run_ms
        )
        self.world.advance(wait)
        for name in lost:
            self.lose(loss, name)
        if healed:
            self.mend()
        self.world.advance(rest)
        self.repeat([3, 2, 1, 0], wait)

    @stateful.rule(
        places=strategies.permutations((0, 1, 2, 3)),
        wait=strategies.sampled_from((0, 3, 30, 500)),
    )
    def repeat(self, places: list[int], wait: int) -> None:
        names = [self.instance_at(place) for place in places]
        for name in names:
            ending = admission_records.Ending.ANSWERED
            self.callers.request(self.key, name, ending)
            self.world.advance(wait)

    def make_fault(self, fault: str, inside: set[int]) -> None:
        if fault == 'down':
            self.world.faults.down = True
        elif fault == 'slow':
            self.world.faults.append_ms = 2000
        elif fault == 'cut':
            self.cut_off(inside)

    def lose(self, loss: str, name: ids.InstanceId) -> None:
        if loss == 'pause':
            self.world.pause(name)
        elif loss == 'replace':
            self.world.kill(name)
            self.joined += 1
            self.world.add_node(ids.InstanceId(f'new-{self.joined}'))

    def mend(self) -> None:
        self.world.cuts.clear()
        self.world.faults = admission_world.LogFaults()
        for node in self.world.nodes.values():
            node.cut_from_log = False

    @stateful.rule(duration=strategies.sampled_from((4, 10, 60, 500, 3000)))
    def advance(self, duration: int) -> None:
        self.world.advance(duration)

    @stateful.rule(
        down=strategies.sampled_from((False, False, True)),
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

    @stateful.rule(places=strategies.sets(PLACES, min_size=1, max_size=2))
    def cut_off(self, places: set[int]) -> None:
        inside = {self.instance_at(place) for place in places}
        for name in inside:
            self.world.nodes[name].cut_from_log = True
            for other in self.world.nodes.keys() - inside:
                self.world.cuts.add(frozenset((name, other)))

    @stateful.rule(place=PLACES, other=PLACES)
    def cut_pair(self, place: int, other: int) -> None:
        if place != other:
            pair = (self.instance_at(place), self.instance_at(other))
            self.world.cuts.add(frozenset(pair))

    @stateful.rule(wait=strategies.sampled_from((0, 60, 3000)))
    def heal(self, wait: int) -> None:
        self.mend()
        for name, node in self.world.nodes.items():
            if node.paused:
                self.world.resume(name)
        self.world.advance(wait)

    @stateful.rule(repeat=strategies.booleans())
    def change_repeats(self, repeat: bool) -> None:
        self.world.repeat_messages = repeat

    @stateful.invariant()
    def nothing_runs_twice(self) -> None:
        assert not self.callers.doubled_runs(TIMING.window_ms)


def test_nothing_runs_twice() -> None:
    stateful.run_state_machine_as_test(
        AdmissionMachine,
        settings=hypothesis.settings(
            max_examples=60,
            stateful_step_count=15,
        ),
    )


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
    breaks_without: tuple[str, ...] = ()


class Trace(typing.NamedTuple):
    steps: list[Step]
    outcome: Outcome


def _load(path: pathlib.Path) -> Trace:
    lines = path.read_bytes().splitlines()
    return Trace(
        [msgspec.json.decode(line, type=Step) for line in lines[:-1]],
        msgspec.json.decode(lines[-1], type=Outcome),
    )


def _play(trace: Trace) -> admission_callers.Callers:
    world = admission_world.World(NAMES, TIMING)
    callers = admission_callers.Callers(world)
    for step in trace.steps:
        world.advance(step.at - world.now)
        _change(world, step)
        if step.request:
            callers.request(
                step.request,
                ids.InstanceId(step.through),
                step.ending,
                step.run_ms,
            )
    world.advance(3000)
    return callers


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


def _count_runs(callers: admission_callers.Callers) -> dict[str, int]:
    counts: dict[str, int] = {}
    for run in callers.runs:
        counts[run.key] = counts.get(run.key, 0) + 1
    return counts


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_stated(path: pathlib.Path) -> None:
    trace = _load(path)
    callers = _play(trace)
    expected = [step.expect for step in trace.steps if step.request]
    assert [made.verdict for made in callers.requests] == expected
    assert _count_runs(callers) == trace.outcome.runs


def _without_read_back(patch: pytest.MonkeyPatch) -> None:
    def flush_and_admit(
        current: admission_state.PartitionState,
        now: clock.Millis,
    ) -> admission_state.Decision:
        decision = flush(current, now)
        return decision.then(
            lambda state, _: admission_requests.admit_waiting(
                state,
                tuple(state.owner.waiting.values()),
            ),
            now,
        )

    flush = admission_replication.flush
    patch.setattr(admission_replication, 'flush', flush_and_admit)


def _without_void_batches(patch: pytest.MonkeyPatch) -> None:
    def fold_logged(
        current: admission_state.PartitionState,
        logged: records.LoggedRecord,
        now: clock.Millis,
    ) -> admission_state.Decision:
        folded = dataclasses.replace(
            current,
            journal=admission_journal.fold_one(current.journal, logged),
        )
        record = admission_records.decode_record(logged.payload)
        if record != current.owner.in_flight:
            return (
                fold(current, logged, now)
                if settled(folded)
                else (admission_state.Decision(folded))
            )
        return admission_requests.admit_waiting(
            admission_requests.replace_owner_state(folded, in_flight=None),
            tuple(current.owner.waiting.values()),
        )

    def settled(folded: admission_state.PartitionState) -> bool:
        return folded.owner.in_flight is None

    fold = admission._fold_logged
    patch.setattr(admission, '_fold_logged', fold_logged)


def _without_settling(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_claims, '_older_claims_expired', lambda state, now: True
    )


def _without_copies(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_claims, '_copies_under_settled_claim', lambda state: ()
    )


def _without_stopping(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_claims,
        '_end_claims_before',
        lambda state, offset: state,
    )


def _without_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_requests, 'can_copy', lambda state, now: True)


def _without_waiting_for_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        admission_state.PartitionState,
        'with_drift',
        lambda state, duration: TIMING.detection_ms,
    )


def _without_window(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(admission_journal, 'BUCKETS_SWEPT_PER_BATCH', 0)
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
    ('path', 'switch'),
    [
        (path, switch)
        for path in TRACES
        for switch in _load(path).outcome.breaks_without
    ],
    ids=lambda value: getattr(value, 'stem', value),
)
def test_trace_runs_twice_without_its_mechanism(
    path: pathlib.Path,
    switch: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    trace = _load(path)
    SWITCHES[switch](monkeypatch)
    callers = _play(trace)
    assert callers.doubled_runs(TIMING.window_ms)


def test_ask_with_another_body_is_refused() -> None:
    world = admission_world.World(NAMES, TIMING)
    world.advance(1500)
    owner = ids.InstanceId('a')
    callers = admission_callers.Callers(world)
    callers.request('k', owner, admission_records.Ending.ANSWERED)
    world.advance(500)
    other = admission_events.AdmissionRequested(
        ids.AdmissionKey('k'),
        ids.Fingerprint('another'),
        ids.AttemptId('x'),
        2000,
    )
    state = world.nodes[owner].state
    answered = admission_requests.handle_request(
        state, other, clock.Millis(world.now)
    )
    assert answered.actions == (
        admission_actions.Answer(
            other.attempt,
            admission_actions.Verdict.REUSED,
        ),
    )
