"""Describe the platform's append-only log."""

import dataclasses
import typing

from sycamoreferry_core import ids, records


@dataclasses.dataclass(frozen=True)
class Appended:
    """Tell the offset of an append that was made."""

    offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class NotAppended:
    """Promise that an append was not made."""

    reason: str


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """Admit that an append may have been made."""

    reason: str


AppendOutcome = Appended | NotAppended | AppendUnknown


@dataclasses.dataclass(frozen=True)
class Tail:
    """Hold records from an offset on, and the end of the stream."""

    first_offset: ids.Offset
    end_offset: ids.Offset
    logged: tuple[records.LoggedRecord, ...]


@dataclasses.dataclass(frozen=True)
class ReadFailed:
    """Tell why the log could not be read."""

    reason: str


ReadOutcome = Tail | ReadFailed


class LogService(typing.Protocol):
    """Append to a stream and read it."""

    async def append(self, payload: bytes) -> AppendOutcome:
        """Append a payload."""

    async def read(self, start: ids.Offset, wait_ms: int) -> ReadOutcome:
        """Read records from an offset, waiting a while for the first."""
