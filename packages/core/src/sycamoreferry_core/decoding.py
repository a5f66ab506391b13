"""Decode what other programs wrote, within bounds that later uses can bear.

A number that a decoder accepts may still be too large to be sent on, added up
or slept for. So the bounds belong to the types of the fields.
"""

import itertools
import re
import typing

import msgspec

# Exact as JSON numbers; the sum of a thousand of them fits 64 bits.
_NUMBER_BITS = 53
MAX_NUMBER = 1 << _NUMBER_BITS
_SIGNED_BITS = 63
MAX_SIGNED = (1 << _SIGNED_BITS) - 1
MAX_LABEL_LENGTH = 256
_MAX_QUOTED = 80
# Deeper than any content that this project reads.
_MAX_DEPTH = 64
# The rows of an array that is a field of an object.
_ROW_DEPTH = 2
_ROWS_FRAME = [(b'{', 1), (b'[', 2), (b']', 2), (b'}', 1)]
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_TokenAtDepth = tuple[re.Match[bytes], int]
_OPENING = frozenset((b'[', b'{'))
_CLOSING = frozenset((b']', b'}'))

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


def prune_json(content: bytes) -> bytes:
    """Return a JSON text with null in place of what nests too deeply.

    One such part would keep the rest of the text from being decoded.
    """
    kept = bytearray()
    kept_until = 0
    for token, depth in _json_tokens(content):
        if depth == _MAX_DEPTH + 1 and token.group() in _OPENING:
            kept.extend(content[kept_until : token.start()])
            kept.extend(b'null')
        elif depth == _MAX_DEPTH + 1 and token.group() in _CLOSING:
            kept_until = token.end()
    kept.extend(content[kept_until:])
    return bytes(kept)


def split_json_rows(content: bytes) -> list[bytes]:
    """Return the rows of a JSON object that holds one array, as texts.

    Raises DecodeError unless the object and its array are complete. Rows that
    no decoder takes are returned as well.
    """
    marks = [
        (token, depth)
        for token, depth in _json_tokens(content)
        if not token.group().startswith(b'"')
    ]
    frame = [
        (token.group(), depth) for token, depth in (*marks[:2], *marks[-2:])
    ]
    if frame != _ROWS_FRAME:
        raise msgspec.DecodeError('content is no object with one array')
    cuts = [token for token, depth in marks if depth == _ROW_DEPTH]
    rows = [
        content[before.end() : after.start()].strip()
        for before, after in itertools.pairwise(cuts)
    ]
    return [row for row in rows if row]


def _json_tokens(content: bytes) -> typing.Iterator[_TokenAtDepth]:
    """Yield texts, brackets and commas, each with its depth.

    A bracket has the depth of what it encloses.
    """
    depth = 0
    for token in _JSON_TOKEN.finditer(content):
        if token.group() in _OPENING:
            depth += 1
        yield token, depth
        if token.group() in _CLOSING:
            depth -= 1


def quote(field: object) -> str:
    """Return a value for an error message, shortened if it is long."""
    if not isinstance(field, str):
        return f'a value of type {type(field).__name__}'
    if len(field) <= _MAX_QUOTED:
        return repr(field)
    return f'{field[:_MAX_QUOTED]!r} and {len(field) - _MAX_QUOTED} more'
