"""Measure the time until a profile is in force at every instance."""

import asyncio
import pathlib
import tempfile

from sycamoreferry_core import clock, ids, profiles
from sycamoreferry_ctl import publishing
from sycamoreferry_peer import client
from sycamoreferry_ports import boot_clock, http_log
from sycamoreferry_standins import cluster, web, workloads
from sycamoreferry_standins.bench import report

INSTANCES = 9
PUBLICATIONS = 10
CONNECTIONS = 20
SHARDS = 16
TARGET_MS = 17_000
POLL_MS = 5
PEER_TIMEOUT_MS = 2000
NAME = ids.ProfileName('measured')

_WORKLOAD = workloads.Workload(
    name='small',
    data_centres=(ids.DataCentre('north'), ids.DataCentre('south')),
    link_ms=1,
    services=(
        workloads.ServiceSize(
            ids.ServiceName('keyed'),
            targets=2,
            slots=2,
            connections=CONNECTIONS,
            shards=SHARDS,
        ),
    ),
)


async def measure() -> tuple[report.Measurement, ...]:
    """Publish numbers one after the other and wait for each everywhere."""
    peers = client.PeerClient(PEER_TIMEOUT_MS)
    with tempfile.TemporaryDirectory() as directory:
        async with cluster.Cluster(
            _WORKLOAD,
            pathlib.Path(directory),
            entries=INSTANCES,
        ) as system:
            spent = [
                await _publish(system, peers, number)
                for number in range(PUBLICATIONS)
            ]
    peers.close()
    experiment = f'profile in force at {INSTANCES} instances'
    return (
        _row(experiment, 'median', sorted(spent)[PUBLICATIONS // 2]),
        _row(experiment, 'longest', max(spent)),
    )


async def _publish(
    system: cluster.Cluster,
    peers: client.PeerClient,
    revises: int,
) -> int:
    timer = boot_clock.BootClock()
    log_service = http_log.HttpLog(system.session, system.platform_url, 'ferry')
    start = timer.now()
    published = await publishing.publish_profile(
        log_service,
        NAME,
        profiles.Profile(),
        ids.ProfileNumber(revises),
    )
    if not isinstance(published, publishing.Published):
        raise RuntimeError(f'the profile was refused: {published}')
    for entry in system.entries:
        address = client.PeerAddress(web.LOOPBACK, entry.peer_port)
        await _wait_in_force(peers, address, published.number)
    return timer.now() - start


async def _wait_in_force(
    peers: client.PeerClient,
    address: client.PeerAddress,
    number: ids.ProfileNumber,
) -> None:
    while True:
        status = await peers.status(address)
        held = status.profiles if status else ()
        if any(one.name == NAME and one.number >= number for one in held):
            return
        await asyncio.sleep(clock.seconds(POLL_MS))


def _row(experiment: str, quantity: str, figure: int) -> report.Measurement:
    return report.Measurement(
        experiment=experiment,
        variant='sycamoreferry',
        quantity=quantity,
        figure=figure,
        unit='ms',
        target=TARGET_MS,
    )
