"""Inject faults into real processes while callers and servers check them."""

import asyncio
import http
import math
import pathlib
import random
import signal
import typing

from gateway_testing import link_proxy, pipelining_caller
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

INSTANCES = 3
SERVERS = 3
CALLERS = 6
# Faults of this many concurrent series overlap.
SERIES = 2
PROCESSING_TIME_S = 0.06
DEADLINE_MS = 1_000
KEYS = tuple(range(0, 65_536, 4_096))


class Soak:
    """Inject the faults of a seed and record violated guarantees."""

    series = SERIES
    is_keyed = True

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
        self.proxies: list[link_proxy.Proxy] = []
        # The faults in the order in which they ended.
        self.timeline: list[str] = []
        self._random = random.Random(seed)
        self._resumed_at = 0.0
        self._began_at = 0.0

    async def start(self, folder: pathlib.Path) -> None:
        cluster = self.cluster
        await cluster.start(SERVERS, 0, kind='unsafe', is_keyed=self.is_keyed)
        for server in cluster.servers:
            proxy = await self._start_server_proxy(server)
            server.public_port = proxy.port
            server.processing_time_s = PROCESSING_TIME_S
            server.register()
        for number in range(INSTANCES):
            proxy = await self._proxy(cluster.store.port)
            self._start_process(f'i{number}', folder, proxy)
        await self._wait_until_covered(20)
        for instance in cluster.processes:
            await _wait_until_ready(instance)

    def stop(self) -> None:
        for proxy in self.proxies:
            proxy.stop()

    async def run(self, duration_s: float) -> None:
        """Inject faults under load, then end them and check the recovery."""
        self._began_at = asyncio.get_running_loop().time()
        tasks = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        pipelining = pipelining_caller.PipeliningCaller(
            self.cluster, self.calls, KEYS, self.seed
        )
        tasks.append(asyncio.create_task(pipelining.call_forever(DEADLINE_MS)))
        tasks.append(asyncio.create_task(self._watch_owners()))
        await asyncio.gather(
            *(self._inject_faults(duration_s) for _ in range(self.series))
        )
        self.end_faults()
        try:
            await self._wait_until_covered(25)
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

    async def _wait_until_covered(self, limit_s: float) -> None:
        """Wait until each key has one owner, if servers hold keys."""
        if self.is_keyed:
            await self.cluster.wait_until(
                self.cluster.is_covered, limit_s=limit_s
            )

    async def _inject_faults(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_s
        while loop.time() < ends_at:
            fault = self._random.choice(self._faults())
            begins_at = loop.time()
            await fault(self)
            self._log_fault(fault.__name__, begins_at)
            await asyncio.sleep(self._random.uniform(0.1, 0.8))

    def _log_fault(self, name: str, begins_at: float) -> None:
        ends_at = asyncio.get_running_loop().time()
        begin_s = begins_at - self._began_at
        end_s = ends_at - self._began_at
        self.timeline.append(f'{begin_s:.3f} s to {end_s:.3f} s: {name}')

    def end_faults(self) -> None:
        for server in self.cluster.servers:
            server.register()
        for proxy in self.proxies:
            proxy.change(link_proxy.LinkState.HEALTHY)
        for instance in self.cluster.processes:
            self._signal(instance, signal.SIGCONT)
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
        self._signal(instance, signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 2.5))
        self._signal(instance, signal.SIGCONT)
        self._resumed_at = asyncio.get_running_loop().time()

    async def kill(self) -> None:
        instance = self._random.choice(self.cluster.processes)
        instance.signal(signal.SIGKILL)
        await asyncio.sleep(self._random.uniform(0.1, 1))
        instance.end()
        instance.start()

    async def restart(self) -> None:
        instance = self._random.choice(self.cluster.processes)
        self._signal(instance, signal.SIGTERM)
        await asyncio.sleep(3.2)
        instance.end()
        instance.start()

    async def cut_off_server(self) -> None:
        """Remove a server's entry from the store and cut its connections."""
        number = self._random.choice(self._steady_servers())
        server = self.cluster.servers[number]
        link_state = self._random.choice(
            (link_proxy.LinkState.DROPPING, link_proxy.LinkState.RESET)
        )
        self.proxies[number].change(link_state)
        self.cluster.store.put('keyed.servers', server.name, b'')
        await asyncio.sleep(self._random.uniform(0.5, 3))
        self._restore([self.proxies[number]])
        self._register(number)

    async def restart_server(self) -> None:
        number = self._random.choice(self._steady_servers())
        self.cluster.servers[number].restart()

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

    def _steady_servers(self) -> typing.Sequence[int]:
        """Return the numbers of the servers that may lapse or restart."""
        return range(SERVERS)

    def _register(self, number: int) -> None:
        self.cluster.servers[number].register()

    def _signal(self, instance: typing.Any, number: signal.Signals) -> None:
        instance.signal(number)

    async def _start_server_proxy(self, server: typing.Any) -> link_proxy.Proxy:
        return await self._proxy(server.port)

    def _start_process(
        self, name: str, folder: pathlib.Path, proxy: link_proxy.Proxy
    ) -> None:
        self.cluster.start_process(
            name, folder, proxy.port, cut_ports=self._cut_ports()
        )

    def _cut_ports(self) -> tuple[int, ...]:
        if not self._has_partitions:
            return ()
        return tuple(proxy.port for proxy in self.proxies[:SERVERS])

    def _faults(self) -> typing.Sequence[typing.Any]:
        if self._has_partitions:
            return (*_FAULTS, Soak.cut_off_instances, Soak.limit_rate)
        return _FAULTS

    async def _proxy(self, port: int) -> link_proxy.Proxy:
        proxy = link_proxy.Proxy(port)
        await proxy.start()
        self.proxies.append(proxy)
        return proxy

    async def _degrade(
        self, proxies: list[link_proxy.Proxy], max_s: float
    ) -> None:
        link_state = self._random.choice(tuple(link_proxy.LinkState)[1:])
        for proxy in proxies:
            proxy.change(link_state)
        await asyncio.sleep(self._random.uniform(0.2, max_s))
        self._restore(proxies)

    def _restore(self, proxies: list[link_proxy.Proxy]) -> None:
        """End a fault, and reset the connections in half of the cases."""
        if self._random.choice((True, False)):
            for proxy in proxies:
                proxy.change(link_proxy.LinkState.RESET)
        for proxy in proxies:
            proxy.change(link_proxy.LinkState.HEALTHY)

    async def _call(self) -> None:
        """Send requests one after another, over reused connections."""
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        while True:
            instance = self._random.choice(self.cluster.processes)
            key = self._random.choice(KEYS)
            await self._call_once(pool, instance, key)
            await asyncio.sleep(0.02)

    async def _call_once(
        self,
        pool: http_client.ConnectionPool,
        instance: typing.Any,
        key: int,
    ) -> None:
        await self.calls.call(pool, instance, key, DEADLINE_MS)

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
                        f'key {key} is held by {owners} '
                        f'({now - self._began_at:.3f} s)'
                    )
                    # Reports it once.
                    since[key] = math.inf


async def _wait_until_ready(instance: typing.Any) -> None:
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    payload = http_client.encode_request('GET', '/readiness', (), b'')
    async with asyncio.timeout(10):
        while True:
            reply = await pool.exchange(
                instance.deployment.readiness_address, payload, 1_000
            )
            if getattr(reply, 'status', 0) == http.HTTPStatus.OK:
                return
            await asyncio.sleep(0.02)


_FAULTS = (
    Soak.degrade_store_links,
    Soak.degrade_server_link,
    Soak.pause,
    Soak.kill,
    Soak.restart,
    Soak.cut_off_server,
    Soak.restart_server,
)
