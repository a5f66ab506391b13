import asyncio
import dataclasses

import pytest

from sycamoreferry_core import ids, outcomes
from sycamoreferry_ports import headers, http_forward, wire
from sycamoreferry_standins import scripted_server, web


def _request(
    number: int = 1,
    method: str = 'GET',
    timeout_ms: int = 2000,
    target: str = '/a',
) -> http_forward.ForwardedRequest:
    request_id = ids.RequestId(f'r{number}')
    return http_forward.ForwardedRequest(
        method,
        target,
        {headers.REQUEST_ID: request_id},
        b'',
        timeout_ms,
        timeout_ms,
        request_id,
    )


async def _answer(
    head: scripted_server.Head,
    writer: asyncio.StreamWriter,
) -> None:
    writer.write(scripted_server.answer_bytes(head))


@pytest.mark.parametrize('cancelled', [False, True])
async def test_late_answer_closes_its_connection(cancelled: bool) -> None:
    abandoned = asyncio.Event()
    sent_late = asyncio.Event()
    third_arrived = asyncio.Event()

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.request_id == 'r2':
            third_arrived.set()
            await abandoned.wait()
        body = head.request_id.encode()
        writer.write(scripted_server.answer_bytes(head, body))
        if head.request_id == 'r2':
            sent_late.set()

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        await forwarder.forward(_request(1), server.listed)
        # The first answer echoed the request id, so the second connection is
        # pooled.
        await forwarder.forward(_request(10), server.listed)
        pending = asyncio.ensure_future(
            forwarder.forward(_request(2, timeout_ms=100), server.listed),
        )
        if cancelled:
            await third_arrived.wait()
            pending.cancel()
            with pytest.raises(asyncio.CancelledError):
                await pending
        else:
            assert await pending == http_forward.TimedOut()
        abandoned.set()
        await sent_late.wait()
        after = await forwarder.forward(_request(3), server.listed)
        assert isinstance(after, http_forward.Received)
        assert after.body == b'r3'
        used = [head.connection for head in server.heads]
        assert used[2] not in used[3:]


async def test_connection_is_reused_once_server_echoes_the_request_id() -> None:
    async with (
        scripted_server.ScriptedServer(_answer) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        for number in range(4):
            await forwarder.forward(_request(number), server.listed)
        assert [head.connection for head in server.heads] == [1, 2, 2, 2]


async def test_repeated_request_gets_a_connection_of_its_own() -> None:
    # A late second rejection was taken for the answer to the second send.
    rejection = (
        f'HTTP/1.1 503 S\r\n{headers.REQUEST_ID}: r1\r\n'
        f'{headers.NOT_RUN}: shed\r\nContent-Length: 0\r\n\r\n'
    ).encode()

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_kept_connection = head.connection == 2
        if head.request_id == 'r1' and is_kept_connection:
            writer.write(rejection)
        else:
            writer.write(scripted_server.answer_bytes(head))

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        await forwarder.forward(_request(8), server.listed)
        await forwarder.forward(_request(9), server.listed)
        first = await forwarder.forward(_request(1), server.listed)
        repeated = dataclasses.replace(_request(1), is_repeated=True)
        second = await forwarder.forward(repeated, server.listed)
        assert isinstance(first, http_forward.Received)
        assert isinstance(second, http_forward.Received)
        assert (first.status, second.status) == (503, 200)
        assert [head.connection for head in server.heads] == [1, 2, 2, 3]


async def test_server_without_echo_gets_a_connection_for_each_request() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        stale = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale'
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright')
        writer.write(stale)

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        for number in range(3):
            outcome = await forwarder.forward(_request(number), server.listed)
            assert isinstance(outcome, http_forward.Received)
            assert outcome.body == b'right'
        assert server.connections == 3


async def test_server_that_stops_echoing_is_no_longer_pooled() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.request_id == 'r2':
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx')
        else:
            writer.write(scripted_server.answer_bytes(head))

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        echo_needed = []
        for number in range(6):
            outcome = await forwarder.forward(_request(number), server.listed)
            assert isinstance(outcome, http_forward.Received)
            echo_needed.append(outcome.needs_echo)
        assert echo_needed == [False, True, True, False, False, False]
        assert [head.connection for head in server.heads] == [1, 2, 2, 3, 4, 5]


INCOMPLETE_ANSWERS: list[tuple[str, bytes]] = [
    (
        'shorter than its length',
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc',
    ),
    (
        'chunks without an end',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
    ),
    ('no framing', b'HTTP/1.1 200 OK\r\n\r\nabc'),
    ('half a head', b'HTTP/1.1 200 OK\r\nContent-Le'),
    ('nothing', b''),
    ('no http', b'SSH-2.0-x\r\n\r\n'),
    (
        'two lengths',
        b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 3\r\n\r\nabc',
    ),
]


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize(
    'sent',
    [case[1] for case in INCOMPLETE_ANSWERS],
    ids=[case[0] for case in INCOMPLETE_ANSWERS],
)
async def test_broken_answer_is_reported_as_incomplete(
    sent: bytes,
    method: str,
) -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(sent)
        writer.close()

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        outcome = await forwarder.forward(
            _request(method=method),
            server.listed,
        )
        assert isinstance(outcome, http_forward.IncompleteAnswer), outcome


async def test_request_is_not_resent_after_a_lost_connection() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        if head.request_id == 'r3':
            writer.transport.abort()
        else:
            writer.write(scripted_server.answer_bytes(head))

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        for number in (1, 2):
            await forwarder.forward(_request(number), server.listed)
        lost = await forwarder.forward(_request(3), server.listed)
        assert isinstance(lost, http_forward.IncompleteAnswer)
        sent = [head.request_id for head in server.heads]
        assert sent == ['r1', 'r2', 'r3']


async def test_refused_connection_is_reported_as_not_sent() -> None:
    unreachable = wire.ListedServer(
        ids.ServerId('nobody'),
        ids.ServiceName('plain'),
        ids.DataCentre('north'),
        web.LOOPBACK,
        web.free_port(),
        'live',
    )
    async with http_forward.open_forwarder() as forwarder:
        outcome = await forwarder.forward(_request(), unreachable)
    assert isinstance(outcome, http_forward.NotSent)


async def test_target_reaches_the_server_unchanged_and_no_header_is_added() -> (
    None
):
    target = '/a%2Fb//%7Ec/%2E%2e/%E2%82%AC/..;x?q=a+b%20c&q=&%3D'
    async with (
        scripted_server.ScriptedServer(_answer) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        await forwarder.forward(_request(target=target), server.listed)
        head = server.heads[0]
    assert head.start_line == f'GET {target} HTTP/1.1'
    names = {name.lower() for name, _ in head.headers}
    assert names == {'host', 'connection', headers.REQUEST_ID.lower()}


async def test_cookies_of_answers_are_not_sent_with_later_requests() -> None:
    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        writer.write(
            scripted_server.answer_bytes(
                head,
                b'x',
                None,
                ('Set-Cookie: a=1; Path=/', 'Set-Cookie: b=2; Path=/'),
            ),
        )

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        for number in range(3):
            await forwarder.forward(_request(number), server.listed)
        assert not any(head.find('Cookie') for head in server.heads)


@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize('cut', [False, True])
async def test_long_answer_is_streamed(
    chunked: bool,
    cut: bool,
) -> None:
    body = bytes(range(256)) * 1000
    expected = None if cut else body
    parts = (body[:90_000],) if cut else (body[:90_000], body[90_000:])

    async def script(
        head: scripted_server.Head,
        writer: asyncio.StreamWriter,
    ) -> None:
        framing = f'Content-Length: {len(body)}'
        if chunked:
            framing = 'Transfer-Encoding: chunked'
        writer.write(f'HTTP/1.1 200 OK\r\n{framing}\r\n\r\n'.encode())
        for part in parts:
            writer.write(_chunk(part) if chunked else part)
        if chunked and not cut:
            writer.write(b'0\r\n\r\n')
        if cut:
            await writer.drain()
            writer.close()

    async with (
        scripted_server.ScriptedServer(script) as server,
        http_forward.open_forwarder(max_buffered_bytes=1000) as forwarder,
    ):
        outcome = await forwarder.forward(_request(), server.listed)
        assert isinstance(outcome, http_forward.Received)
        assert outcome.download is not None
        collected = await _collect(outcome.download)
        assert collected == expected


def _chunk(part: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(part), part)


async def _collect(download: http_forward.Download) -> bytes | None:
    parts = []
    try:
        async for part in download.chunks():
            parts.append(part)
    except outcomes.BodyTruncatedError:
        return None
    finally:
        download.close()
    return b''.join(parts)
