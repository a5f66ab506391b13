"""Encode the address on which an instance receives datagrams of peers."""

import msgspec

from sycamoreferry_core import decoding
from sycamoreferry_core.fleet import addresses


class _Record(msgspec.Struct, array_like=True):
    host: str
    port: int


_decoder = msgspec.msgpack.Decoder(_Record)


def encode_address(host: str, port: int) -> bytes:
    """Encode an address as the content of an instance's store record."""
    return msgspec.msgpack.encode(_Record(host, port))


def decode_address(content: bytes) -> tuple[str, int]:
    """Decode an address; raise MsgspecError if it is malformed."""
    record = decoding.decode(_decoder, content)
    if not addresses.can_be_called(record.host, record.port):
        host = decoding.quote(record.host)
        raise msgspec.ValidationError(
            f'{host} with port {record.port} is not an address'
        )
    return record.host, record.port
