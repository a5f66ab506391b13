import asyncio
import pathlib
import signal

import pytest

from sycamoreferry_core import ids
from sycamoreferry_standins import cluster, log_service, outages, workloads

KEYED = workloads.ServiceSize(ids.ServiceName('keyed'), 2, 2, 40, shards=16)
SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(KEYED,),
)
KEYS = outages.keys_of(12)
# Past the authority and the detection of the default profile.
PAUSE_SECONDS = 3
LOG_DOWN_SECONDS = 10

pytestmark = pytest.mark.processes


@pytest.fixture
async def system(tmp_path: pathlib.Path):  # type: ignore[no-untyped-def]
    async with cluster.Cluster(SMALL, tmp_path, entries=4) as started:
        yield started


def _watch(
    system: cluster.Cluster,
    avoided: tuple[str, ...],
) -> outages.KeyWatch:
    entry = outages.first_other(system, avoided)
    return outages.KeyWatch(system, f'{entry.url}/keyed/a', KEYS)


async def _check_owners(system: cluster.Cluster) -> None:
    by_shard = await outages.runs_by_shard(system, KEYED.name)
    assert by_shard
    for runs in by_shard.values():
        fences = [run.fence for run in runs]
        assert fences == sorted(fences)
        owners = {(run.fence, run.server) for run in runs}
        assert len(owners) == len(set(fences))


async def test_killed_coordinator_is_replaced(system: cluster.Cluster) -> None:
    coordinator, deputy = await outages.holders(system, KEYED.name)
    async with _watch(system, (coordinator, deputy)) as watch:
        await watch.wait_until_answered()
        await system.started[coordinator].kill()
        await outages.wait_for_term(system, KEYED.name, {coordinator})
        await watch.wait_until_answered()
    assert (await outages.holders(system, KEYED.name))[0] == deputy
    await _check_owners(system)


async def test_both_holders_killed_are_replaced(
    system: cluster.Cluster,
) -> None:
    lost = await outages.holders(system, KEYED.name)
    async with _watch(system, lost) as watch:
        await watch.wait_until_answered()
        await asyncio.gather(*(system.started[name].kill() for name in lost))
        await outages.wait_for_term(system, KEYED.name, lost)
        await watch.wait_until_answered()
    await _check_owners(system)


async def test_paused_coordinator_gives_no_orders(
    system: cluster.Cluster,
) -> None:
    coordinator, deputy = await outages.holders(system, KEYED.name)
    async with _watch(system, (coordinator, deputy)) as watch:
        await watch.wait_until_answered()
        system.started[coordinator].send(signal.SIGSTOP)
        await outages.wait_for_term(system, KEYED.name, {coordinator})
        await asyncio.sleep(PAUSE_SECONDS)
        system.started[coordinator].send(signal.SIGCONT)
        await watch.wait_until_answered(times=20)
    await _check_owners(system)


async def test_requests_go_on_while_the_log_is_down(
    system: cluster.Cluster,
) -> None:
    holders = await outages.holders(system, KEYED.name)
    async with _watch(system, ()) as watch:
        await watch.wait_until_answered()
        await system.control.set_log_faults(log_service.LogFaults(down=True))
        await asyncio.sleep(LOG_DOWN_SECONDS)
        await watch.wait_until_answered()
        await system.control.set_log_faults(log_service.LogFaults())
        await watch.wait_until_answered()
    assert await outages.holders(system, KEYED.name) == holders
    await _check_owners(system)


async def test_shards_of_a_killed_server_are_served_again(
    system: cluster.Cluster,
) -> None:
    name = await system.start_backends(KEYED, first_number=3, targets=1)
    listed = await system.control.listed_servers()
    lost = sorted(listed, key=lambda server: server.server)[-1].server
    await outages.wait_for_owner(system, KEYED.name, lost)
    await system.wait_until_granted()
    async with _watch(system, ()) as watch:
        await watch.wait_until_answered()
        await system.started[name].kill()
        await watch.wait_until_answered()
    await _check_owners(system)
