"""Check that a server that says that it leaves gets no new requests."""

import asyncio
import typing

import msgspec
import pytest

from sycamoreferry_core.fleet import message_intervals
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import http_client, peer_messages, relay_messages
from sycamoreferry_ports import boot_clock

INSTANCES = 3
# The platform's Drain, from which on nothing may reach a server that leaves.
DRAIN_S = 2
KEYS = tuple(range(0, 65_536, 2_048))
# Requests at a time, so that no server stays idle.
BATCH = 8
BURST = 5
WAIT_S = 0.3
# A rejection at once; a request that waits for a server is rejected after 1 s.
AT_ONCE_MS = 200

mesh_or_permits = pytest.mark.parametrize(
    'mesh_peers', [16, 0], ids=['mesh', 'permits']
)


class _Calls:
    """Send requests to instances and keep the servers that answered."""

    def __init__(self, cluster: typing.Any) -> None:
        self._cluster = cluster
        self._pool = http_client.ConnectionPool(boot_clock.BootClock())
        self._sent = 0

    async def call(self, number: int, key: int = 0) -> typing.Any:
        self._sent += 1
        payload = self._cluster.encode_request(f'r{self._sent}', key)
        settings = self._cluster.instances[number]._deployment
        reply = await self._pool.exchange(
            settings.request_address, payload, 3_000
        )
        assert not isinstance(reply, http_client.FailedExchange)
        return reply

    async def call_all(self) -> list[int]:
        """Send a request for each key through each instance."""
        replies = []
        for key in KEYS:
            replies.extend(
                await asyncio.gather(
                    *(self.call(number, key) for number in range(INSTANCES))
                )
            )
        return [reply.status for reply in replies]

    async def call_in_bursts(self) -> set[int]:
        """Send as many requests at a time as two servers take."""
        replies = []
        for _ in range(10):
            replies.extend(
                await asyncio.gather(*(self.call(0) for _ in range(BURST)))
            )
        return {reply.status for reply in replies}

    async def hear_leaving(self, leaving: typing.Any, number: int) -> None:
        """Call an instance until it has passed on that a server leaves."""
        leaving.leaving = '1'
        for first in range(0, len(KEYS), BATCH):
            replies = await asyncio.gather(
                *(self.call(number, key) for key in KEYS[first : first + BATCH])
            )
            if any(reply.header('server-leaving') for reply in replies):
                return
        raise AssertionError('no answer says that the server leaves')


async def _start(cluster: typing.Any, *, is_keyed: bool) -> _Calls:
    await cluster.start(servers=3, instances=INSTANCES, is_keyed=is_keyed)
    for server in cluster.servers:
        server.processing_time_s = 0.01
    await cluster.wait_until(
        lambda: all(
            one.is_ready and len(one._view.peer_addresses) == INSTANCES - 1
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


def _follower(cluster: typing.Any) -> int:
    """Return the number of an instance that does not coordinate."""
    return next(
        number
        for number, one in enumerate(cluster.instances)
        if not one._coordinator.is_coordinating
    )


def _known(instance: typing.Any, server: typing.Any) -> typing.Any:
    return instance._view.fleet.get(server.name)


@mesh_or_permits
async def test_leaving_server_of_a_pool_gets_no_more_requests(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    calls = await _start(cluster, is_keyed=False)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, 0)
    arrived = len(leaving.arrived_at)
    assert await calls.call_in_bursts() == {200}
    assert len(leaving.arrived_at) == arrived


@mesh_or_permits
async def test_keys_of_a_server_that_only_says_that_it_leaves_move(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch, mesh_peers: int
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    calls = await _start(cluster, is_keyed=True)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, _follower(cluster))
    await cluster.wait_until(lambda: not leaving.granted, limit_s=DRAIN_S)
    await cluster.wait_until(cluster.is_covered, limit_s=DRAIN_S)
    arrived = len(leaving.arrived_at)
    assert set(await calls.call_all()) == {200}
    assert len(leaving.arrived_at) == arrived


async def _lose_moves(cluster: typing.Any, *, by_entry: bool) -> None:
    """Keep keys from moving, with or without reads of the store."""
    cluster.store.rejects_appends = True
    if by_entry:
        return
    cluster.store.is_down = True
    await cluster.wait_until(
        lambda: (
            not any(one._coordinator.has_authority for one in cluster.instances)
        ),
    )


@mesh_or_permits
@pytest.mark.parametrize('by_entry', [False, True], ids=['answer', 'entry'])
async def test_keys_of_a_leaving_server_that_cannot_move_are_rejected_at_once(
    cluster: typing.Any,
    monkeypatch: pytest.MonkeyPatch,
    mesh_peers: int,
    *,
    by_entry: bool,
) -> None:
    monkeypatch.setattr(message_intervals, '_MAX_MESH_PEERS', mesh_peers)
    calls = await _start(cluster, is_keyed=True)
    leaving = cluster.servers[0]
    held = next(key for key in KEYS if leaving.holds(key))
    await _lose_moves(cluster, by_entry=by_entry)
    if by_entry:
        leaving.register('draining')
    else:
        await calls.hear_leaving(leaving, 0)
    instance = cluster.instances[0]
    await cluster.wait_until(lambda: not _known(instance, leaving).is_ready)
    arrived = len(leaving.arrived_at)
    await asyncio.sleep(DRAIN_S - WAIT_S)
    started_at = leaving.clock.now()
    # The first request waits for a move until the drain time is over.
    replies = [await calls.call(0, held)]
    assert leaving.clock.now() - started_at <= 1_000 * WAIT_S + AT_ONCE_MS
    started_at = leaving.clock.now()
    replies.append(await calls.call(0, held))
    assert leaving.clock.now() - started_at <= AT_ONCE_MS
    for reply in replies:
        assert reply.status == 503
        assert b'3001' in reply.body
        assert float(reply.header('retry-after')) > 0
    assert len(leaving.arrived_at) == arrived


async def test_leaving_server_stays_unused_if_its_entry_says_ready_again(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, 0)
    leaving.register('ready')
    cluster.store.put('keyed.servers', leaving.name, b'')
    instance = cluster.instances[0]
    await cluster.wait_until(lambda: _known(instance, leaving) is None)
    leaving.register('ready')
    await cluster.wait_until(lambda: _known(instance, leaving) is not None)
    arrived = len(leaving.arrived_at)
    assert await calls.call_in_bursts() == {200}
    assert len(leaving.arrived_at) == arrived


async def test_new_incarnation_of_a_leaving_server_is_used(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, 0)
    instance = cluster.instances[0]
    assert not _known(instance, leaving).is_ready
    leaving.restart()
    await cluster.wait_until(lambda: _known(instance, leaving).is_ready)
    arrived = len(leaving.arrived_at)
    assert await calls.call_in_bursts() == {200}
    assert len(leaving.arrived_at) > arrived


@pytest.mark.parametrize('stated', ['0', 'yes', '1, 1', '11'])
async def test_malformed_leaving_header_is_no_statement(
    cluster: typing.Any, stated: str
) -> None:
    calls = await _start(cluster, is_keyed=False)
    for server in cluster.servers:
        server.leaving = stated
    assert await calls.call_in_bursts() == {200}
    fleet = cluster.instances[0]._view.fleet
    assert all(server.is_ready for server in fleet.servers.values())


async def test_another_server_at_the_address_is_not_taken_for_the_leaving_one(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    # Answers 421, since requests expect the server that was here before.
    cluster.servers[0].name = 'other'
    for server in cluster.servers:
        server.leaving = '1' if server.name == 'other' else ''
    await calls.call_in_bursts()
    assert len(cluster.servers[0].arrived_at) > 0
    assert cluster.instances[0]._view.fleet.get('s0').is_ready


class _CutOff(reachability.Reachability):
    """Report that no server can be reached, whatever probes find."""

    @property
    def is_cut_off(self) -> bool:
        return True


def _drop_message(_message: object, _sender: object) -> None:
    """Drop a message."""


async def test_instance_that_passes_on_a_relayed_answer_knows_who_leaves(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = await _start(cluster, is_keyed=False)
    first = cluster.instances[0]
    first._loads.reachability = _CutOff()
    # Only the relayed answer can tell, not a heartbeat.
    monkeypatch.setattr(first._exchange._socket, '_handler', _drop_message)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, 0)
    assert not _known(first, leaving).is_ready


async def test_leaving_server_is_no_target_of_probes(
    cluster: typing.Any,
) -> None:
    calls = await _start(cluster, is_keyed=False)
    leaving = cluster.servers[0]
    await calls.hear_leaving(leaving, 0)
    probed = cluster.instances[0]._monitor._ready_servers()
    names = {server.incarnation.server for server in probed}
    assert names == {server.name for server in cluster.servers[1:]}


class _EarlierHeartbeat(msgspec.Struct, array_like=True, tag='heartbeat'):
    """Read and write heartbeats as the version before does."""

    instance: str
    incarnation: int
    is_leaving: bool
    store_age_ms: int
    has_authority: bool
    counting_weight: float
    given_up_term: int
    leases_ms: int
    ends: list[int]
    loads: None
    crashes: list[int]
    rate_limits: list[int] = []
    is_cut_off: bool = False


class _EarlierAnswer(msgspec.Struct, array_like=True):
    """Read and write relayed answers as the version before does."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    code: int
    reason: str


def test_earlier_version_reads_and_writes_the_same_messages() -> None:
    rows = [peer_messages.LeavingRow('s0', 1)]
    earlier = _EarlierHeartbeat('i0', 1, False, 0, False, 1, 0, 0, [], None, [])
    heartbeat = peer_messages.decode(msgspec.msgpack.encode(earlier))
    assert isinstance(heartbeat, peer_messages.Heartbeat)
    assert not heartbeat.leaving
    heartbeat.leaving = rows
    encoded = peer_messages.encode(heartbeat)
    assert peer_messages.decode(encoded) == heartbeat
    assert msgspec.msgpack.decode(encoded, type=_EarlierHeartbeat) == earlier
    earlier_answer = _EarlierAnswer(200, [], b'', 1_000, 'answered')
    encoded = msgspec.msgpack.encode(earlier_answer)
    answer = relay_messages.decode_answer(encoded)
    assert not answer.leaving
    encoded = relay_messages.encode(
        msgspec.structs.replace(answer, leaving=rows)
    )
    assert relay_messages.decode_answer(encoded).leaving == rows
    assert (
        msgspec.msgpack.decode(encoded, type=_EarlierAnswer) == earlier_answer
    )
