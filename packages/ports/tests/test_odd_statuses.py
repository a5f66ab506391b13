"""Check that an answer with a status that no proper server sends is none.

A caller got an answer with status 000 from a server in trouble.
"""

import asyncio

import aiohttp
import msgspec
import pytest

from sycamoreferry_core import actions, ids
from sycamoreferry_ports import (
    headers,
    http_forward,
    http_instance_list,
    http_log,
    http_orders,
    http_probe,
    log_port,
    wire,
)
from sycamoreferry_standins import scripted_server

TIMEOUT_MS = 1_000
ODD_STATUSES = ('000', '001', '099', '101', '600', '999', '00', '2000', '0200')
SENDER = http_orders.SenderIdentity(
    ids.ServiceName('keyed'), ids.InstanceId('i'), ids.DataCentre('north')
)
odd_statuses = pytest.mark.parametrize('status', ODD_STATUSES)


def _answer(status: str, body: bytes, request_id: str = 'r1') -> bytes:
    head = (
        f'HTTP/1.1 {status} Odd\r\nFerry-Request-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


class _Script:
    """Send one answer after another, whatever is asked."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)

    async def send(
        self, _head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(self._answers.pop(0))
        await writer.drain()


def _request(request_id: str = 'r1') -> http_forward.ForwardedRequest:
    return http_forward.ForwardedRequest(
        'GET',
        '/a',
        {headers.REQUEST_ID: request_id},
        b'',
        TIMEOUT_MS,
        TIMEOUT_MS,
        ids.RequestId(request_id),
    )


@odd_statuses
@pytest.mark.parametrize('max_bytes', [1, 1_000], ids=['streamed', 'buffered'])
async def test_caller_gets_no_answer_with_an_odd_status(
    status: str, max_bytes: int
) -> None:
    script = _Script(_answer(status, b'body'))
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        http_forward.open_forwarder(max_bytes) as forwarder,
    ):
        outcome = await forwarder.forward(_request(), server.listed)
    assert isinstance(outcome, http_forward.IncompleteAnswer)


@odd_statuses
async def test_good_answers_before_and_behind_an_odd_one_are_taken(
    status: str,
) -> None:
    script = _Script(
        _answer('200', b'first', 'r1'),
        _answer(status, b'odd', 'r2') + _answer('200', b'late', 'r2'),
        _answer('200', b'third', 'r3'),
    )
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        http_forward.open_forwarder() as forwarder,
    ):
        outcomes = [
            await forwarder.forward(_request(name), server.listed)
            for name in ('r1', 'r2', 'r3')
        ]
    bodies = [
        outcome.body if isinstance(outcome, http_forward.Received) else None
        for outcome in outcomes
    ]
    assert bodies == [b'first', None, b'third']


@odd_statuses
async def test_order_is_not_answered_with_an_odd_status(status: str) -> None:
    body = msgspec.json.encode(
        wire.OrderAnswer(accepted=True, term=ids.Term(1), stamp=1)
    )
    script = _Script(_answer(status, body))
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        http_orders.open_session() as session,
    ):
        answer = await http_orders.HttpOrderClient(session, SENDER).send(
            actions.Greet(ids.ServerId('s'), ids.Term(1), ids.OrderNumber(1)),
            server.listed,
            TIMEOUT_MS,
        )
    assert answer is None


@odd_statuses
async def test_log_and_list_are_not_read_with_an_odd_status(
    status: str,
) -> None:
    script = _Script(
        _answer(status, b'{"first_offset":0,"end_offset":0,"entries":[]}'),
        _answer(status, b'{"offset":1}'),
        _answer(status, b'{"servers":[]}'),
    )
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        aiohttp.ClientSession() as session,
    ):
        url = f'http://{server.listed.host}:{server.listed.port}'
        log = http_log.HttpLog(session, url, 'ferry')
        tail = await log.read(ids.Offset(0), 0)
        appended = await log.append(b'record')
        listed = await http_instance_list.HttpInstanceList(session, url).read()
    assert isinstance(tail, log_port.ReadFailed)
    assert isinstance(appended, log_port.AppendUnknown)
    assert listed is None


@pytest.mark.parametrize('status', ['000', '099', '600', '999'])
async def test_server_with_an_odd_status_has_not_ended(status: str) -> None:
    script = _Script(_answer(status, b'{}'))
    async with (
        scripted_server.ScriptedServer(script.send) as server,
        aiohttp.ClientSession() as session,
    ):
        probe = http_probe.HttpProbe(session)
        result = await probe.probe(server.listed)
    assert result is http_probe.ProbeResult.ANSWERED
