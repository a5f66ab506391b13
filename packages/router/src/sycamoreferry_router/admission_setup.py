"""Build the admission partitions of an instance from its settings."""

import aiohttp

from sycamoreferry_core import admission_state, clock, ids
from sycamoreferry_peer import admission_client
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import http_log
from sycamoreferry_router import (
    admission_ring,
    partition_io,
    partition_loop,
    settings,
    view,
)

ASK_TIMEOUT_MS = 1000
PEER_TIMEOUT_MS = 300


def build_ring(
    chosen: settings.Settings,
    me: ids.InstanceId,
    seen: view.InstanceView,
    peers: peer_client.PeerClients,
    session: aiohttp.ClientSession,
    timer: clock.Clock,
) -> admission_ring.AdmissionRing:
    """Return the partitions of an instance, with a stream for each."""
    parts = partition_io.Parts(
        me=me,
        seen=seen,
        clients=admission_client.AdmissionClients(
            peers,
            ASK_TIMEOUT_MS,
            PEER_TIMEOUT_MS,
        ),
        clock=timer,
        timing=_timing(chosen.admission),
        read_wait_ms=chosen.platform.tail_wait_ms,
    )
    loops = [
        partition_loop.PartitionLoop(
            number,
            _stream(chosen.platform, number, session),
            parts,
        )
        for number in range(chosen.admission.partitions)
    ]
    return admission_ring.AdmissionRing(loops, parts)


def _timing(chosen: settings.Admission) -> admission_state.Timing:
    return admission_state.Timing(
        window_ms=chosen.window_ms,
        limit_without_log_ms=chosen.limit_without_log_ms,
        detection_ms=chosen.detection_ms,
        batch_ms=chosen.batch_ms,
    )


def _stream(
    platform: settings.Platform,
    number: int,
    session: aiohttp.ClientSession,
) -> http_log.HttpLog:
    return http_log.HttpLog(
        session,
        platform.log_url,
        f'{platform.stream}-admission-{number}',
    )
