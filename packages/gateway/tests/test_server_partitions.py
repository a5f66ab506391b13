"""Check instances that are partitioned from all servers, but not from peers."""

import asyncio
import collections
import enum
import typing

import pytest

from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

INSTANCES = 4
# The platform's StabilityWindow, from which on callers are to be served.
STABILITY_S = 3
LOAD_S = 3
LEAST_SERVED = 0.9
INTERVAL_S = 0.02
KEYS = tuple(range(0, 65_536, 2_048))
# Servers end a connection after some answers.
USES = 20
REFUSED = http_client.FailedExchange(
    http_client.ExchangeFailure.CONNECT, was_sent=False
)


@enum.unique
class Links(enum.Enum):
    """Select what happens to the connections to servers."""

    SILENT = 'silent'
    REFUSED = 'refused'
    # Open connections work until they end, and new ones are refused.
    NO_NEW = 'no-new'


class PartitionedPool:
    """Replace how a connection pool reaches its servers."""

    def __init__(self, pool: typing.Any, links: Links) -> None:
        self._links = links
        self._pool = pool
        self._taken = 0
        self._open = pool._open
        self._take_idle = pool._take_idle
        pool._open = self.open
        pool._take_idle = self.take_idle

    def heal(self) -> None:
        self._pool._open = self._open
        self._pool._take_idle = self._take_idle

    async def open(
        self, _address: object, timeout_ms: float
    ) -> http_client.FailedExchange:
        if self._links is Links.SILENT:
            limit_ms = min(timeout_ms, http_client.CONNECT_TIMEOUT_MS)
            await asyncio.sleep(limit_ms / 1_000)
        return REFUSED

    def take_idle(self, address: typing.Any, identity: object) -> typing.Any:
        connection = self._take_idle(address, identity)
        if connection is None:
            return None
        self._taken += 1
        if self._links is Links.SILENT:
            connection.exchange = _hang
        elif self._links is Links.REFUSED or not self._taken % USES:
            connection.abort()
            return None
        return connection


async def _hang(_payload: bytes, _identity: object) -> None:
    await asyncio.Event().wait()


class Load:
    """Call instances in turn and count how they answer."""

    def __init__(self, cluster: typing.Any) -> None:
        self.statuses: dict[int, collections.Counter[object]] = (
            collections.defaultdict(collections.Counter)
        )
        self._cluster = cluster
        self._sent = 0

    async def run(self, duration_s: float) -> None:
        """Send requests; forget how earlier ones were answered."""
        self.statuses.clear()
        pool = http_client.ConnectionPool(boot_clock.BootClock())
        calls = []
        for _ in range(int(duration_s / INTERVAL_S)):
            calls.append(asyncio.create_task(self._call(pool, self._sent)))
            self._sent += 1
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*calls)

    def served(self, numbers: typing.Iterable[int]) -> float:
        """Return the share of requests that some instances served."""
        counted: collections.Counter[object] = collections.Counter()
        for number in numbers:
            counted.update(self.statuses[number])
        return counted[200] / counted.total()

    async def _call(
        self, pool: http_client.ConnectionPool, number: int
    ) -> None:
        target = number % INSTANCES
        payload = self._cluster.encode_request(
            f'r{number}', KEYS[number // INSTANCES % len(KEYS)], method='POST'
        )
        settings = self._cluster.instances[target]._deployment
        reply = await pool.exchange(settings.request_address, payload, 3_000)
        if isinstance(reply, http_client.FailedExchange):
            self.statuses[target][reply.failure] += 1
        else:
            self.statuses[target][reply.status] += 1


def _partition(
    cluster: typing.Any, numbers: typing.Iterable[int], links: Links
) -> list[PartitionedPool]:
    instances = [cluster.instances[number] for number in numbers]
    return [
        PartitionedPool(pool, links)
        for one in instances
        for pool in (one._pool, one._coordinator._orders._pool)
    ]


def _chosen(cluster: typing.Any, which: str, *, is_keyed: bool) -> list[int]:
    """Return the instances to cut off: the leader, a follower or most."""
    leader = 0
    if is_keyed:
        leader = cluster.instances.index(cluster.leader())
    followers = [one for one in range(INSTANCES) if one != leader]
    chosen = {
        'leader': [leader],
        'follower': followers[:1],
        'most': [leader, *followers[1:]],
    }
    return chosen[which]


async def _start(cluster: typing.Any, *, is_keyed: bool) -> Load:
    await cluster.start(
        servers=3, instances=INSTANCES, kind='unsafe', is_keyed=is_keyed
    )
    for server in cluster.servers:
        server.processing_time_s = 0.02
    await cluster.wait_until(cluster.is_covered if is_keyed else lambda: True)
    await cluster.wait_until(
        lambda: all(
            one.is_ready and len(one._view.peer_addresses) == INSTANCES - 1
            for one in cluster.instances
        ),
    )
    load = Load(cluster)
    await load.run(1)
    return load


@pytest.mark.parametrize('links', list(Links), ids=lambda links: links.value)
@pytest.mark.parametrize(
    ('which', 'is_keyed'),
    [
        pytest.param('leader', True, id='leader-keyed'),
        pytest.param('follower', True, id='follower-keyed'),
        pytest.param('most', True, id='most-keyed'),
        pytest.param('follower', False, id='follower-pool'),
        pytest.param('most', False, id='most-pool'),
    ],
)
async def test_callers_of_instances_cut_off_from_all_servers_are_served(
    cluster: typing.Any,
    which: str,
    links: Links,
    *,
    is_keyed: bool,
) -> None:
    load = await _start(cluster, is_keyed=is_keyed)
    cut = _chosen(cluster, which, is_keyed=is_keyed)
    others = [one for one in range(INSTANCES) if one not in cut]
    _partition(cluster, cut, links)
    await load.run(STABILITY_S)
    await load.run(LOAD_S)
    # The platform asks for two thirds of what the others serve.
    assert load.served(cut) >= load.served(others) * 2 / 3
    assert load.served(others) > LEAST_SERVED
    ran = collections.Counter(
        name for server in cluster.servers for name, _ in server.ran
    )
    assert max(ran.values()) == 1
