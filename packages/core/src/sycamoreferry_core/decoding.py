"""Decode what other programs wrote, within bounds that later uses can bear.

A number that a decoder accepts may still be too large to be sent on, added up
or slept for. So the bounds belong to the types of the fields.
"""

import typing

import msgspec

# Exact as JSON numbers; the sum of a thousand of them fits 64 bits.
_NUMBER_BITS = 53
MAX_NUMBER = 1 << _NUMBER_BITS
MAX_LABEL_LENGTH = 256
_MAX_QUOTED = 80

_Decoded = typing.TypeVar('_Decoded', covariant=True)

WholeNumber = typing.Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Neither infinite nor NaN.
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Label = typing.Annotated[str, msgspec.Meta(max_length=MAX_LABEL_LENGTH)]


class Decoder(typing.Protocol[_Decoded]):
    """Decode bytes to one type, as the decoders of msgspec do."""

    def decode(self, buf: bytes, /) -> _Decoded:
        """Decode bytes; raise MsgspecError or RecursionError."""


def decode(decoder: Decoder[_Decoded], content: bytes) -> _Decoded:
    """Decode bytes; raise MsgspecError, also if they nest too deeply."""
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise msgspec.DecodeError('content is nested too deeply') from error


def quote(field: object) -> str:
    """Return a value for an error message, shortened if it is long."""
    if not isinstance(field, str):
        return f'a value of type {type(field).__name__}'
    if len(field) <= _MAX_QUOTED:
        return repr(field)
    return f'{field[:_MAX_QUOTED]!r} and {len(field) - _MAX_QUOTED} more'
