"""Check that moves of a term end with it, however the term ends."""

import asyncio
import dataclasses
import json
import typing

import pytest

from sycamoreferry_adapter import store_calls
from sycamoreferry_core import ids
from sycamoreferry_core.fleet import store_records
from sycamoreferry_core.keyspace import placement
from sycamoreferry_gateway import assignment, term_manager

KEY = 6_144
OTHER_KEYS = range(0, 65_536, 2_000)
LOST = store_records.StoreFailure(
    store_records.StoreFailureReason.UNANSWERED, 'reset'
)


async def _lose_reply(*_: object) -> store_records.StoreFailure:
    return LOST


def _start_move(cluster: typing.Any, key: int) -> None:
    leader = cluster.instances[0]
    row = leader._view.owner_of('keys', key)
    destination = next(
        known.incarnation
        for known in leader._view.servers_of('keys')
        if known.incarnation != row.owner
    )
    keys = type(row.keys)(key, key)
    move = placement.Move(keys, row.owner, destination)
    leader._coordinator._mover._start_move('keys', row, move, 1)


async def _start_unanswered_move(
    cluster: typing.Any,
) -> tuple[typing.Any, asyncio.Event]:
    """Start to move the key; return its server and what ends the work there."""
    await cluster.start(servers=3, instances=1)
    await cluster.wait_until(cluster.is_covered)
    source = next(server for server in cluster.servers if server.holds(KEY))
    has_ended = asyncio.Event()
    handler = source.handle

    async def handle(request: typing.Any) -> typing.Any:
        answer = await handler(request)
        is_release = request.path == '/release'
        if is_release and json.loads(request.body)['To'] == KEY:
            await has_ended.wait()
        return answer

    source._server.handler = handle
    _start_move(cluster, KEY)
    await cluster.wait_until(lambda: not source.holds(KEY))
    return source, has_ended


async def _most_owners(cluster: typing.Any) -> int:
    counts = []
    for _ in range(150):
        await asyncio.sleep(0.01)
        counts.append(len(cluster.owners(KEY)))
    return max(counts)


async def test_move_goes_on_after_a_write_with_unknown_result(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The write sees the end of the authority before the coordinator does.
    monkeypatch.setattr(term_manager, '_WRITE_RETRY_INTERVAL_MS', 1)
    source, has_ended = await _start_unanswered_move(cluster)
    coordinator = cluster.instances[0]._coordinator
    other = next(key for key in OTHER_KEYS if not source.holds(key))
    with monkeypatch.context() as outage:
        for call in ('append', 'read', 'newest'):
            outage.setattr(coordinator._terms._client, call, _lose_reply)
        _start_move(cluster, other)
        await cluster.wait_until(lambda: not coordinator.is_coordinating)
    await cluster.wait_until(lambda: source.holds(KEY))
    has_ended.set()
    assert await _most_owners(cluster) == 1


async def test_move_goes_on_after_another_instance_coordinated(
    cluster: typing.Any,
) -> None:
    source, has_ended = await _start_unanswered_move(cluster)
    leader = cluster.instances[0]
    current = leader._view.assignment
    fence = ids.Fence(leader._coordinator._terms._writer.next_offset + 1)
    claimed = dataclasses.replace(
        current,
        term=ids.Term(current.term + 1),
        coordinator=ids.InstanceId('other'),
        tables={
            service: table.with_fence(fence)
            for service, table in current.tables.items()
        },
    )
    cluster.store.put(
        str(store_calls.OWNERS_TOPIC),
        str(assignment.ASSIGNMENT_KEY),
        assignment.encode_assignment(claimed),
    )
    await cluster.wait_until(
        lambda: (
            leader._view.assignment.term > claimed.term and source.holds(KEY)
        )
    )
    has_ended.set()
    assert await _most_owners(cluster) == 1
