"""Define and encode requests that one instance relays to another."""

import msgspec

from sycamoreferry_gateway import peer_messages

RELAY_PATH = '/relay'


class RelayedRequest(msgspec.Struct, frozen=True, array_like=True):
    """Hold a caller's request and what its first instance decided."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    caller: str
    # Time since the first instance received the request.
    elapsed_ms: int
    service: str
    # Earlier attempts that may have run the request.
    earlier_runs: int
    config_version: int


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold the answer for the caller, with its result code and reason."""

    status: int
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
    return _request_decoder.decode(encoded)


def decode_answer(encoded: bytes) -> RelayedAnswer:
    """Decode an answer; raise MsgspecError if it is malformed."""
    return _answer_decoder.decode(encoded)
