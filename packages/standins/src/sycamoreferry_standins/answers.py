"""Check that an answer of a backend server is whole and its own."""

import dataclasses

import msgspec
import xxhash

from sycamoreferry_standins import backend_server


@dataclasses.dataclass(frozen=True)
class Expected:
    """Hold what the answer to a request must show."""

    request_id: str
    body: bytes
    answer_bytes: int


def is_own(content: bytes, expected: Expected) -> bool:
    """Tell whether an answer is whole and belongs to its request."""
    try:
        body = msgspec.json.decode(content, type=backend_server.AnswerBody)
    except msgspec.MsgspecError:
        return False
    return (
        body.request_id == expected.request_id
        and body.body_digest == xxhash.xxh3_64_hexdigest(expected.body)
        and len(body.padding) == expected.answer_bytes
    )
