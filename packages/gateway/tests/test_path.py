"""Serve requests through instances, a store and servers on loopback."""

import asyncio
import dataclasses
import typing

from sycamoreferry_core.keyspace import owners, placement
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

KEY = 4_000
LONG_RELEASE_S = 10


async def _call(
    world: typing.Any,
    number: int = 0,
    key: int = KEY,
    path: str = '/k/a',
    request_id: str = '1',
) -> tuple[int, bytes]:
    made = world.instances[number]
    payload = world.payload(request_id, key, path=path)
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    address = made._deployment.request_address
    reply = await pool.exchange(address, payload, 3_000)
    assert not isinstance(reply, http_client.Failed)
    return reply.status, reply.body


async def _started(
    world: typing.Any,
    servers: int = 3,
    instances: int = 2,
) -> None:
    await world.start(servers, instances)
    await world.until(world.is_covered)
    await world.until(lambda: all(one.is_ready for one in world.instances))


async def test_request_runs_at_the_owner_of_its_key(
    world: typing.Any,
) -> None:
    await _started(world)
    await world.until(lambda: _knows_owners(world))
    for number in (0, 1):
        status, body = await _call(world, number, request_id=f'r{number}')
        assert status == 200
        assert [body.decode()] == world.owners(KEY)


def _knows_owners(world: typing.Any) -> bool:
    return all(
        one._view.owner_of('keys', KEY) is not None for one in world.instances
    )


async def test_unknown_route_and_missing_configuration(
    world: typing.Any,
) -> None:
    await _started(world)
    status, _ = await _call(world, path='/other')
    assert status == 404
    world.instances[0]._view.config = None
    status, body = await _call(world)
    assert status == 503
    assert b'3011' in body


async def test_configuration_is_in_force_soon_and_never_older(
    world: typing.Any,
    new_configuration: typing.Any,
) -> None:
    await _started(world)
    world.store.put('keyed.op', 'config', new_configuration(5))
    await world.until(
        lambda: all(one._view.config.version == 5 for one in world.instances),
        limit_s=1,
    )
    world.store.put('keyed.op', 'config', new_configuration(4))
    world.store.put('keyed.op', 'config', b'{"Version": 7}')
    await asyncio.sleep(0.3)
    assert world.instances[0]._view.config.version == 5


async def test_damaged_entries_leave_the_other_servers_in_use(
    world: typing.Any,
) -> None:
    await _started(world)
    for content in (b'\xff', b'{}', b'{"Service": 3}', b'[]'):
        world.store.put('keyed.servers', 'foreign', content)
    world.store.put('keyed.servers', 's0', b'damaged')
    await asyncio.sleep(1)
    assert len(world.instances[0]._view.fleet.servers) == 3
    assert world.is_covered()


async def test_keys_of_a_leaving_server_move_within_the_drain_time(
    world: typing.Any,
) -> None:
    await _started(world)
    leaving = world.servers[0]
    leaving.register('draining')
    await world.until(lambda: not leaving.granted, limit_s=2)
    await world.until(world.is_covered, limit_s=2)
    assert all(
        row.fence > 0 for server in world.servers for row in server.granted
    )


async def test_server_that_started_again_gets_keys_under_a_higher_fence(
    world: typing.Any,
) -> None:
    await _started(world)
    restarted = world.servers[0]
    before = max(row.fence for row in restarted.granted)
    restarted.start_again()
    await world.until(world.is_covered, limit_s=5)
    fences = [
        row.fence
        for server in world.servers
        for row in server.granted
        if row.first == 0
    ]
    assert min(fences) > before


async def test_keys_are_held_while_the_store_is_away(
    world: typing.Any,
) -> None:
    await _started(world)
    world.store.is_down = True
    for _ in range(60):
        await asyncio.sleep(0.1)
        assert world.is_covered()
    world.store.is_down = False
    await asyncio.sleep(3)
    assert world.is_covered()


async def test_released_keys_go_back_if_the_new_owner_cannot_be_written(
    world: typing.Any,
) -> None:
    await _started(world)
    leader = world.leader()
    row = leader._view.owner_of('keys', KEY)
    other = next(
        known.life
        for known in leader._view.servers_of('keys')
        if known.life != row.owner
    )
    world.store.refuses_appends = True
    move = placement.Move(row.keys, row.owner, other)
    leader._coordinator._mover._start_move('keys', row, move, 1)
    await world.until(lambda: not world.owners(KEY), limit_s=1)
    await world.until(
        lambda: world.owners(KEY) == [row.owner.server],
        limit_s=1.5,
    )
    await world.until(lambda: _knows_owners(world), limit_s=0.5)


async def test_renewal_leaves_out_keys_that_moved_while_it_went_on(
    world: typing.Any,
) -> None:
    await _started(world)
    leader = world.leader()
    row = leader._view.owner_of('keys', KEY)
    await _move(world, leader, row.keys.first + 100)
    renewed = leader._view.owner_of('keys', row.keys.last)
    source = next(one for one in world.servers if one.name == row.owner.server)
    # The first row's renewal is slow, the second one's follows it.
    source.grant_delay_s = 0.6
    source.delayed_grants = 0
    await world.until(lambda: source.delayed_grants, limit_s=2)
    await _move(world, leader, renewed.keys.last)
    for _ in range(40):
        await asyncio.sleep(0.05)
        assert len(world.owners(renewed.keys.last)) == 1


async def _move(world: typing.Any, leader: typing.Any, key: int) -> None:
    """Move one key to another server and wait until it holds it."""
    row = leader._view.owner_of('keys', key)
    destination = next(
        known.life
        for known in leader._view.servers_of('keys')
        if known.life != row.owner
    )
    keys = owners.KeyRange(owners.Key(key), owners.Key(key))
    move = placement.Move(keys, row.owner, destination)
    leader._coordinator._mover._start_move('keys', row, move, 1)
    await world.until(
        lambda: world.owners(key) == [destination.server],
        limit_s=1,
    )


async def test_keys_renewed_at_a_new_incarnation_have_one_owner(
    world: typing.Any,
) -> None:
    await _started(world)
    (name,) = world.owners(KEY)
    server = next(one for one in world.servers if one.name == name)
    # It starts again, and is renewed before its entry tells of it.
    server.born += 1
    server.granted.clear()
    await world.until(lambda: server.holds(KEY), limit_s=3)
    server.register('draining')
    for _ in range(60):
        await asyncio.sleep(0.05)
        assert len(world.owners(KEY)) <= 1


async def test_rows_written_at_once_share_a_record(
    world: typing.Any,
) -> None:
    await _started(world)
    leader = world.leader()
    terms = leader._coordinator._terms
    row = leader._view.owner_of('keys', KEY)
    parts = [
        dataclasses.replace(
            row, keys=owners.KeyRange(owners.Key(key), owners.Key(key))
        )
        for key in range(KEY, KEY + 20)
    ]
    before = world.store.appends
    written = await asyncio.gather(
        *(terms.write_rows('keys', [part]) for part in parts),
    )
    # The first goes alone, the others while it is on its way.
    assert world.store.appends - before <= 2
    assert [rows[0].keys for rows in written] == [part.keys for part in parts]
    for rows in written:
        assert leader._view.owner_of('keys', rows[0].keys.first) == rows[0]


async def test_next_coordinator_keeps_the_owners(world: typing.Any) -> None:
    await _started(world, instances=3)
    owners = world.owners(KEY)
    coordinating = [
        number
        for number, one in enumerate(world.instances)
        if one._coordinator.is_coordinating
    ]
    assert len(coordinating) == 1
    await world.kill(coordinating[0])
    others = [
        one
        for number, one in enumerate(world.instances)
        if number != coordinating[0]
    ]
    await world.until(
        lambda: any(one._coordinator.has_authority for one in others),
        limit_s=3,
    )
    await asyncio.sleep(4)
    assert world.is_covered()
    assert world.owners(KEY) == owners


async def _overlaps(world: typing.Any, length_s: int) -> int:
    """Count how often in a time two servers held one of some keys."""
    overlaps = 0
    for _ in range(20 * length_s):
        await asyncio.sleep(0.05)
        overlaps += any(len(world.owners(key)) > 1 for key in (0, KEY, 65_535))
    return overlaps


async def test_write_with_a_lost_answer_gives_one_owner(
    world: typing.Any,
) -> None:
    await _started(world)
    world.store.lose_answers = 1
    world.servers[0].register('draining')
    assert not await _overlaps(world, 4)
    await world.until(world.is_covered, limit_s=5)


async def test_grant_with_a_lost_answer_gives_one_owner(
    world: typing.Any,
) -> None:
    await _started(world)
    server = world.servers[0]
    server.loses_grants = 2
    await asyncio.sleep(1.5)
    server.register('draining')
    assert not await _overlaps(world, 8)
    await world.until(world.is_covered, limit_s=8)


async def test_keys_of_a_lost_server_after_a_planned_take_over(
    world: typing.Any,
) -> None:
    await _started(world, instances=3)
    lost = world.servers.pop()
    lost.stop()
    world.store.put('keyed.servers', lost.name, b'')
    leaving = world.leader()
    # As on SIGTERM.
    leaving._server.is_leaving = True
    leaving._exchange.is_leaving = True
    leaving._coordinator.resign()
    # The lease of the lost server is over after 4 s.
    await world.until(world.is_covered, limit_s=6.5)


async def test_keys_of_a_server_lost_while_the_store_was_away(
    world: typing.Any,
) -> None:
    await _started(world)
    world.store.is_down = True
    await asyncio.sleep(7)
    lost = world.servers.pop()
    lost.stop()
    world.store.put('keyed.servers', lost.name, b'')
    world.store.is_down = False
    # The longest hold began within two seconds of the outage.
    await world.until(world.is_covered, limit_s=8)


async def test_instance_that_starts_without_the_store_asks_its_peers(
    world: typing.Any,
) -> None:
    await _started(world, instances=3)
    world.store.is_down = True
    await world.kill(2)
    again = world.restart(2)
    # As the configuration has to be in force within two seconds.
    await world.until(lambda: again.is_ready, limit_s=2)
