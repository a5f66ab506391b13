"""Check instance lists with entries that another writer left.

One entry that could not be decoded, or nested too deeply, kept instances from
following the list or ended them.
"""

import json
import typing

import aiohttp
import pytest
from aiohttp import web

from sycamoreferry_core import admission_records, decoding, records
from sycamoreferry_ports import http_instance_list, http_log, log_port

DEPTH = 100_000
GOOD: dict[str, typing.Any] = {
    'server': 's',
    'service': 'keyed',
    'data_centre': 'north',
    'host': '127.0.0.1',
    'port': 80,
    'state': 'live',
}
BACKSLASH = bytes((92,))
NESTED = b'[' * DEPTH + b'"]"' + b']' * DEPTH

NESTED_FIELD = b'{"a": %s}' % NESTED


def _entry(**fields: object) -> bytes:
    return json.dumps({**GOOD, **fields}).encode()


ODD_ENTRIES: dict[str, bytes] = {
    'nested host': _entry().replace(b'"127.0.0.1"', NESTED),
    'nested objects': _entry().replace(
        b'80', b'{"a":' * DEPTH + b'1' + b'}' * DEPTH
    ),
    'port above 16 bits': _entry(port=65_616),
    'port above 64 bits': _entry(port=10**30),
    'port of 5,000 digits': _entry().replace(b'80', b'8' * 5_000),
    'port 0': _entry(port=0),
    'negative port': _entry(port=-1),
    'port with a fraction': _entry(port=80.5),
    'infinite port': _entry().replace(b'80', b'1e999'),
    'empty host': _entry(host=''),
    'host of one long label': _entry(host='h' * 64),
    'host with a path': _entry(host='127.0.0.1:9/x'),
    'host with a user': _entry(host='a@b'),
    'host with a line end': _entry(host='127.0.0.1\n'),
    'host of another script': _entry(host='\u00fc'),
    'long state': _entry(state='x' * 10_000),
    'service of another type': _entry(service=['keyed']),
    'bytes that are no text': _entry().replace(b'north', bytes((255,))),
    'no host': json.dumps({'server': 's', 'port': 80}).encode(),
    'null': b'null',
    'a list': b'[1, {"a": "]"}]',
    'surrogate': _entry().replace(b'"north"', b'"%sud800"' % BACKSLASH),
}


class _Platform:
    """Serve a body for each request."""

    def __init__(self) -> None:
        self.body = b''
        self.port = 0

    async def answer(self, _request: web.Request) -> web.Response:
        return web.Response(body=self.body, content_type='application/json')

    def list_servers(self, *entries: bytes) -> None:
        self.body = b'{"servers": [' + b','.join(entries) + b']}'


@pytest.fixture
async def platform() -> typing.AsyncIterator[_Platform]:
    served = _Platform()
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', served.answer)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    served.port = runner.addresses[0][1]
    yield served
    await runner.cleanup()


@pytest.fixture
async def session() -> typing.AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened


@pytest.fixture
def listed(
    platform: _Platform, session: aiohttp.ClientSession
) -> http_instance_list.HttpInstanceList:
    return http_instance_list.HttpInstanceList(
        session, f'http://127.0.0.1:{platform.port}'
    )


def _names(found: typing.Any) -> list[str]:
    return [entry.server for entry in found]


@pytest.mark.parametrize('odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
async def test_entries_beside_an_odd_one_hold(
    platform: _Platform,
    listed: http_instance_list.HttpInstanceList,
    odd: bytes,
) -> None:
    platform.list_servers(_entry(server='a'), odd, _entry(server='b'))
    assert _names(await listed.read()) == ['a', 'b']
    (reason,) = listed.unusable
    assert len(reason) < 1_000


@pytest.mark.parametrize('odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
async def test_known_server_stays_if_its_entry_turns_odd(
    platform: _Platform,
    listed: http_instance_list.HttpInstanceList,
    odd: bytes,
) -> None:
    platform.list_servers(_entry(), _entry(server='b'))
    await listed.read()
    platform.list_servers(odd, _entry(server='b'))
    expected = ['s', 'b'] if odd.startswith(b'{') else ['b']
    for _ in range(2):
        assert _names(await listed.read()) == expected
    platform.list_servers(_entry(server='b'))
    assert _names(await listed.read()) == ['b']
    assert not listed.unusable


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'null',
        NESTED,
        b'{"servers": 1}',
        b'{"servers": [%s' % _entry(),
        b'{"servers": [%s]' % _entry(),
        b'{"servers": [%s, {"server": "t"' % _entry(),
        b'{"other": {"servers": [%s]}}' % _entry(),
    ],
)
async def test_list_that_can_not_be_read_is_unavailable(
    platform: _Platform,
    listed: http_instance_list.HttpInstanceList,
    body: bytes,
) -> None:
    platform.body = body
    assert await listed.read() is None


async def test_nested_answer_of_the_log_is_a_failure(
    platform: _Platform, session: aiohttp.ClientSession
) -> None:
    platform.body = NESTED_FIELD
    log = http_log.HttpLog(session, f'http://127.0.0.1:{platform.port}', 's')
    assert isinstance(await log.read(0, 0), log_port.ReadFailed)  # type: ignore[arg-type]
    assert isinstance(await log.append(b'{}'), log_port.AppendUnknown)


def test_nested_record_is_malformed() -> None:
    with pytest.raises(records.BadRecordError):
        records.decode_record(NESTED_FIELD)
    assert admission_records.decode_record(NESTED_FIELD) is None


@pytest.mark.parametrize(
    'text',
    [
        b'',
        b'{"a": [1, "]]]", "%s"["], "b": {}}' % BACKSLASH,
        b'[' * 64 + b']' * 64,
    ],
)
def test_text_that_is_not_deep_stays_as_it_is(text: bytes) -> None:
    assert decoding.prune_json(text) == text


def test_deep_parts_become_null() -> None:
    deep = b'[' * 70 + b'"]"' + b']' * 70
    text = b'{"a": %s, "b": %s, "c": 1}' % (deep, deep)
    kept = b'[' * 63 + b'null' + b']' * 63
    assert decoding.prune_json(text) == (
        b'{"a": %s, "b": %s, "c": 1}' % (kept, kept)
    )
