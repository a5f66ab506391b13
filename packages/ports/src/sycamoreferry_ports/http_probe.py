"""Probe backend servers over HTTP."""

import enum

import aiohttp

from sycamoreferry_core import clock
from sycamoreferry_ports import wire

TIMEOUT_MS = 300


@enum.unique
class Probed(enum.Enum):
    """Name what a probe finds."""

    ANSWERS = 'answers'
    GONE = 'gone'
    SILENT = 'silent'


class HttpProbe:
    """Ask backend servers for their load, to learn whether they run."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def probe(self, server: wire.ListedServer) -> Probed:
        """Tell whether a server answers, refuses, or says nothing."""
        url = f'http://{server.host}:{server.port}/ferry/load'
        timeout = aiohttp.ClientTimeout(total=clock.seconds(TIMEOUT_MS))
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                await answer.read()
        except TimeoutError:
            return Probed.SILENT
        except aiohttp.ClientError:
            return Probed.GONE
        return Probed.ANSWERS
