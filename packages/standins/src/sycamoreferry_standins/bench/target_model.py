"""Model targets with few slots that several instances share."""

import collections
import dataclasses
import functools
import heapq
import random
import typing

MILLIS_PER_SECOND = 1000
_CALLERS = 11

Planned = typing.Callable[[], None]
Reply = typing.Callable[[bool], None]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Describe the targets and the load of one run."""

    targets: int = 6
    slots: int = 2
    connections: int = 110
    instances: int = 9
    work_ms: float = 8
    link_ms: float = 1
    load: float = 0.9
    duration_ms: int = 4000
    deadline_ms: int = 2000
    # The balancer gives the first instance this share of the calls.
    first_share: float = 0
    # One caller sends this share of the calls; the others are even.
    loud_share: float = 0
    slow_factors: tuple[float, ...] = ()
    seed: int = 7

    @property
    def capacity(self) -> float:
        """Return the answers a second that all slots allow."""
        each = self.slots * MILLIS_PER_SECOND / self.work_ms
        return sum(each / self.factor(target) for target in self.range())

    def range(self) -> range:
        """Return the numbers of the targets."""
        return range(self.targets)

    def factor(self, target: int) -> float:
        """Return how much slower than the others a target is."""
        if target < len(self.slow_factors):
            return self.slow_factors[target]
        return 1


@dataclasses.dataclass
class Call:
    """Hold a request on its way."""

    caller: int
    instance: int
    started: float
    deadline: float
    sent: float = 0
    tries: int = 0


class Timeline:
    """Run what was planned in the order of its time."""

    def __init__(self) -> None:
        self.now: float = 0
        self._plans: list[tuple[float, int, Planned]] = []
        self._count = 0

    def plan(self, delay: float, call: Planned) -> None:
        """Call something after a delay in milliseconds."""
        self._count += 1
        heapq.heappush(self._plans, (self.now + delay, self._count, call))

    def run(self) -> None:
        """Run until nothing is planned."""
        while self._plans:
            planned = heapq.heappop(self._plans)
            self.now = planned[0]
            planned[-1]()


class Target:
    """Run calls in its slots, hold some more, shed the rest."""

    def __init__(self, number: int, plan: Plan, line: Timeline) -> None:
        self.number = number
        self.waiting: collections.deque[Reply] = collections.deque()
        self.running = 0
        self.ran = 0
        self.shed = 0
        self.extra_delay_ms: float = 0
        self._plan = plan
        self._line = line
        self._chance = random.Random(plan.seed + number)

    def arrive(self, reply: Reply) -> None:
        """Take a call, or shed it."""
        if self.running + len(self.waiting) >= self._plan.connections:
            self.shed += 1
            reply(False)
            return
        self.waiting.append(reply)
        self._start()

    def _start(self) -> None:
        while self.waiting and self.running < self._plan.slots:
            reply = self.waiting.popleft()
            self.running += 1
            work = self._plan.work_ms * self._plan.factor(self.number)
            spread = self._chance.expovariate(2 / work) + work / 2
            self._line.plan(
                spread + self.extra_delay_ms,
                functools.partial(self._end, reply),
            )

    def _end(self, reply: Reply) -> None:
        self.running -= 1
        self.ran += 1
        reply(True)
        self._start()


def arrivals(plan: Plan) -> typing.Iterator[Call]:
    """Yield the calls of a run, the same for every way."""
    chance = random.Random(plan.seed)
    rate = plan.load * plan.capacity / MILLIS_PER_SECOND
    now: float = 0
    while now < plan.duration_ms:
        now += chance.expovariate(rate)
        instance = chance.randrange(plan.instances)
        if chance.random() < plan.first_share:
            instance = 0
        caller = chance.randrange(1, _CALLERS)
        if chance.random() < plan.loud_share:
            caller = 0
        yield Call(caller, instance, now, now + plan.deadline_ms)
