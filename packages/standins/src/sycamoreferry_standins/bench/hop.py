"""Measure one instance beside a bare hop and beside the direct call."""

import asyncio
import dataclasses
import functools
import pathlib
import sys
import tempfile

import msgspec

from sycamoreferry_core import ids
from sycamoreferry_standins import cluster, processes, web, workloads
from sycamoreferry_standins.bench import hop_client, report, usage

CLIENTS = 3
CALLS = 4000
WARM_UP_CALLS = 600
CONNECTIONS = 4
# What each client sends a second where latency is compared.
STEADY_RATE = 150

_PACKAGE = 'sycamoreferry_standins.bench'
_SLOTS = 64
_MICROS = 1_000_000
_SERVICES = tuple(f'plain-{number + 1}' for number in range(CLIENTS))
_WORKLOAD = workloads.Workload(
    name='hop',
    data_centres=(ids.DataCentre('north'),),
    link_ms=0,
    services=tuple(
        workloads.ServiceSize(
            ids.ServiceName(service),
            targets=1,
            slots=_SLOTS,
            connections=1000,
            work_ms=0,
        )
        for service in _SERVICES
    ),
)


@dataclasses.dataclass(frozen=True)
class Way:
    """Name a way to the servers: its URLs, and the process in between."""

    name: str
    urls: tuple[str, ...]
    pid: int | None = None


async def measure() -> tuple[report.Measurement, ...]:
    """Return rate, latency and processor time of each way."""
    with tempfile.TemporaryDirectory() as directory:
        place = pathlib.Path(directory)
        async with cluster.Cluster(_WORKLOAD, place, entries=1) as system:
            return await _measure_ways(system, place)


async def _measure_ways(
    system: cluster.Cluster,
    place: pathlib.Path,
) -> tuple[report.Measurement, ...]:
    listed = await system.control.listed_servers()
    servers = {
        str(server.service): f'http://{server.host}:{server.port}'
        for server in listed
    }
    port = web.free_port()
    bare = await processes.start(
        'bare-hop',
        (
            '-m',
            f'{_PACKAGE}.bare_hop',
            str(port),
            msgspec.json.encode(servers).decode(),
        ),
        place,
    )
    try:
        return await _compare(system, servers, port, bare)
    finally:
        await bare.kill()


async def _compare(
    system: cluster.Cluster,
    servers: dict[str, str],
    port: int,
    bare: processes.Started,
) -> tuple[report.Measurement, ...]:
    bare_url = f'http://{web.LOOPBACK}:{port}'
    entry = system.entries[0]
    routed = system.started[entry.name]
    ways = (
        Way('direct', tuple(f'{servers[name]}/a' for name in _SERVICES)),
        Way('bare hop', _through(bare_url), bare.process.pid),
        Way('instance', _through(entry.url), routed.process.pid),
    )
    rows: list[report.Measurement] = []
    for way in ways:
        answers = functools.partial(system.control.answers, way.urls[0])
        await cluster.wait_for(answers, way.name)
        await _call(way, WARM_UP_CALLS, 0)
        rows.extend(await _measure_way(way))
    return tuple(rows)


def _through(base: str) -> tuple[str, ...]:
    return tuple(f'{base}/{service}/a' for service in _SERVICES)


async def _measure_way(way: Way) -> tuple[report.Measurement, ...]:
    before = _processor_seconds(way)
    flat_out = await _call(way, CALLS, 0)
    used = _processor_seconds(way) - before
    steady = await _call(way, CALLS // 4, STEADY_RATE)
    calls = sum(measured.calls for measured in flat_out)
    shown = (
        ('rate', sum(one.calls / one.seconds for one in flat_out), '/s'),
        ('processor time a call', used / calls * _MICROS, 'us'),
        ('p50 flat out', max(one.half_ms for one in flat_out), 'ms'),
        ('p99 flat out', max(one.nearly_all_ms for one in flat_out), 'ms'),
        ('p50 at a steady rate', max(one.half_ms for one in steady), 'ms'),
        (
            'p99 at a steady rate',
            max(one.nearly_all_ms for one in steady),
            'ms',
        ),
        ('failed', sum(one.failed for one in (*flat_out, *steady)), 'calls'),
    )
    return tuple(
        report.Measurement('hop', way.name, quantity, figure, unit)
        for quantity, figure, unit in shown
    )


def _processor_seconds(way: Way) -> float:
    if way.pid is None:
        return 0
    return usage.read_usage(way.pid).processor_seconds


async def _call(
    way: Way,
    calls: int,
    rate: float,
) -> list[hop_client.Measured]:
    return await asyncio.gather(
        *(_call_one(url, calls, rate) for url in way.urls),
    )


async def _call_one(url: str, calls: int, rate: float) -> hop_client.Measured:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        f'{_PACKAGE}.hop_client',
        url,
        str(calls),
        str(CONNECTIONS),
        str(rate),
        stdout=asyncio.subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    return msgspec.json.decode(printed, type=hop_client.Measured)
