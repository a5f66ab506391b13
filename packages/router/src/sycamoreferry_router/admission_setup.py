"""Build the admission partitions of an instance from its settings."""

import aiohttp

from sycamoreferry_core import admission_state, clock, ids
from sycamoreferry_peer import admission_client
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import http_log
from sycamoreferry_router import (
    admission_partitions,
    admission_service,
    partition_calls,
    partition_loop,
    settings,
    view,
)

ASK_TIMEOUT_MS = 1000
PEER_TIMEOUT_MS = 300


def build_partitions(
    config: settings.Settings,
    instance_id: ids.InstanceId,
    instance_view: view.InstanceView,
    peers: peer_client.PeerClient,
    session: aiohttp.ClientSession,
    time_source: clock.Clock,
) -> admission_partitions.AdmissionPartitions:
    """Return the partitions of an instance, with a stream for each."""
    parts = partition_calls.Dependencies(
        instance_id=instance_id,
        instance_view=instance_view,
        clients=admission_client.AdmissionClient(
            peers,
            ASK_TIMEOUT_MS,
            PEER_TIMEOUT_MS,
        ),
        clock=time_source,
        timing=_timing(config.admission),
        read_wait_ms=config.platform.tail_wait_ms,
    )
    loops = [
        partition_loop.PartitionLoop(
            number,
            _open_stream(config.platform, number, session),
            parts,
        )
        for number in range(config.admission.partitions)
    ]
    return admission_partitions.AdmissionPartitions(loops, parts)


def build_service(
    instance_id: ids.InstanceId,
    partitions: admission_partitions.AdmissionPartitions,
) -> admission_service.AdmissionService:
    """Return the service that other instances call."""
    return admission_service.AdmissionService(instance_id, partitions.loops)


def _timing(config: settings.Admission) -> admission_state.Timing:
    return admission_state.Timing(
        window_ms=config.window_ms,
        limit_without_log_ms=config.limit_without_log_ms,
        detection_ms=config.detection_ms,
        batch_ms=config.batch_ms,
    )


def _open_stream(
    platform: settings.Platform,
    number: int,
    session: aiohttp.ClientSession,
) -> http_log.HttpLog:
    return http_log.HttpLog(
        session,
        platform.log_url,
        f'{platform.stream}-admission-{number}',
    )
