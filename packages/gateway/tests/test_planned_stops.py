"""Stop real processes as planned while their callers wait for busy servers.

FERRY_SOAK_SEEDS=1,2,3 runs other seeds.
"""

import asyncio
import os
import pathlib
import random
import signal
import typing

import pytest

from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

SHORT_SEED = 0
# Each seed that ever failed, with the cause of its failure.
REGRESSION_SEEDS: dict[int, str] = {
    10: 'processes were still ending when their grace time was over',
}
INSTANCES = 4
IN_TURN = 2
CALLERS = 60
KEYS = tuple(range(0, 65_536, 4_096))
# The grace time in the settings of the processes.
GRACE_S = 3
# One server outlasts the grace time, so that its requests still run at the end.
PROCESSING_TIMES_S = (0.3, 3.5)
# Longer than the grace time.
DEADLINE_MS = 6_000
# Long enough that requests wait until after their instance has stopped.
OBJECTIVE_MS = 5_000
LONGEST_PAUSE_S = 1


class PlannedStops:
    """Stop and start the instances of a seed and check their answers."""

    def __init__(
        self, cluster: typing.Any, calls: typing.Any, seed: int
    ) -> None:
        self.cluster = cluster
        self.calls = calls
        self.waiting_at_stop_count = 0
        self._random = random.Random(seed)
        self._pool = http_client.ConnectionPool(boot_clock.BootClock())
        self._stopping: list[typing.Any] = []
        # When an instance that wasn't stopping last served a request.
        self._served_at = 0.0

    async def start(self, folder: pathlib.Path, *, with_permits: bool) -> None:
        for number in range(INSTANCES):
            self.cluster.start_process(
                f'i{number}',
                folder,
                self.cluster.store.port,
                with_permits=with_permits,
            )
        await self.cluster.wait_until(self.cluster.is_covered, limit_s=20)
        for number, server in enumerate(self.cluster.servers):
            server.processing_time_s = PROCESSING_TIMES_S[number]

    async def run(self) -> None:
        """Stop instances in turn, then several at the same moment."""
        callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        await self._wait_until_ready(self.cluster.processes)
        in_turn = self._random.sample(self.cluster.processes, IN_TURN)
        async with asyncio.TaskGroup() as group:
            for instance in in_turn:
                group.create_task(self._restart([instance]))
                await asyncio.sleep(self._random.uniform(1, GRACE_S / 2))
        count = self._random.randrange(2, INSTANCES)
        await self._restart(self._random.sample(self.cluster.processes, count))
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        self.calls.check_runs()

    async def _restart(self, instances: list[typing.Any]) -> None:
        stopped_at = asyncio.get_running_loop().time()
        self._stopping += instances
        self.waiting_at_stop_count += sum(
            instance in instances for instance in self.calls.in_flight.values()
        )
        for instance in instances:
            instance.signal(signal.SIGTERM)
        for instance in instances:
            await self._check_exit(instance, stopped_at)
        if self._served_at < stopped_at:
            self.calls.violations.append(
                f'no other instance served while {len(instances)} stopped'
            )
        for instance in instances:
            instance.start()
            self._stopping.remove(instance)
        await self._wait_until_ready(instances)

    async def _check_exit(
        self, instance: typing.Any, stopped_at: float
    ) -> None:
        left_s = stopped_at + GRACE_S - asyncio.get_running_loop().time()
        name = instance.deployment.instance
        try:
            await self.cluster.wait_until(
                lambda: not instance.is_running, limit_s=left_s
            )
        except TimeoutError:
            self.calls.violations.append(f'{name} runs after its grace time')
            instance.end()
        if instance.process.returncode:
            self.calls.violations.append(
                f'{name} ended with status {instance.process.returncode}'
            )

    async def _wait_until_ready(self, instances: list[typing.Any]) -> None:
        payload = http_client.encode_request('GET', '/readiness', (), b'')
        async with asyncio.timeout(20):
            for instance in instances:
                address = instance.deployment.readiness_address
                while True:
                    reply = await self._pool.exchange(address, payload, 1_000)
                    if _status(reply) == 200:
                        break
                    await asyncio.sleep(0.05)

    async def _call(self) -> None:
        """Send requests one after another, over connections that are kept."""
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        while True:
            instance = self._random.choice(self.cluster.processes)
            key = self._random.choice(KEYS)
            reply = await self.calls.call(pool, instance, key, DEADLINE_MS)
            if instance not in self._stopping and _status(reply) == 200:
                self._served_at = asyncio.get_running_loop().time()
            await asyncio.sleep(_pause_s(reply))


def _status(reply: typing.Any) -> int:
    is_failed = isinstance(reply, http_client.FailedExchange)
    return 0 if is_failed else reply.status


def _pause_s(reply: typing.Any) -> float:
    if _status(reply) != 503:
        return 0.02
    return min(float(reply.header('retry-after')), LONGEST_PAUSE_S)


def _seeds() -> list[int]:
    chosen = os.environ.get('FERRY_SOAK_SEEDS')
    if chosen:
        return [int(seed) for seed in chosen.split(',')]
    return [SHORT_SEED, *REGRESSION_SEEDS]


@pytest.mark.processes
@pytest.mark.parametrize('seed', _seeds())
@pytest.mark.parametrize(
    'with_permits', [False, True], ids=['direct', 'permits']
)
async def test_planned_stops_leave_no_request_without_an_answer(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    encode_configuration: typing.Callable[..., bytes],
    *,
    with_permits: bool,
    seed: int,
) -> None:
    await cluster.start(len(PROCESSING_TIMES_S), 0, kind='unsafe')
    content = encode_configuration(
        2, 'unsafe', timeout_ms=DEADLINE_MS, objective_ms=OBJECTIVE_MS
    )
    cluster.store.put('keyed.op', 'config', content)
    stops = PlannedStops(cluster, checked_calls, seed)
    await stops.start(tmp_path, with_permits=with_permits)
    await stops.run()
    violations = '; '.join(stops.calls.violations)
    assert not violations, f'seed {seed}; logs in {tmp_path}'
    assert stops.calls.answered_count > 50
    assert stops.waiting_at_stop_count
