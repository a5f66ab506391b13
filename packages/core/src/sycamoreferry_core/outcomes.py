"""Represent how a request ended."""

import dataclasses
import enum
import typing

from sycamoreferry_core import ids, result_codes


@enum.unique
class Kind(enum.Enum):
    """Name the three ways in which a request can end."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Destination:
    """Identify the server, shard and fencing token of a request."""

    server: ids.ServerId = ids.ServerId('')
    shard: ids.ShardId = ids.ShardId(-1)
    fence: ids.Fence = ids.NO_FENCE


class BodyTruncatedError(Exception):
    """Report a response body that ended before it was complete."""


class Download(typing.Protocol):
    """Stream a response body that is too long to buffer."""

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the body; raise if the connection closes before its end."""

    def seconds_left(self) -> float:
        """Return the time left until the deadline, in seconds."""

    def on_close(self, call: typing.Callable[[], None]) -> None:
        """Register a callback to run once the download is closed."""

    def close(self) -> None:
        """Close the connection, even if the body is incomplete."""


@dataclasses.dataclass(frozen=True)
class Answered:
    """Hold the answer of a backend server, buffered or as a download."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    destination: Destination = Destination()
    request_id: ids.RequestId = ids.RequestId('')
    download: Download | None = None
    code: result_codes.ResultCode = result_codes.ResultCode.ANSWERED
    kind: Kind = Kind.ANSWERED


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Report that certainly no backend server ran the request."""

    code: result_codes.ResultCode
    retry_after_ms: int = 0
    destination: Destination = Destination()
    kind: Kind = Kind.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Report that the request may or may not have run."""

    code: result_codes.ResultCode
    retry_after_ms: int = 0
    destination: Destination = Destination()
    kind: Kind = Kind.UNKNOWN


Outcome = Answered | NotRun | Unknown
Failure = NotRun | Unknown
