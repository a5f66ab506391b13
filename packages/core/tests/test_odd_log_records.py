"""Check records of the log, and states, that another writer left.

A number above 64 bits was taken into the state, which then could not be encoded
for a snapshot or for a peer; a state with missing parts raised what its reader
does not catch.
"""

import dataclasses
import json
import typing
import zlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from sycamoreferry_core import (
    admission_records,
    fold,
    ids,
    records,
    state,
    state_encoding,
)

DEPTH = 100_000
HUGE = 10**30
LONG = 'x' * 10_000
GOOD = records.InstanceJoined(
    record_id=ids.RecordId('good'),
    instance=ids.InstanceId('good'),
    data_centre=ids.DataCentre('north'),
    peer_host='127.0.0.1',
    peer_port=7_000,
    request_port=8_000,
)
CRASH = {'service': 's', 'server': 'a', 'at_ms': 5, 'digests': ['d']}
FIELDS: dict[str, dict[str, typing.Any]] = {
    'TermClaimed': {
        'service': 's',
        'term': 1,
        'follows': 0,
        'coordinator': 'i',
        'deputy': 'j',
    },
    'TermSettled': {'service': 's', 'term': 0},
    'HoldersReleased': {'service': 's', 'term': 0},
    'AssignmentRevised': {
        'service': 's',
        'term': 0,
        'shard_count': 4,
        'changes': [{'server': 'a', 'shards': [1]}],
        'cause': 'load',
        'decided_at': 5,
    },
    'DrainRequested': {'service': 's', 'server': 'a'},
    'ShardPinned': {'service': 's', 'shard': 1, 'server': 'a'},
    'StateSnapshot': {
        'snapshot': 's',
        'covers': 1,
        'part': 0,
        'parts': 2,
        'content': '',
    },
    'ProfilePublished': {'name': 'p', 'revises': 0, 'body': '{}'},
    'InstanceJoined': {
        'instance': 'i',
        'data_centre': 'd',
        'peer_host': '127.0.0.1',
        'peer_port': 1,
        'request_port': 1,
    },
    'InstanceLeft': {'instance': 'good'},
    'ServerCrashed': {'crash': CRASH},
    'SuspicionCleared': {'digest': 'd'},
}
ODD_NUMBERS: tuple[object, ...] = (
    HUGE,
    -HUGE,
    2**64,
    2**53 + 1,
    70_000,
    -1,
    1.5,
    '1',
    None,
)
ODD_TEXTS: tuple[object, ...] = (LONG, 5, None, [], '', '\n', 'a..b', 'a' * 64)


def _payload(kind: str, **fields: object) -> bytes:
    row = {'type': kind, 'record_id': 'odd', **FIELDS[kind], **fields}
    return json.dumps(row).encode()


def _odd_fields() -> typing.Iterator[tuple[str, str, object]]:
    for kind, fields in FIELDS.items():
        for name, usual in fields.items():
            if isinstance(usual, str):
                odd: tuple[object, ...] = ODD_TEXTS
            elif isinstance(usual, int):
                odd = ODD_NUMBERS
            else:
                odd = (None, 5, [HUGE], [{'server': 'a', 'shards': [HUGE]}])
            yield from ((kind, name, one) for one in odd)
    for number in ODD_NUMBERS:
        yield 'ServerCrashed', 'crash', {**CRASH, 'at_ms': number}


def _fold(*payloads: bytes) -> state.LogState:
    """Fold a good record before others and one behind them."""
    rejoined = msgspec.structs.replace(
        GOOD, record_id=ids.RecordId('behind'), instance=ids.InstanceId('last')
    )
    page = (
        records.encode_record(GOOD),
        *payloads,
        records.encode_record(rejoined),
    )
    return fold.fold_all(
        state.LogState(),
        (
            records.LoggedRecord(ids.Offset(offset), payload)
            for offset, payload in enumerate(page)
        ),
    )


def _assert_is_usable(folded: state.LogState) -> None:
    """Check that the record behind is applied and the state can be sent."""
    assert 'last' in folded.instances
    encoded = state_encoding.encode_state(folded)
    assert state_encoding.decode_state(encoded) == folded


@pytest.mark.parametrize(('kind', 'name', 'odd'), list(_odd_fields()))
def test_state_with_an_odd_record_can_be_sent(
    kind: str, name: str, odd: object
) -> None:
    _assert_is_usable(_fold(_payload(kind, **{name: odd})))


@pytest.mark.parametrize('kind', list(FIELDS))
def test_state_with_a_usual_record_can_be_sent(kind: str) -> None:
    folded = _fold(_payload(kind))
    _assert_is_usable(folded)
    assert folded.verdict_of(ids.RecordId('odd')) is not None


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'null',
        bytes((255,)),
        b'[' * DEPTH,
        b'{"a":' * DEPTH + b'1' + b'}' * DEPTH,
        _payload('InstanceLeft')[:-1]
        + b', "a": '
        + b'[' * DEPTH
        + b']' * DEPTH,
        _payload('TermSettled').replace(b'0', b'8' * 5_000),
        _payload('ProfilePublished', body='[' * DEPTH),
        _payload('ProfilePublished', body='{"timing": {"lease_ms": 1e999}}'),
    ],
)
def test_bytes_of_another_writer_leave_the_state_usable(payload: bytes) -> None:
    _assert_is_usable(_fold(payload))


_NUMBERS = strategies.one_of(
    strategies.integers(-5, 5), strategies.integers(-HUGE, HUGE)
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.sampled_from(list(FIELDS)), _NUMBERS),
        max_size=6,
    )
)
def test_several_odd_records_leave_the_state_usable(
    drawn: list[tuple[str, int]],
) -> None:
    payloads = []
    for index, (kind, number) in enumerate(drawn):
        numbers = {
            name: number
            for name, usual in FIELDS[kind].items()
            if isinstance(usual, int)
        }
        payloads.append(_payload(kind, **numbers, record_id=f'odd {index}'))
    _assert_is_usable(_fold(*payloads))


def test_pin_of_no_shard_is_not_applied() -> None:
    """The coordinator would move a shard that no instance takes."""
    folded = _fold(_payload('ShardPinned', shard=-1))
    assert not folded.placement_constraints_of(ids.ServiceName('s')).pins


def _pack(**fields: object) -> bytes:
    rest = msgspec.to_builtins(state.LogState())
    image = {'rest': rest, 'assignments': {}, **fields}
    return zlib.compress(msgspec.msgpack.encode(image))


def _pack_owners(servers: int, places: bytes, fences: bytes) -> bytes:
    owners = {'servers': ['a'] * servers, 'places': places, 'fences': fences}
    return _pack(assignments={'s': owners})


def _nest(prefix: bytes) -> bytes:
    nested = bytes((0x91,)) * DEPTH
    return zlib.compress(prefix + nested)


ODD_STATES = {
    'nothing': b'',
    'cut': state_encoding.encode_state(state.LogState())[:-1],
    'an unknown field that nests deeply': _nest(bytes((0x82, 0xA1, 0x78))),
    'an array that nests deeply': _nest(b''),
    'an owner beyond the servers': _pack_owners(
        1, bytes((1, 0, 0, 0)), bytes(8)
    ),
    'owners without servers': _pack_owners(0, bytes(4), bytes(8)),
    'a place that is cut': _pack_owners(1, bytes(3), bytes(8)),
    'a fence that is cut': _pack_owners(1, bytes(4), bytes(7)),
    'owners without fences': _pack_owners(1, bytes(4), b''),
    'an offset above 53 bits': _pack(
        rest={**msgspec.to_builtins(state.LogState()), 'next_offset': 2**64 - 1}
    ),
    'more bytes than a state may have': zlib.compress(
        bytes(state_encoding.MAX_STATE_BYTES + 1)
    ),
}


@pytest.mark.parametrize('content', ODD_STATES.values(), ids=list(ODD_STATES))
def test_odd_state_raises_what_its_reader_catches(content: bytes) -> None:
    with pytest.raises(state_encoding.StateDecodeError):
        state_encoding.decode_state(content)


def test_owners_keep_their_fences() -> None:
    assigned = state.Assignment((ids.ServerId('a'),), (ids.Fence(7),))
    service = ids.ServiceName('s')
    known = dataclasses.replace(
        state.LogState(), assignments={service: assigned}
    )
    encoded = state_encoding.encode_state(known)
    assert state_encoding.decode_state(encoded) == known


ADMITTED = ['k', 'f', 't', 5, [1, 2]]
BATCH = {
    'type': 'AdmissionBatch',
    'claim': 1,
    'number': 1,
    'owner': 'i',
    'deputy': 'j',
    'stamp': 5,
    'admitted': [ADMITTED],
}


@pytest.mark.parametrize('odd', [HUGE, -HUGE, 2**64])
@pytest.mark.parametrize(
    'name', ['claim', 'number', 'stamp', 'deadline', 'serial', 'order']
)
def test_odd_admission_is_not_read(name: str, odd: int) -> None:
    """Messages between instances hold these numbers in 32 or 64 bits."""
    rows = {
        'deadline': ['k', 'f', 't', odd, [1, 2]],
        'serial': ['k', 'f', 't', 5, [1, odd]],
        'order': ['k', 'f', 't', 5, [odd, 2]],
    }
    fields = {'admitted': [rows[name]]} if name in rows else {name: odd}
    payload = json.dumps({**BATCH, **fields}).encode()
    assert admission_records.decode_record(payload) is None
    usual = json.dumps(BATCH).encode()
    assert admission_records.decode_record(usual) is not None
