"""Forward requests to backend servers over HTTP."""

import dataclasses
import typing

import aiohttp

from sycamoreferry_core import clock
from sycamoreferry_platform import wire


@dataclasses.dataclass(frozen=True)
class ForwardedRequest:
    """Hold a request as a backend server is to get it."""

    method: str
    target: str
    headers: typing.Mapping[str, str]
    body: bytes
    timeout_ms: int


@dataclasses.dataclass(frozen=True)
class Received:
    """Hold a whole answer as it came."""

    status: int
    headers: typing.Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Promise that nothing was written to the server."""

    reason: str


@dataclasses.dataclass(frozen=True)
class CutOff:
    """Tell that the answer did not come, or not whole."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """Tell that the answer did not come in time."""


ForwardOutcome = Received | NotSent | CutOff | TimedOut


class HttpForwarder:
    """Forward one request at a time on each connection."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def forward(
        self,
        request: ForwardedRequest,
        server: wire.ListedServer,
    ) -> ForwardOutcome:
        """Return the answer, or how it failed."""
        try:
            return await self._forward(request, server)
        except aiohttp.ClientConnectorError as error:
            return NotSent(f'{server.server} took no connection: {error}')
        except aiohttp.ClientError as error:
            return CutOff(f'{server.server} cut the answer off: {error!r}')
        except TimeoutError:
            return TimedOut()

    async def _forward(
        self,
        request: ForwardedRequest,
        server: wire.ListedServer,
    ) -> Received:
        timeout = aiohttp.ClientTimeout(total=clock.seconds(request.timeout_ms))
        async with self._session.request(
            request.method,
            f'http://{server.host}:{server.port}{request.target}',
            headers=request.headers,
            data=request.body or None,
            timeout=timeout,
            allow_redirects=False,
        ) as answer:
            body = await answer.read()
            return Received(answer.status, answer.headers, body)
