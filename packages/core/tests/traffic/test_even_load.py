"""Compare ways to spread requests over servers known by stale reports.

Fails if work queues at servers that are slow for 400 ms while others are idle.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import permit_issuers, servers
from sycamoreferry_core.traffic import server_choice, server_load

SERVICE = ids.ServiceName('v')
HERE = ids.DataCentre('d')
SIGMA = 0.5
SPEEDS = (0.5, 1.5)
# Of one machine in five, redrawn at this interval.
SLOW_SHARE, SLOW_FACTOR, SLOW_MS = 0.2, 3.0, 400
USUAL_FACTOR = 1 + SLOW_SHARE * (SLOW_FACTOR - 1)
BURST, BURST_FACTOR = (6_000, 9_000), 1.7
WARM_UP_MS, RUN_MS = 3_000, 12_000
REPORT_MS, RETRY_MS = 50, 25
HOP_MS = (1, 8)


@dataclasses.dataclass(frozen=True)
class Load:
    servers: int
    slots: int
    work_ms: float
    utilisation: float
    instances: int = 77
    # Of reports between instances that choose alone.
    delay_ms: int = 50


@dataclasses.dataclass(eq=False)
class Request:
    arrived: int
    instance: int
    # The work on a machine of usual speed without a slowdown.
    work_ms: float
    sent: int = 0
    has_free_slot: bool = True


class Machine:
    """Run requests in slots, each stretched by the slowdown at its start."""

    def __init__(self, number: int, load: Load, rng: random.Random) -> None:
        self.server = servers.BackendServer(
            servers.ServerIncarnation(
                ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
            ),
            SERVICE,
            'host',
            number,
            HERE,
            load.slots,
            servers.ServerState.READY,
            0,
            1,
        )
        self.speed = rng.uniform(*SPEEDS)
        self.running = 0
        self.queue: collections.deque[Request] = collections.deque()
        self._phase = rng.randrange(SLOW_MS)
        self._factors = [
            SLOW_FACTOR if rng.random() < SLOW_SHARE else 1.0
            for _ in range(RUN_MS // SLOW_MS + 100)
        ]

    def slowdown(self, now: int) -> float:
        epoch = (now + self._phase) // SLOW_MS
        return self._factors[min(epoch, len(self._factors) - 1)]


class Simulation:
    """Send requests through permits of one instance for each pool."""

    reports_slowdown = True

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        # The same arrivals and work for each way to choose.
        self.rng = random.Random(seed)
        self.choice_rng = random.Random(seed)
        self.loads = server_load.ServerLoads()
        self.machines = {}
        for number in range(load.servers):
            machine = Machine(number, load, self.rng)
            self.machines[machine.server.incarnation.server] = machine
        self.now = 0
        self.waiting = 0
        self.beyond = 0
        self.busy = 0
        self.lost_slots = 0.0
        self.beyond_total = 0.0
        self.took: list[int] = []
        self._events: list[typing.Any] = []
        self._numbers = itertools.count()
        speeds = sum(machine.speed for machine in self.machines.values())
        mean_ms = load.work_ms * USUAL_FACTOR
        self.rate = load.utilisation * load.slots * speeds / mean_ms
        self.set_up()

    def set_up(self) -> None:
        pools = permit_issuers.pool_count(self.load.servers)
        known = [machine.server for machine in self.machines.values()]
        self.pools = [
            [
                server
                for server in known
                if permit_issuers.pool_of(server.incarnation.server, pools)
                == pool
            ]
            for pool in range(pools)
        ]
        self.queues: list[collections.deque[Request]] = [
            collections.deque() for _ in self.pools
        ]
        self.counted: collections.Counter[ids.ServerId] = collections.Counter()

    def later(self, delay: float, call: typing.Any, *inputs: object) -> None:
        at = self.now + int(delay)
        heapq.heappush(self._events, (at, next(self._numbers), call, inputs))

    def hop(self) -> float:
        return self.choice_rng.uniform(*HOP_MS)

    def run(self) -> typing.Self:
        self.later(0, self.arrive)
        self.later(0, self.tick)
        while self._events:
            at, _, call, inputs = heapq.heappop(self._events)
            slots = self.load.servers * self.load.slots
            if WARM_UP_MS <= at < RUN_MS:
                idle = min(slots - self.busy, self.waiting + self.beyond)
                self.lost_slots += idle * (at - self.now)
                self.beyond_total += self.beyond * (at - self.now)
            self.now = at
            call(*inputs)
        return self

    def tick(self) -> None:
        known = [machine.server for machine in self.machines.values()]
        self.loads.durations.update_services(known, clock.Millis(self.now))
        if self.now < RUN_MS:
            self.later(500, self.tick)

    def arrive(self) -> None:
        in_burst = BURST[0] <= self.now < BURST[1]
        rate = self.rate
        if in_burst:
            rate *= BURST_FACTOR
        request = Request(
            self.now,
            self.rng.randrange(self.load.instances),
            self.load.work_ms
            * self.rng.lognormvariate(-SIGMA * SIGMA / 2, SIGMA),
        )
        self.waiting += 1
        self.place(request)
        gap = self.rng.expovariate(rate)
        # Whole milliseconds, so the fraction is drawn.
        delay = int(gap) + (self.rng.random() < gap - int(gap))
        if self.now + delay < RUN_MS:
            self.later(delay, self.arrive)

    def place(self, request: Request) -> None:
        pool = self.choice_rng.randrange(len(self.pools))
        self.later(self.hop(), self.ask, request, pool)

    def ask(self, request: Request, pool: int) -> None:
        self.queues[pool].append(request)
        self.grant(pool)

    def grant(self, pool: int) -> None:
        queue = self.queues[pool]
        while queue:
            if self.is_late(queue[0]):
                queue.popleft()
                continue
            server = self.choose(self.pools[pool], self.counted)
            if server is None:
                break
            server_id = server.incarnation.server
            self.counted[server_id] += 1
            self.later(self.hop(), self.send, queue.popleft(), server_id, pool)

    def is_late(self, request: Request) -> bool:
        if self.now - request.arrived <= 6 * self.load.work_ms:
            return False
        self.waiting -= 1
        self.end(request)
        return True

    def choose(
        self,
        candidates: typing.Sequence[servers.BackendServer],
        in_flight: typing.Mapping[ids.ServerId, int],
    ) -> servers.BackendServer | None:
        return server_choice.choose_server(
            candidates,
            self.loads,
            self.inputs(in_flight),
            self.choice_rng.random,
        )

    def inputs(
        self, in_flight: typing.Mapping[ids.ServerId, int]
    ) -> server_choice.ChoiceInputs:
        now = clock.Millis(self.now)
        return server_choice.ChoiceInputs(
            HERE, frozenset(), now, in_flight=in_flight
        )

    def send(self, request: Request, server: ids.ServerId, pool: int) -> None:
        request.sent = self.now
        self.later(self.hop(), self.start, request, server, pool)

    def start(self, request: Request, server: ids.ServerId, pool: int) -> None:
        machine = self.machines[server]
        self.waiting -= 1
        if machine.running >= self.load.slots:
            self.beyond += 1
            request.has_free_slot = False
            machine.queue.append(request)
            return
        machine.running += 1
        self.busy += 1
        work = request.work_ms / machine.speed * machine.slowdown(self.now)
        self.later(work, self.finish, request, server, pool)

    def finish(self, request: Request, server: ids.ServerId, pool: int) -> None:
        machine = self.machines[server]
        machine.running -= 1
        self.busy -= 1
        if machine.queue:
            self.beyond -= 1
            self.waiting += 1
            self.start(machine.queue.popleft(), server, pool)
        slowdown = machine.slowdown(self.now)
        self.later(self.hop(), self.answer, request, server, pool, slowdown)

    def answer(
        self, request: Request, server: ids.ServerId, pool: int, slowdown: float
    ) -> None:
        self.end(request)
        self.record(request, self.machines[server].server, slowdown)
        self.later(self.hop(), self.take_back, server, pool, slowdown, self.now)

    def record(
        self, request: Request, server: servers.BackendServer, slowdown: float
    ) -> None:
        if request.has_free_slot:
            self.loads.durations.record(
                server, self.now - request.sent, clock.Millis(self.now)
            )

    def take_back(
        self, server: ids.ServerId, pool: int, slowdown: float, at: int
    ) -> None:
        self.counted[server] -= 1
        self.learn(server, slowdown, at)
        self.grant(pool)

    def learn(self, server: ids.ServerId, slowdown: float, at: int) -> None:
        if self.reports_slowdown:
            self.loads.slowdowns.record(
                self.machines[server].server, slowdown, clock.Millis(at)
            )

    def end(self, request: Request) -> None:
        if request.arrived >= WARM_UP_MS:
            self.took.append(self.now - request.arrived)

    def figures(self) -> dict[str, float]:
        span = (RUN_MS - WARM_UP_MS) * self.load.servers * self.load.slots
        took = sorted(self.took)
        limit = 4 * self.load.work_ms
        return {
            'mean': sum(took) / len(took) / self.load.work_ms,
            'late': sum(one > limit for one in took) / len(took),
            'p50': took[len(took) // 2] / self.load.work_ms,
            'p99': took[int(len(took) * 0.99)] / self.load.work_ms,
            'beyond': self.beyond_total / span,
            'idle': self.lost_slots / span,
        }


class _Snapshot(typing.NamedTuple):
    at: int
    totals: collections.Counter[ids.ServerId]
    own: collections.Counter[tuple[int, ids.ServerId]]


class Alone(Simulation):
    """Let each instance choose by its own requests and delayed reports."""

    def set_up(self) -> None:
        self.totals: collections.Counter[ids.ServerId] = collections.Counter()
        self.own: collections.Counter[tuple[int, ids.ServerId]] = (
            collections.Counter()
        )
        self.known = [machine.server for machine in self.machines.values()]
        self.snapshots: collections.deque[_Snapshot] = collections.deque()
        self.later(0, self.report)

    def report(self) -> None:
        self.snapshots.append(
            _Snapshot(self.now, self.totals.copy(), self.own.copy())
        )
        if self.now < RUN_MS:
            self.later(REPORT_MS, self.report)

    def place(self, request: Request) -> None:
        if self.is_late(request):
            return
        view = self.view(request.instance)
        candidates = self.candidates(request.instance, view)
        server = self.choose(candidates, view)
        if server is None:
            self.later(RETRY_MS, self.place, request)
            return
        server_id = server.incarnation.server
        self.totals[server_id] += 1
        self.own[request.instance, server_id] += 1
        self.send(request, server_id, request.instance)

    def candidates(
        self, _instance: int, view: typing.Mapping[ids.ServerId, int]
    ) -> typing.Sequence[servers.BackendServer]:
        return server_choice.draw_candidates(
            self.known, self.loads, self.inputs(view), self.choice_rng.sample
        )

    def view(self, instance: int) -> dict[ids.ServerId, int]:
        shown = self.shown()
        return {
            server: shown.totals[server]
            - shown.own[instance, server]
            + self.own[instance, server]
            for server in self.machines
        }

    def shown(self) -> _Snapshot:
        """Return the last report that has arrived."""
        while (
            len(self.snapshots) > 1
            and self.snapshots[1].at <= self.now - self.load.delay_ms
        ):
            self.snapshots.popleft()
        return self.snapshots[0]

    def answer(
        self, request: Request, server: ids.ServerId, pool: int, slowdown: float
    ) -> None:
        self.end(request)
        self.record(request, self.machines[server].server, slowdown)
        self.totals[server] -= 1
        self.own[pool, server] -= 1
        wait_ms = self.load.delay_ms + REPORT_MS / 2
        self.later(wait_ms, self.learn, server, slowdown, self.now)


class Expecting(Alone):
    """Add what other instances are expected to have sent since the report."""

    def view(self, instance: int) -> dict[ids.ServerId, int]:
        shown = self.shown()
        mean = shown.totals.total() / len(self.machines)
        age = (self.now - shown.at) / (self.load.work_ms * USUAL_FACTOR)
        kept = math.exp(-age)
        known = super().view(instance)
        return {
            server: round(mean + (count - mean) * kept)
            for server, count in known.items()
        }


class Weighted(Alone):
    """Choose by lot, weighted by the free capacity."""

    def choose(
        self,
        candidates: typing.Sequence[servers.BackendServer],
        in_flight: typing.Mapping[ids.ServerId, int],
    ) -> servers.BackendServer | None:
        now = clock.Millis(self.now)
        capacity = server_choice.capacity_of(self.load.slots)
        weights = [
            max(0, capacity - in_flight[server.incarnation.server])
            / self.loads.duration_ms(server)
            / self.loads.slowdowns.relative_factor(server, now)
            for server in candidates
        ]
        if not any(weights):
            return None
        return self.choice_rng.choices(candidates, weights)[0]


class TwoChoices(Alone):
    def candidates(
        self, _instance: int, _view: typing.Mapping[ids.ServerId, int]
    ) -> typing.Sequence[servers.BackendServer]:
        return self.choice_rng.sample(self.known, 2)


class Subset(Alone):
    """Let each instance use eight servers."""

    def candidates(
        self, instance: int, _view: typing.Mapping[ids.ServerId, int]
    ) -> typing.Sequence[servers.BackendServer]:
        return random.Random(instance).sample(self.known, 8)


def unaware(way: type[Simulation]) -> type[Simulation]:
    """Return the way as it is if no server reports a slowdown."""
    return type(way.__name__, (way,), {'reports_slowdown': False})


LOADS = (Load(48, 2, 400, 0.6), Load(32, 4, 300, 0.7), Load(40, 2, 200, 0.7))


def _mean(way: type[Simulation], loads: typing.Iterable[Load]) -> float:
    """Return the mean duration in terms of the work of a request."""
    found = [
        way(load, seed).run().figures()['mean']
        for load in loads
        for seed in (1, 2)
    ]
    return sum(found) / len(found)


def test_counting_instance_that_knows_slowdowns_serves_sooner() -> None:
    """Fails if requests go to a server that has just reported to be slow."""
    assert _mean(Simulation, LOADS) < 0.93 * _mean(unaware(Simulation), LOADS)


def test_few_instances_that_know_slowdowns_serve_sooner() -> None:
    """Fails if all instances choose the servers that were just reported."""
    loads = (Load(40, 2, 400, 0.6, 17), Load(32, 2, 90, 0.75, 9, 10))
    assert _mean(Alone, loads) < 0.93 * _mean(unaware(Alone), loads)


@pytest.mark.parametrize('instances', [77, 300])
def test_counting_in_one_place_is_better_than_any_stale_report(
    instances: int,
) -> None:
    """Fails if servers are overloaded in turn while others are idle."""
    loads = [dataclasses.replace(LOADS[0], instances=instances)]
    ways = (unaware(Alone), Alone, Expecting, Weighted, TwoChoices, Subset)
    counted = _mean(Simulation, loads)
    assert all(counted < 0.9 * _mean(way, loads) for way in ways)
