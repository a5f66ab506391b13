"""Ask for paths without a route, one request at a time on each connection.

Arguments: address, connections, seconds, host, and the character that fills
the path.
"""

import asyncio
import sys
import time

# With its other lines a head stays below MaxHeaderBytes (16,384).
PATH_BYTES = 16_000
HOST_ADDRESS, CONNECTIONS, SECONDS, HOST, FILLER = sys.argv[1:]
ENDS_AT = time.monotonic() + float(SECONDS)
counts = {'requests': 0, 'bytes': 0}


async def ask_on_one_connection():
    while time.monotonic() < ENDS_AT:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(HOST_ADDRESS, 8641)
            while time.monotonic() < ENDS_AT:
                await ask(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            await asyncio.sleep(0.05)
        finally:
            if writer is not None:
                writer.transport.abort()


async def ask(reader, writer):
    lines = (
        f'GET /{FILLER * PATH_BYTES}x HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {time.time_ns():016x}',
        'Deadline-Ms: 4000',
        '',
        '',
    )
    payload = '\r\n'.join(lines).encode()
    writer.write(payload)
    counts['bytes'] += len(payload)
    head = (await reader.readuntil(b'\r\n\r\n')).lower()
    length = int(head.split(b'content-length:')[1].split(b'\r\n')[0])
    await reader.readexactly(length)
    counts['requests'] += 1


async def main():
    try:
        async with asyncio.timeout(float(SECONDS)):
            await asyncio.gather(
                *(ask_on_one_connection() for _ in range(int(CONNECTIONS)))
            )
    except TimeoutError:
        pass


asyncio.run(main())
print(counts['requests'], 'answered,', counts['bytes'], 'bytes sent')
