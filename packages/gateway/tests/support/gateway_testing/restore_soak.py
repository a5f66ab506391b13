"""Add a store that loses records and servers in trouble to the soak."""

import asyncio
import itertools
import pathlib
import signal
import typing

from gateway_testing import link_proxy, promise_watch, server_front, soak
from sycamoreferry_core import http_messages

SERIES = 3
REWRITTEN_TOPICS = frozenset(('keyed.op', 'keyed.servers'))


class RestoreSoak(soak.Soak):
    """Restore copies of the store while servers leave or fail."""

    series = SERIES

    def __init__(
        self, cluster: typing.Any, calls: typing.Any, seed: int
    ) -> None:
        super().__init__(cluster, calls, seed)
        self.watch = promise_watch.PromiseWatch(calls.violations, calls.sent_at)
        self.fronts: list[server_front.ServerFront] = []
        self._earliest_copy = 0
        self._is_restoring = False
        self._numbers = itertools.count()

    def stop(self) -> None:
        super().stop()
        for front in self.fronts:
            front.stop()

    async def run(self, duration_s: float) -> None:
        self.watch.begin()
        await super().run(duration_s)
        self.watch.check_back_offs()

    async def restore_store(self) -> None:
        """Return to a copy; what others than the system wrote is written again.

        A key that was written anew meanwhile keeps its newer record.
        """
        store = self.cluster.store
        if self._is_restoring:
            return
        self._is_restoring = True
        away_at = store.clock.now()
        store.is_down = True
        await asyncio.sleep(self._random.uniform(0.2, 3))
        age_ms = int(self._random.uniform(1_000, 6_000))
        lost = store.return_to_copy(max(self._earliest_copy, away_at - age_ms))
        kept = {topic: len(rows) for topic, rows in store.topics.items()}
        store.is_down = False
        await asyncio.sleep(
            self._random.choice((0, self._random.uniform(0, 2)))
        )
        newer = {
            (topic, row[0])
            for topic, count in kept.items()
            for row in store.topics[topic][count:]
        }
        for topic, key, content in lost:
            if topic in REWRITTEN_TOPICS and (topic, key) not in newer:
                store.put(topic, key, content)
        self._is_restoring = False

    async def leave(self) -> None:
        """Let a server name its leaving, go on for a while, and start again."""
        if any(front.is_leaving for front in self.fronts):
            return
        number = self._random.choice(self._steady_servers())
        front = self.fronts[number]
        server = self.cluster.servers[number]
        front.is_leaving = True
        await asyncio.sleep(self._random.uniform(0, 3))
        if self._random.choice((True, False)):
            server.register('draining')
        else:
            self.cluster.store.put('keyed.servers', server.name, b'')
        await asyncio.sleep(self._random.uniform(2.2, 5))
        front.stop()
        server.granted.clear()
        self.cluster.store.put('keyed.servers', server.name, b'')
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        front.is_leaving = False
        server.restart()
        await front.start()

    async def ask_to_back_off(self) -> None:
        """Let a server turn requests away and ask callers to back off."""
        front = self._random.choice(self.fronts)
        front.back_off_s = self._random.choice((1, 2, 3))
        await asyncio.sleep(self._random.uniform(0.3, 3))
        front.back_off_s = 0

    async def answer_without_end(self) -> None:
        """Replace the answers of a server with bytes that don't end."""
        proxy = self._random.choice(self.proxies[: soak.SERVERS])
        proxy.replace_answers(
            self._random.choice(tuple(link_proxy.EndlessAnswer))
        )
        await asyncio.sleep(self._random.uniform(0.3, 1.5))
        proxy.replace_answers(None)

    def _faults(self) -> typing.Sequence[typing.Any]:
        return (*super()._faults(), *_FAULTS)

    def _steady_servers(self) -> typing.Sequence[int]:
        return [
            number
            for number, front in enumerate(self.fronts)
            if not front.is_leaving
        ]

    def _register(self, number: int) -> None:
        if not self.fronts[number].is_leaving:
            super()._register(number)

    async def _start_server_proxy(self, server: typing.Any) -> link_proxy.Proxy:
        front = server_front.ServerFront(server, self.watch)
        await front.start()
        self.fronts.append(front)
        proxy = await self._proxy(front.port)
        self.watch.server_links[server.name] = proxy
        return proxy

    def _start_process(
        self, name: str, folder: pathlib.Path, proxy: link_proxy.Proxy
    ) -> None:
        # Earlier copies hold addresses of servers that bypass their fronts.
        self._earliest_copy = (
            self._earliest_copy or self.cluster.store.clock.now()
        )
        self.watch.store_links[name] = proxy
        self.cluster.start_process(name, folder, proxy.port, names_sender=True)

    def _signal(self, instance: typing.Any, number: signal.Signals) -> None:
        now = asyncio.get_running_loop().time()
        if number in {signal.SIGSTOP, signal.SIGTERM}:
            self.watch.pauses[instance.sender].begin(now)
        elif number is signal.SIGCONT:
            self.watch.pauses[instance.sender].end(now)
        super()._signal(instance, number)

    async def _call_once(
        self, pool: typing.Any, instance: typing.Any, key: int
    ) -> None:
        """Call an instance; requests differ, so that none is quarantined."""
        sender = instance.sender
        reply = await self.calls.call(
            pool,
            instance,
            key,
            soak.DEADLINE_MS,
            path=f'/k/{next(self._numbers)}',
        )
        is_reply = isinstance(reply, http_messages.HttpResponse)
        if is_reply and reply.status == 200:
            self.watch.pass_on(sender, reply.header('request-id') or '')


_FAULTS = (
    RestoreSoak.restore_store,
    RestoreSoak.restore_store,
    RestoreSoak.leave,
    RestoreSoak.ask_to_back_off,
    RestoreSoak.answer_without_end,
)
