"""Check instances whose store returns to an older copy of its records."""

import asyncio
import enum
import typing

import pytest

from sycamoreferry_core.fleet import store_records
from sycamoreferry_core.keyspace import placement

COPY_AGE_MS = 1_500
# Longest time for which a lease of the time before may hold a key, and the
# time to claim and to grant.
LONGEST_HOLD_S = 18
KEYS = tuple(range(0, 65_536, 2_048))


@enum.unique
class Scenario(enum.Enum):
    """Name what happens to instances when the store returns to a copy."""

    COORDINATOR_GOES_ON = 'coordinator-goes-on'
    COORDINATOR_DIES = 'coordinator-dies'
    COORDINATOR_RESTARTS = 'coordinator-restarts'
    ALL_RESTART = 'all-restart'
    LONG_OUTAGE = 'long-outage'
    TWICE = 'twice'


async def _start(
    cluster: typing.Any, instances: int = 3, servers: int = 3
) -> None:
    await cluster.start(servers, instances)
    await cluster.wait_until(cluster.is_covered)
    await cluster.wait_until(
        lambda: all(one.is_ready for one in cluster.instances)
    )


async def _move_keys(cluster: typing.Any, first: int, count: int) -> None:
    """Move single keys, one after another, each to another server."""
    for key in range(first, first + count):
        await _move_key(cluster, key)


async def _move_key(cluster: typing.Any, key: int) -> str:
    leader = _leader(cluster)
    row = leader._view.owner_of('keys', key)
    destination = next(
        known.incarnation
        for known in leader._view.servers_of('keys')
        if known.incarnation != row.owner
    )
    keys = type(row.keys)(key, key)
    move = placement.Move(keys, row.owner, destination)
    leader._coordinator._mover._start_move('keys', row, move, 1)
    moved_to = typing.cast(str, destination.server)
    await cluster.wait_until(lambda: cluster.owners(key) == [moved_to], 3)
    return moved_to


async def _restore(cluster: typing.Any, scenario: Scenario) -> None:
    store = cluster.store
    number = cluster.instances.index(_leader(cluster))
    if scenario is Scenario.COORDINATOR_DIES:
        await cluster.kill(number)
        await store.restore(COPY_AGE_MS)
    elif scenario is Scenario.COORDINATOR_RESTARTS:
        await cluster.kill(number)
        await store.restore(COPY_AGE_MS)
        cluster.restart(number)
    elif scenario is Scenario.ALL_RESTART:
        for each in range(3):
            await cluster.kill(each)
        await store.restore(COPY_AGE_MS)
        for each in range(3):
            cluster.restart(each)
    else:
        outage_s = 2.5 if scenario is Scenario.LONG_OUTAGE else 0.2
        await store.restore(COPY_AGE_MS + int(outage_s * 1_000), outage_s)
        if scenario is Scenario.TWICE:
            await asyncio.sleep(0.5)
            # This copy is older than the first claim after the first restore.
            await store.restore(COPY_AGE_MS + 1_500, outage_s)


def _running(cluster: typing.Any) -> list[typing.Any]:
    return [
        one
        for one, task in zip(cluster.instances, cluster._tasks, strict=True)
        if not task.done()
    ]


def _leaders(cluster: typing.Any) -> list[typing.Any]:
    return [one for one in _running(cluster) if one._coordinator.has_authority]


def _leader(cluster: typing.Any) -> typing.Any:
    return _leaders(cluster)[0]


def _is_served_again(cluster: typing.Any) -> bool:
    return (
        cluster.is_covered()
        and len(_leaders(cluster)) == 1
        and all(
            _leader(cluster)._view.owner_of('keys', key) is not None
            for key in KEYS
        )
    )


async def _watch_owners(cluster: typing.Any, shared: set[int]) -> None:
    while True:
        shared.update(key for key in KEYS if len(cluster.owners(key)) > 1)
        await asyncio.sleep(0.01)


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    'scenario', list(Scenario), ids=lambda scenario: scenario.value
)
async def test_fences_are_given_again_after_the_store_lost_records(
    cluster: typing.Any, scenario: Scenario
) -> None:
    await _start(cluster)
    await asyncio.sleep(COPY_AGE_MS / 1_000)
    # More records than a new coordinator writes by itself.
    await _move_keys(cluster, KEYS[3], 8)
    await _restore(cluster, scenario)
    # By then a coordinator has checked its term.
    await asyncio.sleep(1)
    await cluster.wait_until(lambda: _is_served_again(cluster), LONGEST_HOLD_S)
    await _move_keys(cluster, KEYS[3], 8)
    assert not cluster.store.low_fences


@pytest.mark.timeout(60)
@pytest.mark.parametrize(
    'scenario', list(Scenario), ids=lambda scenario: scenario.value
)
async def test_keys_moved_since_the_copy_are_granted_to_two_servers(
    cluster: typing.Any, scenario: Scenario
) -> None:
    await _start(cluster)
    await asyncio.sleep(COPY_AGE_MS / 1_000)
    shared: set[int] = set()
    watch = asyncio.create_task(_watch_owners(cluster, shared))
    for key in KEYS[:4]:
        await _move_key(cluster, key)
    await _restore(cluster, scenario)
    await asyncio.sleep(3)
    await cluster.wait_until(lambda: _is_served_again(cluster), LONGEST_HOLD_S)
    watch.cancel()
    assert not shared


async def test_keyed_requests_lose_their_owners_while_a_coordinator_goes_on(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    await asyncio.sleep(COPY_AGE_MS / 1_000)
    moved_to = [await _move_key(cluster, key) for key in KEYS[:3]]
    await _restore(cluster, Scenario.COORDINATOR_GOES_ON)
    for _ in range(60):
        await asyncio.sleep(0.05)
        assert cluster.is_covered()
        assert [cluster.owners(key) for key in KEYS[:3]] == [
            [name] for name in moved_to
        ]


async def test_lost_term_is_claimed_again_under_its_number(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    await asyncio.sleep(0.5)
    copied_at = cluster.store.clock.now()
    number = cluster.instances.index(_leader(cluster))
    await cluster.kill(number)
    await cluster.wait_until(lambda: len(_leaders(cluster)) == 1)
    lost = _leader(cluster)._view.assignment.term
    for one in _running(cluster):
        await cluster.kill(cluster.instances.index(one))
    cluster.store.return_to_copy(copied_at)
    cluster.add_instance('later')
    await cluster.wait_until(lambda: len(_leaders(cluster)) == 1)
    assert cluster.instances[-1]._view.assignment.term > lost


async def test_older_copy_of_the_configuration_replaces_the_one_in_force(
    cluster: typing.Any, encode_configuration: typing.Any
) -> None:
    await _start(cluster)
    copied_at = cluster.store.clock.now()
    await asyncio.sleep(0.01)
    cluster.store.put('keyed.op', 'config', encode_configuration(3))
    await cluster.wait_until(lambda: _have_version(cluster, 3))
    cluster.store.return_to_copy(copied_at)
    for _ in range(20):
        await asyncio.sleep(0.1)
        assert _have_version(cluster, 3)


async def test_server_that_left_is_taken_back_from_the_copy(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    copied_at = cluster.store.clock.now()
    await asyncio.sleep(0.01)
    gone = cluster.servers[0]
    gone.register('draining')
    await cluster.wait_until(lambda: not gone.granted)
    cluster.store.put('keyed.servers', gone.name, b'')
    await cluster.wait_until(
        lambda: all(
            len(one._view.fleet.servers) == 2 for one in _running(cluster)
        )
    )
    cluster.store.return_to_copy(copied_at)
    for _ in range(30):
        await asyncio.sleep(0.1)
        assert not gone.granted
        assert all(
            len(one._view.fleet.servers) == 2 for one in _running(cluster)
        )


def _have_version(cluster: typing.Any, version: int) -> bool:
    return all(one._view.config.version == version for one in cluster.instances)


async def test_configuration_at_an_offset_given_out_again_is_missed(
    cluster: typing.Any, encode_configuration: typing.Any
) -> None:
    await _start(cluster)
    copied_at = cluster.store.clock.now()
    await asyncio.sleep(0.01)
    for version in (2, 3):
        cluster.store.put('keyed.op', 'config', encode_configuration(version))
    await cluster.wait_until(lambda: _have_version(cluster, 3))
    # The store ends where the instances have read to, with other records.
    cluster.store.return_to_copy(copied_at)
    for version in (4, 5):
        cluster.store.put('keyed.op', 'config', encode_configuration(version))
    await cluster.wait_until(lambda: _have_version(cluster, 5), 2)


async def test_instances_lose_their_registrations_with_the_copy(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    copied_at = cluster.store.clock.now()
    cluster.add_instance('later')
    registered = cluster.store.topics['keyed.ferry-instances']
    await cluster.wait_until(lambda: registered[-1][0] == 'later')
    await asyncio.sleep(0.2)
    cluster.store.return_to_copy(copied_at)
    await cluster.wait_until(
        lambda: any(name == 'later' for name, _ in registered), 3
    )


async def test_first_era_of_the_store_is_taken_for_none(
    cluster: typing.Any,
) -> None:
    cluster.store.era = 0
    await _start(cluster)
    await asyncio.sleep(COPY_AGE_MS / 1_000)
    shared: set[int] = set()
    watch = asyncio.create_task(_watch_owners(cluster, shared))
    await _move_keys(cluster, KEYS[3], 8)
    await _restore(cluster, Scenario.COORDINATOR_RESTARTS)
    await asyncio.sleep(1)
    await cluster.wait_until(lambda: _is_served_again(cluster), LONGEST_HOLD_S)
    await _move_keys(cluster, KEYS[3], 8)
    watch.cancel()
    assert not shared
    assert not cluster.store.low_fences


@pytest.mark.timeout(60)
async def test_coordinator_takes_back_keys_that_a_lost_term_moved(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    await _start(cluster)
    await asyncio.sleep(0.5)
    copied_at = cluster.store.clock.now()
    earlier = _leader(cluster)
    with monkeypatch.context() as cut_off:
        cut_off.setattr(earlier._store, '_call', _refuse)
        socket = earlier._exchange._socket
        cut_off.setattr(socket, 'send_all', _ignore)
        cut_off.setattr(socket, 'datagram_received', _ignore)
        await cluster.wait_until(
            lambda: _leaders(cluster) not in ([], [earlier]), 8
        )
        await cluster.wait_until(lambda: earlier not in _leaders(cluster))
        await asyncio.sleep(0.5)
        for key in KEYS[:4]:
            await _move_key(cluster, key)
        shared: set[int] = set()
        watch = asyncio.create_task(_watch_owners(cluster, shared))
        cluster.store.return_to_copy(copied_at)
    await asyncio.sleep(6)
    watch.cancel()
    assert not shared


@pytest.mark.timeout(60)
async def test_keys_are_granted_at_once_from_a_copy_older_than_all_terms(
    cluster: typing.Any,
) -> None:
    await cluster.start(3, 0)
    copied_at = cluster.store.clock.now()
    await asyncio.sleep(0.01)
    for number in range(3):
        cluster.add_instance(f'i{number}')
    await cluster.wait_until(cluster.is_covered)
    for key in KEYS[:4]:
        await _move_key(cluster, key)
    shared: set[int] = set()
    watch = asyncio.create_task(_watch_owners(cluster, shared))
    for number in range(3):
        await cluster.kill(number)
    cluster.store.return_to_copy(copied_at)
    for number in range(3):
        cluster.restart(number)
    await asyncio.sleep(6)
    watch.cancel()
    assert not shared


async def test_server_that_registered_since_the_copy_is_removed_at_once(
    cluster: typing.Any,
) -> None:
    await _start(cluster)
    copied_at = cluster.store.clock.now()
    await asyncio.sleep(0.01)
    new = type(cluster.servers[0])('new', cluster.store)
    await new.start()
    cluster.servers.append(new)
    new.register()
    await cluster.wait_until(lambda: _know_servers(cluster, 4))
    lost = cluster.store.return_to_copy(copied_at)
    # Servers write within two seconds of the return.
    for _ in range(36):
        await asyncio.sleep(0.05)
        assert _know_servers(cluster, 4)
    for topic, key, content in lost:
        cluster.store.put(topic, key, content)
    await asyncio.sleep(1.5)
    assert _know_servers(cluster, 4)


def _know_servers(cluster: typing.Any, count: int) -> bool:
    return all(
        len(one._view.fleet.servers) == count for one in _running(cluster)
    )


async def _refuse(*_: object) -> store_records.StoreFailure:
    return store_records.StoreFailure(
        store_records.StoreFailureReason.REJECTED, 'cut off'
    )


def _ignore(*_: object) -> None:
    """Lose datagrams."""
