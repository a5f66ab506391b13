"""Read bodies of answers up to a limit."""

import aiohttp

# A read of the log returns up to 500 records.
MAX_BYTES = 67_108_864


async def read(answer: aiohttp.ClientResponse) -> bytes:
    """Return the whole body; raise ClientPayloadError if it is too long."""
    received = bytearray()
    async for part in answer.content.iter_any():
        received.extend(part)
        if len(received) > MAX_BYTES:
            answer.close()
            raise aiohttp.ClientPayloadError(f'body of over {MAX_BYTES} bytes')
    return bytes(received)
