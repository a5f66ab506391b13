"""Check that the servers of an evacuated data centre get no requests."""

import asyncio
import collections
import contextlib
import itertools
import json
import pathlib
import signal
import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    deployment,
    message_intervals,
    store_records,
)
from sycamoreferry_gateway import event_log, http_client, view
from sycamoreferry_ports import boot_clock

INSTANCES = 3
EVACUATE_MS = 5_000
# Owners of keys are used for half of the bound.
OWNERS_S = EVACUATE_MS / 2_000
# The store's news reach all instances well within this time.
SPREAD_S = 1.0
KEYS = tuple(range(0, 65_536, 4_096))
# A rejection at once; a request that waits is rejected after a second.
AT_ONCE_MS = 250

mesh_or_permits = pytest.mark.parametrize(
    'mesh_peers', [16, 0], ids=['mesh', 'permits']
)


class _Calls:
    """Send requests to instances, and operate evacuations."""

    def __init__(self, cluster: typing.Any) -> None:
        self.cluster = cluster
        self.clock = boot_clock.BootClock()
        self.statuses: collections.Counter[int] = collections.Counter()
        self._pool = http_client.ConnectionPool(self.clock)
        self._sent = 0

    async def call(
        self, number: int, key: int = 0, timeout_ms: int = 4_000
    ) -> typing.Any:
        self._sent += 1
        settings = (self.cluster.instances or self.cluster.processes)[number]
        address = getattr(settings, '_deployment', None) or settings.deployment
        reply = await self._pool.exchange(
            address.request_address,
            self.cluster.encode_request(f'r{self._sent}', key),
            timeout_ms,
        )
        assert not isinstance(reply, http_client.FailedExchange)
        self.statuses[reply.status] += 1
        return reply

    async def call_all(self) -> set[int]:
        """Send a request for each key through each instance."""
        count = len(self.cluster.instances)
        replies = [
            await self.call(number, key)
            for key in KEYS
            for number in range(count)
        ]
        return {reply.status for reply in replies}

    @contextlib.asynccontextmanager
    async def load(self) -> typing.AsyncIterator[None]:
        """Call all instances all the time, and check that owners are single."""
        tasks = [
            asyncio.create_task(self._call_forever(number))
            for number in range(len(self.cluster.instances))
        ]
        yield
        for task in tasks:
            task.cancel()
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        for one in ended:
            assert isinstance(one, asyncio.CancelledError), one

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

    def arrived_after(self, moment: int, *names: str) -> list[int]:
        """Return how long after a moment requests arrived."""
        return [
            at - moment
            for server in self.of(*names)
            for _, at in server.arrived
            if at >= moment
        ]

    async def wait_for_moves(self, *names: str) -> None:
        """Wait until no server of some data centres holds keys."""
        await self.cluster.wait_until(
            lambda: not any(server.granted for server in self.of(*names)),
            limit_s=EVACUATE_MS / 1_000,
        )
        await self.cluster.wait_until(self.cluster.is_covered)

    async def wait_for_process(self) -> None:
        """Wait until an instance that runs as a process is ready."""
        address = self.cluster.processes[0].deployment.readiness_address
        asked = http_client.encode_request(
            'GET', '/readyz', (('Host', 'h'),), b''
        )
        async with asyncio.timeout(10):
            status = 0
            while status != 200:
                await asyncio.sleep(0.05)
                reply = await self._pool.exchange(address, asked, 500)
                status = getattr(reply, 'status', 0)

    async def _call_forever(self, number: int) -> None:
        for key in itertools.cycle(KEYS):
            await self.call(number, key)
            assert len(self.cluster.owners(key)) <= 1


async def _start(
    cluster: typing.Any,
    *,
    is_keyed: bool,
    instances: int = INSTANCES,
    data_centres: typing.Sequence[str] = ('a', 'b', 'c'),
) -> _Calls:
    cluster.evacuate_ms = EVACUATE_MS
    await cluster.start(
        6, instances, is_keyed=is_keyed, data_centres=data_centres
    )
    for server in cluster.servers:
        server.processing_time_s = 0.005
    await cluster.wait_until(
        lambda: all(
            one.is_ready and len(one._view.peer_addresses) == instances - 1
            for one in cluster.instances
        ),
    )
    if is_keyed:
        await cluster.wait_until(cluster.is_covered)
        await cluster.wait_until(
            lambda: all(
                one._view.owner_of('keys', key) is not None
                for one in cluster.instances
                for key in KEYS
            ),
        )
    return _Calls(cluster)


@pytest.fixture
def with_permits(monkeypatch: pytest.MonkeyPatch, mesh_peers: int) -> None:
    """Run with few instances as they are, or as if they were many."""
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)


@mesh_or_permits
@pytest.mark.usefixtures('with_permits')
async def test_servers_of_an_evacuated_pool_get_no_requests(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    assert await calls.call_all() == {200}
    async with calls.load():
        put_at = calls.put('a')
        await asyncio.sleep(2 * SPREAD_S)
    assert set(calls.statuses) == {200}
    assert max(calls.arrived_after(put_at, 'a'), default=0) < 1_000 * SPREAD_S


@mesh_or_permits
@pytest.mark.usefixtures('with_permits')
async def test_keys_of_an_evacuated_data_centre_move_under_load(
    cluster: typing.Any,
) -> None:
    """No two servers may hold a key, and callers must hardly notice."""
    calls = await _start(cluster, is_keyed=True)
    # Instances have to be in touch for a while to use owners further.
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    async with calls.load():
        put_at = calls.put('a')
        await calls.wait_for_moves('a')
        moved_ms = calls.clock.now() - put_at
        await asyncio.sleep(SPREAD_S)
    assert moved_ms <= 1_000 * OWNERS_S
    assert set(calls.statuses) == {200}
    assert not cluster.store.low_fences
    assert max(calls.arrived_after(put_at, 'a'), default=0) <= moved_ms
    holding = {cluster.owners(key)[0] for key in KEYS}
    assert holding == {server.name for server in calls.of('b', 'c')}


async def _keep_keys(cluster: typing.Any) -> None:
    """Let the store take no writes, so that no keys move."""
    cluster.store.rejects_appends = True


def _held_by(cluster: typing.Any, servers: list[typing.Any]) -> int:
    names = {server.name for server in servers}
    return next(key for key in KEYS if set(cluster.owners(key)) <= names)


@mesh_or_permits
@pytest.mark.usefixtures('with_permits')
async def test_keys_that_cannot_move_are_used_for_half_of_the_bound(
    cluster: typing.Any,
) -> None:
    """Later requests are rejected at once; the end makes the keys usable."""
    calls = await _start(cluster, is_keyed=True)
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    await _keep_keys(cluster)
    held = _held_by(cluster, calls.of('a'))
    put_at = calls.put('a')
    await asyncio.sleep(SPREAD_S)
    assert (await calls.call(0, held)).status == 200
    await asyncio.sleep(OWNERS_S)
    assert (await calls.call(0, held)).status == 503
    await asyncio.sleep(max(0, EVACUATE_MS / 1_000 - OWNERS_S - SPREAD_S))
    started_at = calls.clock.now()
    reply = await calls.call(0, held)
    assert calls.clock.now() - started_at <= AT_ONCE_MS
    assert reply.status == 503
    assert float(reply.header('retry-after')) > 0
    late = calls.arrived_after(put_at, 'a')
    assert max(late) < 1_000 * (OWNERS_S + SPREAD_S)
    # Its lease is renewed, though the coordinator tries to move it.
    await cluster.wait_until(lambda: cluster.owners(held))
    calls.put('a', b'')
    await asyncio.sleep(SPREAD_S)
    assert (await calls.call(0, held)).status == 200


async def test_instance_that_starts_uses_no_evacuated_server(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=True)
    await _keep_keys(cluster)
    held = _held_by(cluster, calls.of('a'))
    calls.put('a')
    added = cluster.add_instance('late')
    await cluster.wait_until(
        lambda: (
            added.is_ready and added._view.owner_of('keys', held) is not None
        )
    )
    before = len(calls.arrived_after(0, 'a'))
    reply = await calls.call(INSTANCES, held)
    assert reply.status == 503
    assert len(calls.arrived_after(0, 'a')) == before


class _Links:
    """Cut an instance off from the store and from other instances."""

    def __init__(self, instance: typing.Any) -> None:
        self._instance = instance
        self._call = instance._store._call
        self._socket = instance._exchange._socket
        self._handler = self._socket._handler

    def cut_store(self) -> None:
        self._instance._store._call = self._fail

    def cut_peers(self) -> None:
        self._socket._handler = lambda _message, _sender: None

    def restore(self) -> None:
        self._instance._store._call = self._call
        self._socket._handler = self._handler

    async def _fail(self, *_: typing.Any) -> store_records.StoreFailure:
        await asyncio.sleep(0.1)
        failure = store_records.StoreFailure(
            store_records.StoreFailureReason.UNANSWERED, 'cut'
        )
        recorded = self._instance._store._record_failure(failure)
        assert isinstance(recorded, store_records.StoreFailure)
        return recorded


def _follower(cluster: typing.Any) -> int:
    """Return the number of an instance that does not coordinate."""
    return next(
        number
        for number, one in enumerate(cluster.instances)
        if not one._coordinator.is_coordinating
    )


async def test_instance_that_was_cut_off_uses_no_evacuated_server(
    cluster: typing.Any,
) -> None:
    """It must not begin to count the bound when it learns of the key."""
    calls = await _start(cluster, is_keyed=True)
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    number = _follower(cluster)
    links = _Links(cluster.instances[number])
    held = _held_by(cluster, calls.of('a'))
    links.cut_store()
    links.cut_peers()
    await _keep_keys(cluster)
    await asyncio.sleep(SPREAD_S)
    put_at = calls.put('a')
    await asyncio.sleep(OWNERS_S)
    assert (await calls.call(number, held)).status == 200
    links.restore()
    await asyncio.sleep(2 * SPREAD_S)
    restored_ms = calls.clock.now() - put_at
    assert (await calls.call(number, held)).status == 503
    assert max(calls.arrived_after(put_at, 'a')) < restored_ms


@mesh_or_permits
@pytest.mark.usefixtures('with_permits')
async def test_instance_learns_of_an_evacuation_from_another_one(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    number = _follower(cluster)
    _Links(cluster.instances[number]).cut_store()
    for content, is_used in ((b'{}', False), (b'', True)):
        calls.put('a', content)
        await asyncio.sleep(2 * SPREAD_S)
        since = calls.clock.now()
        for _ in range(40):
            assert (await calls.call(number)).status == 200
        assert bool(calls.arrived_after(since, 'a')) is is_used


async def test_two_data_centres_are_evacuated_while_servers_are_replaced(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=True)
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    async with calls.load():
        calls.put('a')
        await asyncio.sleep(0.3)
        calls.of('b')[0].register('draining')
        await asyncio.sleep(0.5)
        calls.of('a')[0].restart()
        put_at = calls.put('b')
        await calls.wait_for_moves('a', 'b')
        moved_ms = calls.clock.now() - put_at
        await asyncio.sleep(SPREAD_S)
    assert not cluster.store.low_fences
    assert max(calls.arrived_after(put_at, 'a', 'b'), default=0) <= moved_ms
    assert not set(calls.statuses) - {200, 503}
    assert await calls.call_all() == {200}


async def test_data_centre_is_used_again_after_its_evacuation(
    cluster: typing.Any,
) -> None:
    """Its servers are usually cold then."""
    calls = await _start(cluster, is_keyed=False)
    configured = json.loads(cluster.store.topics['keyed.op'][0][1])
    configured['Version'] = 'r2'
    configured['Services'][0]['Warmup'] = '3s'
    encoded = json.dumps(configured).encode()
    cluster.store.put('keyed.op', 'config', encoded)
    calls.put('a')
    await asyncio.sleep(SPREAD_S)
    instance = cluster.instances[0]
    cold: dict[str, int] = {}
    instance._view.evacuations.assume_cold = lambda life, until: cold.update(
        {life.server: until}
    )
    put_at = calls.put('a', b'')
    await cluster.wait_until(lambda: len(cold) == 2)
    assert set(cold) == {server.name for server in calls.of('a')}
    assert min(cold.values()) >= put_at + 3_000
    await asyncio.sleep(SPREAD_S)
    assert await calls.call_all() == {200}
    assert calls.arrived_after(put_at, 'a')


async def test_keys_move_although_the_coordinator_is_lost(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=True)
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    number = cluster.instances.index(cluster.leader())
    put_at = calls.put('a')
    await cluster.wait_until(
        lambda: cluster.instances[number]._view.evacuations.active
    )
    await cluster.kill(number)
    others = [one for one in range(INSTANCES) if one != number]
    while calls.clock.now() - put_at < EVACUATE_MS:
        for key in KEYS:
            await asyncio.gather(*(calls.call(one, key) for one in others))
            assert len(cluster.owners(key)) <= 1
    await calls.wait_for_moves('a')
    late = calls.arrived_after(put_at, 'a')
    assert max(late, default=0) < 1_000 * (OWNERS_S + SPREAD_S)
    assert not cluster.store.low_fences
    assert (await calls.call(others[0], KEYS[0])).status == 200


@mesh_or_permits
@pytest.mark.usefixtures('with_permits')
@pytest.mark.parametrize('is_keyed', [False, True], ids=['pool', 'keyed'])
async def test_all_requests_are_rejected_if_all_data_centres_are_evacuated(
    cluster: typing.Any, *, is_keyed: bool
) -> None:
    calls = await _start(cluster, is_keyed=is_keyed, data_centres=('a', 'b'))
    calls.put('a')
    calls.put('b')
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    since = calls.clock.now()
    for number in range(INSTANCES):
        for key in KEYS[:3]:
            reply = await calls.call(number, key)
            assert reply.status == 503
            assert 1_000 * float(reply.header('retry-after')) >= 400
    took_ms = calls.clock.now() - since
    assert took_ms <= 3 * INSTANCES * AT_ONCE_MS
    assert not calls.arrived_after(since, 'a', 'b')
    calls.put('b', b'')
    await asyncio.sleep(2 * SPREAD_S)
    if is_keyed:
        await calls.wait_for_moves('a')
    assert await calls.call_all() == {200}


async def test_evacuation_outlives_a_store_that_returns_to_an_older_copy(
    cluster: typing.Any,
) -> None:
    """The operator's tool writes the key that the store lost again."""
    calls = await _start(cluster, is_keyed=False)
    calls.put('a')
    await asyncio.sleep(SPREAD_S)
    since = calls.clock.now()
    async with calls.load():
        await cluster.store.restore(1_500, rewrite_delay_s=2)
        await asyncio.sleep(SPREAD_S)
    assert not calls.arrived_after(since, 'a')
    assert cluster.instances[0]._view.evacuations.active == ['a']


async def test_requests_of_a_suspended_instance_go_to_no_evacuated_server(
    cluster: typing.Any, tmp_path: pathlib.Path
) -> None:
    """It finds the requests sent meanwhile before it hears of the key."""
    calls = await _start(cluster, is_keyed=False, instances=0)
    process = cluster.start_process('i0', tmp_path, cluster.store.port)
    await calls.wait_for_process()
    await asyncio.gather(*(calls.call(0) for _ in range(8)))
    await asyncio.sleep(SPREAD_S)
    process.signal(signal.SIGSTOP)
    waiting = [
        asyncio.create_task(calls.call(0, timeout_ms=9_000)) for _ in range(8)
    ]
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    put_at = calls.put('a')
    process.signal(signal.SIGCONT)
    await asyncio.gather(*waiting)
    for _ in range(30):
        assert (await calls.call(0)).status == 200
    assert not calls.arrived_after(put_at, 'a')


def test_key_is_ignored_without_a_bound(
    sample_deployment: deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    """Deployments without evacuations work as before."""
    path = tmp_path / 'view.log'
    with path.open('wb') as lines:
        made = view.View(
            sample_deployment,
            clock.ManualClock(),
            event_log.EventLog(clock.ManualClock(), lines.fileno()),
        )
        topic = store_records.TopicName('keyed.op')
        record = store_records.StoredRecord(
            store_records.RecordKey('evacuate/a'),
            ids.Offset(0),
            b'{}',
        )
        made.apply(
            topic,
            store_records.RecordPage((record,), ids.Offset(1)),
        )
    assert not made.evacuations.active
    events = [
        json.loads(line)['event']
        for line in path.read_text().split('\n')
        if line
    ]
    assert 'evacuation is ignored' in events
