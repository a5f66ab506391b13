"""Define recorded traces: requests, platform events and faults with times."""

import pathlib
import typing

import msgspec

from sycamoreferry_core import clock, ids
from sycamoreferry_standins import backend_server, instance_list, log_service


class Line(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Carry the time of an event, in milliseconds from the start."""

    at_ms: int


class RequestSent(Line, frozen=True, tag=True, omit_defaults=True):
    """Send a request, and send it again while it has no answer."""

    request_id: ids.RequestId
    caller: ids.CallerId
    service: ids.ServiceName
    key: str = ''
    method: str = 'GET'
    target: str = '/'
    body: str = ''
    deadline_ms: int = 2000
    idempotency_key: ids.IdempotencyKey = ids.IdempotencyKey('')
    tries: int = 1


class LogFaultsSet(Line, frozen=True, tag=True):
    """Change what the log does wrong."""

    faults: log_service.LogFaults


class ListFaultsSet(Line, frozen=True, tag=True):
    """Change what the instance list does wrong."""

    faults: instance_list.ListFaults


class OwnedKey(msgspec.Struct, frozen=True):
    """Name a key by its service."""

    service: ids.ServiceName
    key: str


class ServerLine(Line, frozen=True, tag=True, omit_defaults=True):
    """Name a backend server, or the key that it owns as the replay begins."""

    server: ids.ServerId = ids.ServerId('')
    owner_of: OwnedKey | None = None


class ServerFaultsSet(ServerLine, frozen=True, tag=True, kw_only=True):
    """Change what a backend server does wrong."""

    faults: backend_server.ServerFaults


class ServerLeaving(ServerLine, frozen=True, tag=True):
    """List a backend server as leaving, as a planned stop begins."""


class ServerArriving(ServerLine, frozen=True, tag=True):
    """List a backend server as live."""


class ProfilePublished(Line, frozen=True, tag=True):
    """Publish the next number of a profile; the body is YAML."""

    name: ids.ProfileName
    body: str


class ProcessLine(Line, frozen=True, tag=True):
    """Name a process; only a runner that started it can act on it."""

    process: str


class ProcessPaused(ProcessLine, frozen=True, tag=True):
    """Stop a process as if the machine were suspended."""


class ProcessContinued(ProcessLine, frozen=True, tag=True):
    """Continue a process that was paused."""


class ProcessKilled(ProcessLine, frozen=True, tag=True):
    """Kill a process at once."""


class ProcessStarted(ProcessLine, frozen=True, tag=True):
    """Start a routing instance that was killed."""


AnyLine = (
    RequestSent
    | LogFaultsSet
    | ListFaultsSet
    | ServerFaultsSet
    | ServerLeaving
    | ServerArriving
    | ProfilePublished
    | ProcessPaused
    | ProcessContinued
    | ProcessKilled
    | ProcessStarted
)

LineType = typing.TypeVar('LineType', bound=Line)

_encoder = msgspec.json.Encoder()
_any_decoder: msgspec.json.Decoder[AnyLine] = msgspec.json.Decoder(AnyLine)


class TraceError(ValueError):
    """Report a line of a trace that cannot be replayed."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f'{place}: {reason}')
        self.place = place
        self.reason = reason


def read_trace(path: pathlib.Path) -> tuple[AnyLine, ...]:
    """Read a trace from a file; raise TraceError."""
    try:
        content = path.read_bytes()
    except OSError as error:
        raise TraceError(str(path), f'cannot be read: {error}') from error
    return parse_lines(content, _any_decoder, str(path))


def parse_lines(
    content: bytes,
    decoder: msgspec.json.Decoder[LineType],
    name: str,
) -> tuple[LineType, ...]:
    """Read lines of any types in the order of time; raise TraceError."""
    lines: list[LineType] = []
    for number, encoded in enumerate(content.splitlines(), start=1):
        place = f'{name}:{number}'
        line = _parse_line(encoded, decoder, place)
        if lines and line.at_ms < lines[-1].at_ms:
            raise TraceError(place, 'is earlier than the line before it')
        lines.append(line)
    if not lines:
        raise TraceError(name, 'holds no lines')
    return tuple(lines)


def _parse_line(
    encoded: bytes,
    decoder: msgspec.json.Decoder[LineType],
    place: str,
) -> LineType:
    try:
        return decoder.decode(encoded)
    except msgspec.MsgspecError as error:
        raise TraceError(place, f'is no line of a trace: {error}') from error


def format_trace(lines: typing.Iterable[Line]) -> bytes:
    """Write lines as JSON Lines, in the order of time."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    return b''.join(b'%b\n' % _encoder.encode(line) for line in ordered)


def walk(
    lines: typing.Iterable[LineType],
    timer: clock.ManualClock,
) -> typing.Iterator[LineType]:
    """Yield each line with the clock moved to the line's time."""
    start = timer.now()
    for line in lines:
        timer.advance(clock.later(start, line.at_ms) - timer.now())
        yield line
