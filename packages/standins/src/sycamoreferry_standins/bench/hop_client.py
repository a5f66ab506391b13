"""Call one URL over a few connections, and print what was measured."""

import asyncio
import time

import msgspec
import typer
import uvloop
import yarl

from sycamoreferry_standins.bench import latencies

_END_OF_HEAD = b'\r\n\r\n'
_GOOD = b'HTTP/1.1 200'
_LENGTH = b'content-length: '
_MILLIS = 1000


class Measured(msgspec.Struct, frozen=True):
    """Hold what one client process measured."""

    calls: int
    failed: int
    seconds: float
    half_ms: float
    nearly_all_ms: float


class Client:
    """Send one request after another on each connection."""

    def __init__(self, url: str, rate: float) -> None:
        parts = yarl.URL(url)
        self._host = parts.host or ''
        self._port = parts.port or 0
        self._request = (
            f'GET {parts.path} HTTP/1.1\r\n'
            f'Host: {parts.authority}\r\n'
            'Ferry-Deadline-Ms: 2000\r\n\r\n'
        ).encode()
        self._pause = 1 / rate if rate else 0
        self.delays = latencies.Latencies()
        self.failed = 0

    async def run(self, calls: int) -> None:
        """Call over one connection."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        due = time.perf_counter()
        for _ in range(calls):
            due = await self._wait_until(due + self._pause)
            self.failed += not await self._call(reader, writer)
            self.delays.add((time.perf_counter() - due) * _MILLIS)
        writer.close()

    async def _wait_until(self, due: float) -> float:
        now = time.perf_counter()
        if not self._pause:
            return now
        if due > now:
            await asyncio.sleep(due - now)
        return due

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(self._request)
        head = await reader.readuntil(_END_OF_HEAD)
        length = head.lower().partition(_LENGTH)[2].partition(b'\r')[0]
        await reader.readexactly(int(length))
        return head.startswith(_GOOD)


async def _measure(
    url: str,
    calls: int,
    connections: int,
    rate: float,
) -> Measured:
    client = Client(url, rate / connections)
    started = time.perf_counter()
    each = calls // connections
    await asyncio.gather(*(client.run(each) for _ in range(connections)))
    return Measured(
        calls=client.delays.count,
        failed=client.failed,
        seconds=time.perf_counter() - started,
        half_ms=client.delays.percentile(latencies.HALF),
        nearly_all_ms=client.delays.percentile(latencies.NEARLY_ALL),
    )


def main(url: str, calls: int, connections: int, rate: float) -> None:
    """Call URL; RATE is calls a second, or 0 for as many as are answered."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        measured = runner.run(_measure(url, calls, connections, rate))
    typer.echo(msgspec.json.encode(measured).decode())


if __name__ == '__main__':
    typer.run(main)
