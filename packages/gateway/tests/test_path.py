"""Check instances with a stand-in store and servers on loopback."""

import asyncio
import dataclasses
import typing

import pytest

from sycamoreferry_core.keyspace import owners, placement
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

KEY = 4_000
LONG_RELEASE_S = 10


async def _call(
    cluster: typing.Any,
    index: int = 0,
    key: int = KEY,
    path: str = '/k/a',
    request_id: str = '1',
) -> tuple[int, bytes]:
    target = cluster.instances[index]
    payload = cluster.encode_request(request_id, key, path=path)
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    address = target._deployment.request_address
    reply = await pool.exchange(address, payload, 3_000)
    assert not isinstance(reply, http_client.FailedExchange)
    return reply.status, reply.body


async def _start(
    cluster: typing.Any,
    servers: int = 3,
    instances: int = 2,
) -> None:
    await cluster.start(servers, instances)
    await cluster.wait_until(cluster.is_covered)
    await cluster.wait_until(
        lambda: all(one.is_ready for one in cluster.instances)
    )


async def test_request_runs_at_the_owner_of_its_key(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    await cluster.wait_until(lambda: _knows_owners(cluster))
    for number in (0, 1):
        status, body = await _call(cluster, number, request_id=f'r{number}')
        assert status == 200
        assert [body.decode()] == cluster.owners(KEY)


def _knows_owners(cluster: typing.Any) -> bool:
    return all(
        one._view.owner_of('keys', KEY) is not None for one in cluster.instances
    )


async def test_unknown_route_gives_404_and_missing_configuration_503(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    status, _ = await _call(cluster, path='/other')
    assert status == 404
    cluster.instances[0]._view.config = None
    status, body = await _call(cluster)
    assert status == 503
    assert b'3011' in body


async def test_request_that_fails_inside_is_answered(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _start(cluster)
    chosen = cluster.instances[0]._dispatcher
    # Not awaitable, so the request's task raises TypeError.
    monkeypatch.setattr(chosen, 'acquire', len)
    status, body = await _call(cluster)
    assert status == 502
    assert b'4001' in body


async def test_configuration_applies_within_a_second_and_never_reverts(
    cluster: typing.Any,
    encode_configuration: typing.Any,
) -> None:
    await _start(cluster)
    cluster.store.put('keyed.op', 'config', encode_configuration(5))
    await cluster.wait_until(
        lambda: all(one._view.config.version == 5 for one in cluster.instances),
        limit_s=1,
    )
    cluster.store.put('keyed.op', 'config', encode_configuration(4))
    cluster.store.put('keyed.op', 'config', b'{"Version": 7}')
    await asyncio.sleep(0.3)
    assert cluster.instances[0]._view.config.version == 5


async def test_damaged_entries_leave_the_other_servers_in_use(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    for content in (b'\xff', b'{}', b'{"Service": 3}', b'[]'):
        cluster.store.put('keyed.servers', 'foreign', content)
    cluster.store.put('keyed.servers', 's0', b'damaged')
    await asyncio.sleep(1)
    assert len(cluster.instances[0]._view.fleet.servers) == 3
    assert cluster.is_covered()


async def test_keys_are_spread_over_later_servers_before_the_first_request(
    cluster: typing.Any,
) -> None:
    # Without requests the first servers kept all keys, and the first requests
    # overloaded them.
    await _start(cluster)
    await cluster.wait_until(cluster.is_covered)
    for number in range(3, 6):
        server = type(cluster.servers[0])(f's{number}', cluster.store)
        await server.start()
        server.register()
        cluster.servers.append(server)
    await cluster.wait_until(
        lambda: all(server.granted for server in cluster.servers)
    )
    await cluster.wait_until(cluster.is_covered, limit_s=2)


async def test_keys_of_a_leaving_server_move_within_the_drain_time(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    leaving = cluster.servers[0]
    leaving.register('draining')
    await cluster.wait_until(lambda: not leaving.granted, limit_s=2)
    await cluster.wait_until(cluster.is_covered, limit_s=2)
    assert all(
        row.fence > 0 for server in cluster.servers for row in server.granted
    )


async def test_restarted_server_is_granted_keys_under_a_higher_fence(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    restarted = cluster.servers[0]
    before = max(row.fence for row in restarted.granted)
    restarted.restart()
    await cluster.wait_until(cluster.is_covered, limit_s=5)
    fences = [
        row.fence
        for server in cluster.servers
        for row in server.granted
        if row.first == 0
    ]
    assert min(fences) > before


async def test_keys_stay_granted_while_the_store_is_down(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    cluster.store.is_down = True
    for _ in range(60):
        await asyncio.sleep(0.1)
        assert cluster.is_covered()
    cluster.store.is_down = False
    await asyncio.sleep(3)
    assert cluster.is_covered()


async def test_released_keys_return_if_writing_the_new_owner_fails(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    leader = cluster.leader()
    row = leader._view.owner_of('keys', KEY)
    other = next(
        known.incarnation
        for known in leader._view.servers_of('keys')
        if known.incarnation != row.owner
    )
    cluster.store.rejects_appends = True
    move = placement.Move(row.keys, row.owner, other)
    leader._coordinator._mover._start_move('keys', row, move, 1)
    await cluster.wait_until(lambda: not cluster.owners(KEY), limit_s=1)
    await cluster.wait_until(
        lambda: cluster.owners(KEY) == [row.owner.server],
        limit_s=1.5,
    )
    await cluster.wait_until(lambda: _knows_owners(cluster), limit_s=0.5)


async def test_renewal_excludes_keys_that_moved_while_it_ran(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    leader = cluster.leader()
    row = leader._view.owner_of('keys', KEY)
    source = next(
        one for one in cluster.servers if one.name == row.owner.server
    )
    # The grants of one server are renewed in turn, so the slow first renewal
    # delays the second. Both are due once the move has cut the range in two.
    source.delayed_range = (row.keys.first, row.keys.first + 99)
    source.grant_delay_s = 0.6
    await _move(cluster, leader, row.keys.first + 100)
    renewed = leader._view.owner_of('keys', row.keys.last)
    await cluster.wait_until(lambda: source.delayed_grants, limit_s=2)
    await _move(cluster, leader, renewed.keys.last)
    for _ in range(40):
        await asyncio.sleep(0.05)
        assert len(cluster.owners(renewed.keys.last)) == 1


async def test_keys_move_soon_after_a_slow_renewal_of_them(
    cluster: typing.Any,
) -> None:
    """Check keys that stayed without an owner until their lease was over."""
    await _start(cluster)
    leader = cluster.leader()
    row = leader._view.owner_of('keys', KEY)
    source = next(
        one for one in cluster.servers if one.name == row.owner.server
    )
    source.grant_delay_s = 0.3
    await cluster.wait_until(lambda: source.delayed_grants, limit_s=2)
    await _move(cluster, leader, KEY)
    assert not source.holds(KEY)


async def _move(cluster: typing.Any, leader: typing.Any, key: int) -> None:
    """Move one key to another server and wait until that server holds it."""
    row = leader._view.owner_of('keys', key)
    destination = next(
        known.incarnation
        for known in leader._view.servers_of('keys')
        if known.incarnation != row.owner
    )
    keys = owners.KeyRange(owners.Key(key), owners.Key(key))
    move = placement.Move(keys, row.owner, destination)
    leader._coordinator._mover._start_move('keys', row, move, 1)
    await cluster.wait_until(
        lambda: cluster.owners(key) == [destination.server],
        limit_s=1,
    )


async def test_keys_renewed_at_a_new_incarnation_have_at_most_one_owner(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    (name,) = cluster.owners(KEY)
    server = next(one for one in cluster.servers if one.name == name)
    # The server restarts, and its grant is renewed before its new entry shows
    # the restart.
    server.born += 1
    server.granted.clear()
    await cluster.wait_until(lambda: server.holds(KEY), limit_s=3)
    server.register('draining')
    for _ in range(60):
        await asyncio.sleep(0.05)
        assert len(cluster.owners(KEY)) <= 1


async def test_concurrently_written_rows_share_a_record(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    leader = cluster.leader()
    terms = leader._coordinator._terms
    row = leader._view.owner_of('keys', KEY)
    parts = [
        dataclasses.replace(
            row, keys=owners.KeyRange(owners.Key(key), owners.Key(key))
        )
        for key in range(KEY, KEY + 20)
    ]
    before = cluster.store.append_count
    written = await asyncio.gather(
        *(terms.write_rows('keys', [part]) for part in parts),
    )
    # The first row is written alone; the others queue meanwhile and share the
    # second append.
    assert cluster.store.append_count - before <= 2
    assert [rows[0].keys for rows in written] == [part.keys for part in parts]
    for rows in written:
        assert leader._view.owner_of('keys', rows[0].keys.first) == rows[0]


async def test_owners_survive_a_change_of_coordinator(
    cluster: typing.Any,
) -> None:
    await _start(cluster, instances=3)
    owners = cluster.owners(KEY)
    coordinators = [
        number
        for number, one in enumerate(cluster.instances)
        if one._coordinator.is_coordinating
    ]
    assert len(coordinators) == 1
    await cluster.kill(coordinators[0])
    others = [
        one
        for number, one in enumerate(cluster.instances)
        if number != coordinators[0]
    ]
    await cluster.wait_until(
        lambda: any(one._coordinator.has_authority for one in others),
        limit_s=3,
    )
    await asyncio.sleep(4)
    assert cluster.is_covered()
    assert cluster.owners(KEY) == owners


async def _count_overlaps(cluster: typing.Any, duration_s: int) -> int:
    """Count the 50 ms samples in which two servers held one of three keys."""
    overlaps = 0
    for _ in range(20 * duration_s):
        await asyncio.sleep(0.05)
        overlaps += any(
            len(cluster.owners(key)) > 1 for key in (0, KEY, 65_535)
        )
    return overlaps


async def test_lost_reply_to_a_write_leaves_one_owner(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    cluster.store.append_replies_to_lose = 1
    cluster.servers[0].register('draining')
    assert not await _count_overlaps(cluster, 4)
    await cluster.wait_until(cluster.is_covered, limit_s=5)


async def test_lost_reply_to_a_grant_leaves_one_owner(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    server = cluster.servers[0]
    server.grant_replies_to_lose = 2
    await asyncio.sleep(1.5)
    server.register('draining')
    assert not await _count_overlaps(cluster, 8)
    await cluster.wait_until(cluster.is_covered, limit_s=8)


async def test_keys_of_a_lost_server_are_granted_after_a_planned_takeover(
    cluster: typing.Any,
) -> None:
    await _start(cluster, instances=3)
    lost = cluster.servers.pop()
    lost.stop()
    cluster.store.put('keyed.servers', lost.name, b'')
    leaving = cluster.leader()
    # What SIGTERM does.
    leaving._server.is_draining = True
    leaving._exchange.is_leaving = True
    leaving._coordinator.resign()
    # The lost server's lease ends after 4 s.
    await cluster.wait_until(cluster.is_covered, limit_s=6.5)


async def test_keys_of_a_server_lost_while_the_store_was_down_are_granted_again(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    cluster.store.is_down = True
    await asyncio.sleep(7)
    lost = cluster.servers.pop()
    lost.stop()
    cluster.store.put('keyed.servers', lost.name, b'')
    cluster.store.is_down = False
    # The longest lease began within two seconds of the start of the outage.
    await cluster.wait_until(cluster.is_covered, limit_s=8)


async def test_instance_started_while_the_store_is_down_asks_its_peers(
    cluster: typing.Any,
) -> None:
    await _start(cluster, instances=3)
    cluster.store.is_down = True
    await cluster.kill(2)
    restarted = cluster.restart(2)
    # A configuration must be in force within two seconds.
    await cluster.wait_until(lambda: restarted.is_ready, limit_s=2)
