"""Play servers that limit their rate while other things are disturbed."""

import asyncio
import collections
import dataclasses
import itertools
import random
import typing

from gateway_testing import crash_play
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

# The platform's StabilityWindow, from which on a named limit holds.
STABILITY_MS = 3_000
WINDOW_MS = 4_000
_DEADLINE_MS = 2_000
_PROCESSING_TIME_S = 0.05
_SENDER_HEADER = 'sent-by'


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Record that a request reached a limited server."""

    at: int
    sender: str


class LimitPlay:
    """Load limited servers through many instances, and count what arrives."""

    def __init__(self, cluster: typing.Any, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cluster = cluster
        self.arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        # The statuses of answers; 0 without an answer.
        self.statuses: collections.Counter[int] = collections.Counter()
        # Who was disrupted, from when to when.
        self.disruptions: list[tuple[str, int, int]] = []
        self._limits: dict[str, list[tuple[int, float]]] = {}
        self.clock = boot_clock.BootClock()
        self._pool = http_client.ConnectionPool(self.clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self, servers: int, instances: int, *, is_keyed: bool = False
    ) -> None:
        """Start servers and instances, and wait until all know each other."""
        await self.cluster.start(servers, 0, is_keyed=is_keyed)
        for server in self.cluster.servers:
            server.processing_time_s = _PROCESSING_TIME_S
            self._record_arrivals(server)
        for number in range(instances):
            crash_play.name_sender(self.cluster.add_instance(f'i{number}'))
        await self.cluster.wait_until(self._is_ready, limit_s=30)
        if is_keyed:
            await self.cluster.wait_until(self.cluster.is_covered, limit_s=20)

    def stop(self) -> None:
        """End the load."""
        for task in self._tasks:
            task.cancel()

    def load(self, requests_per_s: float) -> None:
        """Send requests at irregular intervals through random instances."""
        self._tasks.append(asyncio.create_task(self._load(requests_per_s)))

    def limit(self, server: typing.Any, requests_per_s: float) -> None:
        """Let a server name a limit in its answers from now on."""
        server.rate_limit = str(requests_per_s)
        changes = self._limits.setdefault(server.name, [])
        changes.append((self.clock.now(), requests_per_s))

    def excess(self) -> dict[str, tuple[int, float]]:
        """Return the servers with too many arrivals, and what was allowed."""
        found = {}
        for name in self._limits:
            arrived, allowed = self.worst_window(name)
            if arrived > allowed:
                found[name] = (arrived, allowed)
        return found

    def worst_window(self, name: str) -> tuple[int, float]:
        """Return the arrivals of the window that exceeds its bound most."""
        since = self._limits[name][0][0] + STABILITY_MS
        times = [
            arrival.at
            for arrival in self.arrivals[name]
            if arrival.at >= since and not self._is_excused(arrival)
        ]
        windows = [
            (
                sum(start <= at < start + WINDOW_MS for at in times),
                1.5 * self._allowed(name, start) + 5,
            )
            for start in times
        ]
        return max(windows, key=lambda row: row[0] - row[1], default=(0, 5.0))

    def name(self, number: int) -> str:
        """Return the name of an instance."""
        return str(self.cluster.instances[number]._deployment.instance)

    def _record_arrivals(self, server: typing.Any) -> None:
        run = server._run
        arrived = self.arrivals[server.name]

        async def record(request: typing.Any) -> typing.Any:
            sender = request.header(_SENDER_HEADER) or ''
            arrived.append(Arrival(self.clock.now(), sender))
            return await run(request)

        server._run = record

    def _allowed(self, name: str, start: int) -> float:
        """Return the requests that the limits of a window add up to."""
        changes = self._limits[name]
        ends = [at for at, _ in changes[1:]] + [start + WINDOW_MS]
        total_ms = 0.0
        for (begins_at, limit), ends_at in zip(changes, ends, strict=True):
            # A change reaches the instances with the next answers.
            lasts_ms = min(ends_at, start + WINDOW_MS) - max(begins_at, start)
            total_ms += limit * max(0, lasts_ms)
        return total_ms / 1_000

    def _is_excused(self, arrival: Arrival) -> bool:
        """Tell whether the sender was disrupted within the window."""
        return any(
            who == arrival.sender
            and begins_at <= arrival.at
            and ends_at >= arrival.at - STABILITY_MS
            for who, begins_at, ends_at in self.disruptions
        )

    def _is_ready(self) -> bool:
        instances = self.cluster.instances
        return all(
            one.is_ready
            and len(one._view.peers.alive(one._clock.now()))
            == len(instances) - 1
            for one in instances
        )

    async def _load(self, requests_per_s: float) -> None:
        calls: set[asyncio.Task[None]] = set()
        for number in itertools.count():
            call = asyncio.create_task(self._call(number))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(self.random.expovariate(requests_per_s))

    async def _call(self, number: int) -> None:
        running = [
            one for one in self.cluster.instances if not one._stop.is_set()
        ]
        called = self.random.choice(running)
        payload = self.cluster.encode_request(
            f'r{number}',
            self.random.randrange(65_536),
            path=f'/k/{number}',
            deadline_ms=_DEADLINE_MS,
        )
        reply = await self._pool.exchange(
            called._deployment.request_address, payload, _DEADLINE_MS
        )
        if isinstance(reply, http_client.FailedExchange):
            self.statuses[0] += 1
        else:
            self.statuses[reply.status] += 1
