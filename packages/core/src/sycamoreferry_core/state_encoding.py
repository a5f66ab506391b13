"""Encode the replayed state as compressed bytes and decode it."""

import array
import dataclasses
import sys
import typing
import zlib

import msgspec

from sycamoreferry_core import (
    decoding,
    ids,
    profiles,
    record_fields,
    state,
)

# zlib's fastest level: encoding runs on the event loop that routes requests.
COMPRESSION_LEVEL = 1
# A few compressed bytes may stand for any number of them.
MAX_STATE_BYTES = 268_435_456
_INDEX_TYPE_CODE = 'I'
_FENCE_TYPE_CODE = 'q'


class StateDecodeError(ValueError):
    """Report bytes that do not decode to a state."""


class _EncodedAssignment(msgspec.Struct, frozen=True):
    """Hold an assignment as indices into a table of servers."""

    servers: tuple[record_fields.ServerId, ...]
    places: bytes
    fences: bytes


class _EncodedState(msgspec.Struct, frozen=True):
    """Hold the state with its assignments as packed arrays."""

    rest: state.LogState
    assignments: dict[record_fields.ServiceName, _EncodedAssignment]


def encode_state(log_state: state.LogState) -> bytes:
    """Encode a state as compressed MessagePack."""
    image = _EncodedState(
        rest=dataclasses.replace(log_state, assignments={}),
        assignments={
            service: _encode_assignment(assigned)
            for service, assigned in log_state.assignments.items()
        },
    )
    return zlib.compress(_encoder.encode(image), COMPRESSION_LEVEL)


def decode_state(content: bytes) -> state.LogState:
    """Decode a state; raise StateDecodeError for invalid bytes."""
    try:
        image = decoding.decode(_decoder, _decompress(content))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise StateDecodeError(f'cannot decode the state: {error}') from error
    return dataclasses.replace(
        image.rest,
        assignments={
            service: _decode_assignment(encoded)
            for service, encoded in image.assignments.items()
        },
    )


def _decompress(content: bytes) -> bytes:
    stream = zlib.decompressobj()
    decompressed = stream.decompress(content, MAX_STATE_BYTES)
    if not stream.eof:
        raise StateDecodeError('cannot decode the state: it is cut or too long')
    return decompressed


def _encode_assignment(assigned: state.Assignment) -> _EncodedAssignment:
    servers = tuple(sorted(set(assigned.owners)))
    index_of = {server: index for index, server in enumerate(servers)}
    indices = [index_of[owner] for owner in assigned.owners]
    return _EncodedAssignment(
        servers=servers,
        places=_to_bytes(array.array(_INDEX_TYPE_CODE, indices)),
        fences=_to_bytes(array.array(_FENCE_TYPE_CODE, assigned.fences)),
    )


def _decode_assignment(encoded: _EncodedAssignment) -> state.Assignment:
    servers = encoded.servers
    indices = _from_bytes(_INDEX_TYPE_CODE, encoded.places)
    fences = _from_bytes(_FENCE_TYPE_CODE, encoded.fences)
    has_all_owners = max(indices, default=-1) < len(servers)
    if not has_all_owners or len(indices) != len(fences):
        raise StateDecodeError('cannot decode the state: owners are missing')
    return state.Assignment(
        owners=tuple(servers[index] for index in indices),
        fences=tuple(ids.Fence(fence) for fence in fences),
    )


def _to_bytes(numbers: 'array.array[int]') -> bytes:
    if sys.byteorder == 'big':
        numbers.byteswap()
    return numbers.tobytes()


def _from_bytes(type_code: str, content: bytes) -> 'array.array[int]':
    numbers: array.array[int] = array.array(type_code)
    if len(content) % numbers.itemsize:
        raise StateDecodeError('cannot decode the state: a number is cut')
    numbers.frombytes(content)
    if sys.byteorder == 'big':
        numbers.byteswap()
    return numbers


def _encode_custom_type(content: object) -> str:
    if isinstance(content, profiles.Profile):
        return profiles.format_profile(content)
    raise NotImplementedError(f'cannot encode type {type(content)}')


def _decode_custom_type(kind: type, content: object) -> object:
    if kind is profiles.Profile:
        return profiles.parse_profile(typing.cast(str, content))
    raise NotImplementedError(f'cannot decode type {kind}')


_encoder = msgspec.msgpack.Encoder(enc_hook=_encode_custom_type)
_decoder = msgspec.msgpack.Decoder(_EncodedState, dec_hook=_decode_custom_type)
