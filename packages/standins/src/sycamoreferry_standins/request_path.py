"""Run the request path of one instance inside a test's own loop."""

import contextlib
import itertools
import random
import typing

from sycamoreferry_core import ids, records, result_codes
from sycamoreferry_ports import boot_clock, http_forward, http_probe, wire
from sycamoreferry_router import (
    crash_guard,
    http_server,
    metrics,
    pipeline,
    settings,
    view,
)
from sycamoreferry_router.filters import admit, forward
from sycamoreferry_standins import web

_numbers = itertools.count(1)


def small_settings(**bounds: int) -> settings.Settings:
    """Return the settings of an instance with one service without keys."""
    return settings.check_settings(
        {
            'instance': {
                'name': f'inner-{next(_numbers)}',
                'data_centre': 'north',
            },
            'listen': {
                'host': web.LOOPBACK,
                'request_port': web.free_port(),
                'peer_port': web.free_port(),
            },
            'platform': {
                'log_url': 'http://127.0.0.1:9',
                'instance_list_url': 'http://127.0.0.1:9',
            },
            'services': [
                {'name': 'plain'},
                {'name': 'keyed', 'shards': 4},
            ],
            'bounds': bounds,
        },
    )


def new_pipeline(
    chosen: settings.Settings,
    forwarder: http_forward.HttpForwarder,
    seen: view.InstanceView,
    gates: typing.Sequence[admit.Gate] = (),
) -> pipeline.Pipeline:
    """Return the filters of an instance that has caught up."""
    seen.caught_up = True
    parts = pipeline.Dependencies(
        config=chosen,
        instance_view=seen,
        clock=boot_clock.BootClock(),
        forwarder=forwarder,
        origin=forward.Origin(
            ids.InstanceId(chosen.instance.name),
            ids.DataCentre(chosen.instance.data_centre),
        ),
        guard=crash_guard.CrashGuard(
            crash_guard.Dependencies(
                instance_view=seen,
                publish=_publish_nothing,
                probe=_find_alive,
                wall_clock=boot_clock.BootClock(),
            ),
        ),
        metrics=metrics.Metrics(),
        rng=random.Random(1),
    )
    return pipeline.Pipeline(parts, gates)


async def _publish_nothing(
    record: records.AnyRecord,
) -> result_codes.ResultCode | None:
    return result_codes.ResultCode.ANSWERED


async def _find_alive(server: wire.ListedServer) -> http_probe.ProbeResult:
    return http_probe.ProbeResult.ANSWERED


@contextlib.asynccontextmanager
async def serve(
    servers: typing.Sequence[wire.ListedServer],
    gates: typing.Sequence[admit.Gate] = (),
    **bounds: int,
) -> typing.AsyncIterator[str]:
    """Serve requests for the listed servers; yield the base URL."""
    chosen = small_settings(**bounds)
    seen = view.InstanceView()
    seen.replace_servers(servers)
    async with http_forward.open_forwarder(
        chosen.bounds.whole_answer_bytes,
    ) as forwarder:
        served = http_server.HttpServer(
            chosen,
            new_pipeline(chosen, forwarder, seen, gates),
            seen,
            metrics.Metrics(),
            ids.InstanceId(chosen.instance.name),
            boot_clock.BootClock(),
        )
        port = chosen.listen.request_port
        listening = await served.start(web.LOOPBACK, port)
        try:
            yield f'http://{web.LOOPBACK}:{port}'
        finally:
            await listening.close()  # type: ignore[no-untyped-call]
