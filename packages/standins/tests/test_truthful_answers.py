import asyncio
import collections
import dataclasses
import pathlib

import aiohttp
import msgspec
import pytest
import xxhash

from sycamoreferry_core import ids, result_codes
from sycamoreferry_ports import headers, wire
from sycamoreferry_standins import backend_server, cluster, workloads

SMALL = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('plain'), 3, 2, 6),
        workloads.ServiceSize(ids.ServiceName('keyed'), 2, 2, 6, shards=8),
    ),
)
# What the servers with these numbers do wrong in each round.
TRACE: list[dict[int, backend_server.ServerFaults]] = [
    {},
    {0: backend_server.ServerFaults(shed=True, lie_healthy=True)},
    {1: backend_server.ServerFaults(cut_short=True)},
    {
        2: backend_server.ServerFaults(mix_up=True),
        3: backend_server.ServerFaults(mix_up=True),
    },
    {0: backend_server.ServerFaults(crashed=True, lie_load=0)},
    {1: backend_server.ServerFaults(extra_delay_ms=900)},
    {3: backend_server.ServerFaults(extra_delay_ms=900)},
    {2: backend_server.ServerFaults(frozen=True)},
    {number: backend_server.ServerFaults(shed=True) for number in (0, 1, 2)},
    {4: backend_server.ServerFaults(cut_short=True)},
    {},
]
CALLS_A_ROUND = 40
DEADLINE_MS = '600'


@dataclasses.dataclass(frozen=True)
class Told:
    """Hold what a caller was told."""

    request_id: str
    method: str
    code: int
    body: bytes
    digest: str

    def check(self, runs: int) -> None:
        """Compare what was told with what the servers witnessed."""
        if self.method == 'POST':
            assert runs <= 1, self
        if 2000 <= self.code < 4000:
            assert runs == 0, self
        if self.code == result_codes.ResultCode.ANSWERED:
            assert runs >= 1, self
            answer = msgspec.json.decode(
                self.body,
                type=backend_server.AnswerBody,
            )
            assert answer.request_id == self.request_id
            assert answer.body_digest == self.digest


async def _call(
    system: cluster.Cluster,
    number: int,
) -> Told:
    request_id = f'told-{number}'
    method = 'POST' if number % 2 else 'GET'
    body = f'body {number}'.encode() if method == 'POST' else b''
    named = {
        headers.REQUEST_ID: request_id,
        headers.DEADLINE_MS: DEADLINE_MS,
        headers.IDEMPOTENCY_KEY: request_id,
    }
    service = 'plain'
    if number % 3 == 0:
        service = 'keyed'
        named[headers.KEY] = f'depot-{number % 11}'
    entry = system.entries[number % len(system.entries)]
    async with system.session.request(
        method,
        f'{entry.url}/{service}/a',
        headers=named,
        data=body or None,
        timeout=aiohttp.ClientTimeout(total=20),
    ) as answer:
        return Told(
            request_id,
            method,
            int(answer.headers[headers.CODE]),
            await answer.read(),
            xxhash.xxh3_64_hexdigest(body),
        )


async def _replay(
    system: cluster.Cluster,
    servers: list[wire.ListedServer],
) -> list[Told]:
    told: list[Told] = []
    for round_number, faults in enumerate(TRACE):
        for number, server in enumerate(servers):
            fault = faults.get(number, backend_server.ServerFaults())
            await system.control.set_server_faults(server, fault)
        first = round_number * CALLS_A_ROUND
        calls = [
            _call(system, number)
            for number in range(first, first + CALLS_A_ROUND)
        ]
        told.extend(await asyncio.gather(*calls))
    return told


async def _count_runs(
    system: cluster.Cluster,
    servers: list[wire.ListedServer],
) -> collections.Counter[str]:
    counted: collections.Counter[str] = collections.Counter()
    for server in servers:
        for run in await system.control.runs_of(server):
            counted[run.request_id] += not run.refused
    return counted


@pytest.mark.processes
async def test_what_callers_are_told_is_what_servers_witnessed(
    tmp_path: pathlib.Path,
) -> None:
    async with cluster.Cluster(SMALL, tmp_path, entries=2) as system:
        listed = await system.control.listed_servers()
        servers = sorted(
            listed,
            key=lambda server: (server.service != 'plain', server.server),
        )
        told = await _replay(system, servers)
        runs = await _count_runs(system, servers)
    for one in told:
        one.check(runs[one.request_id])
    codes = collections.Counter(one.code for one in told)
    assert codes[result_codes.ResultCode.ANSWERED] > len(told) // 2, codes
    assert any(code >= 4000 for code in codes), codes
    assert any(2000 <= code < 4000 for code in codes), codes
