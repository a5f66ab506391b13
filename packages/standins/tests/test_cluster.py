import pathlib

import pytest

from sycamoreferry_core import ids
from sycamoreferry_standins import cluster, processes, web, workloads

SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'),),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('keyed'), 1, 2, 20, shards=4),
    ),
)
ENTRIES = 500


def test_ports_of_a_cluster_differ(tmp_path: pathlib.Path) -> None:
    system = cluster.Cluster(SMALL, tmp_path, entries=ENTRIES)
    ports = {system.platform_port}
    for entry in system.entries:
        ports |= {entry.request_port, entry.peer_port}
    assert len(ports) == 2 * ENTRIES + 1


@pytest.mark.processes
@pytest.mark.parametrize('name', ['platform', 'entry-1'])
async def test_process_that_ends_at_the_start_is_named(
    name: str,
    tmp_path: pathlib.Path,
) -> None:
    system = cluster.Cluster(SMALL, tmp_path, entries=2)
    ports = {
        'platform': system.platform_port,
        'entry-1': system.entries[0].request_port,
    }
    with (
        web.listen_on(ports[name]),
        pytest.raises(
            processes.ProcessEndedError,
            match=f'(?is){name} ended with status 1;.* already in use',
        ),
    ):
        async with system:
            raise AssertionError('the cluster started')
