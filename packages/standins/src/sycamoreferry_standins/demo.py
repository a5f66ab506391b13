"""Show the whole path as separate processes on loopback."""

import asyncio
import dataclasses
import http
import pathlib
import sys
import tempfile
import time

import aiohttp
from rich import console, table

from sycamoreferry_core import clock
from sycamoreferry_ports import headers
from sycamoreferry_standins import (
    answers,
    cluster,
    processes,
    workloads,
)

REQUESTS_PER_SERVICE = 6
NANOS_PER_MILLI = 1_000_000
DEADLINE_MS = 5000
TABLE_WIDTH = 120

_PROFILE_TEXT = """\
timing:
  lease_ms: 1500
moves:
  peak_windows:
    - zone: Asia/Manila
      start: "18:00"
      end: "22:00"
"""


@dataclasses.dataclass(frozen=True)
class Call:
    """Hold a request that the demo sends."""

    caller: str
    entry: cluster.Entry
    service: workloads.ServiceSize
    number: int

    @property
    def key(self) -> str:
        """Return the key of the request."""
        return f'depot-{self.number}'

    @property
    def body(self) -> bytes:
        """Return the body of the request."""
        return f'order {self.number} of {self.caller}'.encode()

    @property
    def request_id(self) -> str:
        """Return the id of the request."""
        return f'{self.caller}-{self.service.name}-{self.number}'

    def headers(self) -> dict[str, str]:
        """Return the headers of the request."""
        named = {
            headers.CALLER: self.caller,
            headers.REQUEST_ID: self.request_id,
            headers.IDEMPOTENCY_KEY: self.request_id,
            headers.DEADLINE_MS: str(DEADLINE_MS),
        }
        if self.service.is_keyed:
            named[headers.KEY] = self.key
        return named


@dataclasses.dataclass(frozen=True)
class Row:
    """Hold the way that one request took."""

    call: Call
    instance: str
    shard: str
    server: str
    fence: str
    code: str
    millis: float
    whole: bool


async def send_call(session: aiohttp.ClientSession, call: Call) -> Row:
    """Send a request and check that its answer is whole and its own."""
    started = time.perf_counter_ns()
    async with session.post(
        f'{call.entry.url}/{call.service.name}/orders',
        data=call.body,
        headers=call.headers(),
    ) as answer:
        content = await answer.read()
    elapsed = (time.perf_counter_ns() - started) / NANOS_PER_MILLI
    return Row(
        call=call,
        instance=answer.headers.get(headers.INSTANCE, ''),
        shard=answer.headers.get(headers.SHARD, ''),
        server=answer.headers.get(headers.SERVER, ''),
        fence=answer.headers.get(headers.FENCE, ''),
        code=answer.headers.get(headers.CODE, ''),
        millis=elapsed,
        whole=(
            answer.status == http.HTTPStatus.OK
            and answers.is_own(
                content,
                answers.Expected(
                    request_id=call.request_id,
                    body=call.body,
                    answer_bytes=call.service.answer_bytes,
                ),
            )
        ),
    )


async def publish_profile(system: cluster.Cluster) -> int:
    """Publish one profile with ferryctl; return its status."""
    path = system.directory / 'profile.yaml'
    path.write_text(_PROFILE_TEXT)
    started = await processes.start(
        'ferryctl',
        (
            '-m',
            'sycamoreferry_ctl',
            'profile',
            'publish',
            'default',
            str(path),
            '--log-url',
            system.platform_url,
        ),
        system.directory,
    )
    status = await started.process.wait()
    sys.stdout.write(started.log_path.read_text())
    return status


async def show_workload(
    workload: workloads.Workload,
    directory: pathlib.Path,
) -> list[Row]:
    """Run one user's system and send requests to each service."""
    async with cluster.Cluster(workload, directory) as system:
        status = await publish_profile(system)
        if status:
            sys.exit(status)
        calls = [
            Call(
                caller=f'phone-{number % 3 + 1}',
                entry=system.entries[number % len(system.entries)],
                service=service,
                number=number,
            )
            for service in workload.services
            for number in range(REQUESTS_PER_SERVICE)
        ]
        return [await send_call(system.session, call) for call in calls]


def print_rows(workload: workloads.Workload, rows: list[Row]) -> None:
    """Print a table of the ways that requests took."""
    shown = table.Table(title=workload.name)
    for column in (
        'caller',
        'instance',
        'service',
        'shard',
        'owner',
        'fence',
        'code',
        'ms',
        'answer',
    ):
        shown.add_column(column)
    for row in rows:
        shown.add_row(
            row.call.caller,
            row.instance,
            row.call.service.name,
            row.shard,
            row.server,
            row.fence,
            row.code,
            f'{row.millis:.1f}',
            'whole' if row.whole else 'BROKEN',
        )
    console.Console(width=TABLE_WIDTH).print(shown)


async def run_demo() -> int:
    """Show every workload; return 0 only if every answer was whole."""
    failures = 0
    total = 0
    started = time.monotonic()
    for workload in workloads.WORKLOADS.values():
        with tempfile.TemporaryDirectory() as directory:
            rows = await show_workload(workload, pathlib.Path(directory))
        print_rows(workload, rows)
        total += len(rows)
        failures += sum(not row.whole for row in rows)
    elapsed = int((time.monotonic() - started) * clock.MILLIS_PER_SECOND)
    sys.stdout.write(
        f'{total} requests, {total - failures} whole answers,'
        f' {failures} failures, {elapsed} ms\n',
    )
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(run_demo()))
