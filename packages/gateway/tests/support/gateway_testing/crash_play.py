"""Play a caller that repeats a request which crashes its servers."""

import asyncio
import collections
import itertools
import json
import typing

from gateway_testing import caller_addresses, crashing_server
from sycamoreferry_core import result_codes
from sycamoreferry_gateway import http_client

# The platform's StabilityWindow, and the arrivals that it allows after it.
STABILITY_MS = 3_000
ALLOWED_LATE_ARRIVALS = 3
_QUARANTINED = int(result_codes.ResultCode.QUARANTINED)
_ANSWERED = int(result_codes.ResultCode.ANSWERED)
_LATE_MS = 500
# Requests that crash nothing are served again this long after a server is.
_RECOVERY_MS = 1_000
_KEY = 4_000


def name_sender(instance: typing.Any) -> None:
    """Name an instance in the requests that it sends to servers."""
    pool = instance._pool
    exchange = pool.exchange
    header = f'\r\nSent-By: {instance._deployment.instance}\r\n'.encode()

    async def exchange_named(
        address: typing.Any,
        payload: http_client.Payload,
        *rest: typing.Any,
    ) -> typing.Any:
        parts = payload if isinstance(payload, tuple) else (payload,)
        head = parts[0].replace(b'\r\n', header, 1)
        return await exchange(address, (head, *parts[1:]), *rest)

    pool.exchange = exchange_named


class CrashPlay:
    """Run crashing and other requests, and count what becomes of them."""

    def __init__(self, cluster: typing.Any) -> None:
        self.log = crashing_server.ArrivalLog()
        self.servers: list[crashing_server.CrashingServer] = []
        # The ends of the other requests and their result codes.
        self.codes: list[tuple[int, int | None]] = []
        # How many of them were taken for crashing ones, though a server was up.
        self.rejected_count = 0
        # The code of the newest answer to a crashing request, by its path.
        self.crashing_codes: dict[str, list[int | None]] = (
            collections.defaultdict(list)
        )
        # Who was disrupted (None for the store, so all), from when to when.
        self.disruptions: list[tuple[str | None, int, int]] = []
        self._cluster = cluster
        self._pools = caller_addresses.CallerPools()
        self._numbers = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def late_arrivals(self) -> int:
        """Return the most arrivals of one request beyond the bound."""
        return max(
            (
                sum(
                    not self._is_excused(arrival)
                    for arrival in self.log.late_arrivals(path, STABILITY_MS)
                )
                for path in list(self.log.crashed_at)
            ),
            default=0,
        )

    def unserved_since(self, at: int) -> list[int | None]:
        """Return the codes of other requests that no server answered."""
        return [
            code
            for ended, code in self.codes
            if ended > at and code != _ANSWERED
        ]

    async def start(
        self,
        servers: int,
        instances: int,
        kind: str = 'safe',
        *,
        is_keyed: bool = False,
        config: bytes | None = None,
        **behaviour: typing.Any,
    ) -> None:
        """Start servers that crash, and instances in this process."""
        cluster = self._cluster
        await cluster.start(servers, 0, kind, is_keyed=is_keyed)
        if config is not None:
            cluster.store.put('keyed.op', 'config', config)
        for number, server in enumerate(cluster.servers):
            front = crashing_server.CrashingServer(
                server, cluster.store, self.log, seed=number, **behaviour
            )
            await front.start()
            self.servers.append(front)
        for number in range(instances):
            name_sender(cluster.add_instance(f'i{number}'))
        await cluster.wait_until(self._is_ready, limit_s=20)

    def stop(self) -> None:
        """End the callers and servers."""
        for task in self._tasks:
            task.cancel()
        for front in self.servers:
            front.stop()

    def is_silent(self, port: int) -> bool:
        """Tell whether connections to a port get no answer."""
        return any(front.is_silent(port) for front in self.servers)

    def repeat_crashing(
        self,
        path: str = crashing_server.CRASHING_PATH,
        *,
        interval_s: float = 0.1,
        deadline_ms: int = 1_000,
        leaves_after_ms: int | None = None,
        request_id: str | None = None,
        at_once: bool = False,
    ) -> None:
        """Send a crashing request to all instances in turn, or at once."""
        self._start_repeating(
            lambda instance: self._call_crashing(
                instance, path, deadline_ms, leaves_after_ms, request_id
            ),
            interval_s,
            at_once=at_once,
        )

    def repeat_other(
        self, path: str = '/k/a', *, interval_s: float = 0.02
    ) -> None:
        """Send a request that crashes nothing, again and again."""
        self._start_repeating(
            lambda instance: self._call_other(instance, path), interval_s
        )

    def addresses(self) -> list[typing.Any]:
        """Return the addresses of the instances in this process."""
        return [
            one._deployment.request_address
            for one in self._cluster.instances
            if not one._stop.is_set()
        ]

    async def call(
        self, path: str, deadline_ms: int, request_id: str | None = None
    ) -> int | None:
        """Send a request to the next instance; return its result code.

        The code is 1000 if a server answered, None without an answer.
        """
        addresses = self.addresses()
        number = next(self._numbers)
        address = addresses[number % len(addresses)]
        return await self._call(address, path, deadline_ms, request_id)

    def _is_excused(self, arrival: crashing_server.Arrival) -> bool:
        """Tell whether the sender was disrupted within the window."""
        since = arrival.at - STABILITY_MS
        return any(
            who in {None, arrival.sender}
            and begins_at <= arrival.at
            and ends_at >= since
            for who, begins_at, ends_at in self.disruptions
        )

    def _is_ready(self) -> bool:
        instances = self._cluster.instances
        return all(
            one.is_ready
            and len(one._view.peers.alive(one._clock.now()))
            == len(instances) - 1
            for one in instances
        ) and (not self._cluster.servers[0].is_keyed or self._owns_all())

    def _owns_all(self) -> bool:
        return bool(self._cluster.is_covered()) and all(
            one._view.owner_of('keys', _KEY) is not None
            for one in self._cluster.instances
        )

    def _start_repeating(
        self,
        call: typing.Callable[[typing.Any], typing.Any],
        interval_s: float,
        *,
        at_once: bool = False,
    ) -> None:
        async def repeat() -> None:
            running: set[asyncio.Task[None]] = set()
            for number in itertools.count():
                called = self.addresses()
                if not at_once:
                    called = [called[number % len(called)]]
                for address in called:
                    task = asyncio.create_task(call(address))
                    running.add(task)
                    task.add_done_callback(running.discard)
                await asyncio.sleep(interval_s)

        self._tasks.append(asyncio.create_task(repeat()))

    async def _call_crashing(
        self,
        address: typing.Any,
        path: str,
        deadline_ms: int,
        leaves_after_ms: int | None,
        request_id: str | None,
    ) -> None:
        limit_s = None
        if leaves_after_ms is not None:
            limit_s = leaves_after_ms / 1_000
        try:
            async with asyncio.timeout(limit_s):
                code = await self._call(address, path, deadline_ms, request_id)
        except TimeoutError:
            code = None
        self.crashing_codes[path].append(code)

    async def _call_other(self, address: typing.Any, path: str) -> None:
        code = await self._call(address, path, 1_000, None)
        now = self.log.clock.now()
        self.codes.append((now, code))
        is_served = any(
            front.is_up and now - front.up_since > _RECOVERY_MS
            for front in self.servers
        )
        self.rejected_count += code == _QUARANTINED and is_served

    async def _call(
        self,
        address: typing.Any,
        path: str,
        deadline_ms: int,
        request_id: str | None,
    ) -> int | None:
        request_id = request_id or f'r{next(self._numbers)}'
        payload = self._cluster.encode_request(
            request_id, _KEY, path=path, deadline_ms=deadline_ms
        )
        reply = await self._pools.choose().exchange(
            address, payload, deadline_ms + _LATE_MS
        )
        if isinstance(reply, http_client.FailedExchange):
            return None
        if reply.status == 200:
            return _ANSWERED
        try:
            return int(json.loads(reply.body)['code'])
        except (ValueError, KeyError):
            return None
