"""Run sanic applications beside each other on one loop."""

import socket
import typing

import msgspec
from sanic import app as sanic_app
from sanic import response

from sycamoreferry_standins import port_blocks

App = sanic_app.Sanic[typing.Any, typing.Any]

LOOPBACK = '127.0.0.1'
_BACKLOG = 1024
# Lies below the ports that the system gives to outgoing connections.
_LOWEST_PORT = 12_000
_HIGHEST_PORT = 31_999
_BLOCK_SIZE = 200
_BLOCKS = port_blocks.PortBlocks(
    LOOPBACK,
    range(_LOWEST_PORT, _HIGHEST_PORT + 1),
    _BLOCK_SIZE,
)


def new_app(name: str) -> App:
    """Return an application without a configuration of its own."""
    app: App = sanic_app.Sanic(name, configure_logging=False)
    app.config.TOUCHUP = False
    return app


def listen_on(port: int) -> socket.socket:
    """Return a socket that listens on loopback; port 0 takes a free one."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, port))
    bound.listen(_BACKLOG)
    bound.setblocking(False)  # noqa: WPS425
    return bound


def free_port() -> int:
    """Return a free port that nobody else is given."""
    return _BLOCKS.take()


async def serve_app(app: App, bound: socket.socket) -> None:
    """Start to serve an application on a socket."""
    server = await app.create_server(
        sock=bound,
        access_log=False,
        return_asyncio_server=True,
    )
    if server is None:
        raise RuntimeError('sanic gave no server to run')
    await server.startup()  # type: ignore[no-untyped-call]
    await server.start_serving()  # type: ignore[no-untyped-call]


def json_answer(content: object, status: int = 200) -> response.HTTPResponse:
    """Return an answer that carries a typed message as JSON."""
    return response.raw(
        msgspec.json.encode(content),
        status=status,
        content_type='application/json',
    )
