import dataclasses
import itertools
import operator
import pathlib
import random

import hypothesis
import msgspec
import pytest
from hypothesis import stateful, strategies

from sycamoreferry_core import (
    authority,
    clock,
    coordination,
    fold,
    links,
    orders,
    profiles,
    state,
)
from sycamoreferry_standins import grant_book
from sycamoreferry_standins.trial import faults, member, network, system

TRACES = pathlib.Path(__file__).parent / 'traces' / 'coordination.jsonl'
NOISE = network.Noise(lost=0.03, late=0.08, repeated=0.05)
WARM_UP_MS = 3000
RUN_MS = 20_000
SEEDS_PER_TEST = 10


class Trace(msgspec.Struct, frozen=True):
    name: str
    steps: tuple[faults.Step, ...]
    until: int
    limit: int = 6000
    lease: int = 1500
    authority: int = 500
    detection: int = 600
    bound: float = 0.01
    rates: dict[str, float] = {}
    breaks: tuple[str, ...] = ()
    unowned: int = 0
    least: int = 0
    reached: int = 0
    slows: tuple[str, ...] = ()
    assumption: bool = False


LOADED = [
    msgspec.json.decode(line, type=Trace)
    for line in TRACES.read_text().splitlines()
]


@dataclasses.dataclass(frozen=True)
class Switch:
    """Leave a mechanism out by replacing one attribute."""

    owner: object
    attribute: str
    replacement: object


def _extend_always(
    book: grant_book.GrantBook,
    stamp: int,
    lease_ms: int,
) -> bool:
    book._lease_end = clock.later(book._clock.now(), lease_ms)
    return True


def _no_limit(
    current: coordination.CoordinatorState,
    sent_at: clock.Millis,
) -> coordination.CoordinatorState:
    until = clock.later(sent_at, current.timing.authority_ms)
    return authority._extend(current, until)


_earlier_claims = authority.earlier_claims
_note_release = authority.note_release

SWITCHES: dict[str, Switch] = {
    'no limit without the log': Switch(authority, 'prove_by_deputy', _no_limit),
    'no wait for earlier authority': Switch(
        authority,
        'earlier_authority_end',
        lambda current: current.entered_at,
    ),
    'no wait for earlier leases': Switch(
        orders,
        'earlier_leases_expired',
        lambda current, now: True,
    ),
    'no greeting rule': Switch(
        orders,
        'knows_other_holders',
        lambda current, link, now: True,
    ),
    'owners without links': Switch(
        links,
        'may_hold_shards',
        lambda current: frozenset(),
    ),
    'past owners forgotten': Switch(
        links,
        'may_hold_shards',
        lambda current: frozenset(current.assigned_shards),
    ),
    'last unsettled term only': Switch(
        authority,
        'earlier_claims',
        lambda term: _earlier_claims(term)[-1:],
    ),
    'word without its time': Switch(
        authority,
        'note_release',
        lambda current, holder, now: _note_release(
            current, holder, clock.LONG_AGO
        ),
    ),
    'lapsed shards not told': Switch(
        orders,
        '_held_last',
        lambda current, link, missing: frozenset(),
    ),
    'any lapsed fence believed': Switch(
        orders,
        '_held_last',
        lambda current, link, missing: missing.intersection(link.lapsed_fences),
    ),
    'operator word without its time': Switch(
        authority,
        'note_cleared',
        lambda current, term, now: current,
    ),
    'word without refusal': Switch(
        member.Member,
        'release',
        lambda instance, term: True,
    ),
    'word before the promise ends': Switch(
        authority,
        'has_released',
        lambda current, term, now: True,
    ),
    'no authority check': Switch(
        coordination.CoordinatorState,
        'has_authority',
        lambda current, now: current.role is coordination.Role.COORDINATOR,
    ),
    'drift ignored': Switch(
        authority,
        'with_drift',
        lambda current, duration: duration,
    ),
    'stamp ignored': Switch(
        grant_book.GrantBook,
        '_extend',
        _extend_always,
    ),
    'order numbers ignored': Switch(
        grant_book.GrantBook,
        '_is_stale',
        lambda book, order: order.term < book.term,
    ),
    'terms ignored': Switch(
        grant_book.GrantBook,
        '_is_stale',
        lambda book, order: False,
    ),
    'leases taken as over': Switch(
        links,
        'is_leased',
        lambda current, link, now: False,
    ),
}


def _leave_out(patch: pytest.MonkeyPatch, name: str) -> None:
    switch = SWITCHES[name]
    patch.setattr(switch.owner, switch.attribute, switch.replacement)


def _replay(trace: Trace) -> system.System:
    # One owner must hold also under times that a profile is refused for,
    # since they would cost availability.
    timing = profiles.Timing.model_construct(
        limit_without_log_ms=trace.limit,
        lease_ms=trace.lease,
        authority_ms=trace.authority,
        detection_ms=trace.detection,
        clock_drift_share=trace.bound,
    )
    trial = system.System(system.Setup(timing=timing, rates=trace.rates), 1)
    faults.replay(trial, trace.steps)
    trial.world.run_until(trace.until)
    return trial


@pytest.mark.parametrize(
    'trace',
    [trace for trace in LOADED if not trace.assumption],
    ids=lambda trace: trace.name,
)
def test_trace_has_one_owner(trace: Trace) -> None:
    trial = _replay(trace)
    assert not trial.violations
    assert not trial.wrong_fences
    longest = max(trial.unowned_ms.values())
    assert trace.least <= longest <= trace.unowned
    if trace.reached:
        assert min(trial.unowned_ms.values()) <= trace.reached


@pytest.mark.parametrize(
    ('trace', 'left_out'),
    [
        pytest.param(trace, left_out, id=f'{trace.name}: {left_out}')
        for trace in LOADED
        for left_out in trace.breaks
    ],
)
def test_trace_needs_mechanism(
    trace: Trace,
    left_out: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _leave_out(monkeypatch, left_out)
    assert _replay(trace).violations


@pytest.mark.parametrize(
    ('trace', 'left_out'),
    [
        pytest.param(trace, left_out, id=f'{trace.name}: {left_out}')
        for trace in LOADED
        for left_out in trace.slows
    ],
)
def test_reached_servers_wait_without_mechanism(
    trace: Trace,
    left_out: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    _leave_out(monkeypatch, left_out)
    assert min(_replay(trace).unowned_ms.values()) > trace.reached


@pytest.mark.parametrize(
    'trace',
    [trace for trace in LOADED if trace.assumption],
    ids=lambda trace: trace.name,
)
def test_broken_assumption_does_harm(trace: Trace) -> None:
    assert _replay(trace).violations


def _check_assignments(trial: system.System) -> None:
    """Check that the log holds every assignment that was acted on."""
    assigned: set[tuple[int, int, str]] = set()
    at_offset = {}
    folded = state.LogState()
    for entry in trial.log.read(0, ''):
        before = folded.assignment_of(member.SERVICE)
        folded = fold.fold_one(folded, entry)
        after = folded.assignment_of(member.SERVICE)
        at_offset[folded.next_offset] = after
        assert all(map(operator.le, before.fences, after.fences))
        assigned.update(
            zip(itertools.count(), after.fences, after.owners, strict=False),
        )
    assert trial.granted <= assigned
    for known in trial.shared.members.values():
        seen = known.log_state
        if seen.next_offset:
            kept = at_offset[seen.next_offset]
            assert seen.assignment_of(member.SERVICE) == kept


def _run(
    seed: int,
    setup: system.Setup,
) -> system.System:
    trial = system.System(setup, seed)
    trial.run_for(WARM_UP_MS)
    chance = random.Random(seed)
    while trial.world.now < RUN_MS:
        faults.befall(trial, faults.draw_step(trial, chance))
        trial.run_for(chance.randint(50, 900))
    return trial


@pytest.mark.parametrize('checks_fence', [True, False])
@pytest.mark.parametrize('first_seed', range(0, 60, SEEDS_PER_TEST))
def test_random_faults_leave_one_owner(
    first_seed: int,
    checks_fence: bool,
) -> None:
    setup = system.Setup(noise=NOISE, checks_fence=checks_fence)
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        trial = _run(seed, setup)
        assert not trial.violations, seed
        assert not trial.wrong_fences, seed
        _check_assignments(trial)


@pytest.mark.parametrize(
    ('left_out', 'setup'),
    [
        ('order numbers ignored', system.Setup(noise=NOISE)),
        ('terms ignored', system.Setup(noise=NOISE)),
        ('leases taken as over', system.Setup(noise=NOISE)),
        (
            '',
            system.Setup(
                noise=NOISE,
                checks_fence=False,
                told_checks_fence=True,
            ),
        ),
    ],
)
def test_random_faults_need_mechanism(
    left_out: str,
    setup: system.Setup,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    if left_out:
        _leave_out(monkeypatch, left_out)
    assert any(_run(seed, setup).violations for seed in range(60))


class FaultMachine(stateful.RuleBasedStateMachine):
    """Mix faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.trial = system.System(system.Setup(noise=NOISE), 1)
        self.trial.run_for(WARM_UP_MS)

    @stateful.rule(
        fault=strategies.sampled_from(
            sorted(set(faults.FAULTS) - faults.SPECIAL)
        ),
        first=strategies.sampled_from(
            ('coordinator', 'deputy', 'i3', 'i4', 's1', 's2', 'log'),
        ),
        second=strategies.sampled_from(
            ('deputy', 'i1', 'i4', 's1', 's3', 'log'),
        ),
        duration=strategies.integers(50, 6000),
    )
    def befall(
        self,
        fault: str,
        first: str,
        second: str,
        duration: int,
    ) -> None:
        step = faults.Step(fault, (first, second), duration=duration)
        faults.befall(self.trial, step)

    @stateful.rule(duration=strategies.integers(50, 3000))
    def let_time_pass(self, duration: int) -> None:
        self.trial.run_for(duration)

    @stateful.invariant()
    def one_owner(self) -> None:
        assert not self.trial.violations
        assert not self.trial.wrong_fences


TestFaultMachine = FaultMachine.TestCase
TestFaultMachine.settings = hypothesis.settings(
    max_examples=25,
    stateful_step_count=20,
)
