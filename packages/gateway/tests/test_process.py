"""Run the gateway as a process whose log output nobody reads."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import typing

import pytest

from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

# Their log lines fill the pipe's buffer several times.
REQUESTS = 600


@pytest.fixture
def start_process(
    cluster: typing.Any,
    tmp_path: pathlib.Path,
) -> typing.Iterator[typing.Callable[..., subprocess.Popen[bytes]]]:
    """Yield a function that starts the gateway; kill its processes after."""
    started = []

    def start(chosen: deployment.Deployment) -> subprocess.Popen[bytes]:
        settings = tmp_path / 'boot.conf'
        settings.write_text(cluster.settings_text(chosen, cluster.store.port))
        process = subprocess.Popen(
            (sys.executable, '-m', 'sycamoreferry_gateway'),
            env={
                **os.environ,
                'SYCAMOREFERRY_CONFIG': str(settings),
                'SYCAMOREFERRY_METRICS_PORT': str(chosen.metrics_port),
            },
            stdout=subprocess.PIPE,
        )
        started.append(process)
        return process

    yield start
    for process in started:
        process.kill()
        process.wait()
        assert process.stdout is not None
        process.stdout.close()


async def _request_status(
    cluster: typing.Any, address: deployment.Address
) -> int:
    payload = cluster.encode_request('r1', 7)
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    reply = await pool.exchange(address, payload, 3_000)
    return 0 if isinstance(reply, http_client.FailedExchange) else reply.status


@pytest.mark.processes
async def test_requests_are_served_while_nobody_reads_the_log(
    cluster: typing.Any,
    start_process: typing.Callable[..., subprocess.Popen[bytes]],
) -> None:
    await cluster.start(servers=2, instances=1)
    chosen = cluster._deployment('process')
    process = start_process(chosen)
    address = chosen.request_address
    for _ in range(200):
        if await _request_status(cluster, address) == 200:
            break
        await asyncio.sleep(0.1)
    statuses = [
        await _request_status(cluster, address) for _ in range(REQUESTS)
    ]
    assert statuses == [200] * REQUESTS
    process.send_signal(signal.SIGTERM)
    await cluster.wait_until(lambda: process.poll() == 0, limit_s=6)
