"""Check grants that reach a new server at the address of one that ended."""

import asyncio
import typing

import pytest

# Renewals come every 1.3 s; an entry of a server that ended stays longer.
UNREGISTERED_S = 2


@pytest.mark.parametrize('name', ['s0', 'new'], ids=['same-id', 'new-id'])
async def test_new_server_gets_keys_under_the_fence_of_the_one_before(
    cluster: typing.Any, name: str
) -> None:
    await cluster.start(servers=1, instances=2)
    await cluster.wait_until(cluster.is_covered)
    ended = cluster.servers[0]
    ended.stop()
    await asyncio.sleep(0.1)
    # Its entry is not in the store yet.
    new = type(ended)(name, cluster.store)
    new.port = ended.port
    await new.start()
    await asyncio.sleep(UNREGISTERED_S)
    new.stop()
    before = max(grant.fence for grant in ended.accepted)
    assert all(grant.fence > before for grant in new.accepted)
