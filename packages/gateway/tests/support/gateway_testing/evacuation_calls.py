"""Call instances while data centres are evacuated."""

import asyncio
import collections
import contextlib
import itertools
import typing

from sycamoreferry_core.fleet import deployment, store_records
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

KEYS = tuple(range(0, 65_536, 4_096))
_MOVES_S = 5


class EvacuationCalls:
    """Send requests to instances, and operate evacuations."""

    def __init__(self, cluster: typing.Any) -> None:
        self.cluster = cluster
        self.clock = boot_clock.BootClock()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.pool = http_client.ConnectionPool(self.clock)
        self._numbers = itertools.count()

    async def call(self, number: int, key: int = 0) -> typing.Any:
        instance = self.cluster.instances[number]
        return await self.call_at(instance._deployment, key)

    async def call_at(
        self, called: deployment.Deployment, key: int = 0
    ) -> typing.Any:
        request = self.cluster.encode_request(f'r{next(self._numbers)}', key)
        reply = await self.pool.exchange(called.request_address, request, 9_000)
        assert not isinstance(reply, http_client.FailedExchange)
        self.statuses[reply.status] += 1
        return reply

    async def call_all(self) -> set[int]:
        """Send a request for each key through each instance."""
        numbers = range(len(self.cluster.instances))
        return {
            (await self.call(number, key)).status
            for key in KEYS
            for number in numbers
        }

    @contextlib.asynccontextmanager
    async def load(self, *numbers: int) -> typing.AsyncIterator[None]:
        """Call instances all the time, and check that owners are single."""
        tasks = [
            asyncio.create_task(self._call_forever(number))
            for number in numbers or range(len(self.cluster.instances))
        ]
        yield
        for task in tasks:
            task.cancel()
        for ended in await asyncio.gather(*tasks, return_exceptions=True):
            assert isinstance(ended, asyncio.CancelledError), ended

    def put(self, name: str, content: bytes = b'{}') -> int:
        """Write or remove the key of an evacuation; return the time."""
        self.cluster.store.put('keyed.op', f'evacuate/{name}', content)
        return self.clock.now()

    def of(self, *names: str) -> list[typing.Any]:
        """Return the servers of data centres."""
        return [
            server
            for server in self.cluster.servers
            if server.data_centre in names
        ]

    def last_arrival_ms(self, moment: int, *names: str) -> int:
        """Return when the last request arrived after a moment; -1 if none."""
        arrived = [
            at - moment
            for server in self.of(*names)
            for _, at in server.arrived
            if at >= moment
        ]
        return max(arrived, default=-1)

    def key_of(self, name: str) -> int:
        """Return a key that a server of a data centre holds."""
        held = {server.name for server in self.of(name)}
        return next(key for key in KEYS if held & set(self.cluster.owners(key)))

    async def wait_for_moves(self, *names: str) -> None:
        """Wait until no server of some data centres holds keys."""
        await self.cluster.wait_until(
            lambda: not any(server.granted for server in self.of(*names)),
            limit_s=_MOVES_S,
        )
        await self.cluster.wait_until(self.cluster.is_covered)

    async def _call_forever(self, number: int) -> None:
        for key in itertools.cycle(KEYS):
            await self.call(number, key)
            assert len(self.cluster.owners(key)) <= 1


class Links:
    """Cut an instance off from the store and from other instances."""

    def __init__(self, instance: typing.Any) -> None:
        self._store = instance._store
        self._socket = instance._exchange._socket
        self._call = self._store._call
        self._handler = self._socket._handler

    def cut(self, *, from_peers: bool) -> None:
        self._store._call = self._fail
        if from_peers:
            self._socket._handler = lambda _message, _sender: None

    def restore(self) -> None:
        self._store._call = self._call
        self._socket._handler = self._handler

    async def _fail(self, *_: object) -> object:
        await asyncio.sleep(0.1)
        return self._store._record_failure(
            store_records.StoreFailure(
                store_records.StoreFailureReason.UNANSWERED, 'cut'
            )
        )
