"""Disturb instances, their links and servers that limit their rate."""

import asyncio
import contextlib
import random
import typing

from gateway_testing import crash_play, limit_play

_FAULT_S = 5.0
_STALL_S = 1.5
_LOST_SHARE = 0.3

_IsBlocked = typing.Callable[[int, int], bool]


@contextlib.contextmanager
def blocked_links(
    instances: typing.Sequence[typing.Any], is_blocked: _IsBlocked
) -> typing.Iterator[None]:
    """Drop the datagrams from one number to another, as a function asks."""
    sockets = [one._exchange._socket for one in instances]
    handlers = [socket._handler for socket in sockets]
    numbers = {
        one._deployment.peer_port: number
        for number, one in enumerate(instances)
    }

    def block(receiver: int) -> typing.Any:
        handler = handlers[receiver]

        def receive(message: typing.Any, sender: typing.Any) -> None:
            number = numbers.get(sender[1], receiver)
            if number == receiver or not is_blocked(number, receiver):
                handler(message, sender)

        return receive

    for receiver, socket in enumerate(sockets):
        socket._handler = block(receiver)
    yield
    for socket, handler in zip(sockets, handlers, strict=True):
        socket._handler = handler


class LimitFaults:
    """Play a fault by its name."""

    def __init__(self, play: limit_play.LimitPlay) -> None:
        self._play = play
        self._cluster = play.cluster

    async def play(self, name: str) -> None:
        """Play a fault to its end."""
        fault: typing.Callable[[], typing.Awaitable[None]] = getattr(self, name)
        await fault()

    async def no_fault(self) -> None:
        await asyncio.sleep(_FAULT_S)

    async def halves(self) -> None:
        """Let no half of the instances hear the other."""
        await self._cut(lambda one, other: (one < 5) != (other < 5))

    async def thirds(self) -> None:
        await self._cut(lambda one, other: one % 3 != other % 3)

    async def alone(self) -> None:
        """Let one instance hear none of the others, and these not it."""
        await self._cut(lambda one, other: 0 in {one, other})

    async def each_alone(self) -> None:
        await self._cut(lambda _one, _other: True)

    async def one_way(self) -> None:
        await self._cut(lambda one, other: one < 5 <= other)

    async def lossy(self) -> None:
        rng = random.Random(self._play.random.random())
        await self._cut(lambda _one, _other: rng.random() < _LOST_SHARE)

    async def uneven(self) -> None:
        """Let each instance hear some others, and not the same ones."""
        await self._cut(lambda one, other: (one * 7 + other * 3) % 5 < 2)

    async def rolled(self) -> None:
        for _ in list(self._cluster.instances):
            stopping = self._cluster.instances[0]
            stopping.request_stop(asyncio.get_running_loop())
            await self._cluster._tasks[0]
            await self._start_again(0.5)

    async def killed(self) -> None:
        for _ in list(self._cluster.instances):
            await self._start_again(0.7)

    async def lapsed(self) -> None:
        """Let the entries of the limited servers lapse and return."""
        for _ in range(4):
            for server in self._limited():
                self._cluster.store.put('keyed.servers', server.name, b'')
            await asyncio.sleep(0.8)
            for server in self._limited():
                server.register()
            await asyncio.sleep(0.7)

    async def restarted(self) -> None:
        for _ in range(5):
            for server in self._limited():
                server.restart()
            await asyncio.sleep(1)

    async def store_away(self) -> None:
        self._cluster.store.is_down = True
        await asyncio.sleep(_FAULT_S)
        self._cluster.store.is_down = False

    async def joined(self) -> None:
        for number in range(2):
            joined = self._cluster.add_instance(f'j{number}')
            crash_play.name_sender(joined)
            await asyncio.sleep(2)

    async def stalled(self) -> None:
        """Let the datagrams to one instance after the other wait."""
        for one in self._cluster.instances[:3]:
            socket = one._exchange._socket
            handler = socket._handler
            waiting: list[typing.Any] = []
            socket._handler = lambda *row, kept=waiting: kept.append(row)
            await asyncio.sleep(_STALL_S)
            socket._handler = handler
            for row in waiting:
                handler(*row)

    async def changing(self) -> None:
        for limit in (1, 6, 2, 8, 3):
            self._play.watch.limit(self._cluster.servers[0], limit)
            await asyncio.sleep(1)

    def _limited(self) -> list[typing.Any]:
        return [one for one in self._cluster.servers if one.rate_limit]

    async def _cut(self, is_blocked: _IsBlocked) -> None:
        with blocked_links(list(self._cluster.instances), is_blocked):
            await asyncio.sleep(_FAULT_S)

    async def _start_again(self, pause_s: float) -> None:
        """Kill the first instance and start it again as the last."""
        name = self._play.name(0)
        began_at = self._play.watch.clock.now()
        await self._cluster.kill(0)
        crash_play.name_sender(self._cluster.restart(0))
        self._cluster.instances.pop(0)
        self._cluster._tasks.pop(0)
        await asyncio.sleep(pause_s)
        ended_at = self._play.watch.clock.now()
        self._play.watch.disruptions.append((name, began_at, ended_at))
