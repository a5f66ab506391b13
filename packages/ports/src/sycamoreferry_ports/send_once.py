"""Prevent aiohttp from retrying a request on its own."""

import aiohttp


class LostConnectionError(aiohttp.ClientError):
    """Report a lost connection by a type on which aiohttp never retries."""


async def send_once(
    request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request; raise LostConnectionError if the connection breaks."""
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostConnectionError(repr(error)) from error
