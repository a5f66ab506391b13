"""Check that instances leave servers alone that ask for a back-off."""

import asyncio
import typing

import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_gateway import http_client, peer_messages
from sycamoreferry_ports import boot_clock

INSTANCES = 4
INTERVAL_S = 0.05
KEYS = tuple(range(0, 65_536, 2_048))
KEY = 4_000
# What the platform excuses: requests on their way, and two more.
UNDER_WAY_MS = 500
MOST_IN_BACK_OFF = 2
# An answer that needs no server is due well within this time.
AT_ONCE_MS = 300

_MODES = pytest.mark.parametrize('mesh_peers', [16, 0], ids=['mesh', 'permits'])


class _Caller:
    """Call instances in turn and keep the replies and their durations."""

    def __init__(self, cluster: typing.Any) -> None:
        self._cluster = cluster
        self._clock = boot_clock.BootClock()
        self._pool = http_client.ConnectionPool(self._clock)
        self._number = 0

    async def call(
        self, key: int = KEY, deadline_ms: int = 3_000
    ) -> tuple[typing.Any, int]:
        number = self._number
        self._number += 1
        target = number % len(self._cluster.instances)
        payload = self._cluster.encode_request(
            f'i{target}-r{number}', key, deadline_ms=deadline_ms
        )
        settings = self._cluster.instances[target]._deployment
        sent_at = self._clock.now()
        reply = await self._pool.exchange(
            settings.request_address, payload, deadline_ms
        )
        assert not isinstance(reply, http_client.FailedExchange)
        return reply, self._clock.now() - sent_at

    async def load(self, duration_s: float) -> list[int]:
        calls = []
        for number in range(int(duration_s / INTERVAL_S)):
            call = self.call(KEYS[number % len(KEYS)])
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(INTERVAL_S)
        return [reply.status for reply, _ in await asyncio.gather(*calls)]


def _instance_of(request_id: str) -> str:
    return request_id.partition('-')[0]


def _most_in_back_off(server: typing.Any, asked_ms: int) -> int:
    """Return the most requests of an instance in a back-off it was asked."""
    counts: list[int] = [
        sum(
            _instance_of(other) == _instance_of(turned_away)
            and at + UNDER_WAY_MS <= arrived_at < at + asked_ms
            for other, arrived_at in server.arrived
        )
        for turned_away, at in server.turned_away
    ]
    return max(counts, default=0)


def _retry_after_ms(reply: typing.Any) -> float:
    return float(reply.header('retry-after')) * 1_000


async def _start(
    cluster: typing.Any,
    servers: int = 1,
    instances: int = 1,
    *,
    is_keyed: bool = True,
) -> typing.Any:
    """Start a cluster; return one of its servers."""
    await cluster.start(servers, instances, is_keyed=is_keyed)
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
                one._view.owner_of('keys', KEY) is not None
                for one in cluster.instances
            )
        )
    return cluster.servers[0]


@pytest.mark.parametrize(
    ('is_keyed', 'shedding_count', 'statuses'),
    [(True, 1, {200, 503}), (False, 1, {200}), (False, 2, {200, 503})],
    ids=['keyed', 'pool', 'whole pool'],
)
@_MODES
async def test_server_gets_no_requests_while_it_asks_for_a_back_off(
    cluster: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
    mesh_peers: int,
    shedding_count: int,
    statuses: set[int],
    *,
    is_keyed: bool,
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    await _start(cluster, 2, INSTANCES, is_keyed=is_keyed)
    caller = _Caller(cluster)
    for server in cluster.servers:
        # A server alone is nearly busy, so that all are used.
        server.processing_time_s = 0.08
    await caller.load(1)
    shedding = cluster.servers[:shedding_count]
    for server in shedding:
        server.retry_after = '5'
    results = await caller.load(8)
    assert all(server.turned_away for server in shedding)
    assert (
        max(_most_in_back_off(server, 5_000) for server in shedding)
        <= MOST_IN_BACK_OFF
    )
    assert set(results) <= statuses


@_MODES
async def test_request_that_cannot_wait_for_the_end_of_a_back_off_is_rejected(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    server = await _start(cluster)
    server.retry_after = '5'
    caller = _Caller(cluster)
    for number in range(3):
        reply, elapsed_ms = await caller.call()
        now = server.clock.now()
        (_, turned_away_at) = server.turned_away[0]
        assert reply.status == 503
        assert elapsed_ms < AT_ONCE_MS
        assert _retry_after_ms(reply) >= turned_away_at + 5_000 - now
        assert len(server.arrived) == 1, f'after request {number}'
        await asyncio.sleep(0.2)


@_MODES
async def test_request_waits_for_the_end_of_a_short_back_off(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    server = await _start(cluster)
    server.retry_after = '0.6'
    call = asyncio.create_task(_Caller(cluster).call())
    await cluster.wait_until(lambda: bool(server.turned_away))
    server.retry_after = ''
    reply, _ = await call
    assert reply.status == 200
    (_, turned_away_at), (_, arrived_at) = server.arrived
    assert arrived_at - turned_away_at >= 600


@_MODES
async def test_end_of_a_back_off_does_not_release_the_whole_queue(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    server = await _start(cluster)
    server.retry_after = '0.7'
    caller = _Caller(cluster)
    first = asyncio.create_task(caller.call())
    await cluster.wait_until(lambda: bool(server.turned_away))
    calls = [asyncio.create_task(caller.call()) for _ in range(6)]
    await asyncio.gather(first, *calls)
    # One at the end of the back-off; its answer asks for the next one.
    assert len(server.arrived) == 2
    assert _most_in_back_off(server, 700) == 0


@_MODES
async def test_queued_requests_are_rejected_when_a_back_off_begins(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    server = await _start(cluster)
    server.processing_time_s = 0.15
    caller = _Caller(cluster)
    calls = [asyncio.create_task(caller.call()) for _ in range(6)]
    await cluster.wait_until(lambda: server.running > 0)
    running = len(server.arrived)
    server.retry_after = '5'
    replies = await asyncio.gather(*calls)
    (_, turned_away_at) = server.turned_away[0]
    assert server.clock.now() - turned_away_at < AT_ONCE_MS
    assert _most_in_back_off(server, 5_000) == 0
    rejected = [reply for reply, _ in replies if reply.status == 503]
    assert len(rejected) == len(replies) - running
    assert all(_retry_after_ms(reply) > 4_500 for reply in rejected)


async def test_permit_granted_before_a_back_off_is_returned_unused(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', -1)
    server = await _start(cluster)
    (instance,) = cluster.instances
    incarnation = instance._view.fleet.get(server.name).incarnation
    permits = instance._dispatcher.permits
    handle_answer = permits.handle_answer

    def begin_back_off(answer: peer_messages.PermitAnswer) -> None:
        now = instance._clock.now()
        instance._loads.back_offs.record_delay(incarnation, 5_000, now)
        handle_answer(answer)

    monkeypatch.setattr(permits, 'handle_answer', begin_back_off)
    reply, _ = await _Caller(cluster).call()
    assert reply.status == 503
    assert not server.arrived
    issuer = instance._permit_service._desk
    await cluster.wait_until(
        lambda: not any(queue.held for queue in issuer._queues.values())
    )


@_MODES
async def test_instance_that_backs_off_sends_no_relayed_requests(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    server = await _start(cluster, instances=2)
    server.retry_after = '5'
    cut_off, peer = cluster.instances
    await cluster.wait_until(
        lambda: bool(cut_off._view.peers.reaching_servers(cut_off._clock.now()))
    )
    cut_off._loads.reachability.record_probe(
        cut_off._clock.now(), has_reached=False
    )
    monkeypatch.setattr(cut_off._loads.reachability, '_probed_at', 2**62)
    caller = _Caller(cluster)
    for _ in range(4):
        reply, elapsed_ms = await caller.call()
        assert reply.status == 503
        assert elapsed_ms < AT_ONCE_MS
    assert peer._request_handler.in_flight == 0
    assert len(server.arrived) == 1


async def test_new_incarnation_of_a_server_starts_without_a_back_off(
    cluster: typing.Any,
) -> None:
    server = await _start(cluster, is_keyed=False)
    server.retry_after = '60'
    caller = _Caller(cluster)
    assert (await caller.call())[0].status == 503
    server.retry_after = ''
    server.restart()
    (instance,) = cluster.instances
    await cluster.wait_until(
        lambda: instance._view.fleet.get(server.name).incarnation.born == 2
    )
    assert (await caller.call())[0].status == 200


async def test_answer_of_another_server_starts_no_back_off(
    cluster: typing.Any,
) -> None:
    server = await _start(cluster, is_keyed=False)
    caller = _Caller(cluster)
    name = server.name
    server.name = 'other'
    assert (await caller.call(deadline_ms=500))[0].status == 503
    server.name = name
    assert (await caller.call())[0].status == 200


@pytest.mark.parametrize('retry_after', ['soon', '-3', '1e9', '0'])
async def test_unusable_retry_after_starts_no_back_off(
    cluster: typing.Any, retry_after: str
) -> None:
    server = await _start(cluster)
    server.retry_after = retry_after
    caller = _Caller(cluster)
    assert (await caller.call())[0].status == 503
    server.retry_after = ''
    assert (await caller.call())[0].status == 200


async def test_leases_of_a_server_are_renewed_during_a_back_off(
    cluster: typing.Any,
) -> None:
    server = await _start(cluster)
    server.retry_after = '60'
    assert (await _Caller(cluster).call())[0].status == 503
    known = (
        len(server.granted),
        min(row.expires_at_ms for row in server.granted),
    )
    await cluster.wait_until(
        lambda: min(row.expires_at_ms for row in server.granted) > known[1]
    )
    assert cluster.is_covered()
