"""Check second copies of answers that come as the next request is sent.

A second rejection was taken for the answer to the next send of the same request
on the same connection, while the server ran that one. It ran twice, or its
caller was told that it had not run.
"""

import asyncio
import typing

import pytest

from gateway_testing import doubling_proxy
from sycamoreferry_core import http_messages, ids
from sycamoreferry_core.fleet import deployment, store_records
from sycamoreferry_gateway import (
    event_log,
    http_client,
    relay_messages,
    request_identity,
    store_client,
)
from sycamoreferry_ports import boot_clock

KEY = 7
NOT_RUN = ('Not-Executed', '1')
REJECTIONS: dict[str, tuple[int, tuple[tuple[str, str], ...]]] = {
    '503': (503, (NOT_RUN,)),
    '503 with Retry-After': (503, (NOT_RUN, ('Retry-After', '0.1'))),
    '429': (429, (NOT_RUN,)),
    '429 with Retry-After': (429, (NOT_RUN, ('Retry-After', '0.1'))),
    '421': (421, (NOT_RUN,)),
    '421 without a word': (421, ()),
}


@pytest.mark.parametrize('has_ids', [True, False], ids=['id', 'no id'])
@pytest.mark.parametrize('is_keyed', [True, False], ids=['keyed', 'any'])
@pytest.mark.parametrize(
    'rejection', REJECTIONS.values(), ids=REJECTIONS.keys()
)
async def test_late_rejection_is_no_answer_to_the_next_send(
    cluster: typing.Any,
    rejection: tuple[int, tuple[tuple[str, str], ...]],
    *,
    is_keyed: bool,
    has_ids: bool,
) -> None:
    """Check requests that a server rejects once and then runs."""
    calls = 6
    await cluster.start(
        servers=1, instances=0, kind='unsafe', is_keyed=is_keyed
    )
    server = cluster.servers[0]
    proxy = doubling_proxy.DoublingProxy(
        server.port,
        lambda request, answer: answer.status in {503, 429, 421},
        has_ids=has_ids,
    )
    await proxy.start()
    server.public_port = proxy.port
    server.processing_time_s = 0.1
    server.register()
    added = cluster.add_instance('i0')
    await cluster.wait_until(
        lambda: added.is_ready and (not is_keyed or cluster.is_covered())
    )
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    statuses = {}
    for number in range(calls):
        # The first request opens the connection that the others use.
        server.rejections = [rejection] * bool(number)
        name = f'r{number}'
        reply = await pool.exchange(
            added._deployment.request_address,
            cluster.encode_request(name, KEY, method='POST'),
            3_000,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        statuses[name] = reply.status
    await asyncio.sleep(0.3)
    proxy.stop()
    runs = [name for name, _ in server.ran]
    assert len(set(runs)) == len(runs), 'a request ran twice'
    refused = {name for name, status in statuses.items() if status == 503}
    assert not refused & set(runs), 'a request ran that was refused'
    # A request that any server may run goes back to the one that rejected it
    # only if that asked for a back-off.
    is_sent_again = is_keyed or rejection == REJECTIONS['503 with Retry-After']
    answered = calls if is_sent_again else 1
    assert list(statuses.values()).count(200) == answered


def _answer(status: int, request_id: str | None, body: bytes) -> bytes:
    named = f'Request-Id: {request_id}\r\n' if request_id else ''
    return (
        f'HTTP/1.1 {status} Status\r\n{named}Content-Length: {len(body)}'
        '\r\n\r\n'
    ).encode() + body


class _Server:
    """Answer the requests of each connection by the given answers in turn."""

    def __init__(self, answers: list[bytes]) -> None:
        self.connections = 0
        self._answers = answers

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        while await reader.read(10_000) and self._answers:
            writer.write(self._answers.pop(0))
        writer.close()


async def _exchange_all(
    server: _Server, names: list[str]
) -> list[http_client.ExchangeResult]:
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    address = deployment.Address(
        '127.0.0.1', listener.sockets[0].getsockname()[1]
    )
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    outcomes = []
    for name in names:
        payload = http_client.encode_request(
            'POST', '/a', (('Request-Id', name),), b''
        )
        identity = request_identity.RequestIdentity('request-id', name)
        outcomes.append(await pool.exchange(address, payload, 300, identity))
    listener.close()
    return outcomes


def _bodies(outcomes: list[http_client.ExchangeResult]) -> list[bytes | None]:
    return [
        one.body if isinstance(one, http_messages.HttpResponse) else None
        for one in outcomes
    ]


@pytest.mark.parametrize('status', [200, 404, 421, 429, 500, 503])
async def test_request_is_not_sent_twice_on_a_connection(status: int) -> None:
    server = _Server([_answer(status, 'a', b'1'), _answer(200, 'a', b'2')])
    assert _bodies(await _exchange_all(server, ['a', 'a'])) == [b'1', b'2']
    assert server.connections == 2


async def test_late_answer_from_before_the_last_request_is_recognised() -> None:
    """Check a copy that comes after requests between."""
    late = _answer(503, 'a', b'late')
    server = _Server(
        [
            _answer(503, 'a', b'1'),
            _answer(200, 'b', b'2'),
            late + _answer(200, 'c', b'3'),
            _answer(200, 'a', b'4'),
        ]
    )
    outcomes = await _exchange_all(server, ['a', 'b', 'c', 'a'])
    assert _bodies(outcomes) == [b'1', b'2', b'3', b'4']


@pytest.mark.parametrize('status', [200, 400, 429, 500, 503])
async def test_answer_without_id_is_used_on_a_new_connection_only(
    status: int,
) -> None:
    unnamed = _answer(status, None, b'unnamed')
    server = _Server(
        [
            _answer(200, 'a', b'1'),
            unnamed + _answer(200, 'b', b'2'),
            unnamed,
            _answer(200, 'd', b'4'),
        ]
    )
    outcomes = await _exchange_all(server, ['a', 'b', 'c', 'd'])
    assert _bodies(outcomes) == [b'1', b'2', b'unnamed', b'4']
    # After b the connection had a surplus answer, after c one without an ID.
    assert server.connections == 3


async def test_answer_to_a_relayed_request_names_its_id(
    cluster: typing.Any,
) -> None:
    await cluster.start(servers=1, instances=1)
    await cluster.wait_until(cluster.is_covered)
    settings = cluster.instances[0]._deployment
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    relayed = relay_messages.RelayedRequest(
        method='GET',
        target='/k/a',
        headers=[('Host', 'h'), ('Request-Id', 'r1'), ('Shard-Key', '7')],
        body=b'',
        caller='127.0.0.1',
        elapsed_ms=0,
        service='keys',
        earlier_runs=0,
        config_version=1,
    )
    payload = http_client.encode_request(
        'POST',
        relay_messages.RELAY_PATH,
        (('Host', 'i0'), ('Request-Id', 'relay 1')),
        relay_messages.encode(relayed),
    )
    reply = await pool.exchange(
        deployment.Address(settings.host, settings.peer_port), payload, 3_000
    )
    assert isinstance(reply, http_messages.HttpResponse)
    assert reply.header('request-id') == 'relay 1'
    assert relay_messages.decode_answer(reply.body).status == 200


async def test_append_confirmed_at_another_offset_is_not_taken_for_done(
    quiet_log: event_log.EventLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check a second reply of the store, to an earlier append."""
    client = store_client.StoreClient(
        deployment.Address('127.0.0.1', 9), boot_clock.BootClock(), quiet_log
    )

    async def call(*_: object) -> http_messages.HttpResponse:
        await asyncio.sleep(0)
        return http_messages.HttpResponse(200, (), b'{"Offset": 3}')

    monkeypatch.setattr(client, '_call', call)
    topic = store_records.TopicName('keyed.x')
    for at, is_done in ((3, True), (4, False)):
        appended = await client.append(topic, (), ids.Offset(at))
        assert isinstance(appended, store_records.Appended) is is_done
        if isinstance(appended, store_records.StoreFailure):
            assert not appended.has_no_effect


async def test_answer_that_names_two_requests_is_used_for_none() -> None:
    both = _answer(200, 'a', b'').replace(
        b'Request-Id: a', b'Request-Id: a\r\nRequest-Id: b'
    )
    server = _Server([both + _answer(200, 'b', b'2')])
    assert _bodies(await _exchange_all(server, ['b'])) == [b'2']


async def test_connection_is_given_up_before_it_keeps_many_ids() -> None:
    names = [f'r{number}' for number in range(300)]
    server = _Server([_answer(200, name, b'') for name in names])
    outcomes = await _exchange_all(server, names)
    assert None not in _bodies(outcomes)
    assert server.connections == 3
