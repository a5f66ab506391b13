import pathlib
import time

import pytest

from sycamoreferry_core import ids
from sycamoreferry_ports import headers
from sycamoreferry_standins import backend_server, cluster, workloads

SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('keyed'), 3, 2, 20, shards=16),
        workloads.ServiceSize(ids.ServiceName('plain'), 2, 2, 20),
    ),
)

COLD_START_MS = 1000

BAD_REQUESTS: list[tuple[str, dict[str, str], bytes, int]] = [
    ('unknown/a', {}, b'', 2001),
    ('plain/a', {headers.KEY: 'k'}, b'', 2002),
    ('keyed/a', {}, b'', 2003),
    ('plain/a', {headers.DEADLINE_MS: '0'}, b'', 2004),
    ('plain/a', {}, b'x' * 1_000_001, 2005),
    ('plain/a', {'X-Long': 'x' * 8193}, b'', 2006),
    ('plain/a', {headers.DEADLINE_MS: 'soon'}, b'', 2007),
    ('keyed/a', {headers.KEY: 'x' * 257}, b'', 2009),
]


@pytest.mark.processes
async def test_path_serves_and_refuses(tmp_path: pathlib.Path) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=2) as system:
        for entry in system.entries:
            await _check_bad_requests(system, entry)
        status = await system.control.status_of(
            f'{system.entries[1].url}/keyed/a',
            {headers.KEY: 'depot-1'},
        )
        assert status == 200
        codes = [started.end() for started in system.started.values()]
        assert await codes[-1] == 0
        for pending in codes[:-1]:
            await pending


async def _check_bad_requests(
    system: cluster.Cluster,
    entry: cluster.Entry,
) -> None:
    for path, named, body, code in BAD_REQUESTS:
        url = f'{entry.url}/{path}'
        async with system.session.put(url, headers=named, data=body) as answer:
            content = await answer.json()
            assert content['code'] == code, (path, content)
            assert content['advice']
            assert answer.headers[headers.CODE] == str(code)
    async with system.session.post(f'{entry.url}/plain/a') as refused:
        assert refused.headers[headers.CODE] == '2008'


@pytest.mark.processes
async def test_cold_server_answers_late(tmp_path: pathlib.Path) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=1) as system:
        cold = backend_server.ServerFaults(cold_start_ms=COLD_START_MS)
        for server in await system.control.listed_servers():
            await system.control.set_server_faults(server, cold)
        url = f'{system.entries[0].url}/plain/a'
        started = time.monotonic()
        assert await system.control.status_of(url) == 200
        assert time.monotonic() - started >= COLD_START_MS / 1000 / 2
