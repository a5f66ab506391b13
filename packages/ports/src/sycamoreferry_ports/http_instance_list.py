"""Read the platform's list of live and leaving servers over HTTP."""

import aiohttp
import msgspec

from sycamoreferry_core import clock
from sycamoreferry_ports import bounded_body, wire

TIMEOUT_MS = 1000

_decoder = msgspec.json.Decoder(wire.InstanceList)


class HttpInstanceList:
    """Fetch the platform's instance list."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self._session = session
        self._url = f'{base_url}/instances'

    async def read(self) -> tuple[wire.ListedServer, ...] | None:
        """Return the listed servers, or None if the list is unavailable."""
        timeout = aiohttp.ClientTimeout(total=clock.seconds(TIMEOUT_MS))
        try:
            async with self._session.get(self._url, timeout=timeout) as answer:
                return _decoder.decode(await bounded_body.read(answer)).servers
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
