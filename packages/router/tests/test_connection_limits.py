import asyncio
import typing

import yarl

from sycamoreferry_ports import headers
from sycamoreferry_standins import request_path, scripted_server

BODY_BYTES = 1_000_000
# Leaves memory for two bodies of 1 MB.
MEMORY_MB = 85
SHORT = (
    b'PUT /plain/short HTTP/1.1\r\nHost: a\r\n'
    b'Content-Length: %d\r\n\r\n' % BODY_BYTES + bytes(BODY_BYTES - 1)
)
WHOLE = SHORT.replace(b'/short', b'/whole') + b'.'
GET = b'GET /plain/a HTTP/1.1\r\nHost: a\r\n\r\n'
REFUSED = b'Ferry-Code: 3006'

_Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _send(url: str, sent: bytes) -> _Connection:
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', yarl.URL(url).port
    )
    writer.write(sent)
    return reader, writer


async def _read_head(connection: _Connection) -> bytes:
    async with asyncio.timeout(10):
        return await connection[0].readuntil(b'\r\n\r\n')


async def test_incomplete_request_is_refused_for_others() -> None:
    """Guard against a stalled body that keeps others from being served."""

    async def script(
        head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(scripted_server.answer_bytes(head))

    async with (
        scripted_server.ScriptedServer(script) as server,
        request_path.serve([server.listed], memory_mb=MEMORY_MB) as url,
    ):
        stalled = [await _send(url, SHORT) for _ in range(3)]
        refused = await _first_head(stalled)
        assert refused.startswith(b'HTTP/1.1 503 ')
        assert REFUSED in refused
        assert b'Retry-After: ' in refused
        served = await _send(url, GET)
        assert b' 200 OK' in await _read_head(served)
        scraped = await _send(url, GET.replace(b'/plain/a', b'/metrics'))
        async with asyncio.timeout(10):
            await scraped[0].readuntil(b'reason="incomplete"')
        _close(scraped, served, *stalled)
    assert len(server.heads) == 1


async def test_forwarded_request_is_never_refused() -> None:
    """Guard against a 503 for a request that a server runs."""
    reached = asyncio.Event()
    released = asyncio.Event()

    async def script(
        head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        reached.set()
        await released.wait()
        writer.write(scripted_server.answer_bytes(head))

    async with (
        scripted_server.ScriptedServer(script) as server,
        request_path.serve([server.listed], memory_mb=MEMORY_MB) as url,
    ):
        forwarded = await _send(url, WHOLE)
        await asyncio.wait_for(reached.wait(), 10)
        stalled = [await _send(url, SHORT) for _ in range(3)]
        assert REFUSED in await _first_head(stalled)
        released.set()
        assert b' 200 OK' in await _read_head(forwarded)
        _close(forwarded, *stalled)


async def test_waiting_request_that_is_refused_never_runs() -> None:
    """Guard against a 503 for a request that is sent to a server later."""
    released = asyncio.Event()

    async def script(
        head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        await released.wait()
        writer.write(scripted_server.answer_bytes(head))

    patient = f'{headers.DEADLINE_MS}: 60000\r\n\r\n'.encode()
    whole = WHOLE.replace(b'\r\n\r\n', b'\r\n' + patient, 1)
    async with (
        scripted_server.ScriptedServer(script) as server,
        request_path.serve([server.listed], memory_mb=MEMORY_MB) as url,
    ):
        # One runs, and the server has no capacity for the others.
        sent = [await _send(url, whole) for _ in range(6)]
        answers = [asyncio.create_task(_read_head(one)) for one in sent]
        await asyncio.sleep(1)
        released.set()
        heads = await asyncio.gather(*answers, return_exceptions=True)
        _close(*sent)
    refused = [head for head in heads if _is_refused(head)]
    answered = [head for head in heads if isinstance(head, bytes)]
    assert refused
    assert len(server.heads) == len(answered) - len(refused)


def _is_refused(head: bytes | BaseException) -> bool:
    return isinstance(head, bytes) and REFUSED in head


async def _first_head(connections: typing.Sequence[_Connection]) -> bytes:
    tasks = [asyncio.create_task(_read_head(one)) for one in connections]
    done, _ = await asyncio.wait(
        tasks, return_when=asyncio.FIRST_COMPLETED, timeout=10
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return done.pop().result()


def _close(*connections: _Connection) -> None:
    for _, writer in connections:
        writer.transport.abort()
