"""Define the interface of the platform's append-only log."""

import dataclasses
import typing

from sycamoreferry_core import ids, records


@dataclasses.dataclass(frozen=True)
class Appended:
    """Report the offset of a record that was appended."""

    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class NotAppended:
    """Report that the record was certainly not appended."""

    reason: str


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """Report that the record may or may not have been appended."""

    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown


@dataclasses.dataclass(frozen=True)
class Tail:
    """Hold records from an offset on, and the bounds of the stream."""

    first_offset: ids.Offset
    end_offset: ids.Offset
    logged: tuple[records.LoggedRecord, ...]


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """Report why the log could not be read."""

    reason: str


ReadOutcome = Tail | ReadFailed


class LogService(typing.Protocol):
    """Append to a stream and read it."""

    async def append(self, payload: bytes) -> AppendOutcome:
        """Append a payload once; errors are returned as an outcome."""

    async def read(self, start: ids.Offset, wait_ms: int) -> ReadOutcome:
        """Read records from an offset; wait up to wait_ms for the first."""
