import asyncio
import contextlib
import socket
import time
import typing

import aiohttp
import pytest
import yarl
from sanic import server as sanic_server
from sanic.server.protocols import http_protocol

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_ports import boot_clock, headers, http_forward
from sycamoreferry_router import http_server, messages, metrics, view
from sycamoreferry_standins import request_path, scripted_server

LONG_BODY = bytes(range(256)) * 40_000


class _OutcomeRecorder:
    """Record the outcome of every request."""

    def __init__(self) -> None:
        self.ended: list[outcomes.Outcome] = []
        self.recorded = asyncio.Event()

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        return identified

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        self.ended.append(outcome)
        self.recorded.set()


@contextlib.asynccontextmanager
async def _request_path(
    script: scripted_server.Script,
    recorder: _OutcomeRecorder | None = None,
    **bounds: int,
) -> typing.AsyncIterator[
    tuple[str, scripted_server.ScriptedServer, aiohttp.ClientSession]
]:
    gates = [recorder] if recorder else []
    async with (
        scripted_server.ScriptedServer(script) as server,
        request_path.serve([server.listed], gates, **bounds) as url,
        aiohttp.ClientSession(auto_decompress=False) as session,
    ):
        yield url, server, session


async def test_request_and_response_are_forwarded_unchanged() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        extra = (
            'Set-Cookie: a=1',
            'Set-Cookie: b=2',
            'Connection: X-Hop',
            'X-Hop: 1',
            'Ferry-Code: 7',
        )
        writer.write(scripted_server.answer_bytes(head, b'', None, extra))

    target = '/plain/a%2Fb//c/%E2%82%AC?q=a+b%20c&q=&%3D'
    async with _request_path(script) as (url, server, session):
        async with session.get(
            yarl.URL(url + target, encoded=True),
            headers=[
                ('X-Two', '1'),
                ('X-Two', '2'),
                ('Connection', 'X-Mine'),
                ('X-Mine', '1'),
            ],
        ) as answer:
            assert await answer.read() == b''
            assert answer.headers.getall('Set-Cookie') == ['a=1', 'b=2']
            assert answer.headers.getall(headers.CODE) == ['1000']
            assert 'X-Hop' not in answer.headers
            assert 'Content-Type' not in answer.headers
        head = server.heads[0]
    assert head.start_line == f'GET {target.removeprefix("/plain")} HTTP/1.1'
    assert head.find('X-Two') == ('1', '2')
    assert not head.find('X-Mine')


@pytest.mark.parametrize(
    ('method', 'head_lines', 'status', 'length'),
    [
        ('HEAD', 'HTTP/1.1 200 OK\r\nContent-Length: 1234', 200, '1234'),
        ('GET', 'HTTP/1.1 204 No Content', 204, None),
        ('GET', 'HTTP/1.1 304 Not Modified\r\nETag: "x"', 304, None),
        ('GET', 'HTTP/1.1 404 Not Found\r\nContent-Length: 0', 404, '0'),
    ],
)
async def test_responses_without_a_body_are_forwarded(
    method: str,
    head_lines: str,
    status: int,
    length: str | None,
) -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(f'{head_lines}\r\n\r\n'.encode())

    async with _request_path(script) as (url, _, session):
        for _ in range(2):
            async with session.request(method, f'{url}/plain/a') as answer:
                assert answer.status == status
                assert answer.headers.get('Content-Length') == length
                assert await answer.read() == b''


async def test_disconnect_of_the_caller_cancels_the_request_at_the_server() -> (
    None
):
    reached = asyncio.Event()

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        reached.set()

    recorder = _OutcomeRecorder()
    async with _request_path(script, recorder) as (url, server, session):
        call = asyncio.ensure_future(
            session.post(
                f'{url}/plain/a', headers={headers.IDEMPOTENCY_KEY: 'k'}
            ),
        )
        await reached.wait()
        call.cancel()
        await asyncio.wait_for(recorder.recorded.wait(), 10)
        await asyncio.wait_for(server.lost.wait(), 10)
    assert recorder.ended[0].kind is outcomes.Kind.UNKNOWN


async def _send_long(
    head: scripted_server.Head,
    writer: asyncio.StreamWriter,
) -> None:
    sent = LONG_BODY
    if 'cut' in head.start_line:
        sent = LONG_BODY[:-1]
    chunked = 'chunked' in head.start_line
    framing = f'Content-Length: {len(LONG_BODY)}'
    if chunked:
        framing = 'Transfer-Encoding: chunked'
    named = f'Ferry-Request-Id: {head.request_id}'
    writer.write(f'HTTP/1.1 200 OK\r\n{framing}\r\n{named}\r\n\r\n'.encode())
    if chunked:
        sent = b'%x\r\n%b\r\n' % (len(sent), sent)
    writer.write(sent)
    if chunked and 'cut' not in head.start_line:
        writer.write(b'0\r\n\r\n')
    await writer.drain()
    if 'cut' in head.start_line:
        writer.close()


@pytest.mark.parametrize(
    'path', ['whole', 'whole-chunked', 'cut', 'cut-chunked']
)
async def test_truncated_download_is_an_error_at_the_caller(path: str) -> None:
    async with _request_path(_send_long) as (url, _, session):
        async with session.get(f'{url}/plain/{path}') as answer:
            assert answer.status == 200
            if 'cut' in path:
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            else:
                assert await answer.read() == LONG_BODY


@pytest.mark.parametrize('path', ['cut', 'cut-chunked'])
async def test_short_answer_is_checked_before_its_first_byte(
    path: str,
) -> None:
    async with _request_path(
        _send_long,
        whole_answer_bytes=len(LONG_BODY) + 1,
    ) as (url, _, session):
        async with session.post(
            f'{url}/plain/{path}',
            headers={headers.IDEMPOTENCY_KEY: 'k'},
        ) as answer:
            assert answer.status == 502
            assert answer.headers[headers.CODE] == '4001'


async def test_slow_reader_does_not_delay_other_callers() -> None:
    async with _request_path(_send_long) as (url, _, session):
        slow = await session.get(f'{url}/plain/whole')
        for _ in range(3):
            async with session.get(f'{url}/plain/whole') as answer:
                assert await answer.read() == LONG_BODY
        assert await slow.read() == LONG_BODY


async def test_download_ends_with_the_deadline() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(
            scripted_server.answer_bytes(head, LONG_BODY, len(LONG_BODY) + 1)
        )

    async with _request_path(script) as (url, server, session):
        async with session.get(
            f'{url}/plain/a',
            headers={headers.DEADLINE_MS: '300'},
        ) as answer:
            async with asyncio.timeout(10):
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
        await asyncio.wait_for(server.lost.wait(), 10)


@pytest.mark.parametrize('name', [headers.REQUEST_ID, headers.IDEMPOTENCY_KEY])
async def test_header_that_is_not_utf8_is_not_reported_as_run(
    name: str,
) -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(scripted_server.answer_bytes(head))

    async with _request_path(script) as (url, server, _):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', yarl.URL(url).port
        )
        writer.write(
            b'POST /plain/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n'
            b'%b: \xe9\r\n\r\n' % name.encode()
        )
        answer = await reader.read()
        writer.close()
    assert b'Ferry-Code: 2009' in answer
    assert not server.heads


@contextlib.asynccontextmanager
async def _serve(
    script: scripted_server.Script,
    **bounds: int,
) -> typing.AsyncIterator[
    tuple[
        http_server.HttpServer,
        sanic_server.AsyncioServer,
        asyncio.StreamReader,
    ]
]:
    """Serve one request; yield its server, and a reader of the answer."""
    config = request_path.small_settings(**bounds)
    seen = view.InstanceView()
    async with (
        scripted_server.ScriptedServer(script) as backend,
        http_forward.open_forwarder(config.bounds.whole_answer_bytes) as opened,
    ):
        seen.replace_servers([backend.listed])
        served = http_server.HttpServer(
            config,
            request_path.new_pipeline(config, opened, seen),
            seen,
            metrics.Metrics(),
            ids.InstanceId(config.instance.name),
            boot_clock.BootClock(),
        )
        port = config.listen.request_port
        listening = await served.start('127.0.0.1', port)
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        writer.write(b'GET /plain/a HTTP/1.1\r\nHost: a\r\n\r\n')
        yield served, listening, reader
        writer.close()
        await listening.close()  # type: ignore[no-untyped-call]


async def test_server_is_busy_until_its_answer_is_sent() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(scripted_server.answer_bytes(head, LONG_BODY))

    async with _serve(script, whole_answer_bytes=len(LONG_BODY)) as served:
        server, _, reader = served
        await reader.readuntil(b'\r\n\r\n')
        deadline = clock.later(boot_clock.BootClock().now(), 10_000)
        waiting = asyncio.create_task(server.wait_until_idle(deadline))
        done, _ = await asyncio.wait([waiting], timeout=0.3)
        assert not done
        assert await reader.readexactly(len(LONG_BODY)) == LONG_BODY
        await asyncio.wait_for(waiting, 3)


async def test_long_request_is_not_ended_by_the_http_library(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reached = asyncio.Event()
    released = asyncio.Event()

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        reached.set()
        await released.wait()
        writer.write(scripted_server.answer_bytes(head))

    async with _serve(script) as served:
        _, listening, reader = served
        await reached.wait()
        later = time.monotonic() + 600
        monkeypatch.setattr(http_protocol, 'current_time', lambda: later)
        for connection in listening.connections:
            connection.check_timeouts()
        await asyncio.sleep(0.1)
        monkeypatch.undo()
        released.set()
        assert b'200 OK' in await reader.readline()


async def test_answer_in_the_send_buffer_keeps_the_server_busy() -> None:
    body = LONG_BODY[:1_000_000]

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(scripted_server.answer_bytes(head, body))

    async with _serve(script, whole_answer_bytes=len(body)) as served:
        server, _, reader = served
        await reader.readuntil(b'\r\n\r\n')
        await asyncio.sleep(0.3)
        assert not server.is_idle
        assert await reader.readexactly(len(body)) == body
        deadline = clock.later(boot_clock.BootClock().now(), 3_000)
        await server.wait_until_idle(deadline)
        assert server.is_idle


@pytest.mark.parametrize('pause_s', [0.2, 6], ids=['short', 'long'])
async def test_request_behind_a_close_does_not_cut_the_answer(
    pause_s: float,
) -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(scripted_server.answer_bytes(head, LONG_BODY))

    request = b'GET /plain/a HTTP/1.1\r\nHost: a\r\n'
    async with _request_path(script, whole_answer_bytes=len(LONG_BODY)) as path:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ('127.0.0.1', yarl.URL(path[0]).port))
        await loop.sock_sendall(caller, request + b'Connection: close\r\n\r\n')
        received = await loop.sock_recv(caller, 65_536)
        await asyncio.sleep(pause_s)
        await loop.sock_sendall(caller, request + b'\r\n')
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 262_144)
        while part := await loop.sock_recv(caller, 65_536):
            received += part
        caller.close()
    assert received.endswith(LONG_BODY[-1_000:])
    assert len(received) > len(LONG_BODY)
