"""Run stand-ins and routing instances as processes on loopback."""

import asyncio
import dataclasses
import functools
import pathlib
import typing

import aiohttp
import msgspec
import yaml

from sycamoreferry_core import clock, ids
from sycamoreferry_ports import headers
from sycamoreferry_standins import (
    cli,
    control,
    processes,
    web,
    workloads,
)

POLL_MS = 50
KEYS_PER_TARGET = 4
READY_MS = 30_000

_ROUTER_MODULE = 'sycamoreferry_router'
_STANDINS_MODULE = 'sycamoreferry_standins'


class NotReadyError(Exception):
    """Report a condition that did not come true in time."""


@dataclasses.dataclass(frozen=True)
class Entry:
    """Hold where one routing instance is reached."""

    name: str
    data_centre: ids.DataCentre
    request_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Return the base URL for callers."""
        return f'http://{web.LOOPBACK}:{self.request_port}'


async def wait_for(
    condition: typing.Callable[[], typing.Awaitable[bool]],
    what: str,
    limit_ms: int = READY_MS,
) -> None:
    """Wait for a condition; raise NotReadyError past the limit."""
    try:
        async with asyncio.timeout(clock.seconds(limit_ms)):
            while not await condition():  # noqa: ASYNC110
                await asyncio.sleep(clock.seconds(POLL_MS))
    except TimeoutError as error:
        raise NotReadyError(f'waited {limit_ms} ms for {what}') from error


class Cluster:
    """Start the processes of one workload, and end them all."""

    def __init__(
        self,
        workload: workloads.Workload,
        directory: pathlib.Path,
        entries: int = 3,
        profiles: typing.Mapping[str, str] | None = None,
        platform_settings: typing.Mapping[str, object] | None = None,
    ) -> None:
        self.workload = workload
        self.directory = directory
        self.platform_port = web.free_port()
        self.entries = tuple(
            self._new_entry(number) for number in range(entries)
        )
        self.started: dict[str, processes.Started] = {}
        self._profiles = profiles or {}
        self._platform_settings = platform_settings or {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def platform_url(self) -> str:
        """Return the base URL of the platform's stand-in."""
        return f'http://{web.LOOPBACK}:{self.platform_port}'

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the session for calls to the processes."""
        if self._session is None:
            raise RuntimeError('enter the cluster before calling it')
        return self._session

    @property
    def control(self) -> control.Control:
        """Return the control calls to the stand-ins."""
        return control.Control(self.session, self.platform_url)

    async def __aenter__(self) -> typing.Self:
        """Start every process and wait until requests can be served."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
        )
        try:
            await self._start()
        except BaseException:
            await self._end()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """End every process."""
        await self._end()

    async def start_entry(self, entry: Entry) -> None:
        """Start a routing instance."""
        path = self.directory / f'{entry.name}.yaml'
        path.write_text(yaml.safe_dump(self.settings_of(entry)))
        self.started[entry.name] = await processes.start(
            entry.name,
            ('-m', _ROUTER_MODULE, 'run', str(path)),
            self.directory,
        )

    async def start_platform(self) -> None:
        """Start the platform's stand-in."""
        platform = await processes.start(
            'platform',
            (
                '-m',
                _STANDINS_MODULE,
                'platform',
                '--port',
                str(self.platform_port),
            ),
            self.directory,
        )
        self.started[platform.name] = platform
        await processes.await_while_running(
            wait_for(self._platform_answers, 'the platform'),
            (platform,),
        )

    async def start_backends(
        self,
        size: workloads.ServiceSize,
        first_number: int = 1,
        targets: int | None = None,
    ) -> str:
        """Start backend servers of a service; return the process name."""
        name = f'{size.name}-from-{first_number}'
        group = cli.BackendGroup(
            service=size.name,
            platform_url=self.platform_url,
            data_centres=self.workload.data_centres,
            targets=targets or size.targets,
            first_number=first_number,
            slots=size.slots,
            connections=size.connections,
            work_ms=size.work_ms,
            link_ms=self.workload.link_ms,
            answer_bytes=size.answer_bytes,
        )
        self.started[name] = await processes.start(
            name,
            (
                '-m',
                _STANDINS_MODULE,
                'backend',
                msgspec.json.encode(group).decode(),
            ),
            self.directory,
        )
        return name

    async def wait_until_ready(self, entry: Entry) -> None:
        """Wait until a routing instance says that it is ready."""
        is_ready = functools.partial(
            self.control.answers,
            f'{entry.url}/readyz',
        )
        await processes.await_while_running(
            wait_for(is_ready, f'{entry.name} to be ready'),
            (self.started[entry.name],),
        )

    async def wait_until_granted(self) -> None:
        """Wait until each keyed service answers for many keys."""
        for size in self.workload.services:
            if size.is_keyed:
                await wait_for(
                    functools.partial(self._all_granted, size),
                    f'grants of {size.name}',
                )

    def settings_of(self, entry: Entry) -> dict[str, object]:
        """Return the settings of a routing instance."""
        return {
            'instance': {
                'name': entry.name,
                'data_centre': entry.data_centre,
            },
            'listen': {
                'host': web.LOOPBACK,
                'request_port': entry.request_port,
                'peer_port': entry.peer_port,
            },
            'platform': {
                'log_url': self.platform_url,
                'instance_list_url': self.platform_url,
                **self._platform_settings,
            },
            'peers': [
                {'host': web.LOOPBACK, 'port': other.peer_port}
                for other in self.entries
                if other is not entry
            ],
            'services': [
                {
                    'name': size.name,
                    'shards': size.shards,
                    'profile': self._profiles.get(size.name, 'default'),
                }
                for size in self.workload.services
            ],
        }

    def _new_entry(self, number: int) -> Entry:
        places = self.workload.data_centres
        return Entry(
            name=f'entry-{number + 1}',
            data_centre=places[number % len(places)],
            request_port=web.free_port(),
            peer_port=web.free_port(),
        )

    async def _start(self) -> None:
        await self.start_platform()
        for size in self.workload.services:
            await self.start_backends(size)
        await processes.await_while_running(
            wait_for(self._all_listed, 'all servers to be listed'),
            tuple(self.started.values()),
        )
        for entry in self.entries:
            await self.start_entry(entry)
        needed = tuple(self.started.values())
        for ready in self.entries:
            await processes.await_while_running(
                self.wait_until_ready(ready),
                needed,
            )
        await processes.await_while_running(self.wait_until_granted(), needed)

    async def _end(self) -> None:
        ends = [started.end() for started in self.started.values()]
        await asyncio.gather(*ends)
        if self._session is not None:
            await self._session.close()

    async def _platform_answers(self) -> bool:
        return await self.control.answers(f'{self.platform_url}/instances')

    async def _all_listed(self) -> bool:
        total = sum(size.targets for size in self.workload.services)
        return len(await self.control.listed_servers()) >= total

    async def _all_granted(self, size: workloads.ServiceSize) -> bool:
        url = f'{self.entries[0].url}/{size.name}/ready'
        for number in range(size.targets * KEYS_PER_TARGET):
            named = {headers.KEY: f'ready-{number}'}
            if not await self.control.answers(url, named):
                return False
        return True
