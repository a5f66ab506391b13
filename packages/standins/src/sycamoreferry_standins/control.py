"""Call the control routes of the stand-ins."""

import http
import typing

import aiohttp
import msgspec

from sycamoreferry_ports import wire
from sycamoreferry_standins import (
    backend_server,
    instance_list,
    log_service,
)


class Control:
    """Read what stand-ins witnessed, and make them do wrong."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        platform_url: str,
    ) -> None:
        self._session = session
        self._platform_url = platform_url

    async def listed_servers(self) -> tuple[wire.ListedServer, ...]:
        """Return the servers that the instance list names."""
        async with self._session.get(
            f'{self._platform_url}/instances'
        ) as answer:
            content = await answer.read()
        return msgspec.json.decode(content, type=wire.InstanceList).servers

    async def runs_of(
        self,
        server: wire.ListedServer,
    ) -> list[backend_server.Run]:
        """Return the runs that a backend server witnessed."""
        url = f'http://{server.host}:{server.port}/standin/runs'
        async with self._session.get(url) as answer:
            content = await answer.read()
        return msgspec.json.decode(content, type=list[backend_server.Run])

    async def set_log_faults(self, faults: log_service.LogFaults) -> None:
        """Make the log do wrong."""
        await self._post(f'{self._platform_url}/log/faults', faults)

    async def set_list_faults(self, faults: instance_list.ListFaults) -> None:
        """Make the instance list do wrong."""
        await self._post(f'{self._platform_url}/list/faults', faults)

    async def list_server(self, server: wire.ListedServer) -> None:
        """Put a server into the instance list, or change its state."""
        content = wire.InstanceList((server,))
        await self._post(f'{self._platform_url}/instances', content)

    async def set_server_faults(
        self,
        server: wire.ListedServer,
        faults: backend_server.ServerFaults,
    ) -> None:
        """Make a backend server do wrong."""
        url = f'http://{server.host}:{server.port}/standin/faults'
        await self._post(url, faults)

    async def status_of(
        self,
        url: str,
        headers: typing.Mapping[str, str] | None = None,
    ) -> int:
        """Return the status of a GET, or 0 where none came."""
        try:
            async with self._session.get(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientError:
            return 0

    async def answers(
        self,
        url: str,
        headers: typing.Mapping[str, str] | None = None,
    ) -> bool:
        """Tell whether a GET is answered with success."""
        return await self.status_of(url, headers) == http.HTTPStatus.OK

    async def _post(self, url: str, content: object) -> None:
        body = msgspec.json.encode(content)
        async with self._session.post(url, data=body) as answer:
            answer.raise_for_status()
