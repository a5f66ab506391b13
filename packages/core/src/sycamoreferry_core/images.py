"""Write the folded state as compact bytes, and read it again."""

import array
import dataclasses
import sys
import typing
import zlib

import msgspec

from sycamoreferry_core import ids, profiles, state

# The fastest level; the state is written on the loop that routes requests.
COMPRESSION_LEVEL = 1
_PLACE_TYPE = 'I'
_FENCE_TYPE = 'q'


class BadImageError(ValueError):
    """Report bytes that are no image of a state."""


class _AssignmentImage(msgspec.Struct, frozen=True):
    """Hold an assignment as places in a table of servers."""

    servers: tuple[ids.ServerId, ...]
    places: bytes
    fences: bytes


class _Image(msgspec.Struct, frozen=True):
    """Hold the state with its assignments in compact form."""

    rest: state.LogState
    assignments: dict[ids.ServiceName, _AssignmentImage]


def encode_state(log_state: state.LogState) -> bytes:
    """Write a state as bytes."""
    image = _Image(
        rest=dataclasses.replace(log_state, assignments={}),
        assignments={
            service: _compact(assigned)
            for service, assigned in log_state.assignments.items()
        },
    )
    return zlib.compress(_encoder.encode(image), COMPRESSION_LEVEL)


def decode_state(content: bytes) -> state.LogState:
    """Read a state from bytes; raise BadImageError."""
    try:
        image = _decoder.decode(zlib.decompress(content))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise BadImageError(f'not the image of a state: {error}') from error
    return dataclasses.replace(
        image.rest,
        assignments={
            service: _expand(compact)
            for service, compact in image.assignments.items()
        },
    )


def _compact(assigned: state.Assignment) -> _AssignmentImage:
    servers = tuple(sorted(set(assigned.owners)))
    place_of = {server: place for place, server in enumerate(servers)}
    places = [place_of[owner] for owner in assigned.owners]
    return _AssignmentImage(
        servers=servers,
        places=_to_bytes(array.array(_PLACE_TYPE, places)),
        fences=_to_bytes(array.array(_FENCE_TYPE, assigned.fences)),
    )


def _expand(compact: _AssignmentImage) -> state.Assignment:
    servers = compact.servers
    places = _from_bytes(_PLACE_TYPE, compact.places)
    return state.Assignment(
        owners=tuple(servers[place] for place in places),
        fences=tuple(
            ids.Fence(fence)
            for fence in _from_bytes(_FENCE_TYPE, compact.fences)
        ),
    )


def _to_bytes(numbers: 'array.array[int]') -> bytes:
    if sys.byteorder == 'big':
        numbers.byteswap()
    return numbers.tobytes()


def _from_bytes(kind: str, content: bytes) -> 'array.array[int]':
    numbers: array.array[int] = array.array(kind)
    numbers.frombytes(content)
    if sys.byteorder == 'big':
        numbers.byteswap()
    return numbers


def _encode_other(held: object) -> str:
    if isinstance(held, profiles.Profile):
        return profiles.format_profile(held)
    raise NotImplementedError(f'no form for {type(held)}')


def _decode_other(kind: type, held: object) -> object:
    if kind is profiles.Profile:
        return profiles.parse_profile(typing.cast(str, held))
    raise NotImplementedError(f'no form for {kind}')


_encoder = msgspec.msgpack.Encoder(enc_hook=_encode_other)
_decoder = msgspec.msgpack.Decoder(_Image, dec_hook=_decode_other)
