"""Check records of other writers that decode, or raise, in unexpected ways.

One entry of another writer stopped the heartbeats of all instances, and an
instance that was told to stop ended without answering the requests in flight.
"""

import asyncio
import ipaddress
import json
import os
import pathlib
import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from sycamoreferry_adapter import (
    key_orders,
    operator_config,
    request_headers,
    server_entries,
    store_calls,
    units,
)
from sycamoreferry_core import clock, http_messages, ids
from sycamoreferry_core.fleet import (
    deployment,
    store_records,
)
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import (
    assignment,
    claim_records,
    event_log,
    http_client,
    instance_records,
    leaving_reports,
    peer_messages,
    peer_socket,
    relay_messages,
    store_client,
    view,
)
from sycamoreferry_ports import boot_clock

DEPTH = 100_000
KEY = 7
SERVER = ids.ServerId('s')
MAX_LINE_BYTES = 40_000
GOOD: dict[str, typing.Any] = {
    'Service': 'keys',
    'Address': '127.0.0.1:80',
    'Zone': 'here',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupLeft': '0ms',
    'Seq': 1,
    'born': 1,
}


def _entry(**fields: object) -> bytes:
    return json.dumps({**GOOD, **fields}).encode()


def _with_raw(field: str, raw: bytes) -> bytes:
    """Return an entry with a field that the JSON library can't write."""
    return b'%s, "%s": %s}' % (_entry()[:-1], field.encode(), raw)


ODD_ENTRIES = {
    'nested': _with_raw('x', b'[' * DEPTH + b']' * DEPTH),
    'nested in a known field': _with_raw('Zone', b'{"a":' * DEPTH),
    'born above 64 bits': _entry(born=10**20),
    'born of 5,000 digits': _with_raw('born', b'9' * 5_000),
    'born after the year 9999': _entry(born=2**53),
    'negative born': _entry(born=-1),
    'sequence above 64 bits': _entry(Seq=10**30),
    'negative sequence': _entry(Seq=-1),
    'slots above 64 bits': _entry(Slots=10**30),
    'many slots': _entry(Slots=2**40),
    'port out of range': _entry(Address='127.0.0.1:65536'),
    'port that a socket cuts to 80': _entry(Address='127.0.0.1:65616'),
    'port of 5,000 digits': _entry(Address='127.0.0.1:' + '9' * 5_000),
    'port 0': _entry(Address='127.0.0.1:0'),
    'host that is a name': _entry(Address='localhost:80'),
    'host that is no name': _entry(Address=f'{"a" * 300}:80'),
    'host with a line break': _entry(Address='127.0.0.1\r\nX: y:80'),
    'host with a zero byte': _entry(Address='127.0.0.1\0:80'),
    'unspecified host': _entry(Address='0.0.0.0:80'),
    'multicast host': _entry(Address='224.0.0.1:80'),
    'warm-up of many digits': _entry(WarmupLeft=f'{"9" * 300}ms'),
    'warm-up with an exponent': _entry(WarmupLeft='1e300ms'),
    'negative warm-up': _entry(WarmupLeft='-1ms'),
    'warm-up of centuries': _entry(WarmupLeft='9999999999999s'),
    'long zone': _entry(Zone='z' * 10_000),
    'long service': _entry(Service='v' * 10_000),
    'lone surrogate': _with_raw('Zone', b'"\x5cud800x"'),
    'no UTF-8': _with_raw('Zone', b'"\xff\xfe"'),
    'no bytes': b'',
}
odd_entries = pytest.mark.parametrize(
    'content', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys()
)


@odd_entries
def test_odd_entry_is_malformed(content: bytes) -> None:
    with pytest.raises(units.FormatError) as raised:
        server_entries.decode_entry('s', content)
    assert len(str(raised.value)) < 500


@pytest.mark.parametrize(
    'name', ['', 'a b', 'a\r\nb', 'é', '\ufffd', 'a' * 300]
)
def test_server_id_that_no_header_holds_is_malformed(name: str) -> None:
    with pytest.raises(units.FormatError):
        server_entries.decode_entry(name, _entry())


NUMBERS = strategies.integers(-(2**70), 2**70) | strategies.sampled_from(
    [2**53, 2**63 - 1, 2**63, 2**64 - 1, 2**64, 10**20]
)
TEXTS = strategies.text(max_size=20) | strategies.from_regex(
    r'[0-9.e+-]{0,30}(ms|s)?', fullmatch=True
)


@hypothesis.given(
    fields=strategies.fixed_dictionaries(
        {},
        optional={
            'Seq': NUMBERS,
            'born': NUMBERS,
            'Slots': NUMBERS,
            'Zone': TEXTS,
            'Service': TEXTS,
            'WarmupLeft': TEXTS,
            'Address': TEXTS
            | NUMBERS.map(lambda port: f'127.0.0.1:{port}')
            | TEXTS.map(lambda host: f'{host}:80'),
        },
    )
)
def test_accepted_entry_can_be_sent_on_connected_to_and_logged(
    fields: dict[str, typing.Any],
) -> None:
    # Guards against a field that a decoder takes and a later use does not.
    try:
        entry = server_entries.decode_entry('s', _entry(**fields))
    except units.FormatError:
        return
    assert ipaddress.IPv4Address(entry.host)
    assert 0 < entry.port < 65_536
    life = entry.incarnation
    row = owners.Ownership(
        owners.KeyRange(owners.Key(0), owners.Key(9)), life, ids.Fence(1)
    )
    written = assignment.Assignment(
        ids.Term(1),
        ids.InstanceId('i'),
        'w',
        {entry.service: owners.OwnerTable([row])},
    )
    content = assignment.encode_assignment(written)
    assert assignment.decode_assignment(content).table(entry.service).rows
    sent = _heartbeat(leaving=[peer_messages.LeavingRow('s', life.born)])
    peer_messages.decode(peer_messages.encode(sent))
    http_client.encode_call(
        key_orders.build_grant(row, 1), f'{entry.host}:{entry.port}'
    )
    assert clock.later(clock.Millis(0), entry.warmup_ms + entry.slots) < 2**53
    assert msgspec.json.encode([entry.data_centre, entry.sequence])


def _heartbeat(**fields: typing.Any) -> peer_messages.Heartbeat:
    stated: dict[str, typing.Any] = {
        'instance': 'i',
        'incarnation': 2**62,
        'is_leaving': False,
        'store_age_ms': 0,
        'has_authority': False,
        'counting_weight': 1,
        'given_up_term': 0,
        'leases_ms': 0,
        'ends': [0, 0, 0, 0],
        'loads': None,
        'crashes': [],
        **fields,
    }
    return peer_messages.Heartbeat(**stated)


NESTED = b'\x91' * DEPTH


@pytest.mark.parametrize(
    ('decode', 'content'),
    [
        (instance_records.decode_address, b'\x93\xa1a\x01' + NESTED),
        (assignment.decode_assignment, b'\x95\x01\xa1a\xa1b\x80' + NESTED),
        (peer_messages.decode, b'\x93\xa6demand\x90' + NESTED),
        (
            relay_messages.decode_answer,
            b'\x97\xccd\x90\xc4\0\0\xa0\x90' + NESTED,
        ),
    ],
    ids=['instance', 'assignment', 'datagram', 'relayed answer'],
)
def test_content_that_is_nested_too_deeply_is_malformed(
    decode: typing.Callable[[bytes], object], content: bytes
) -> None:
    with pytest.raises(msgspec.MsgspecError):
        decode(content)


@pytest.mark.parametrize(
    ('host', 'port'),
    [
        ('127.0.0.1', 65_536),
        ('127.0.0.1', 0),
        ('127.0.0.1', 2**64 - 1),
        ('', 80),
        ('nowhere', 80),
        ('0.0.0.0', 80),
        ('127.0.0.1\0', 80),
    ],
)
def test_odd_address_of_an_instance_is_malformed(host: str, port: int) -> None:
    with pytest.raises(msgspec.MsgspecError):
        instance_records.decode_address(
            instance_records.encode_address(host, port)
        )


ROW = [0, 9, 's', 1, 3, '']


@pytest.mark.parametrize(
    ('term', 'rows'),
    [
        (2**64 - 1, [ROW]),
        (-1, [ROW]),
        (1, [[9, 0, 's', 1, 3, '']]),
        (1, [[-1, 9, 's', 1, 3, '']]),
        (1, [[0, 65_536, 's', 1, 3, '']]),
        (1, [[0, 9, 's', 1, 2**64 - 1, '']]),
        (1, [ROW, [9, 12, 't', 1, 3, '']]),
        (1, [ROW, ROW]),
    ],
)
def test_odd_assignment_is_malformed(
    term: int, rows: list[list[typing.Any]]
) -> None:
    content = msgspec.msgpack.encode([term, 'i', 'w', {'v': rows}])
    with pytest.raises(msgspec.MsgspecError):
        assignment.decode_assignment(content)


@pytest.mark.parametrize(
    ('path', 'odd'),
    [
        (('Version',), f'r{"9" * 5_000}'),
        (('Version',), f'r{10**20}'),
        (('Limits', 'MaxBodyBytes'), 10**20),
        (('Limits', 'IdleTimeout'), '1e300s'),
        (('VirtualHosts', 0, 'Paths', 0, 'Timeout'), f'{"9" * 400}s'),
        (('VirtualHosts', 0, 'Paths', 0, 'Priority'), 10**20),
        (('VirtualHosts', 0, 'Paths', 0, 'MaxAttempts'), 10**30),
        (('Services', 0, 'MaxConns'), 10**30),
    ],
)
def test_odd_configuration_is_malformed(
    encode_configuration: typing.Any, path: tuple[str | int, ...], odd: object
) -> None:
    document = json.loads(encode_configuration(3))
    place = document
    for step in path[:-1]:
        place = place[step]
    place[path[-1]] = odd
    with pytest.raises(units.FormatError):
        operator_config.decode_config(json.dumps(document).encode())


def test_nested_configuration_is_malformed(
    encode_configuration: typing.Any,
) -> None:
    content = encode_configuration(3)[:-1] + b', "x": ' + b'[' * DEPTH
    with pytest.raises(units.FormatError):
        operator_config.decode_config(content)


@pytest.mark.parametrize(
    'body',
    [
        b'{"items": [], "HasMore": false, "EndOffset": 1, "x": ' + b'[' * DEPTH,
        b'{"items": [], "HasMore": false, "EndOffset": 99999999999999999999}',
    ],
)
def test_odd_listing_of_the_store_is_a_failure(body: bytes) -> None:
    reply = http_messages.HttpResponse(200, (), body)
    found = store_calls.parse_newest_reply(reply)
    assert isinstance(found, store_records.StoreFailure)


def test_listed_value_that_can_not_be_decoded_spoils_no_other() -> None:
    body = json.dumps(
        {
            'items': [
                {'Key': 'a', 'Offset': 0, 'Value': 'é'},
                {'Key': 'b', 'Offset': 1, 'Value': 'Yg=='},
            ],
            'HasMore': False,
            'EndOffset': 2,
        }
    ).encode()
    page = store_calls.parse_newest_reply(
        http_messages.HttpResponse(200, (), body)
    )
    assert isinstance(page, store_records.RecordPage)
    # A record that is not listed would count as deleted.
    assert [record.content for record in page.records] == [b'', b'b']


async def test_listing_with_an_empty_key_is_not_read_for_ever(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    page = store_records.RecordPage(
        (
            store_records.StoredRecord(
                store_records.RecordKey(''), ids.Offset(0), b''
            ),
        ),
        ids.Offset(1),
        has_more=True,
    )
    client = store_client.StoreClient(
        deployment.Address('127.0.0.1', 9), boot_clock.BootClock(), _quiet()
    )

    async def list_page(*_: object) -> store_records.RecordPage:
        await asyncio.sleep(0)
        return page

    monkeypatch.setattr(client, '_list_page', list_page)
    async with asyncio.timeout(1):
        found = await client.newest(store_calls.SERVERS_TOPIC)
    assert isinstance(found, store_records.StoreFailure)


def test_long_handover_is_not_kept() -> None:
    # It is written with the owners of all keys, into one record.
    reply = http_messages.HttpResponse(200, (('handover', 'h' * 9_000),), b'')
    assert key_orders.parse_release_reply(reply) == ''


@pytest.mark.parametrize(
    'text', ['999999999999999999,1,2', '1,999999999999999999,2', '1,1,9999999']
)
def test_load_that_no_server_has_is_ignored(text: str) -> None:
    assert request_headers.parse_load(text) is None


class _Records:
    """Apply pages of records to a view."""

    def __init__(self, settings: deployment.Deployment) -> None:
        log = event_log.EventLog(
            boot_clock.BootClock(), os.open(os.devnull, os.O_WRONLY)
        )
        self.view = view.View(settings, clock.ManualClock(), log)
        self._offset = 0

    def apply(
        self,
        topic: store_records.TopicName,
        rows: list[tuple[str, bytes | None]],
    ) -> None:
        records = [
            store_records.StoredRecord(
                store_records.RecordKey(key),
                ids.Offset(self._offset + number),
                content,
            )
            for number, (key, content) in enumerate(rows)
        ]
        self._offset += len(rows)
        self.view.apply(
            topic,
            store_records.RecordPage(tuple(records), ids.Offset(self._offset)),
        )


@pytest.fixture
def records(sample_deployment: deployment.Deployment) -> _Records:
    return _Records(sample_deployment)


@odd_entries
@pytest.mark.parametrize('is_one_page', [True, False])
def test_records_behind_an_odd_entry_are_applied(
    records: _Records, content: bytes, *, is_one_page: bool
) -> None:
    records.apply(store_calls.SERVERS_TOPIC, [('gone', _entry())])
    rows: list[tuple[str, bytes | None]] = [
        ('before', _entry()),
        ('odd', content),
        ('after', _entry()),
        ('gone', None),
    ]
    if is_one_page:
        records.apply(store_calls.SERVERS_TOPIC, rows)
    else:
        records.apply(store_calls.SERVERS_TOPIC, rows[:2])
        records.apply(store_calls.SERVERS_TOPIC, rows[2:])
    records.view.remove_expired_servers()
    assert set(records.view.fleet.servers) == {'before', 'after'}


def _assigned(term: int) -> bytes:
    return assignment.encode_assignment(
        assignment.Assignment(ids.Term(term), ids.InstanceId('i'), 'w', {})
    )


@pytest.mark.parametrize('is_one_page', [True, False])
@pytest.mark.parametrize(
    'odd',
    [
        NESTED,
        b'\x92\xa1\xff\x01',
        msgspec.msgpack.encode([2**64 - 1, 'i', 'w', {'v': [ROW]}]),
        msgspec.msgpack.encode(['h', 2**64 - 1]),
        b'[' * DEPTH,
        b'{"Version": "r' + b'9' * 5_000 + b'"}',
    ],
    ids=['nested', 'text', 'number', 'port', 'nested JSON', 'version'],
)
def test_records_behind_an_odd_one_are_applied(
    records: _Records,
    encode_configuration: typing.Any,
    odd: bytes,
    *,
    is_one_page: bool,
) -> None:
    """Check the other topics; removals behind an odd record count as well."""
    address = instance_records.encode_address('127.0.0.1', 9)
    records.apply(store_calls.INSTANCES_TOPIC, [('gone', address)])
    topics: dict[store_records.TopicName, list[tuple[str, bytes | None]]] = {
        store_calls.CONFIG_TOPIC: [
            ('config', encode_configuration(1)),
            ('config', odd),
            ('config', encode_configuration(2)),
        ],
        store_calls.OWNERS_TOPIC: [
            ('assignment', _assigned(1)),
            ('assignment', odd),
            ('era', odd),
            ('assignment', _assigned(2)),
        ],
        store_calls.INSTANCES_TOPIC: [
            ('odd', odd),
            ('after', address),
            ('gone', None),
        ],
    }
    for topic, rows in topics.items():
        if is_one_page:
            records.apply(topic, rows)
        else:
            records.apply(topic, rows[:2])
            records.apply(topic, rows[2:])
    known = records.view
    assert known.config is not None
    assert known.config.version == 2
    assert known.assignment.term == 2
    assert set(known.peer_addresses) == {'after'}


def test_record_that_raises_stops_no_later_one(
    records: _Records, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check what no decoder foresees."""
    decode = server_entries.decode_entry

    def decode_or_raise(server: str, content: bytes) -> object:
        if server == 'odd':
            raise MemoryError
        return decode(server, content)

    monkeypatch.setattr(server_entries, 'decode_entry', decode_or_raise)
    records.apply(
        store_calls.SERVERS_TOPIC, [('odd', _entry()), ('after', _entry())]
    )
    assert set(records.view.fleet.servers) == {'after'}


@odd_entries
def test_known_server_stays_if_its_entry_turns_odd(
    records: _Records, content: bytes
) -> None:
    # It may hold keys, and writes its entry again.
    records.apply(store_calls.SERVERS_TOPIC, [('s', _entry())])
    records.apply(store_calls.SERVERS_TOPIC, [('s', content)])
    records.view.remove_expired_servers()
    assert records.view.fleet.servers[SERVER].is_ready
    assert len(records.view.servers_of(ids.ServiceName('keys'))) == 1


OTHER = _entry(Service='legacy', born=5, State='draining')


def test_entry_of_a_service_that_is_not_configured_names_no_server(
    records: _Records, encode_configuration: typing.Any
) -> None:
    records.apply(store_calls.SERVERS_TOPIC, [('early', OTHER)])
    records.apply(
        store_calls.CONFIG_TOPIC, [('config', encode_configuration(1))]
    )
    records.apply(store_calls.SERVERS_TOPIC, [('s', _entry()), ('late', OTHER)])
    # The entry of a known server is replaced.
    records.apply(store_calls.SERVERS_TOPIC, [('s', OTHER)])
    assert set(records.view.fleet.servers) == {'s'}
    assert records.view.fleet.servers[SERVER].is_ready
    assert not records.view.fleet.leaving


def test_entry_that_was_read_before_its_service_is_configured_is_used_then(
    records: _Records, encode_configuration: typing.Any
) -> None:
    records.apply(
        store_calls.CONFIG_TOPIC, [('config', encode_configuration(1))]
    )
    records.apply(
        store_calls.SERVERS_TOPIC,
        [('new', _entry(Service='more')), ('gone', _entry(Service='more'))],
    )
    records.apply(store_calls.SERVERS_TOPIC, [('gone', None)])
    records.view.take_changed_servers()
    document = json.loads(encode_configuration(2))
    document['Services'].append({'Name': 'more', 'MaxConns': 9})
    records.apply(
        store_calls.CONFIG_TOPIC, [('config', json.dumps(document).encode())]
    )
    assert set(records.view.fleet.servers) == {'new'}
    # Other instances may have read neither.
    assert [row.key for row in records.view.take_changed_servers()] == ['new']


@hypothesis.given(strategies.binary(max_size=80))
def test_any_datagram_is_handled_or_dropped(content: bytes) -> None:
    socket = peer_socket.PeerSocket(lambda *_: None, _quiet())
    for datagram in (content, b'p' + content, b'z' + content):
        socket.datagram_received(datagram, ('127.0.0.1', 9))


def test_message_that_raises_does_not_reach_the_event_loop() -> None:
    def handle(*_: object) -> None:
        raise OverflowError('too large')

    socket = peer_socket.PeerSocket(handle, _quiet())
    payload = peer_messages.encode(peer_messages.PermitReturned(1))
    socket.datagram_received(b'p' + payload, ('127.0.0.1', 9))


class _Transport:
    def __init__(self) -> None:
        self.sent: list[object] = []

    def sendto(self, datagram: bytes, receiver: tuple[str, int]) -> None:
        if not 0 < receiver[1] < 65_536:
            raise OverflowError('port must be 0-65535')
        self.sent.append(receiver)


def test_receiver_that_can_not_be_sent_to_stops_no_later_one() -> None:
    socket = peer_socket.PeerSocket(lambda *_: None, _quiet())
    transport = _Transport()
    socket.connection_made(typing.cast(asyncio.BaseTransport, transport))
    receivers = [('127.0.0.1', 70_000), ('127.0.0.1', 9)]
    socket.send_all(peer_messages.PermitReturned(1), receivers)
    assert transport.sent == receivers[1:]


@pytest.mark.parametrize(
    'field',
    ['ends', 'leases_ms', 'store_age_ms', 'sent_at', 'given_up_term', 'era'],
)
def test_number_that_is_too_large_for_sums_makes_a_datagram_malformed(
    field: str,
) -> None:
    odd = 2**64 - 1
    sent = _heartbeat(**{field: [odd] if field == 'ends' else odd})
    with pytest.raises(msgspec.MsgspecError):
        peer_messages.decode(peer_messages.encode(sent))


@pytest.mark.parametrize('odd', [float('nan'), float('inf'), -1.0])
def test_odd_duration_makes_a_datagram_malformed(odd: float) -> None:
    # Sums of durations would stay odd for good.
    sent = _heartbeat(loads=[peer_messages.LoadRow('s', 1, 1, odd, 1)])
    with pytest.raises(msgspec.MsgspecError):
        peer_messages.decode(peer_messages.encode(sent))


def test_leaving_server_that_no_entry_can_name_is_ignored(
    records: _Records,
) -> None:
    # An earlier version passes on what another writer's entry says.
    records.apply(store_calls.SERVERS_TOPIC, [('s', _entry())])
    rows = [peer_messages.LeavingRow('s', 2**63)]
    leaving_reports.merge_rows(records.view, rows, ids.InstanceId('old'))
    assert records.view.fleet.servers[SERVER].is_ready


def _quiet() -> event_log.EventLog:
    return event_log.EventLog(
        boot_clock.BootClock(), os.open(os.devnull, os.O_WRONLY)
    )


FIELDS = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.integers()
    | strategies.text(strategies.characters(), max_size=30)
    | strategies.just('x' * 100_000)
    | strategies.just(30_000).map(lambda digits: 10**digits)
    | strategies.binary(max_size=9),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=20,
)


@hypothesis.given(field=FIELDS)
@hypothesis.settings(
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture]
)
def test_any_field_makes_a_log_line_of_bounded_length(
    tmp_path: pathlib.Path, field: typing.Any
) -> None:
    path = tmp_path / 'odd.log'
    path.unlink(missing_ok=True)
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    log = event_log.EventLog(boot_clock.BootClock(), descriptor)
    log.write('part', 'event', odd=field, rows=[field] * 1_000)
    log.close()
    os.close(descriptor)
    line = path.read_bytes()
    assert len(line) < MAX_LINE_BYTES
    assert json.loads(line)['event'] == 'event'


def test_long_field_is_cut_in_a_log_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'long.log'
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    log = event_log.EventLog(boot_clock.BootClock(), descriptor)
    long = 'x' * 1_000_000
    log.write('part', 'event', text=long, rows=[long] * 1_000)
    log.close()
    os.close(descriptor)
    assert len(path.read_bytes()) < MAX_LINE_BYTES


def test_odd_era_of_a_claim_counts_as_none() -> None:
    for content in (NESTED, msgspec.msgpack.encode(2**64 - 1), b'\xc1'):
        record = store_records.StoredRecord(
            claim_records.ERA_KEY, ids.Offset(0), content
        )
        assert claim_records.decode_era(record) == store_records.NO_ERA


@pytest.mark.parametrize(
    'name',
    [
        'nested',
        'born above 64 bits',
        'sequence above 64 bits',
        'port out of range',
        'warm-up with an exponent',
        'port of 5,000 digits',
        'service that is not configured',
    ],
)
async def test_odd_entry_stops_neither_heartbeats_nor_a_planned_stop(
    cluster: typing.Any, encode_configuration: typing.Any, name: str
) -> None:
    """Check that callers get their answers from an instance that stops."""
    odd = {
        **ODD_ENTRIES,
        'service that is not configured': _entry(
            Service='legacy', State='draining', born=10**20
        ),
    }[name]
    await cluster.start(servers=1, instances=2)
    await cluster.wait_until(cluster.is_covered)
    first, second = cluster.instances
    await cluster.wait_until(lambda: len(second._view.peers.alive(_now())) == 1)
    cluster.store.put('keyed.servers', 'odd', odd)
    cluster.store.put(
        'keyed.servers', 'odd too', odd.replace(b'"ready"', b'"draining"')
    )
    cluster.store.put('keyed.op', 'config', encode_configuration(2))
    await asyncio.sleep(1.5)
    for one in (first, second):
        assert one._view.config.version == 2
        assert len(one._view.peers.alive(_now())) == 1
        assert set(one._view.fleet.servers) == {'s0'}
    server = cluster.servers[0]
    server.processing_time_s = 0.6
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    call = asyncio.create_task(
        pool.exchange(
            first._deployment.request_address,
            cluster.encode_request('r', KEY),
            3_000,
        )
    )
    await cluster.wait_until(lambda: bool(server.running))
    first.request_stop(asyncio.get_running_loop())
    reply = await call
    assert isinstance(reply, http_messages.HttpResponse)
    assert reply.status == 200
    stopped = cluster._tasks[0]
    await asyncio.wait_for(stopped, 5)


async def test_heartbeat_that_can_not_be_encoded_is_sent_without_reports(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Check what happens if a number gets past all bounds."""
    await cluster.start(servers=1, instances=2)
    await cluster.wait_until(cluster.is_covered)
    first, second = cluster.instances
    row = peer_messages.LeavingRow('s', 10**30)
    builder = first._exchange._heartbeats
    build = builder.build
    monkeypatch.setattr(
        builder,
        'build',
        lambda loads, *, is_leaving: msgspec.structs.replace(
            build(loads, is_leaving=is_leaving), leaving=[row]
        ),
    )
    await asyncio.sleep(1.5)
    assert len(second._view.peers.alive(_now())) == 1


async def test_stop_is_graceful_if_its_heartbeats_raise(
    cluster: typing.Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    await cluster.start(servers=1, instances=1)
    await cluster.wait_until(cluster.is_covered)
    only = cluster.instances[0]
    server = cluster.servers[0]
    server.processing_time_s = 0.4
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    call = asyncio.create_task(
        pool.exchange(
            only._deployment.request_address,
            cluster.encode_request('r', KEY),
            3_000,
        )
    )
    await cluster.wait_until(lambda: bool(server.running))

    def fail(*_: object, **_named: object) -> None:
        raise OverflowError('too large')

    monkeypatch.setattr(only._exchange, 'send_heartbeat', fail)
    monkeypatch.setattr(only._coordinator, 'resign', fail)
    only.request_stop(asyncio.get_running_loop())
    reply = await call
    assert isinstance(reply, http_messages.HttpResponse)
    assert reply.status == 200
    await asyncio.wait_for(cluster._tasks[0], 5)


@pytest.mark.parametrize('name', ['nested', 'born above 64 bits', 'port 0'])
async def test_keys_stay_with_a_server_whose_entry_turns_odd(
    cluster: typing.Any, name: str
) -> None:
    await cluster.start(servers=2, instances=2)
    await cluster.wait_until(cluster.is_covered)
    (owner,) = cluster.owners(KEY)
    cluster.store.put('keyed.servers', owner, ODD_ENTRIES[name])
    await asyncio.sleep(1.5)
    assert cluster.owners(KEY) == [owner]
    pool = http_client.ConnectionPool(boot_clock.BootClock())
    for number, one in enumerate(cluster.instances):
        reply = await pool.exchange(
            one._deployment.request_address,
            cluster.encode_request(f'r{number}', KEY),
            3_000,
        )
        assert isinstance(reply, http_messages.HttpResponse)
        assert reply.status == 200
    assert not cluster.store.low_fences


async def test_no_key_has_two_owners_after_an_odd_assignment(
    cluster: typing.Any,
) -> None:
    """Check that an instance that can't read the owners waits for leases."""
    await cluster.start(servers=3, instances=0)
    late = cluster.servers[0]
    cluster.store.put('keyed.servers', late.name, b'')
    cluster.add_instance('i0')
    await cluster.wait_until(cluster.is_covered)
    # With one more server, keys that nobody owns are divided differently.
    late.register()
    cluster.store.put('keyed.ferry-owners', 'assignment', NESTED)
    await cluster.kill(0)
    restarted = cluster.restart(0)
    keys = range(0, 65_536, 999)
    most = 0
    async with asyncio.timeout(20):
        while not (
            restarted._coordinator.is_coordinating and cluster.is_covered()
        ):
            most = max(most, *(len(cluster.owners(key)) for key in keys))
            await asyncio.sleep(0.02)
    assert most == 1
    assert not cluster.store.low_fences


def _now() -> clock.Millis:
    return boot_clock.BootClock().now()
