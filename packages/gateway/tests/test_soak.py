"""Inject faults into real processes and check what callers and servers see.

A seed determines the faults: connections that are reset, lose data or are
slow; instances that are paused, killed or restarted; servers that restart.
FERRY_SOAK_SEEDS=1,2,3 runs other seeds, FERRY_SOAK_S sets the seconds of each.
"""

import asyncio
import enum
import os
import pathlib
import random
import signal
import typing

import pytest

from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

_ALIKE_REQUESTS = 'requests that are alike were taken for one that ends servers'
# Each seed that ever failed, with the cause of its failure.
REGRESSION_SEEDS: dict[int, str] = {
    1: 'a new incarnation kept a renewal that was meant for the earlier one',
    67: _ALIKE_REQUESTS,
    76: _ALIKE_REQUESTS,
    98: _ALIKE_REQUESTS,
}
SHORT_SEEDS = (2,)
INSTANCES = 3
SERVERS = 3
CALLERS = 6
# Faults of this many concurrent series overlap.
SERIES = 2
PROCESSING_TIME_S = 0.06
DEADLINE_MS = 1_000
KEYS = tuple(range(0, 65_536, 4_096))


@enum.unique
class LinkState(enum.Enum):
    """Select what a proxy does to the data of its connections."""

    HEALTHY = 'fine'
    SLOW = 'slow'
    DROPPING = 'silent'
    REPLIES_DROPPED = 'one way'
    RESET = 'reset'


class Proxy:
    """Forward connections to a loopback port, subject to a link state."""

    def __init__(self, target_port: int) -> None:
        self.link_state = LinkState.HEALTHY
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        self.change(LinkState.RESET)
        for task in self._tasks:
            task.cancel()

    def change(self, link_state: LinkState) -> None:
        self.link_state = link_state
        if link_state is LinkState.RESET:
            for writer in self._writers:
                writer.transport.abort()

    async def _accept(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.link_state is LinkState.RESET:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            upstream = await asyncio.open_connection(
                '127.0.0.1', self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, upstream[1])
        self._writers.update(writers)
        await asyncio.gather(
            self._forward(reader, upstream[1], is_answer=False),
            self._forward(upstream[0], writer, is_answer=True),
        )
        self._writers.difference_update(writers)
        self._tasks.discard(task)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        try:
            while chunk := await reader.read(65_536):
                if self.link_state is LinkState.SLOW:
                    await asyncio.sleep(0.15)
                if not self._drops(is_answer=is_answer):
                    writer.write(chunk)
        except OSError:
            writer.transport.abort()
        else:
            writer.close()

    def _drops(self, *, is_answer: bool) -> bool:
        if self.link_state is LinkState.REPLIES_DROPPED:
            return is_answer
        return self.link_state is LinkState.DROPPING


class Soak:
    """Inject the faults of a seed and record violated guarantees."""

    def __init__(
        self,
        cluster: typing.Any,
        calls: typing.Any,
        seed: int,
        *,
        has_partitions: bool = False,
    ) -> None:
        self.seed = seed
        self._has_partitions = has_partitions
        self.cluster = cluster
        self.calls = calls
        self.proxies: list[Proxy] = []
        self._random = random.Random(seed)
        self._resumed_at = 0.0

    async def start(self, folder: pathlib.Path) -> None:
        cluster = self.cluster
        await cluster.start(SERVERS, 0, kind='unsafe')
        for server in cluster.servers:
            proxy = await self._proxy(server.port)
            server.public_port = proxy.port
            server.processing_time_s = PROCESSING_TIME_S
            server.register()
        for number in range(INSTANCES):
            proxy = await self._proxy(cluster.store.port)
            cluster.start_process(
                f'i{number}', folder, proxy.port, cut_ports=self._cut_ports()
            )
        await cluster.wait_until(cluster.is_covered, limit_s=20)

    def stop(self) -> None:
        for proxy in self.proxies:
            proxy.stop()

    async def run(self, duration_s: float) -> None:
        """Inject faults under load, then end them and check the recovery."""
        tasks = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        tasks.append(asyncio.create_task(self._watch_owners()))
        await asyncio.gather(
            *(self._inject_faults(duration_s) for _ in range(SERIES))
        )
        self.end_faults()
        try:
            await self.cluster.wait_until(self.cluster.is_covered, limit_s=25)
        except TimeoutError:
            self.calls.violations.append(
                'keys without exactly one owner 25 s after the faults ended'
            )
        before = self.calls.answered_count
        await asyncio.sleep(1)
        if self.calls.answered_count == before:
            self.calls.violations.append(
                'no request got a 200 in 1 s after the faults ended'
            )
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.calls.check_runs()

    async def _inject_faults(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            await self._random.choice(self._faults())(self)
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    def end_faults(self) -> None:
        for server in self.cluster.servers:
            server.register()
        for proxy in self.proxies:
            proxy.change(LinkState.HEALTHY)
        for instance in self.cluster.processes:
            instance.signal(signal.SIGCONT)
            if not instance.is_running:
                instance.start()
        self._resumed_at = asyncio.get_running_loop().time()

    async def degrade_store_links(self) -> None:
        proxies = self.proxies[SERVERS:]
        count = self._random.choice((1, 1, INSTANCES))
        await self._degrade(self._random.sample(proxies, count), 3)

    async def degrade_server_link(self) -> None:
        server_proxies = self.proxies[:SERVERS]
        await self._degrade([self._random.choice(server_proxies)], 1)

    async def pause(self) -> None:
        instance = self._random.choice(self.cluster.processes)
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.5))
        instance.signal(signal.SIGCONT)
        self._resumed_at = asyncio.get_running_loop().time()

    async def kill(self) -> None:
        instance = self._random.choice(self.cluster.processes)
        instance.signal(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.1, 1))
        instance.end()
        instance.start()

    async def restart(self) -> None:
        instance = self._random.choice(self.cluster.processes)
        instance.signal(signal.SIGTERM)
        await asyncio.sleep(3.2)
        instance.end()
        instance.start()

    async def cut_off_server(self) -> None:
        """Remove a server's entry from the store and cut its connections."""
        number = self._random.randrange(SERVERS)
        server = self.cluster.servers[number]
        link_state = self._random.choice((LinkState.DROPPING, LinkState.RESET))
        self.proxies[number].change(link_state)
        self.cluster.store.put('keyed.servers', server.name, b'')
        await asyncio.sleep(self._random.uniform(0.5, 3))
        self._restore([self.proxies[number]])
        server.register()

    async def restart_server(self) -> None:
        self._random.choice(self.cluster.servers).restart()

    async def cut_off_instances(self) -> None:
        """Cut some instances off from all servers, but not from each other."""
        count = self._random.choice((1, 1, INSTANCES - 1))
        cut = self._random.sample(self.cluster.processes, count)
        pids = {instance.pid for instance in cut}
        for instance in cut:
            instance.signal(signal.SIGUSR1)
        await asyncio.sleep(self._random.uniform(1, 4))
        for instance in cut:
            # One that was started again meanwhile is not cut off any more.
            if instance.pid in pids:
                instance.signal(signal.SIGUSR1)

    async def limit_rate(self) -> None:
        server = self._random.choice(self.cluster.servers)
        server.rate_limit = str(self._random.choice((1, 3, 8)))
        await asyncio.sleep(self._random.uniform(1, 4))
        server.rate_limit = ''

    def _cut_ports(self) -> tuple[int, ...]:
        if not self._has_partitions:
            return ()
        return tuple(proxy.port for proxy in self.proxies[:SERVERS])

    def _faults(self) -> typing.Sequence[typing.Any]:
        if self._has_partitions:
            return (*_FAULTS, Soak.cut_off_instances, Soak.limit_rate)
        return _FAULTS

    async def _proxy(self, port: int) -> Proxy:
        proxy = Proxy(port)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def _degrade(self, proxies: list[Proxy], max_s: float) -> None:
        link_state = self._random.choice(tuple(LinkState)[1:])
        for proxy in proxies:
            proxy.change(link_state)
        await asyncio.sleep(self._random.uniform(0.2, max_s))
        self._restore(proxies)

    def _restore(self, proxies: list[Proxy]) -> None:
        """End a fault, and reset the connections in half of the cases."""
        if self._random.choice((True, False)):
            for proxy in proxies:
                proxy.change(LinkState.RESET)
        for proxy in proxies:
            proxy.change(LinkState.HEALTHY)

    async def _call(self) -> None:
        """Send requests one after another, over reused connections."""
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        while True:
            instance = self._random.choice(self.cluster.processes)
            key = self._random.choice(KEYS)
            await self.calls.call(pool, instance, key, DEADLINE_MS)
            await asyncio.sleep(0.02)

    async def _watch_owners(self) -> None:
        """Record keys that two servers hold for longer than half a second."""
        since: dict[int, float] = {}
        while True:
            await asyncio.sleep(0.02)
            now = asyncio.get_running_loop().time()
            for key in KEYS:
                owners = self.cluster.owners(key)
                if len(owners) < 2:
                    since.pop(key, None)
                elif (now - since.setdefault(key, now)) * 2 > 1:
                    self.calls.violations.append(
                        f'key {key} is held by {owners}'
                    )


_FAULTS = (
    Soak.degrade_store_links,
    Soak.degrade_server_link,
    Soak.pause,
    Soak.kill,
    Soak.restart,
    Soak.cut_off_server,
    Soak.restart_server,
)


def _seeds() -> list[int]:
    chosen = os.environ.get('FERRY_SOAK_SEEDS')
    if chosen:
        return [int(seed) for seed in chosen.split(',')]
    return [*SHORT_SEEDS, *REGRESSION_SEEDS]


def _partition_seeds() -> list[int]:
    if os.environ.get('FERRY_SOAK_SEEDS'):
        return _seeds()
    return list(SHORT_SEEDS)


async def _play(soak: Soak, folder: pathlib.Path) -> None:
    try:
        await soak.start(folder)
        await soak.run(float(os.environ.get('FERRY_SOAK_S', '8')))
    finally:
        soak.stop()
    assert not soak.calls.violations, f'seed {soak.seed}; logs in {folder}'
    assert soak.calls.answered_count > 50


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _seeds())
async def test_promises_hold_under_faults(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    await _play(Soak(cluster, checked_calls, seed), tmp_path)


@pytest.mark.processes
@pytest.mark.timeout(120)
@pytest.mark.parametrize('seed', _partition_seeds())
async def test_promises_hold_under_partitions_and_rate_limits(
    cluster: typing.Any,
    checked_calls: typing.Any,
    tmp_path: pathlib.Path,
    seed: int,
) -> None:
    soak = Soak(cluster, checked_calls, seed, has_partitions=True)
    await _play(soak, tmp_path)
