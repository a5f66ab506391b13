"""Keep aiohttp from sending a request again by itself."""

import aiohttp


class LostConnectionError(aiohttp.ClientError):
    """Report a lost connection in a way that aiohttp does not resend."""


async def send_once(
    request: aiohttp.ClientRequest,
    send: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Send a request once; raise LostConnectionError where it was cut off."""
    try:
        return await send(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise LostConnectionError(repr(error)) from error
