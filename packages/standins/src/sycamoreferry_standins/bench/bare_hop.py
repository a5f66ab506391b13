"""Hand requests on with sanic and aiohttp alone, to compare with."""

import asyncio
import typing

import aiohttp
import msgspec
import typer
import uvloop
from sanic import request as sanic_request
from sanic import response

from sycamoreferry_standins import web


class BareHop:
    """Forward each request to the server that its path names."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        servers: typing.Mapping[str, str],
    ) -> None:
        self._session = session
        self._servers = servers

    async def serve(
        self,
        request: sanic_request.Request,
        service: str,
        path: str,
    ) -> response.HTTPResponse:
        """Return the answer as it came."""
        async with self._session.request(
            request.method,
            f'{self._servers[service]}/{path}',
            headers=dict(request.headers),
            data=request.body or None,
        ) as answer:
            body = await answer.read()
            return response.raw(body, status=answer.status)


def main(port: int, servers: str) -> None:
    """Serve on a port; SERVERS is a JSON map from service to URL."""
    known = msgspec.json.decode(servers, type=dict[str, str])
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(port, known))


async def _serve(port: int, servers: typing.Mapping[str, str]) -> None:
    app = web.new_app('bare-hop')
    app.config.TOUCHUP = True
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        hop = BareHop(session, servers)
        app.add_route(
            hop.serve,
            '/<service:str>/<path:path>',
            methods=('GET', 'POST'),
        )
        await web.serve_app(app, web.listen_on(port))
        await asyncio.Event().wait()


if __name__ == '__main__':
    typer.run(main)
