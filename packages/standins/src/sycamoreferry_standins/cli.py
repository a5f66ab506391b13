"""Run stand-ins as processes."""

import asyncio
import typing

import aiohttp
import msgspec
import typer
import uvloop

from sycamoreferry_core import ids
from sycamoreferry_ports import boot_clock, wire
from sycamoreferry_standins import (
    backend_server,
    instance_list,
    log_service,
    web,
)

app = typer.Typer(
    help='Stand in for the platform and for backend servers.',
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.command()
def platform(port: typing.Annotated[int, typer.Option()]) -> None:
    """Run the log service and the instance list on one port."""
    _run(_serve_platform(port))


@app.command()
def backend(description: str) -> None:
    """Run the backend servers of one service; DESCRIPTION is JSON."""
    _run(_serve_backends(msgspec.json.decode(description, type=BackendGroup)))


class BackendGroup(msgspec.Struct, frozen=True):
    """Describe the backend servers of one service."""

    service: ids.ServiceName
    platform_url: str
    data_centres: tuple[ids.DataCentre, ...]
    targets: int = 1
    first_number: int = 1
    slots: int = 2
    connections: int = 110
    work_ms: int = 2
    link_ms: int = 3
    answer_bytes: int = 64
    checks_fence: bool = True


def _run(work: typing.Coroutine[typing.Any, typing.Any, None]) -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work)


async def _serve_platform(port: int) -> None:
    served = web.new_app('platform')
    log_service.LogService().add_routes(served)
    instance_list.InstanceListService().add_routes(served)
    await web.serve_app(served, web.listen_on(port))
    await asyncio.Event().wait()


async def _serve_backends(group: BackendGroup) -> None:
    listed = [
        await _serve_backend(group, group.first_number + place)
        for place in range(group.targets)
    ]
    async with aiohttp.ClientSession() as session:
        content = msgspec.json.encode(wire.InstanceList(tuple(listed)))
        url = f'{group.platform_url}/instances'
        async with session.post(url, data=content) as answer:
            answer.raise_for_status()
    await asyncio.Event().wait()


async def _serve_backend(
    group: BackendGroup,
    number: int,
) -> wire.ListedServer:
    described = backend_server.Description(
        server=ids.ServerId(f'{group.service}-{number}'),
        service=group.service,
        data_centre=group.data_centres[number % len(group.data_centres)],
        slots=group.slots,
        connections=group.connections,
        work_ms=group.work_ms,
        link_ms=group.link_ms,
        checks_fence=group.checks_fence,
        answer_bytes=group.answer_bytes,
    )
    served = web.new_app(described.server)
    standin = backend_server.BackendServer(described, boot_clock.BootClock())
    standin.add_routes(served)
    bound = web.listen_on(0)
    await web.serve_app(served, bound)
    return wire.ListedServer(
        server=described.server,
        service=described.service,
        data_centre=described.data_centre,
        host=web.LOOPBACK,
        port=int(bound.getsockname()[1]),
        state='live',
    )


def main() -> None:
    """Run the command line."""
    app()
