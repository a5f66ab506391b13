"""Load servers that limit their rate through many instances."""

import asyncio
import collections
import itertools
import random
import typing

from gateway_testing import crash_play, limit_watch
from sycamoreferry_gateway import http_client

_DEADLINE_MS = 2_000
_PROCESSING_TIME_S = 0.05


class LimitPlay:
    """Send requests through instances in this process."""

    def __init__(self, cluster: typing.Any, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cluster = cluster
        self.watch = limit_watch.LimitWatch()
        # The statuses of answers; 0 without an answer.
        self.statuses: collections.Counter[int] = collections.Counter()
        self._pool = http_client.ConnectionPool(self.watch.clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        servers: int,
        instances: int,
        *,
        is_keyed: bool = False,
        processing_time_s: float = _PROCESSING_TIME_S,
    ) -> None:
        """Start servers and instances, and wait until all know each other."""
        await self.cluster.start(servers, 0, is_keyed=is_keyed)
        for server in self.cluster.servers:
            server.processing_time_s = processing_time_s
            self.watch.record_arrivals(server)
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

    def name(self, number: int) -> str:
        """Return the name of an instance."""
        return str(self.cluster.instances[number]._deployment.instance)

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
