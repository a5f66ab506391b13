"""Hold HTTP messages between the formats of a peer and a connection."""

import dataclasses

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class HttpCall:
    """Hold a call to send."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class HttpReply:
    """Hold a whole reply; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the first value of a header, named in lower case."""
        for known, content in self.headers:
            if known == name:
                return content
        return None
