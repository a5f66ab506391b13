import asyncio
import contextlib
import typing

import aiohttp
import pytest

from sycamoreferry_ports import send_once


class CuttingServer:
    """Count the requests that come, and cut each one off."""

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
async def _serving() -> typing.AsyncIterator[tuple[CuttingServer, str]]:
    cutting = CuttingServer()
    server = await asyncio.start_server(cutting.serve, '127.0.0.1', 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        yield cutting, f'http://127.0.0.1:{port}'


async def test_lost_read_is_not_sent_again() -> None:
    async with _serving() as (cutting, url), aiohttp.ClientSession() as session:
        with pytest.raises(send_once.LostConnectionError):
            await session.get(url, middlewares=(send_once.send_once,))
        assert cutting.requests == 1


async def test_library_alone_sends_a_lost_read_again() -> None:
    async with _serving() as (cutting, url), aiohttp.ClientSession() as session:
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.get(url)
        assert cutting.requests == 2
