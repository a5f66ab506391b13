"""Define and encode requests that one instance relays to another."""

import typing

import msgspec

from sycamoreferry_core import decoding
from sycamoreferry_gateway import peer_messages, reply_reader

RELAY_PATH = '/relay'


_Status = typing.Annotated[
    int,
    msgspec.Meta(
        ge=reply_reader.FINAL_STATUSES.start,
        lt=reply_reader.FINAL_STATUSES.stop,
    ),
]


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold a caller's request and what its first instance decided."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str
    # Time since the first instance received the request.
    elapsed_ms: decoding.WholeNumber
    service: str
    # Earlier attempts that may have run the request.
    earlier_runs: decoding.Count
    config_version: decoding.Count


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer for the caller, with its result code and reason."""

    status: _Status
    headers: list[tuple[str, str]]
    body: bytes
    code: int
    reason: str
    # The servers that the instance that answers knows to be leaving.
    leaving: list[peer_messages.LeavingRow] = []


_encoder = msgspec.msgpack.Encoder()
_request_decoder = msgspec.msgpack.Decoder(RelayedRequest)
_answer_decoder = msgspec.msgpack.Decoder(RelayedAnswer)


def encode(message: RelayedRequest | RelayedAnswer) -> bytes:
    """Encode a relayed request or its answer."""
    return _encoder.encode(message)


def decode_request(encoded: bytes) -> RelayedRequest:
    """Decode a request; raise MsgspecError if it is malformed."""
    return decoding.decode(_request_decoder, encoded)


def decode_answer(encoded: bytes) -> RelayedAnswer:
    """Decode an answer; raise MsgspecError if it is malformed."""
    return decoding.decode(_answer_decoder, encoded)
