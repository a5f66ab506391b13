import pathlib

from sycamoreferry_core import ids
from sycamoreferry_standins import cluster, workloads

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
