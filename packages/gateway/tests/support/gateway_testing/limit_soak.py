"""Add servers that limit their rate, and silent peers, to the soak."""

import asyncio
import pathlib
import signal
import typing

from gateway_testing import limit_watch, link_proxy, soak

_LIMITS = (4, 8, 12)


class LimitSoak(soak.Soak):
    """Count arrivals at limited servers while other faults happen."""

    def __init__(
        self, cluster: typing.Any, calls: typing.Any, seed: int
    ) -> None:
        super().__init__(cluster, calls, seed)
        self.watch = limit_watch.LimitWatch()

    async def run(self, duration_s: float) -> None:
        # Keys move off a limited server, so all of them limit their rate.
        for server in self.cluster.servers:
            self.watch.limit(server, self._random.choice(_LIMITS))
        await super().run(duration_s)
        for name, (arrived, allowed) in self.watch.excess().items():
            self.calls.violations.append(
                f'{name} got {arrived} requests in a window, {allowed} allowed'
            )

    def end_faults(self) -> None:
        for server in self.cluster.servers:
            self.watch.lift(server)
        super().end_faults()

    async def cut_off_peers(self) -> None:
        """Let some instances neither hear nor tell others anything."""
        count = self._random.choice((1, soak.INSTANCES))
        cut = self._random.sample(self.cluster.processes, count)
        pids = {instance.pid for instance in cut}
        for instance in cut:
            instance.signal(signal.SIGUSR2)
        await asyncio.sleep(self._random.uniform(1, 4))
        for instance in cut:
            # One that was started again meanwhile hears the others.
            if instance.pid in pids:
                instance.signal(signal.SIGUSR2)

    async def _start_server_proxy(self, server: typing.Any) -> link_proxy.Proxy:
        self.watch.record_arrivals(server)
        return await super()._start_server_proxy(server)

    def _start_process(
        self, name: str, folder: pathlib.Path, proxy: link_proxy.Proxy
    ) -> None:
        started = self.cluster.start_process(
            name, folder, proxy.port, names_sender=True
        )
        self._disrupt(started)
        start = started.start

        def start_again() -> None:
            start()
            self._disrupt(started)

        started.start = start_again

    def _signal(self, instance: typing.Any, number: signal.Signals) -> None:
        self._disrupt(instance)
        super()._signal(instance, number)

    def _disrupt(self, instance: typing.Any) -> None:
        now = self.watch.clock.now()
        self.watch.disruptions.append((instance.sender, now, now))

    def _faults(self) -> typing.Sequence[typing.Any]:
        cuts = (LimitSoak.cut_off_peers,) * 3
        return (*super()._faults(), *cuts)
