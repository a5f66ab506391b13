import asyncio
import json
import pathlib
import re
import typing

import aiohttp
import pytest

from sycamoreferry_core import ids
from sycamoreferry_ports import headers, wire
from sycamoreferry_standins import backend_server, cluster, workloads

SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('keyed'), 2, 2, 20, shards=16),
        workloads.ServiceSize(ids.ServiceName('plain'), 1, 2, 20),
    ),
)
TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
CALLER_SPAN = 'b7ad6b7169203331'
TRACED = {headers.TRACE_PARENT: f'00-{TRACE_ID}-{CALLER_SPAN}-01'}
LOG_LINE = re.compile(r'^\S+Z [A-Z]+ \[([a-z.]+)\] \S')
SPAN_LINE = re.compile(r' \[trace\] (\{.*\})$', re.MULTILINE)
REQUIRED_METRICS = (
    'ferry_requests_total{code="1000",service="plain"} 1',
    'ferry_requests_in_flight 0',
    'ferry_log_next_offset ',
    'ferry_coordinator_authority{service="keyed"} ',
)


class TracedCluster(cluster.Cluster):
    """Write the spans of each instance to its log."""

    def settings_of(self, entry: cluster.Entry) -> dict[str, object]:
        """Return the settings with spans exported."""
        chosen = super().settings_of(entry)
        return {**chosen, 'tracing': {'export': 'log'}}


@pytest.mark.processes
async def test_instance_shows_what_it_does(tmp_path: pathlib.Path) -> None:
    async with TracedCluster(SMALL, tmp_path, entries=1) as system:
        entry = system.entries[0]
        assert await system.control.status_of(f'{entry.url}/healthz') == 200
        assert await system.control.status_of(f'{entry.url}/readyz') == 200
        status = await system.control.status_of(
            f'{entry.url}/plain/site-plan',
            TRACED,
        )
        assert status == 200
        await _check_metrics(system, entry)
        await _check_spans(system, entry)
        _check_logs(system, entry)


@pytest.mark.processes
async def test_sigterm_cuts_off_nothing(tmp_path: pathlib.Path) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=2) as system:
        entry = system.entries[1]
        server = await _slow_server(system)
        pending = system.session.get(
            f'{entry.url}/plain/long',
            headers={headers.DEADLINE_MS: '8000'},
        )
        async with aiohttp.ClientSession() as prober:
            answer = await _end_while(system, entry, server, pending, prober)
        assert answer == 200
        assert await system.started[entry.name].process.wait() == 0


async def _end_while(
    system: cluster.Cluster,
    entry: cluster.Entry,
    server: wire.ListedServer,
    pending: typing.Any,
    prober: aiohttp.ClientSession,
) -> int:
    in_flight = asyncio.create_task(_status(pending))

    async def runs() -> bool:
        return bool(await system.control.runs_of(server))

    async def leaving() -> bool:
        async with prober.get(f'{entry.url}/readyz') as probed:
            return await probed.text() == 'leaving' and probed.status == 503

    await cluster.wait_for(runs, 'the request to run')
    ended = asyncio.create_task(system.started[entry.name].end())
    await cluster.wait_for(leaving, 'the instance to be leaving')
    async with prober.get(f'{entry.url}/plain/new') as refused:
        assert refused.headers[headers.CODE] == '3007'
    assert not in_flight.done()
    status = await in_flight
    await ended
    return status


async def _status(pending: typing.Any) -> int:
    async with pending as answer:
        await answer.read()
        return int(answer.status)


async def _slow_server(system: cluster.Cluster) -> wire.ListedServer:
    server = next(
        listed
        for listed in await system.control.listed_servers()
        if listed.service == 'plain'
    )
    faults = backend_server.ServerFaults(extra_delay_ms=3000)
    await system.control.set_server_faults(server, faults)
    return server


async def _check_metrics(
    system: cluster.Cluster,
    entry: cluster.Entry,
) -> None:
    async with system.session.get(f'{entry.url}/metrics') as answer:
        exposed = await answer.text()
    for metric in REQUIRED_METRICS:
        assert metric in exposed


async def _check_spans(system: cluster.Cluster, entry: cluster.Entry) -> None:
    listed = await system.control.listed_servers()
    server = next(each for each in listed if each.service == 'plain')
    run = (await system.control.runs_of(server))[-1]
    _, trace_id, parent, _ = run.trace_parent.split('-')
    spans = {
        span['name']: span
        for span in map(json.loads, _span_lines(system, entry))
        if span['context']['trace_id'] == f'0x{TRACE_ID}'
    }
    assert trace_id == TRACE_ID
    assert spans['ferry.request']['parent_id'] == f'0x{CALLER_SPAN}'
    forwarded = spans['ferry.forward']
    assert (
        forwarded['parent_id'] == spans['ferry.request']['context']['span_id']
    )
    assert forwarded['context']['span_id'] == f'0x{parent}'


def _span_lines(system: cluster.Cluster, entry: cluster.Entry) -> list[str]:
    content = system.started[entry.name].log_path.read_text()
    return SPAN_LINE.findall(content)


def _check_logs(system: cluster.Cluster, entry: cluster.Entry) -> None:
    lines = system.started[entry.name].log_path.read_text().splitlines()
    matches = [LOG_LINE.match(line) for line in lines]
    assert all(matches), lines
    parts = {match.group(1) for match in matches if match}
    assert parts >= {'instance', 'coordinator', 'trace'}
