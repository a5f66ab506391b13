"""Define HTTP messages independently of any connection."""

import dataclasses

# A copy of less costs less than another write.
_COPIED_BYTES = 65_536

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold a request to send; `target` is its path and query."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold a complete response; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header; give its name in lower case."""
        for known, content in self.headers:
            if known == name:
                return content
        return None


def join_small(head: bytes, body: bytes) -> tuple[bytes, ...]:
    """Return the parts to write: one, unless the body is too large to copy."""
    if len(body) <= _COPIED_BYTES:
        return (head + body,)
    return (head, body)
