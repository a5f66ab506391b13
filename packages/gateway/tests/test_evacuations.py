"""Check that the servers of an evacuated data centre get no requests."""

import asyncio
import json
import pathlib
import signal
import typing

import pytest

from gateway_testing import evacuation_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import (
    deployment,
    message_intervals,
    store_records,
)
from sycamoreferry_gateway import event_log, http_client, view

INSTANCES = 3
EVACUATE_MS = 5_000
# Owners of keys are used for half of the bound.
OWNERS_S = EVACUATE_MS / 2_000
# News of the store reach all instances well within this time.
SPREAD_S = 1.0
# Instances have to be in touch for a while to use owners further.
IN_TOUCH_S = OWNERS_S + SPREAD_S
# A rejection at once; a request that waits is rejected after a second.
AT_ONCE_MS = 250


Start = typing.Callable[..., typing.Awaitable[evacuation_calls.EvacuationCalls]]


@pytest.fixture
def start(cluster: typing.Any) -> Start:
    """Return the function that starts servers in three data centres."""

    async def start_all(
        *, is_keyed: bool, instances: int = INSTANCES
    ) -> evacuation_calls.EvacuationCalls:
        cluster.evacuate_ms = EVACUATE_MS
        await cluster.start(
            6, instances, is_keyed=is_keyed, data_centres=('a', 'b', 'c')
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
            await asyncio.sleep(IN_TOUCH_S)
        return evacuation_calls.EvacuationCalls(cluster)

    return start_all


@pytest.fixture(params=[16, 0], ids=['mesh', 'permits'])
def _with_permits(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Run with few instances as they are, and as if they were many."""
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', request.param)


with_permits = pytest.mark.usefixtures('_with_permits')


@with_permits
async def test_pool_gets_no_requests_until_the_evacuation_ends(
    cluster: typing.Any, start: Start
) -> None:
    """Its servers are usually cold when it ends."""
    calls = await start(is_keyed=False)
    configured = json.loads(cluster.store.topics['keyed.op'][0][1])
    configured.update({'Version': 'r2'})
    configured['Services'][0]['Warmup'] = '3s'
    cluster.store.put('keyed.op', 'config', json.dumps(configured).encode())
    assert await calls.call_all() == {200}
    put_at = calls.put('a')
    async with calls.load():
        await asyncio.sleep(2 * SPREAD_S)
    assert set(calls.statuses) == {200}
    assert calls.last_arrival_ms(put_at, 'a') < 1_000 * SPREAD_S
    instance = cluster.instances[0]
    assert instance._gauges()['data_centres_evacuated'] == 1
    cold: dict[str, int] = {}
    instance._view.evacuations.assume_cold = lambda life, until: cold.update(
        {life.server: until}
    )
    ended_at = calls.put('a', b'')
    await cluster.wait_until(lambda: len(cold) == 2)
    assert min(cold.values()) >= ended_at + 3_000
    await asyncio.sleep(SPREAD_S)
    assert await calls.call_all() == {200}
    assert calls.last_arrival_ms(ended_at, 'a') > 0


@with_permits
async def test_keys_of_an_evacuated_data_centre_move_under_load(
    cluster: typing.Any, start: Start
) -> None:
    """No two servers may hold a key, and callers must hardly notice."""
    calls = await start(is_keyed=True)
    events: list[str] = []
    cluster.leader()._view.log.write = lambda _part, event, **_fields: (
        events.append(event)
    )
    async with calls.load():
        put_at = calls.put('a')
        await calls.wait_for_moves('a')
        moved_ms = calls.clock.now() - put_at
        await asyncio.sleep(SPREAD_S)
    assert moved_ms <= 1_000 * OWNERS_S
    assert set(calls.statuses) == {200}
    assert not cluster.store.low_fences
    assert calls.last_arrival_ms(put_at, 'a') <= moved_ms
    holding = {cluster.owners(key)[0] for key in evacuation_calls.KEYS}
    assert holding == {server.name for server in calls.of('b', 'c')}
    assert {'evacuation started', 'all keys have moved'} <= set(events)


@with_permits
async def test_keys_that_cannot_move_are_used_for_half_of_the_bound(
    cluster: typing.Any, start: Start
) -> None:
    """Later requests are rejected at once; the end makes the keys usable."""
    calls = await start(is_keyed=True)
    cluster.store.rejects_appends = True
    held = calls.key_of('a')
    put_at = calls.put('a')
    async with calls.load():
        await asyncio.sleep(EVACUATE_MS / 1_000)
    last_ms = calls.last_arrival_ms(put_at, 'a')
    assert abs(last_ms - 1_000 * OWNERS_S) < 1_000 * SPREAD_S
    started_at = calls.clock.now()
    reply = await calls.call(0, held)
    assert calls.clock.now() - started_at <= AT_ONCE_MS
    assert reply.status == 503
    assert float(reply.header('retry-after')) > 0
    # Its lease is renewed, though the coordinator tries to move it.
    await cluster.wait_until(lambda: cluster.owners(held))
    calls.put('a', b'')
    await asyncio.sleep(SPREAD_S)
    assert (await calls.call(0, held)).status == 200


def _follower(cluster: typing.Any) -> int:
    """Return the number of an instance that does not coordinate."""
    return next(
        number
        for number, one in enumerate(cluster.instances)
        if not one._coordinator.is_coordinating
    )


async def test_instances_that_learn_late_use_no_evacuated_server(
    cluster: typing.Any, start: Start
) -> None:
    """They must not count the bound from when they learn of the key."""
    calls = await start(is_keyed=True)
    number = _follower(cluster)
    cut_off = cluster.instances[number]
    links = evacuation_calls.Links(cut_off)
    links.cut(from_peers=True)
    cluster.store.rejects_appends = True
    held = calls.key_of('a')
    await asyncio.sleep(SPREAD_S)
    put_at = calls.put('a')
    await asyncio.sleep(IN_TOUCH_S)
    assert not cut_off._view.evacuations.active
    links.restore()
    started = cluster.add_instance('started')
    await asyncio.sleep(2 * SPREAD_S)
    asked_ms = calls.clock.now() - put_at
    assert started._view.owner_of('keys', held) is not None
    for called in (number, INSTANCES):
        assert (await calls.call(called, held)).status == 503
    assert calls.last_arrival_ms(put_at, 'a') < asked_ms


@with_permits
async def test_instance_learns_of_an_evacuation_from_another_one(
    cluster: typing.Any, start: Start
) -> None:
    calls = await start(is_keyed=False)
    number = _follower(cluster)
    evacuation_calls.Links(cluster.instances[number]).cut(from_peers=False)
    for content, is_used in ((b'{}', False), (b'', True)):
        calls.put('a', content)
        await asyncio.sleep(2 * SPREAD_S)
        since = calls.clock.now()
        for _ in range(40):
            assert (await calls.call(number)).status == 200
        assert (calls.last_arrival_ms(since, 'a') >= 0) is is_used


async def test_two_data_centres_are_evacuated_while_servers_are_replaced(
    cluster: typing.Any, start: Start
) -> None:
    calls = await start(is_keyed=True)
    async with calls.load():
        calls.put('a')
        await asyncio.sleep(0.3)
        calls.of('c')[0].register('draining')
        await asyncio.sleep(0.5)
        calls.of('a')[0].restart()
        put_at = calls.put('b')
        await calls.wait_for_moves('a', 'b')
        moved_ms = calls.clock.now() - put_at
        await asyncio.sleep(SPREAD_S)
    assert not cluster.store.low_fences
    assert calls.last_arrival_ms(put_at, 'a', 'b') <= moved_ms
    assert not set(calls.statuses) - {200, 503}
    assert await calls.call_all() == {200}


async def test_keys_move_although_the_coordinator_is_lost(
    cluster: typing.Any, start: Start
) -> None:
    calls = await start(is_keyed=True)
    leader = cluster.leader()
    number = cluster.instances.index(leader)
    others = [one for one in range(INSTANCES) if one != number]
    put_at = calls.put('a')
    await cluster.wait_until(lambda: leader._view.evacuations.active)
    await cluster.kill(number)
    async with calls.load(*others):
        await asyncio.sleep(EVACUATE_MS / 1_000)
    await calls.wait_for_moves('a')
    last_ms = calls.last_arrival_ms(put_at, 'a')
    assert last_ms < 1_000 * (OWNERS_S + SPREAD_S)
    assert not cluster.store.low_fences
    assert (await calls.call(others[0])).status == 200


@with_permits
@pytest.mark.parametrize('is_keyed', [False, True], ids=['pool', 'keyed'])
async def test_all_requests_are_rejected_if_all_data_centres_are_evacuated(
    cluster: typing.Any, start: Start, *, is_keyed: bool
) -> None:
    calls = await start(is_keyed=is_keyed)
    for name in ('a', 'b', 'c'):
        calls.put(name)
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    since = calls.clock.now()
    for number in range(INSTANCES):
        reply = await calls.call(number)
        assert reply.status == 503
        assert 1_000 * float(reply.header('retry-after')) >= 400
    assert calls.clock.now() - since <= INSTANCES * AT_ONCE_MS
    assert calls.last_arrival_ms(since, 'a', 'b', 'c') < 0
    calls.put('b', b'')
    await asyncio.sleep(2 * SPREAD_S)
    if is_keyed:
        await calls.wait_for_moves('a', 'c')
    assert await calls.call_all() == {200}


async def test_evacuation_outlives_a_store_that_returns_to_an_older_copy(
    cluster: typing.Any, start: Start
) -> None:
    """The operator's tool writes the key that the store lost again."""
    calls = await start(is_keyed=False)
    calls.put('a')
    await asyncio.sleep(SPREAD_S)
    since = calls.clock.now()
    async with calls.load():
        await cluster.store.restore(1_500, rewrite_delay_s=2)
        await asyncio.sleep(SPREAD_S)
    assert calls.last_arrival_ms(since, 'a') < 0
    assert cluster.instances[0]._view.evacuations.active == ['a']


async def test_requests_of_a_suspended_instance_go_to_no_evacuated_server(
    cluster: typing.Any, start: Start, tmp_path: pathlib.Path
) -> None:
    """It finds the requests sent meanwhile before it hears of the key."""
    calls = await start(is_keyed=False, instances=0)
    process = cluster.start_process('i0', tmp_path, cluster.store.port)
    called = process.deployment
    asked = http_client.encode_request('GET', '/readyz', (('Host', 'h'),), b'')
    status = 0
    async with asyncio.timeout(10):
        while status != 200:
            await asyncio.sleep(0.05)
            ready = await calls.pool.exchange(
                called.readiness_address, asked, 500
            )
            status = getattr(ready, 'status', 0)
    await asyncio.gather(*(calls.call_at(called) for _ in range(8)))
    await asyncio.sleep(SPREAD_S)
    process.signal(signal.SIGSTOP)
    waiting = [asyncio.create_task(calls.call_at(called)) for _ in range(8)]
    await asyncio.sleep(OWNERS_S + SPREAD_S)
    put_at = calls.put('a')
    process.signal(signal.SIGCONT)
    await asyncio.gather(*waiting)
    for _ in range(30):
        assert (await calls.call_at(called)).status == 200
    assert calls.last_arrival_ms(put_at, 'a') < 0


def test_key_is_ignored_without_a_bound(
    sample_deployment: deployment.Deployment, tmp_path: pathlib.Path
) -> None:
    """Deployments without evacuations work as before."""
    path = tmp_path / 'view.log'
    record = store_records.StoredRecord(
        store_records.RecordKey('evacuate/a'), ids.Offset(0), b'{}'
    )
    with path.open('wb') as lines:
        log = event_log.EventLog(clock.ManualClock(), lines.fileno())
        made = view.View(sample_deployment, clock.ManualClock(), log)
        made.apply(
            store_records.TopicName('keyed.op'),
            store_records.RecordPage((record,), ids.Offset(1)),
        )
    assert not made.evacuations.active
    assert 'evacuation is ignored' in path.read_text()
