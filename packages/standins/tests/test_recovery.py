import functools
import pathlib

import pytest

from sycamoreferry_core import coordination, ids
from sycamoreferry_peer import client
from sycamoreferry_ports import headers
from sycamoreferry_standins import cluster, log_service, web, workloads

SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('keyed'), 2, 2, 20, shards=16),
    ),
)
KEEP_RECORDS = 12
PEER_TIMEOUT_MS = 2000


async def _serves(system: cluster.Cluster, entry: cluster.Entry) -> bool:
    return await system.control.answers(
        f'{entry.url}/keyed/a',
        {headers.KEY: 'depot-1'},
    )


async def _find_follower(system: cluster.Cluster) -> cluster.Entry:
    peers = client.PeerClient(PEER_TIMEOUT_MS)
    try:
        for entry in system.entries:
            address = client.PeerAddress(web.LOOPBACK, entry.peer_port)
            status = await peers.status(address)
            assert status is not None
            if status.services[0].role == coordination.Role.FOLLOWER.value:
                return entry
    finally:
        peers.close()
    raise AssertionError('every instance is coordinator or deputy')


@pytest.mark.processes
async def test_instance_starts_while_the_log_is_down(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=3) as system:
        await system.control.set_log_faults(log_service.LogFaults(down=True))
        late = await _find_follower(system)
        await system.started[late.name].kill()
        await system.start_entry(late)
        await system.wait_until_ready(late)
        serves = functools.partial(_serves, system, late)
        await cluster.wait_for(serves, 'service through the late instance')


@pytest.mark.processes
async def test_instance_starts_after_retention_passed(
    tmp_path: pathlib.Path,
) -> None:
    settings = {'snapshot_records': 4, 'snapshot_patience_ms': 1000}
    async with cluster.Cluster(
        SMALL,
        tmp_path,
        entries=2,
        platform_settings=settings,
    ) as system:
        await system.control.set_log_faults(
            log_service.LogFaults(keep_records=KEEP_RECORDS),
        )
        late = system.entries[1]
        for _ in range(KEEP_RECORDS // 2):
            assert await system.started[late.name].end() == 0
            await system.start_entry(late)
            await system.wait_until_ready(late)
        serves = functools.partial(_serves, system, late)
        await cluster.wait_for(serves, 'service through the late instance')
        shown = (tmp_path / f'{late.name}.log').read_text()
        assert 'starting from the state before' in shown
