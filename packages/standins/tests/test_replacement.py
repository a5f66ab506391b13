import asyncio
import functools
import pathlib
import typing

import msgspec
import pytest

from sycamoreferry_core import clock, ids, profiles, result_codes, state
from sycamoreferry_ports import (
    boot_clock,
    headers,
    http_log,
    log_state,
    wire,
)
from sycamoreferry_router import view
from sycamoreferry_standins import backend_server, cluster, workloads

KEYED = workloads.ServiceSize(
    ids.ServiceName('keyed'),
    3,
    6,
    60,
    shards=24,
    work_ms=150,
)
SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(KEYED,),
)
CALLERS = 6
WARM_RUNS = 30
ANSWERED = str(int(result_codes.ResultCode.ANSWERED))
LIST_INTERVAL_MS = 500
DRAIN_MS = profiles.Timing().drain_ms


class Load:
    """Send requests without a pause and keep how each ended."""

    def __init__(self, system: cluster.Cluster) -> None:
        self.ends: list[str] = []
        self.entries = list(system.entries)
        self._session = system.session
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> typing.Self:
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._call(number)) for number in range(CALLERS)
        ]
        return self

    async def __aexit__(self, *error: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, caller: int) -> None:
        number = caller
        while True:
            number += CALLERS
            entry = self.entries[number % len(self.entries)]
            named = {
                headers.KEY: f'depot-{number % 50}',
                headers.DEADLINE_MS: '5000',
            }
            url = f'{entry.url}/keyed/a'
            async with self._session.get(url, headers=named) as answer:
                await answer.read()
                self.ends.append(answer.headers[headers.CODE])


async def _read_log(system: cluster.Cluster) -> state.LogState:
    log_service = http_log.HttpLog(
        system.session,
        system.platform_url,
        'ferry',
    )
    return await log_state.read_state(log_service, state.LogState())


async def _relist(
    system: cluster.Cluster,
    server: wire.ListedServer,
    listed_state: str,
) -> None:
    leaving = msgspec.structs.replace(server, state=listed_state)
    content = msgspec.json.encode(wire.InstanceList((leaving,)))
    url = f'{system.platform_url}/instances'
    async with system.session.post(url, data=content) as answer:
        answer.raise_for_status()


async def _owns_nothing(
    system: cluster.Cluster,
    server: wire.ListedServer,
) -> bool:
    assigned = (await _read_log(system)).assignment_of(KEYED.name)
    return server.server not in assigned.shards_by_owner


async def _has_run(
    system: cluster.Cluster,
    server: wire.ListedServer,
) -> bool:
    return len(await system.control.runs_of(server)) >= WARM_RUNS


def _is_cut_off(run: backend_server.Run) -> bool:
    return run.cancelled or not run.ended


async def _stop_as_planned(
    system: cluster.Cluster,
    load: Load,
    server: wire.ListedServer,
) -> clock.Millis:
    """Empty a server under load; return when the stop was asked for."""
    has_run = functools.partial(_has_run, system, server)
    await cluster.wait_for(has_run, 'runs at the server')
    asked_at = boot_clock.BootClock().now()
    await _relist(system, server, view.LEAVING)
    is_empty = functools.partial(_owns_nothing, system, server)
    await cluster.wait_for(is_empty, 'an empty server')
    await _wait_for_ends(load, len(load.ends) + 20 * CALLERS)
    return asked_at


@pytest.mark.processes
async def test_planned_stop_of_a_backend_server(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=2) as system:
        server = (await system.control.listed_servers())[0]
        async with Load(system) as load:
            asked_at = await _stop_as_planned(system, load, server)
        runs = await system.control.runs_of(server)
        latest = clock.later(asked_at, DRAIN_MS + LIST_INTERVAL_MS)
        assert max(run.started for run in runs) <= latest
        assert not any(map(_is_cut_off, runs))
        assert set(load.ends) == {ANSWERED}


@pytest.mark.processes
async def test_planned_stop_refuses_no_run_at_its_end(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=2) as system:
        server = (await system.control.listed_servers())[0]
        async with Load(system) as load:
            await _stop_as_planned(system, load, server)
        runs = await system.control.runs_of(server)
        assert not any(run.refused for run in runs)


async def _wait_for_ends(load: Load, count: int) -> None:
    async def is_reached() -> bool:
        return len(load.ends) >= count

    await cluster.wait_for(is_reached, f'{count} answers')


@pytest.mark.processes
async def test_every_instance_is_replaced_under_load(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=3) as system:
        first = set((await _read_log(system)).instances)
        async with Load(system) as load:
            for entry in system.entries:
                # The balancer takes an instance out before it is ended.
                load.entries.remove(entry)
                assert await system.started[entry.name].end() == 0
                await system.start_entry(entry)
                await system.wait_until_ready(entry)
                load.entries.append(entry)
                await _wait_for_ends(load, len(load.ends) + 2 * CALLERS)
        assert set(load.ends) == {ANSWERED}
        last = set((await _read_log(system)).instances)
        assert len(last) == 3
        assert not first & last


@pytest.mark.processes
async def test_killed_instance_is_removed(tmp_path: pathlib.Path) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=3) as system:
        killed = system.entries[0].name
        await system.started[killed].kill()

        async def is_removed() -> bool:
            joined = (await _read_log(system)).instances
            return not any(name.startswith(killed) for name in joined)

        await cluster.wait_for(is_removed, 'the removal of the instance')
