"""Check by random bytes what the HTTP client takes for an answer."""

import asyncio
import typing

import hypothesis
from hypothesis import strategies

from gateway_testing import fake_transport
from sycamoreferry_core import http_messages
from sycamoreferry_gateway import body_budget, http_client, received_bytes
from sycamoreferry_ports import boot_clock

REQUEST = http_client.encode_request('GET', '/a', (), b'')
# Pieces of answers that make the parser go on for long.
PIECES = strategies.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 204 No Content\r\n',
        b'HTTP/1.1 ',
        b'Content-Length: 5\r\n',
        b'Content-Length: 99999\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Transfer-Encoding: identity\r\n',
        b'Connection: close\r\n',
        b'Connection: upgrade\r\nUpgrade: h2\r\n',
        b'Keep-Alive: timeout=\xb2\r\n',
        b'A: ',
        b'\r\n',
        b'5\r\nabcde\r\n',
        b'5;',
        b'0\r\n',
        b'a' * 10_000,
        b'A: b\r\n' * 2_000,
        b'1\r\na\r\n' * 2_000,
        b'\r\n' * 5_000,
    ],
)
HEADS = strategies.builds(
    lambda status, rest: b'HTTP/1.1 %03d OK\r\n' % status + rest,
    strategies.integers(0, 999),
    strategies.sampled_from(
        [
            b'',
            b'A: ',
            b'\r\n',
            b'Content-Length: 0\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\n',
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        ],
    ),
)
# A start, some pieces many times, and an end.
RANDOM_ANSWERS = strategies.builds(
    lambda start, pieces, count, end: [*start, *(pieces * count), *end],
    strategies.lists(HEADS | PIECES, max_size=2),
    strategies.lists(PIECES | strategies.binary(max_size=20), max_size=4),
    strategies.integers(1, 30),
    strategies.lists(PIECES, max_size=2),
)
BODIES = strategies.binary(max_size=200)


async def _receive(
    parts: typing.Iterable[bytes],
) -> tuple[http_client.Connection, http_client.ExchangeResult | None]:
    """Play parts and the end of a connection; return the outcome."""
    connection = http_client.Connection(
        boot_clock.BootClock(), body_budget.BodyBudget()
    )
    transport = fake_transport.FakeTransport()
    connection.connection_made(transport)
    pending = asyncio.ensure_future(connection.exchange(REQUEST, None))
    await asyncio.sleep(0)
    for part in parts:
        if transport.is_closing():
            break
        connection.data_received(part)
        _check_kept(connection)
    if not transport.is_closing():
        connection.eof_received()
    connection.connection_lost(None)
    return connection, await pending


def _check_kept(connection: http_client.Connection) -> None:
    reader = connection._reader
    head = sum(len(name) + len(text) for name, text in reader.headers)
    assert head <= 2 * received_bytes.MAX_FRAMING_BYTES
    assert len(reader.body) <= received_bytes.MAX_BODY_BYTES


def _split(content: bytes, cuts: list[int]) -> list[bytes]:
    edges = sorted({0, len(content), *(cut % len(content) for cut in cuts)})
    return [
        content[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


def _encode(body: bytes, chunk_bytes: int) -> bytes:
    """Encode an answer in chunks, or with a length if chunk_bytes is 0."""
    head = b'HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n'
    if not chunk_bytes:
        return head + b'Content-Length: %d\r\n\r\n' % len(body) + body
    starts = range(0, len(body), chunk_bytes)
    pieces = [body[start : start + chunk_bytes] for start in starts]
    chunks = b''.join(b'%x\r\n%b\r\n' % (len(piece), piece) for piece in pieces)
    end = b'0\r\nTrailer: a\r\n\r\n'
    return head + b'Transfer-Encoding: chunked\r\n\r\n' + chunks + end


CUTS = strategies.lists(strategies.integers(0, 1_000), max_size=8)


@hypothesis.given(BODIES, strategies.integers(0, 20), CUTS)
def test_whole_answer_is_taken_however_it_is_split(
    body: bytes, chunk_bytes: int, cuts: list[int]
) -> None:
    parts = _split(_encode(body, chunk_bytes), cuts)
    _, outcome = asyncio.run(_receive(parts))
    assert isinstance(outcome, http_messages.HttpResponse)
    assert outcome.body == body


@hypothesis.given(
    BODIES, strategies.integers(0, 20), CUTS, strategies.integers(0, 1_000)
)
def test_cut_answer_is_never_taken_for_a_whole_one(
    body: bytes, chunk_bytes: int, cuts: list[int], end: int
) -> None:
    encoded = _encode(body, chunk_bytes)
    cut = encoded[: end % len(encoded)]
    parts = _split(cut, cuts) if cut else []
    _, outcome = asyncio.run(_receive(parts))
    assert isinstance(outcome, http_client.FailedExchange)


@hypothesis.settings(max_examples=300)
@hypothesis.given(RANDOM_ANSWERS)
def test_random_bytes_keep_the_reader_bounded(parts: list[bytes]) -> None:
    connection, outcome = asyncio.run(_receive(part for part in parts if part))
    assert outcome is not None
    assert not connection.is_open
    if isinstance(outcome, http_messages.HttpResponse):
        assert 200 <= outcome.status <= 599
    assert not connection._reader.body
    assert not connection._reader.headers
