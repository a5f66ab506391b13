"""Probe backend servers over HTTP."""

import enum

import aiohttp

from sycamoreferry_core import clock
from sycamoreferry_ports import bounded_body, wire

TIMEOUT_MS = 300


@enum.unique
class ProbeResult(enum.Enum):
    """Distinguish an answer, a failed connection and a time-out."""

    ANSWERED = 'answers'
    CONNECTION_FAILED = 'gone'
    TIMED_OUT = 'silent'


class HttpProbe:
    """Request the load of backend servers to check that they run."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def probe(self, server: wire.ListedServer) -> ProbeResult:
        """Return whether a server answers, fails or exceeds the time-out."""
        url = f'http://{server.host}:{server.port}/ferry/load'
        timeout = aiohttp.ClientTimeout(total=clock.seconds(TIMEOUT_MS))
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                await bounded_body.read(answer, bounded_body.MAX_PROBE_BYTES)
        except TimeoutError:
            return ProbeResult.TIMED_OUT
        except bounded_body.OddStatusError:
            # The server is faulty, but it has not ended.
            return ProbeResult.ANSWERED
        except aiohttp.ClientError:
            return ProbeResult.CONNECTION_FAILED
        return ProbeResult.ANSWERED
