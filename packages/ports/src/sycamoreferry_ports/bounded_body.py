"""Read answers that a proper program may send, up to a limit."""

import http

import aiohttp

# A read of the log returns up to 500 records.
MAX_BYTES = 67_108_864
_LAST_STATUS = 599
# The statuses of answers that end an exchange.
FINAL_STATUSES = range(http.HTTPStatus.OK, _LAST_STATUS + 1)


class OddStatusError(aiohttp.ClientPayloadError):
    """Report an answer whose status no proper program sends."""


async def read(answer: aiohttp.ClientResponse) -> bytes:
    """Return the whole body; raise ClientPayloadError if it is unusable."""
    if answer.status not in FINAL_STATUSES:
        answer.close()
        raise OddStatusError(f'status {answer.status}')
    received = bytearray()
    async for part in answer.content.iter_any():
        received.extend(part)
        if len(received) > MAX_BYTES:
            answer.close()
            raise aiohttp.ClientPayloadError(f'body of over {MAX_BYTES} bytes')
    return bytes(received)
