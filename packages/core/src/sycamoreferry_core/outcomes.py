"""Tag how a request ended."""

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
class Way:
    """Say where a request was sent."""

    server: ids.ServerId = ids.ServerId('')
    shard: ids.ShardId = ids.ShardId(-1)
    fence: ids.Fence = ids.NO_FENCE


class DownloadCutError(Exception):
    """Report that the rest of an answer did not come."""


class Download(typing.Protocol):
    """Read a body that is too long to hold."""

    def chunks(self) -> typing.AsyncIterator[bytes]:
        """Yield the whole body; raise DownloadCutError where it is cut."""

    def seconds_left(self) -> float:
        """Return how long the rest may take."""

    def when_closed(self, call: typing.Callable[[], None]) -> None:
        """Call back once the download has ended, whole or not."""

    def close(self) -> None:
        """Free what the download holds."""


@dataclasses.dataclass(frozen=True)
class Answered:
    """Hold the whole answer of a backend server, or its download."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    way: Way = Way()
    request_id: ids.RequestId = ids.RequestId('')
    download: Download | None = None
    code: result_codes.ResultCode = result_codes.ResultCode.ANSWERED
    kind: Kind = Kind.ANSWERED


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Promise that no backend server ran the request."""

    code: result_codes.ResultCode
    retry_after_ms: int = 0
    way: Way = Way()
    kind: Kind = Kind.NOT_RUN


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Admit that the request may or may not have run."""

    code: result_codes.ResultCode
    retry_after_ms: int = 0
    way: Way = Way()
    kind: Kind = Kind.UNKNOWN


Outcome = Answered | NotRun | Unknown
Failure = NotRun | Unknown
