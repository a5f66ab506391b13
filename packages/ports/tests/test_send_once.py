import asyncio
import contextlib
import typing

import aiohttp
import pytest

from sycamoreferry_ports import send_once


class DisconnectingServer:
    """Count requests and close each connection without an answer."""

    def __init__(self) -> None:
        self.requests = 0

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        self.requests += 1
        writer.close()


@contextlib.asynccontextmanager
async def _serving() -> typing.AsyncIterator[tuple[DisconnectingServer, str]]:
    disconnecting = DisconnectingServer()
    server = await asyncio.start_server(disconnecting.serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield disconnecting, f'http://127.0.0.1:{port}'


async def test_request_is_not_resent_after_a_disconnect() -> None:
    async with (
        _serving() as (disconnecting, url),
        aiohttp.ClientSession() as session,
    ):
        with pytest.raises(send_once.LostConnectionError):
            await session.get(url, middlewares=(send_once.send_once,))
        assert disconnecting.requests == 1


async def test_aiohttp_resends_a_get_after_a_disconnect_by_default() -> None:
    async with (
        _serving() as (disconnecting, url),
        aiohttp.ClientSession() as session,
    ):
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.get(url)
        assert disconnecting.requests == 2
