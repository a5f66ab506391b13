"""Measure ways to send to full servers from many instances."""

import collections
import dataclasses
import enum
import functools
import random
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import permits, queueing, server_choice
from sycamoreferry_standins.bench import report, target_model

# As on the grown sites: news of others are this old, an ask takes two ways.
_NEWS_MS = 450
_ASK_MS = 7
_SERVER_QUEUE = 8
_OBJECTIVE_MS = 600
_WINDOW_MS = 1_000
_MOST_TRIES = 3
# One request in three is of the kind that goes first.
_URGENT_OF = 3
_LOADS = (0.6, 0.8, 0.95, 1.1)
_LENGTH_MS = 10_000
# A service of bantay-gw-grown, with servers of three speeds.
_INSTANCES = 71
_SERVERS = 47
_SLOW = (1.6,) * (_SERVERS // 3)
_FAST = (0.7,) * (_SERVERS // 3)
_WORK_MS = 170
_LINK_MS = 3.4
_DEADLINE_MS = 4_000
_HOT_LOAD = 14
_BASE = target_model.Plan(
    targets=_SERVERS,
    slots=2,
    connections=2 + _SERVER_QUEUE,
    instances=_INSTANCES,
    work_ms=_WORK_MS,
    link_ms=_LINK_MS,
    duration_ms=_LENGTH_MS,
    deadline_ms=_DEADLINE_MS,
    slow_factors=_SLOW + _FAST,
)
_HOT_KEY = dataclasses.replace(
    _BASE,
    targets=1,
    slow_factors=(),
    load=_HOT_LOAD,
)
_PERCENT = 100
_LINE = permits.QueueName('pool')
_ASKER = ids.InstanceId('any')


@enum.unique
class Way(enum.Enum):
    """Name the ways that are weighed."""

    RANDOM = 'random'
    ROUND_ROBIN = 'round robin'
    LEAST_OF_TWO = 'least of two, old news'
    PERMITS = 'permits'


@dataclasses.dataclass
class Tally:
    """Count requests and those answered within the objective."""

    calls: int = 0
    on_time: int = 0

    @property
    def share(self) -> float:
        """Return the share answered within the objective."""
        return self.on_time / self.calls if self.calls else 1


class Run:
    """Drive the model with one way of sending."""

    def __init__(self, way: Way, plan: target_model.Plan) -> None:
        self.total = Tally()
        self.windows: collections.defaultdict[int, Tally] = (
            collections.defaultdict(Tally)
        )
        self.kinds: collections.defaultdict[int, Tally] = (
            collections.defaultdict(Tally)
        )
        self.refused_beside_room = 0
        self._way = way
        self._plan = plan
        self._line = target_model.Timeline()
        self._chance = random.Random(plan.seed)
        self._servers = [
            target_model.Target(number, plan, self._line)
            for number in plan.range()
        ]
        self._turns: collections.Counter[int] = collections.Counter()
        self._known = [0] * plan.targets
        self._told_at: float = 0
        self._desk = permits.PermitIssuer()
        self._asked: dict[permits.PermitId, target_model.Call] = {}
        self._supply = permits.Supply(
            plan.targets * plan.slots,
            plan.targets * server_choice.capacity_of(plan.slots),
            plan.work_ms,
            self._least_counted,
        )

    def measure(self) -> 'Run':
        """Run every call to its end."""
        for number, call in enumerate(target_model.arrivals(self._plan)):
            meet = functools.partial(self._meet, call, number)
            self._line.plan(call.started, meet)
        self._line.run()
        return self

    def _meet(self, call: target_model.Call, number: int) -> None:
        for tally in self._tallies(call):
            tally.calls += 1
        if self._way is not Way.PERMITS:
            self._send(call, self._choose(call), None)
            return
        permit = permits.PermitId(_ASKER, permits.PermitNumber(number))
        self._asked[permit] = call
        self._line.plan(_ASK_MS, functools.partial(self._ask, permit))

    def _tallies(self, call: target_model.Call) -> typing.Iterator[Tally]:
        yield self.total
        if call.started < _LENGTH_MS:
            yield self.windows[int(call.started / _WINDOW_MS)]
        yield self.kinds[_priority(call)]

    def _choose(self, call: target_model.Call) -> int:
        plan = self._plan
        if self._way is Way.RANDOM:
            return self._chance.randrange(plan.targets)
        if self._way is Way.ROUND_ROBIN:
            self._turns[call.instance] += 1
            return (call.instance + self._turns[call.instance]) % plan.targets
        if self._line.now - self._told_at >= _NEWS_MS:
            self._told_at = self._line.now
            self._known = [_at_server(server) for server in self._servers]
        drawn = [self._chance.randrange(plan.targets) for _ in range(2)]
        return min(drawn, key=lambda number: self._known[number])

    def _least_counted(
        self,
        _request: queueing.QueuedRequest,
        counted: typing.Mapping[ids.ServerId, int],
    ) -> ids.ServerId | None:
        names = [ids.ServerId(str(number)) for number in self._plan.range()]
        least = min(names, key=lambda name: counted.get(name, 0))
        if counted.get(least, 0) >= server_choice.capacity_of(self._plan.slots):
            return None
        return least

    def _ask(self, permit: permits.PermitId) -> None:
        call = self._asked[permit]
        now = clock.Millis(int(self._line.now))
        request = queueing.QueuedRequest(
            ids.ServiceName('v'),
            None,
            _priority(call),
            clock.Millis(int(call.started)),
            clock.Millis(int(call.started) + _OBJECTIVE_MS),
            clock.Millis(int(call.deadline)),
        )
        self._take(
            self._desk.request_permit(_LINE, permit, request, self._supply, now)
        )

    def _take(self, decided: list[permits.PermitDecision]) -> None:
        for one in decided:
            if one.server is not None:
                call = self._asked[one.permit]
                self._send(call, int(one.server), one.permit)
            elif one.verdict is permits.PermitVerdict.REJECTED:
                self._refuse()

    def _send(
        self,
        call: target_model.Call,
        server: int,
        permit: permits.PermitId | None,
    ) -> None:
        call.tries += 1
        end = functools.partial(self._end, call, permit)
        arrive = functools.partial(self._servers[server].arrive, end)
        self._line.plan(self._plan.link_ms, arrive)

    def _end(
        self,
        call: target_model.Call,
        permit: permits.PermitId | None,
        ran: bool,  # noqa: FBT001
    ) -> None:
        if permit is not None:
            now = clock.Millis(int(self._line.now))
            self._take(self._desk.release(_LINE, permit, now))
        if ran and self._line.now <= call.started + _OBJECTIVE_MS:
            for tally in self._tallies(call):
                tally.on_time += 1
        if ran:
            return
        if call.tries < _MOST_TRIES:
            self._send(call, self._choose(call), None)
        else:
            self._refuse()

    def _refuse(self) -> None:
        slots = self._plan.slots
        if any(server.running < slots for server in self._servers):
            self.refused_beside_room += 1


def _priority(call: target_model.Call) -> int:
    return int(call.caller % _URGENT_OF > 0)


def _at_server(server: target_model.Target) -> int:
    return server.running + len(server.waiting)


def plans() -> typing.Iterator[tuple[str, target_model.Plan]]:
    """Yield each load pattern by its name."""
    for load in _LOADS:
        name = f'equal servers, {load * _PERCENT:.0f}%'
        yield name, dataclasses.replace(_BASE, load=load)
    yield 'one hot key, 1400%', _HOT_KEY


def measure() -> tuple[report.Measurement, ...]:
    """Return for each pattern and way what is answered in time."""
    rows: list[report.Measurement] = []
    for name, plan in plans():
        for way in Way:
            run = Run(way, plan).measure()
            rows.extend(_rows(f'{name}; {way.value}', run, plan))
    return tuple(rows)


def _rows(
    variant: str,
    run: Run,
    plan: target_model.Plan,
) -> tuple[report.Measurement, ...]:
    possible = min(1, 1 / plan.load)
    shown = (
        ('in time', run.total.share / possible, 'of what is possible'),
        ('worst window', _worst(run.windows), 'of its requests'),
        ('worst kind', _worst(run.kinds), 'of its requests'),
        ('refused beside a free slot', run.refused_beside_room, 'requests'),
    )
    return tuple(
        report.Measurement('rooms', variant, quantity, figure, unit)
        for quantity, figure, unit in shown
    )


def _worst(tallies: typing.Mapping[int, Tally]) -> float:
    return min(tally.share for tally in tallies.values())
