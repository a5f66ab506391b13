"""Measure ways to choose among the targets of a service without keys."""

import collections
import dataclasses
import enum
import functools
import itertools
import random
import typing

from sycamoreferry_core import balancing, clock, ids, limits, outliers
from sycamoreferry_standins.bench import (
    latencies,
    report,
    reported,
    target_model,
)

_LOADS = (0.5, 0.9, 1.5)
_REPORT_LAG_MS = 100
_DATA_CENTRES = 3
_REMOTE_MS = 3
_SLOW = 5
_COLD_MS = 2000
_PERCENT = 100
_FAILURE_MS = 0.5


@enum.unique
class Way(enum.Enum):
    """Name the ways that are weighed."""

    ROUND_ROBIN = 'round robin'
    RANDOM = 'random'
    LEAST_REPORTED = 'least reported'
    OWN_COUNTS = 'two choices, own counts'
    REPORTS = 'two choices, counts, latency, reports'
    CHOSEN = 'two choices, counts, latency'
    LOCAL_FIRST = 'the same, own data centre first'


@dataclasses.dataclass(frozen=True)
class Fault:
    """Describe what is wrong with the first target."""

    name: str = ''
    slow: bool = False
    lies: bool = False
    cold: bool = False
    fails: bool = False


FAULTS = (
    Fault(),
    Fault('one slow', slow=True),
    Fault('one lying', lies=True),
    Fault('one cold', cold=True),
    Fault('one failing at once', fails=True),
)


@dataclasses.dataclass
class Tally:
    """Count how calls ended and which links they crossed."""

    calls: int = 0
    good: int = 0
    failed: int = 0
    remote: int = 0
    delays: latencies.Latencies = dataclasses.field(
        default_factory=latencies.Latencies,
    )


class Run:
    """Drive the model with one way of choosing."""

    def __init__(
        self,
        way: Way,
        plan: target_model.Plan,
        fault: Fault,
    ) -> None:
        self.tally = Tally()
        self.targets: list[target_model.Target] = []
        self._way = way
        self._plan = plan
        self._fault = fault
        self._line = target_model.Timeline()
        self._chance = random.Random(plan.seed)
        self.targets.extend(
            target_model.Target(number, plan, self._line)
            for number in plan.range()
        )
        self._sent = [0] * plan.targets
        self._turns = [itertools.count(at) for at in range(plan.instances)]
        self._loads = [self._new_loads() for _ in range(plan.instances)]
        self._bases: list[float] = [0] * plan.instances
        self._healths: list[dict[ids.ServerId, outliers.Health]] = [
            {} for _ in range(plan.instances)
        ]
        self._said: list[dict[ids.ServerId, reported.Reported]] = [
            {} for _ in range(plan.instances)
        ]
        self._reported: collections.Counter[int] = collections.Counter()

    def measure(self) -> Tally:
        """Run every call to its end."""
        if self._fault.cold:
            self.targets[0].extra_delay_ms = self._plan.work_ms * _SLOW
            self._line.plan(_COLD_MS, self._warm_up)
        self._take_reports()
        for call in target_model.arrivals(self._plan):
            self._line.plan(call.started, functools.partial(self._send, call))
        self._line.run()
        return self.tally

    def imbalance(self) -> float:
        """Return the largest over the mean of the calls to targets."""
        return max(self._sent) * len(self._sent) / sum(self._sent)

    def _new_loads(self) -> list[balancing.TargetLoad]:
        loads = [
            balancing.TargetLoad(ids.ServerId(str(number)))
            for number in self._plan.range()
        ]
        if self._fault.cold:
            cold_since = clock.Millis(0)
            loads[0] = dataclasses.replace(loads[0], slow_start_at=cold_since)
        return loads

    def _warm_up(self) -> None:
        self.targets[0].extra_delay_ms = 0

    def _take_reports(self) -> None:
        for target in self.targets:
            said = target.running + len(target.waiting)
            if self._fault.lies and not target.number:
                said = 0
            self._reported[target.number] = said
        if self._line.now < self._plan.duration_ms:
            self._line.plan(_REPORT_LAG_MS, self._take_reports)

    def _choose(self, instance: int) -> int:
        everyone = self._plan.range()
        match self._way:
            case Way.ROUND_ROBIN:
                return next(self._turns[instance]) % len(everyone)
            case Way.RANDOM:
                return self._chance.choice(everyone)
            case Way.LEAST_REPORTED:
                return min(everyone, key=lambda at: self._reported[at])
        return self._choose_by_load(instance)

    def _choose_by_load(self, instance: int) -> int:
        now = clock.Millis(int(self._line.now))
        loads = self._loads[instance]
        if self._way is Way.OWN_COUNTS:
            pair = self._chance.sample(loads, 2)
            return int(min(pair, key=lambda load: load.in_flight).server)
        usable = outliers.usable_targets(
            [load.server for load in loads],
            self._healths[instance],
            now,
        )
        among = [loads[int(server)] for server in usable]
        common = balancing.ScoringContext(self._bases[instance], now)
        if self._way is Way.LOCAL_FIRST:
            among = self._near(instance, among, common)
        if self._way is Way.REPORTS:
            return self._choose_reported(instance, among, common)
        place = balancing.choose(among, common, self._chance.randrange)
        return int(among[place or 0].server)

    def _choose_reported(
        self,
        instance: int,
        among: list[balancing.TargetLoad],
        common: balancing.ScoringContext,
    ) -> int:
        said = self._said[instance]
        pair = self._chance.sample(among, min(2, len(among)))
        best = min(
            pair,
            key=lambda load: reported.score(
                load,
                said.get(load.server, reported.NOTHING),
                common,
                self._plan.slots,
            ),
        )
        return int(best.server)

    def _near(
        self,
        instance: int,
        among: list[balancing.TargetLoad],
        common: balancing.ScoringContext,
    ) -> list[balancing.TargetLoad]:
        near = [
            load
            for load in among
            if not self._is_remote(instance, int(load.server))
            and balancing.is_local_target_usable(load, common, self._plan.slots)
        ]
        return near or among

    def _is_remote(self, instance: int, target: int) -> bool:
        return instance % _DATA_CENTRES != target % _DATA_CENTRES

    def _link_ms(self, instance: int, target: int) -> float:
        extra = _REMOTE_MS if self._is_remote(instance, target) else 0
        return self._plan.link_ms + extra

    def _send(self, call: target_model.Call) -> None:
        self.tally.calls += 1
        target = self._choose(call.instance)
        self.tally.remote += self._is_remote(call.instance, target)
        self._sent[target] += 1
        loads = self._loads[call.instance]
        loads[target] = dataclasses.replace(
            loads[target],
            in_flight=loads[target].in_flight + 1,
        )
        call.sent = self._line.now
        link = self._link_ms(call.instance, target)
        reply = functools.partial(self._reply, call, target)
        if self._fault.fails and not target:
            answer = functools.partial(reply, False)  # noqa: FBT003
            self._line.plan(link + _FAILURE_MS, answer)
            return
        arrive = functools.partial(self.targets[target].arrive, reply)
        self._line.plan(link, arrive)

    def _reply(
        self,
        call: target_model.Call,
        target: int,
        ran: bool,  # noqa: FBT001
    ) -> None:
        link = self._link_ms(call.instance, target)
        said = self.targets[target].running + len(self.targets[target].waiting)
        if self._fault.lies and not target:
            said = 0
        learn = functools.partial(self._learn, call, target, ran, said)
        self._line.plan(link, learn)

    def _learn(
        self,
        call: target_model.Call,
        target: int,
        ran: bool,  # noqa: FBT001
        said: int,
    ) -> None:
        now = clock.Millis(int(self._line.now))
        loads = self._loads[call.instance]
        in_flight = loads[target].in_flight - 1
        load = dataclasses.replace(loads[target], in_flight=in_flight)
        server = load.server
        healths = self._healths[call.instance]
        health = healths.get(server, outliers.HEALTHY)
        if ran:
            load = self._time(call, load, now)
            others = reported.Reported(max(0, said - in_flight), now)
            self._said[call.instance][server] = others
            healths[server] = outliers.after_success()
            self._count(call)
        else:
            healths[server] = outliers.after_failure(health, now)
            self.tally.failed += 1
        loads[target] = load

    def _time(
        self,
        call: target_model.Call,
        load: balancing.TargetLoad,
        now: clock.Millis,
    ) -> balancing.TargetLoad:
        latency = self._line.now - call.sent
        base = limits.update_base_latency(self._bases[call.instance], latency)
        self._bases[call.instance] = base
        return balancing.after_answer(load, latency, now)

    def _count(self, call: target_model.Call) -> None:
        if self._line.now <= call.deadline:
            self.tally.delays.add(self._line.now - call.started)
            self.tally.good += self._line.now <= self._plan.duration_ms


def measure() -> tuple[report.Measurement, ...]:
    """Return what each way does at each load and fault."""
    rows: list[report.Measurement] = []
    for load, fault, way in itertools.product(_LOADS, FAULTS, Way):
        plan = target_model.Plan(load=load)
        if fault.slow:
            plan = dataclasses.replace(plan, slow_factors=(_SLOW,))
        run = Run(way, plan, fault)
        tally = run.measure()
        variant = f'{load * _PERCENT:.0f}% {fault.name}; {way.value}'
        rows.extend(_rows(variant, run, tally, plan))
    return tuple(rows)


def _rows(
    variant: str,
    run: Run,
    tally: Tally,
    plan: target_model.Plan,
) -> tuple[report.Measurement, ...]:
    possible = min(tally.calls, tally.calls / plan.load)
    shown: typing.Sequence[tuple[str, float, str]] = (
        ('imbalance', run.imbalance(), 'of the mean'),
        ('goodput', tally.good / possible, 'of what is possible'),
        ('p50', tally.delays.percentile(latencies.HALF), 'ms'),
        ('p99', tally.delays.percentile(latencies.NEARLY_ALL), 'ms'),
        ('failed', tally.failed / tally.calls, 'of calls'),
        ('other data centre', tally.remote / tally.calls, 'of calls'),
    )
    return tuple(
        report.Measurement('balancing', variant, quantity, figure, unit)
        for quantity, figure, unit in shown
    )
