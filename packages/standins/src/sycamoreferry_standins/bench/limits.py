"""Measure ways to share a target's few slots among the instances."""

import collections
import dataclasses
import enum
import functools
import random
import typing

from sycamoreferry_core import clock, fair_queue, ids, limits
from sycamoreferry_standins.bench import latencies, report, target_model

_QUEUE_LENGTH = 200
# A request waits for no more than this share of what remains to it.
_WAIT_SHARE = 0.1
_HOP_MS = 1.5
_LOADS = (0.5, 0.9, 1.5)
_MOST_TRIES = 3
_SLOW = 5
_UNEVEN_SHARE = 0.6
_LOUD_SHARE = 0.8
_DYFED_SLOTS = 6
_DYFED_CONNECTIONS = 120
_PERCENT = 100


@enum.unique
class Way(enum.Enum):
    """Name the ways that are weighed."""

    NONE = 'no limit'
    SHARE = 'a share each'
    ADAPTIVE = 'adaptive limit'
    ONE_QUEUE = 'one queue a target'


@dataclasses.dataclass
class _Room:
    """Hold what one instance has at one target."""

    in_flight: int = 0
    limit: limits.AdaptiveLimit = limits.AdaptiveLimit()


@dataclasses.dataclass
class Tally:
    """Count how calls ended."""

    calls: int = 0
    good: int = 0
    refused: int = 0
    shed: int = 0
    quiet_calls: int = 0
    quiet_good: int = 0
    delays: latencies.Latencies = dataclasses.field(
        default_factory=latencies.Latencies,
    )


class Run:
    """Drive the model with one way of limiting."""

    def __init__(self, way: Way, plan: target_model.Plan) -> None:
        self.tally = Tally()
        self._way = way
        self._plan = plan
        self._line = target_model.Timeline()
        self._chance = random.Random(plan.seed)
        self._targets = [
            target_model.Target(number, plan, self._line)
            for number in plan.range()
        ]
        self._rooms: collections.defaultdict[tuple[int, int], _Room] = (
            collections.defaultdict(_Room)
        )
        self._queues = [
            fair_queue.FairQueue[target_model.Call]()
            for _ in range(plan.instances)
        ]
        self._bases: list[float] = [0] * plan.instances
        self._paces = [
            fair_queue.AnswerInterval() for _ in range(plan.instances)
        ]

    def measure(self) -> Tally:
        """Run every call to its end."""
        for call in target_model.arrivals(self._plan):
            self._line.plan(call.started, functools.partial(self._meet, call))
        self._line.run()
        return self.tally

    def _meet(self, call: target_model.Call) -> None:
        self.tally.calls += 1
        self.tally.quiet_calls += call.caller > 0
        self._place(call)

    def _queue_of(self, call: target_model.Call) -> int:
        # One queue for all: the first instance stands for the queue's holder.
        return 0 if self._way is Way.ONE_QUEUE else call.instance

    @property
    def _queues_in_one(self) -> int:
        return self._plan.targets if self._way is Way.ONE_QUEUE else 1

    def _place(self, call: target_model.Call) -> None:
        holder = self._queue_of(call)
        target = self._choose(holder)
        if target is not None:
            self._send(call, holder, target)
            return
        dropped = self._queues[holder].push(
            fair_queue.QueuedEntry(
                call,
                ids.CallerId(str(call.caller)),
                clock.Millis(int(call.deadline)),
            ),
            self._paces[holder].capacity(
                (call.deadline - self._line.now) * _WAIT_SHARE,
                _QUEUE_LENGTH * self._queues_in_one,
            ),
        )
        if dropped is not None:
            self.tally.refused += 1

    def _choose(self, holder: int) -> int | None:
        with_room = [
            number
            for number in self._plan.range()
            if self._has_room(self._rooms[holder, number])
        ]
        if not with_room:
            return None
        drawn = [self._chance.choice(with_room) for _ in range(2)]
        return min(drawn, key=lambda at: self._rooms[holder, at].in_flight)

    def _has_room(self, room: _Room) -> bool:
        plan = self._plan
        match self._way:
            case Way.NONE:
                return True
            case Way.SHARE:
                share = limits.slots_per_instance(
                    plan.slots * 2, plan.instances
                )
                return room.in_flight < share
            case Way.ONE_QUEUE:
                return room.in_flight < plan.slots * 2
        return room.limit.has_room(room.in_flight)

    def _send(
        self,
        call: target_model.Call,
        holder: int,
        target: int,
    ) -> None:
        self._rooms[holder, target].in_flight += 1
        call.sent = self._line.now
        delay = self._plan.link_ms
        if self._way is Way.ONE_QUEUE:
            delay += _HOP_MS
        end = functools.partial(self._reply, call, holder, target)
        self._line.plan(
            delay,
            functools.partial(self._targets[target].arrive, end),
        )

    def _reply(
        self,
        call: target_model.Call,
        holder: int,
        target: int,
        ran: bool,  # noqa: FBT001
    ) -> None:
        delay = self._plan.link_ms
        if self._way is Way.ONE_QUEUE:
            delay += _HOP_MS
        self._line.plan(
            delay,
            functools.partial(self._learn, call, holder, target, ran),
        )

    def _learn(
        self,
        call: target_model.Call,
        holder: int,
        target: int,
        ran: bool,  # noqa: FBT001
    ) -> None:
        room = self._rooms[holder, target]
        if ran:
            latency = self._line.now - call.sent
            base = limits.update_base_latency(self._bases[holder], latency)
            self._bases[holder] = base
            room.limit = limits.after_answer(
                room.limit,
                latency,
                base,
                room.in_flight,
                self._plan.connections,
            )
            self._count(call)
        else:
            room.limit = limits.after_shed(room.limit)
            self._retry(call)
        room.in_flight -= 1
        self._paces[holder] = self._paces[holder].after_answer(
            self._line.now,
            busy=bool(self._queues[holder]),
        )
        self._take_waiting(holder)

    def _count(self, call: target_model.Call) -> None:
        if self._line.now > call.deadline:
            return
        self.tally.delays.add(self._line.now - call.started)
        if self._line.now > self._plan.duration_ms:
            return
        self.tally.good += 1
        self.tally.quiet_good += call.caller > 0

    def _retry(self, call: target_model.Call) -> None:
        self.tally.shed += 1
        call.tries += 1
        if call.tries < _MOST_TRIES:
            self._place(call)
        else:
            self.tally.refused += 1

    def _take_waiting(self, holder: int) -> None:
        queue = self._queues[holder]
        target = self._choose(holder)
        while target is not None:
            waiting = queue.pop()
            if waiting is None:
                return
            if waiting.deadline <= self._line.now:
                self.tally.refused += 1
                continue
            self._send(waiting.entry, holder, target)
            target = self._choose(holder)


def plans() -> typing.Iterator[tuple[str, target_model.Plan]]:
    """Yield each load and fault by its name."""
    base = target_model.Plan()
    for load in _LOADS:
        at_load = dataclasses.replace(base, load=load)
        name = f'{load * _PERCENT:.0f}%'
        yield name, at_load
        slow = dataclasses.replace(at_load, slow_factors=(_SLOW,))
        yield f'{name}, one target slow', slow
    skewed = dataclasses.replace(base, first_share=_UNEVEN_SHARE)
    yield '90%, uneven balancer', skewed
    loud = dataclasses.replace(base, load=_LOADS[-1], loud_share=_LOUD_SHARE)
    yield '150%, one loud caller', loud
    yield (
        '90%, six slots',
        dataclasses.replace(
            base,
            slots=_DYFED_SLOTS,
            connections=_DYFED_CONNECTIONS,
        ),
    )


def measure() -> tuple[report.Measurement, ...]:
    """Return goodput, latency and sheds for each way, load and fault."""
    rows: list[report.Measurement] = []
    for name, plan in plans():
        for way in Way:
            tally = Run(way, plan).measure()
            rows.extend(_rows(name, f'{name}; {way.value}', tally, plan))
    return tuple(rows)


def _rows(
    name: str,
    variant: str,
    tally: Tally,
    plan: target_model.Plan,
) -> tuple[report.Measurement, ...]:
    possible = min(tally.calls, tally.calls / plan.load)
    shown = (
        ('goodput', tally.good / possible, 'of what is possible'),
        ('p50', tally.delays.percentile(latencies.HALF), 'ms'),
        ('p99', tally.delays.percentile(latencies.NEARLY_ALL), 'ms'),
        ('sheds', tally.shed / tally.calls, 'a call'),
        (
            'quiet callers answered',
            tally.quiet_good / tally.quiet_calls,
            'of their calls',
        ),
    )
    return tuple(
        report.Measurement('limits', variant, quantity, figure, unit)
        for quantity, figure, unit in shown
    )
