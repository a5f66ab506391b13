"""Measure what control costs each role as servers and shards grow."""

import asyncio
import dataclasses
import pathlib
import tempfile
import typing

from sycamoreferry_core import ids
from sycamoreferry_peer import client as peer_client
from sycamoreferry_standins import cluster, web, workloads
from sycamoreferry_standins.bench import report, usage

SETTLE_SECONDS = 3
WINDOW_SECONDS = 10
PEER_TIMEOUT_MS = 1000
PERCENT = 100
KILOBYTE = 1000
MEGABYTE = 1_000_000

PROCESSOR_TARGET_PERCENT = 1.5
MEMORY_TARGET_MEGABYTES = 32
BYTES_TARGET_KILOBYTES = 19

# Pairs of servers and shards.
SIZES = (
    (8, 1024),
    (17, 1024),
    (34, 1024),
    (68, 1024),
    (17, 4096),
    (17, 16384),
    (17, 65536),
)


@dataclasses.dataclass(frozen=True)
class Cost:
    """Hold what one instance used in a second."""

    role: str
    processor_percent: float
    resident_megabytes: float
    kilobytes: float


async def measure() -> tuple[report.Measurement, ...]:
    """Measure each size with real processes and no requests."""
    rows: list[report.Measurement] = []
    for servers, shards in SIZES:
        for cost in await _measure_size(servers, shards):
            rows.extend(_rows(f'{servers} servers, {shards} shards', cost))
    return tuple(rows)


def _rows(size: str, cost: Cost) -> typing.Iterator[report.Measurement]:
    for quantity, figure, unit, target in (
        (
            'processor',
            cost.processor_percent,
            '% of a core',
            PROCESSOR_TARGET_PERCENT,
        ),
        ('memory', cost.resident_megabytes, 'MB', MEMORY_TARGET_MEGABYTES),
        ('bytes', cost.kilobytes, 'KB/s', BYTES_TARGET_KILOBYTES),
    ):
        yield report.Measurement(
            experiment=f'control, {size}',
            variant=cost.role,
            quantity=quantity,
            figure=figure,
            unit=unit,
            target=target,
        )


def _workload(servers: int, shards: int) -> workloads.Workload:
    return workloads.Workload(
        name='control',
        data_centres=tuple(ids.DataCentre(name) for name in ('a', 'b', 'c')),
        link_ms=1,
        services=(
            workloads.ServiceSize(
                ids.ServiceName('keyed'),
                servers,
                2,
                100,
                shards=shards,
            ),
        ),
    )


async def _measure_size(servers: int, shards: int) -> list[Cost]:
    with tempfile.TemporaryDirectory() as directory:
        place = pathlib.Path(directory)
        async with cluster.Cluster(_workload(servers, shards), place) as system:
            await asyncio.sleep(SETTLE_SECONDS)
            roles = await _roles(system)
            before = _usages(system)
            await asyncio.sleep(WINDOW_SECONDS)
            after = _usages(system)
    return [
        _cost(roles[name], before[name], after[name]) for name in sorted(before)
    ]


def _usages(system: cluster.Cluster) -> dict[str, usage.Usage]:
    return {
        entry.name: usage.read_usage(system.started[entry.name].process.pid)
        for entry in system.entries
    }


def _cost(role: str, before: usage.Usage, after: usage.Usage) -> Cost:
    spent = after.processor_seconds - before.processor_seconds
    exchanged = after.exchanged_bytes - before.exchanged_bytes
    return Cost(
        role=role,
        processor_percent=PERCENT * spent / WINDOW_SECONDS,
        resident_megabytes=after.resident_bytes / MEGABYTE,
        kilobytes=exchanged / KILOBYTE / WINDOW_SECONDS,
    )


async def _roles(system: cluster.Cluster) -> dict[str, str]:
    peers = peer_client.PeerClient(PEER_TIMEOUT_MS)
    roles = {}
    for entry in system.entries:
        status = await peers.status(
            peer_client.PeerAddress(web.LOOPBACK, entry.peer_port),
        )
        roles[entry.name] = status.services[0].role if status else 'unknown'
    peers.close()
    return roles
