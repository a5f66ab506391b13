import functools
import itertools
import pathlib
import typing

import pytest

from sycamoreferry_core import ids
from sycamoreferry_ports import headers
from sycamoreferry_standins import backend_server, cluster, workloads

PLAIN = workloads.Workload(
    name='plain',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('plain'), 5, 4, 40, work_ms=20),
    ),
)
POISON = 'poison'
PATIENT_MS = '20000'
MOST_CRASHES = 2
NUMBERS = itertools.count(1)


async def _ask(
    system: cluster.Cluster,
    entry: cluster.Entry,
    path: str,
    method: str = 'GET',
    key: str = '',
) -> str:
    named = {headers.DEADLINE_MS: PATIENT_MS}
    if key:
        named[headers.IDEMPOTENCY_KEY] = key
    url = f'{entry.url}/plain/{path}'
    async with system.session.request(method, url, headers=named) as answer:
        await answer.read()
        return answer.headers[headers.CODE]


async def _set_poison(system: cluster.Cluster) -> None:
    faults = backend_server.ServerFaults(crash_on_key=f'/{POISON}')
    for server in await system.control.listed_servers():
        await system.control.set_server_faults(server, faults)


async def _is_refused(
    system: cluster.Cluster,
    entry: cluster.Entry,
    method: str,
) -> bool:
    # Under a new key each time, as a caller that starts over.
    key = f'key-{next(NUMBERS)}'
    return await _ask(system, entry, POISON, method, key) == '3008'


async def _count_crashes(system: cluster.Cluster) -> int:
    crashes = 0
    for server in await system.control.listed_servers():
        load = f'http://{server.host}:{server.port}/ferry/load'
        crashes += not await system.control.answers(load)
    return crashes


@pytest.mark.processes
@pytest.mark.parametrize('method', ['GET', 'POST'])
async def test_second_crash_keeps_a_request_from_further_servers(
    tmp_path: pathlib.Path,
    method: str,
) -> None:
    async with cluster.Cluster(PLAIN, tmp_path, entries=3) as system:
        await _set_poison(system)
        for entry in system.entries:
            await cluster.wait_for(
                functools.partial(_is_refused, system, entry, method),
                f'{entry.name} to refuse the request',
            )
        assert await _count_crashes(system) == MOST_CRASHES
        await _wait_for_innocents(system)


async def _wait_for_innocents(system: cluster.Cluster) -> None:
    for entry in system.entries:
        for number in range(8):
            answered: typing.Callable[[], typing.Awaitable[bool]] = (
                functools.partial(_answers, system, entry, number)
            )
            await cluster.wait_for(answered, f'innocent-{number}')


async def _answers(
    system: cluster.Cluster,
    entry: cluster.Entry,
    number: int,
) -> bool:
    return await _ask(system, entry, f'innocent-{number}') == '1000'
