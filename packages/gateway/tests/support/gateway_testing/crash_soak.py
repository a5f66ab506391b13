"""Add requests that crash their servers to the soak."""

import asyncio
import itertools
import pathlib
import signal
import typing

from gateway_testing import (
    caller_addresses,
    crash_play,
    crashing_server,
    link_proxy,
    soak,
)

_INTERVAL_S = 0.1
_DOWN_S = 2.0


class CrashSoak(soak.Soak):
    """Repeat requests that crash their servers while other faults happen."""

    def __init__(
        self, cluster: typing.Any, calls: typing.Any, seed: int
    ) -> None:
        super().__init__(cluster, calls, seed)
        self.log = crashing_server.ArrivalLog()
        self._fronts: list[crashing_server.CrashingServer] = []
        self._store_links: dict[str, link_proxy.Proxy] = {}
        self._disrupted: dict[str, list[int]] = {}
        self._numbers = itertools.count()
        self._pools = caller_addresses.CallerPools(seed)

    def stop(self) -> None:
        super().stop()
        for front in self._fronts:
            front.stop()

    async def run(self, duration_s: float) -> None:
        await super().run(duration_s)
        for path in list(self.log.crashed_at):
            late = self._late_arrivals(path)
            if len(late) > crash_play.ALLOWED_LATE_ARRIVALS:
                self.calls.violations.append(
                    f'{path}, which crashed servers at '
                    f'{self.log.crashed_at[path]}, was sent again: {late}'
                )

    async def crash_servers(self) -> None:
        """Repeat a request for a while that crashes the servers that run it."""
        path = f'{crashing_server.CRASHING_PATH}/{next(self._numbers)}'
        deadline_ms = self._random.choice((20, 200, 1_000))
        calls = []
        for _ in range(int(self._random.uniform(2, 8) / _INTERVAL_S)):
            instance = self._random.choice(self.cluster.processes)
            key = self._random.choice(soak.KEYS)
            payload = self.cluster.encode_request(
                f'{path}-{next(self._numbers)}',
                key,
                path=path,
                deadline_ms=deadline_ms,
                method='POST',
            )
            exchange = self._pools.choose().exchange(
                instance.deployment.request_address, payload, deadline_ms
            )
            calls.append(asyncio.create_task(exchange))
            await asyncio.sleep(_INTERVAL_S)
        await asyncio.gather(*calls)
        # A server that is down is a part of this fault.
        await self.cluster.wait_until(
            lambda: all(front.is_up for front in self._fronts)
        )

    def _late_arrivals(self, path: str) -> list[crashing_server.Arrival]:
        """Return the late arrivals, less those of disrupted senders."""
        return [
            arrival
            for arrival in self.log.late_arrivals(path, crash_play.STABILITY_MS)
            if not self._is_excused(arrival)
        ]

    def _is_excused(self, arrival: crashing_server.Arrival) -> bool:
        """Tell whether the sender or its link to the store was disrupted."""
        since = arrival.at - crash_play.STABILITY_MS
        if any(at >= since for at in self._disrupted.get(arrival.sender, ())):
            return True
        link = self._store_links[arrival.sender.partition('/')[0]]
        return link.faults.overlap(since / 1_000, arrival.at / 1_000)

    async def _start_server_proxy(self, server: typing.Any) -> link_proxy.Proxy:
        front = crashing_server.CrashingServer(
            server,
            self.cluster.store,
            self.log,
            down_s=_DOWN_S,
            keeps_address=True,
        )
        await front.start()
        self._fronts.append(front)
        return await self._proxy(front.port)

    def _start_process(
        self, name: str, folder: pathlib.Path, proxy: link_proxy.Proxy
    ) -> None:
        self._store_links[name] = proxy
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
        moments = self._disrupted.setdefault(instance.sender, [])
        moments.append(self.log.clock.now())

    def _faults(self) -> typing.Sequence[typing.Any]:
        return (*super()._faults(), CrashSoak.crash_servers)
