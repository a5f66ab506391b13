"""Bound the fields of log lines, which may hold what another program wrote."""

import typing

import msgspec

_MAX_LINE_BYTES = 16_384
_MAX_CHARACTERS = 512
_MAX_ROWS = 64
_MAX_DEPTH = 4
_NUMBER_BITS = 64


_encoder = msgspec.json.Encoder()


def encode_line(fields: typing.Mapping[str, typing.Any]) -> bytes:
    """Encode fields as a JSON line; cut those that make it too long."""
    bounded = {
        name: _bound(field, _MAX_DEPTH) for name, field in fields.items()
    }
    line = _encoder.encode(bounded)
    if len(line) > _MAX_LINE_BYTES:
        line = _encoder.encode(
            {
                name: _bound_text(_encoder.encode(field).decode())
                if isinstance(field, dict | list)
                else field
                for name, field in bounded.items()
            }
        )
    return b'%s\n' % line


def _bound(field: typing.Any, depth: int) -> typing.Any:
    if field is None or isinstance(field, bool | float):
        return field
    if isinstance(field, str):
        return _bound_text(field)
    if isinstance(field, int):
        return _bound_number(field)
    return _bound_container(field, depth - 1) if depth else '...'


def _bound_container(field: typing.Any, depth: int) -> typing.Any:
    if isinstance(field, typing.Mapping):
        return _bound_mapping(field, depth)
    if isinstance(field, typing.Collection):
        return _bound_rows(field, depth)
    return _bound_text(repr(field))


def _bound_text(text: str) -> str:
    if len(text) > _MAX_CHARACTERS:
        omitted = len(text) - _MAX_CHARACTERS
        text = f'{text[:_MAX_CHARACTERS]}... and {omitted} more characters'
    if text.isascii():
        return text
    # A lone surrogate can't be encoded.
    return text.encode('utf-8', 'replace').decode('utf-8')


def _bound_number(number: int) -> int | str:
    # The encoder takes signed and unsigned numbers of this size.
    bits = number.bit_length() + (number < 0)
    return number if bits <= _NUMBER_BITS else f'a number of {bits} bits'


def _bound_mapping(
    field: typing.Mapping[typing.Any, typing.Any], depth: int
) -> dict[str, typing.Any]:
    bounded = {
        _bound_text(str(name)): _bound(row, depth)
        for name, row in list(field.items())[:_MAX_ROWS]
    }
    if len(field) > _MAX_ROWS:
        bounded['...'] = len(field) - _MAX_ROWS
    return bounded


def _bound_rows(
    field: typing.Collection[typing.Any], depth: int
) -> list[typing.Any]:
    bounded = [_bound(row, depth) for row in list(field)[:_MAX_ROWS]]
    if len(field) > _MAX_ROWS:
        bounded.append(f'... and {len(field) - _MAX_ROWS} more')
    return bounded
