import asyncio
import functools
import pathlib
import re

import aiohttp
import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_ports import headers
from sycamoreferry_standins import (
    backend_server,
    cluster,
    log_service,
    workloads,
)

BOOKING = workloads.Workload(
    name='booking',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('plain'), 2, 4, 40, work_ms=50),
    ),
)
# Spread over the partitions, so that each entry owns some of them.
KEYS = tuple(f'booking-{number}' for number in range(12))
PATIENT_MS = '20000'
PARTITIONS = 8
CLAIM = re.compile(r'partition (\d): owner \S+, deputy (\S+)')
# Refused for want of room; still known, until the owner hears of that.
COME_BACK = frozenset(('3006', '5001'))


async def _book(
    system: cluster.Cluster,
    entry: cluster.Entry,
    key: str,
    body: bytes = b'book',
) -> str:
    named = {headers.IDEMPOTENCY_KEY: key, headers.DEADLINE_MS: PATIENT_MS}
    url = f'{entry.url}/plain/book'
    try:
        async with system.session.post(
            url,
            headers=named,
            data=body,
        ) as answer:
            await answer.read()
            return answer.headers[headers.CODE]
    except aiohttp.ClientError:
        return 'gone'


async def _book_when_there_is_room(
    system: cluster.Cluster,
    entry: cluster.Entry,
    key: str,
) -> str:
    while True:
        code = await _book(system, entry, key)
        if code not in COME_BACK:
            return code
        await asyncio.sleep(clock.seconds(cluster.POLL_MS))


async def _ends_as(
    system: cluster.Cluster,
    entry: cluster.Entry,
    key: str,
    codes: frozenset[str],
) -> bool:
    return await _book(system, entry, key) in codes


async def _wait_to_end(
    system: cluster.Cluster,
    entry: cluster.Entry,
    key: str,
    codes: frozenset[str],
) -> None:
    ends = functools.partial(_ends_as, system, entry, key, codes)
    await cluster.wait_for(ends, f'{key} through {entry.name} as {codes}')


async def _all_have_deputies(system: cluster.Cluster) -> bool:
    """Tell whether the newest claim of each partition names a deputy."""
    newest: dict[str, str] = {}
    for entry in system.entries:
        text = system.started[entry.name].log_path.read_text()
        for number, deputy in CLAIM.findall(text):
            newest[entry.name + number] = deputy
    partitions = {name[-1] for name in newest}
    return len(partitions) == PARTITIONS and 'none' not in newest.values()


async def _count_runs(system: cluster.Cluster) -> dict[str, int]:
    counts: dict[str, int] = {}
    for server in await system.control.listed_servers():
        for run in await system.control.runs_of(server):
            key = run.idempotency_key
            counts[key] = counts.get(key, 0) + 1
    return counts


ENDED = frozenset(('5002', '4001', '5001'))
SETTLED = frozenset(('1000', '5002'))


@pytest.mark.processes
async def test_a_key_runs_once_through_every_instance(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(BOOKING, tmp_path, entries=3) as system:
        for key in KEYS:
            await _wait_to_end(system, system.entries[0], key, SETTLED)
        at_once = [
            _book(system, entry, f'{key}-at-once')
            for key in KEYS
            for entry in system.entries
        ]
        codes = await asyncio.gather(*at_once)
        assert codes.count('1000') == len(KEYS)
        for key in KEYS:
            for entry in system.entries:
                await _wait_to_end(system, entry, key, frozenset(('5002',)))
        assert await _book(system, system.entries[1], KEYS[0], b'x') == '5003'
        counts = await _count_runs(system)
        assert set(counts.values()) == {1}, counts
        assert len(counts) == 2 * len(KEYS)


@pytest.mark.processes
async def test_nothing_runs_twice_when_owners_are_killed(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(BOOKING, tmp_path, entries=4) as system:
        for key in KEYS:
            await _wait_to_end(system, system.entries[0], key, SETTLED)
        slow = backend_server.ServerFaults(extra_delay_ms=2000)
        for server in await system.control.listed_servers():
            await system.control.set_server_faults(server, slow)
        started = [
            asyncio.create_task(
                _book_when_there_is_room(
                    system,
                    system.entries[0],
                    f'{key}-cut',
                ),
            )
            for key in KEYS
        ]
        await cluster.wait_for(
            functools.partial(_runs, system, 2 * len(KEYS)),
            'all requests to run',
        )
        await system.started[system.entries[1].name].kill()
        for key in KEYS:
            await _wait_to_end(
                system,
                system.entries[2],
                f'{key}-cut',
                ENDED - {'5001'},
            )
        assert await asyncio.gather(*started) == ['1000'] * len(KEYS)
        counts = await _count_runs(system)
        assert set(counts.values()) == {1}, counts


async def _runs(system: cluster.Cluster, wanted: int) -> bool:
    return sum((await _count_runs(system)).values()) >= wanted


@pytest.mark.processes
async def test_admission_goes_on_while_the_log_is_down(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(BOOKING, tmp_path, entries=3) as system:
        for key in KEYS:
            await _wait_to_end(system, system.entries[0], key, SETTLED)
        await cluster.wait_for(
            functools.partial(_all_have_deputies, system),
            'a deputy for each partition',
        )
        await system.control.set_log_faults(log_service.LogFaults(down=True))
        for number, key in enumerate(KEYS):
            entry = system.entries[number % len(system.entries)]
            await _wait_to_end(system, entry, f'{key}-down', SETTLED)
        for entry in system.entries:
            codes = [await _book(system, entry, f'{key}-down') for key in KEYS]
            assert set(codes) <= ENDED
        await system.control.set_log_faults(log_service.LogFaults())
        for entry in system.entries:
            for key in KEYS:
                await _wait_to_end(
                    system,
                    entry,
                    f'{key}-down',
                    ENDED - {'5001'},
                )
        counts = await _count_runs(system)
        assert set(counts.values()) == {1}, counts
