"""Stop one of two instances while the other one's caller gets its answer.

A long answer was cut if the instance that relayed it, or the one that ran it,
stopped before the caller had read it.
"""

import asyncio
import dataclasses
import typing

import pytest

from gateway_testing import slow_caller
from sycamoreferry_core.traffic import reachability

GRACE_MS = 4_000
DEADLINE_MS = 2_500
KEY = 7
BODY = bytes(range(256)) * 24_000


class _CutOff(reachability.Reachability):
    """Report that no server can be reached, whatever probes find."""

    @property
    def is_cut_off(self) -> bool:
        return True


@pytest.mark.parametrize('stopped', [0, 1], ids=['first', 'second'])
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
@pytest.mark.parametrize('kind', ['download', 'unsafe'])
async def test_relayed_answer_is_whole_if_an_instance_stops(
    cluster: typing.Any, kind: str, stopped: int, *, is_keyed: bool
) -> None:
    await cluster.start(1, 0, kind=kind, is_keyed=is_keyed)
    server = cluster.servers[0]
    server.answer_body = BODY
    server.processing_time_s = 0.5
    for name in ('i0', 'i1'):
        chosen = cluster._deployment(name)
        bounds = dataclasses.replace(chosen.bounds, grace_ms=GRACE_MS)
        cluster._run(dataclasses.replace(chosen, bounds=bounds))
    first = cluster.instances[0]
    await cluster.wait_until(
        lambda: (
            all(one.is_ready for one in cluster.instances)
            and len(first._view.peer_addresses) == 1
            and (not is_keyed or cluster.is_covered())
        )
    )
    first._loads.reachability = _CutOff()
    await cluster.wait_until(
        lambda: bool(
            first._view.peers.reaching_servers(first._view.clock.now())
        )
    )
    address = first._deployment.request_address
    caller = await slow_caller.SlowCaller(address.port).connect()
    await caller.send(
        cluster.encode_request('r', KEY, deadline_ms=DEADLINE_MS, method='POST')
    )
    second = cluster.instances[1]._request_handler
    await cluster.wait_until(
        lambda: server.running == 1 and second.in_flight == 1
    )
    cluster.instances[stopped].request_stop(asyncio.get_running_loop())
    head = await caller.read_head()
    assert ' 200 ' in head
    await asyncio.sleep(0.5)
    caller.read_fast()
    assert await caller.read_body(head, 0.5) == BODY
    assert [name for name, _ in server.ran] == ['r']
    caller.close()
