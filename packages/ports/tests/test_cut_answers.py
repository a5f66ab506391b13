"""Check answers of servers that break off, at each byte.

A server that stops in the middle of the head must not make an answer without a
body, and one that stops in the body no complete answer.
"""

import asyncio
import socket
import struct

import pytest

from sycamoreferry_core import ids, outcomes
from sycamoreferry_ports import headers, http_forward
from sycamoreferry_standins import scripted_server

TIMEOUT_MS = 2_000
ID = b'Ferry-Request-Id: r1\r\n'
LENGTH = b'HTTP/1.1 200 OK\r\n' + ID + b'Content-Length: 5\r\n\r\nwhole'
CHUNKED = (
    b'HTTP/1.1 200 OK\r\n'
    + ID
    + b'Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n'
)
UNFRAMED = b'HTTP/1.1 200 OK\r\n' + ID + b'\r\nwhole'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
NO_CONTENT = b'HTTP/1.1 204 No Content\r\n' + ID + b'\r\n'
ANSWERS = {
    'length': LENGTH,
    'chunks': CHUNKED,
    'until close': UNFRAMED,
    'interim': INTERIM + LENGTH,
    'interim and chunks': INTERIM + CHUNKED,
    'no content': NO_CONTENT,
}
LINGER_ZERO = struct.pack('ii', 1, 0)


def _request(method: str) -> http_forward.ForwardedRequest:
    request_id = ids.RequestId('r1')
    return http_forward.ForwardedRequest(
        method,
        '/a',
        {headers.REQUEST_ID: request_id},
        b'',
        TIMEOUT_MS,
        TIMEOUT_MS,
        request_id,
    )


class _Breaking:
    """Send the first bytes of an answer, then end the connection."""

    def __init__(self, answer: bytes, *, resets: bool) -> None:
        self.answer = answer
        self._resets = resets

    async def send(
        self, head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self.answer)
        await writer.drain()
        if self._resets:
            raw = writer.get_extra_info('socket')
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        writer.close()


def _beginnings(answer: bytes) -> list[bytes]:
    """Return what may have come of an answer that is not complete."""
    return [answer[:size] for size in range(len(answer))]


async def _is_whole(outcome: http_forward.ForwardOutcome) -> bool:
    """Tell whether a caller gets a complete answer."""
    if not isinstance(outcome, http_forward.Received):
        return False
    if outcome.download is None:
        return True
    try:
        body = [chunk async for chunk in outcome.download.chunks()]
    except outcomes.BodyTruncatedError:
        return False
    finally:
        outcome.download.close()
    return bool(body)


@pytest.mark.parametrize('resets', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('max_bytes', [2, 1_000], ids=['streamed', 'buffered'])
@pytest.mark.parametrize('answer', ANSWERS.values(), ids=list(ANSWERS))
async def test_answer_that_breaks_off_at_any_byte_is_not_complete(
    answer: bytes, max_bytes: int, *, resets: bool
) -> None:
    script = _Breaking(b'', resets=resets)
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        http_forward.open_forwarder(max_bytes) as forwarder,
    ):
        for part in _beginnings(answer):
            script.answer = part
            outcome = await forwarder.forward(_request('POST'), server.listed)
            assert not await _is_whole(outcome), script.answer


@pytest.mark.parametrize('resets', [False, True], ids=['closed', 'reset'])
@pytest.mark.parametrize('answer', [LENGTH, INTERIM + LENGTH, CHUNKED])
async def test_head_that_breaks_off_is_no_answer_to_a_head_request(
    answer: bytes, *, resets: bool
) -> None:
    head = answer[: answer.rindex(b'\r\n\r\n', 0, len(answer) - 4) + 4]
    script = _Breaking(b'', resets=resets)
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        for part in _beginnings(head[:-1]):
            script.answer = part
            outcome = await forwarder.forward(_request('HEAD'), server.listed)
            assert not await _is_whole(outcome), script.answer
        script.answer = head
        if not resets:
            whole = await forwarder.forward(_request('HEAD'), server.listed)
            assert await _is_whole(whole)
