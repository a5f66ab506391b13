"""Read what a process used: processor time, memory and bytes."""

import dataclasses
import os
import pathlib

_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
# Fields of /proc/PID/stat after the command's closing parenthesis.
_USER_FIELD = 11
_SYSTEM_FIELD = 12
_RESIDENT_FIELD = 1


@dataclasses.dataclass(frozen=True)
class Usage:
    """Hold what a process used since it started."""

    processor_seconds: float
    resident_bytes: int
    exchanged_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the usage of a process that runs."""
    place = pathlib.Path('/proc') / str(pid)
    fields = (place / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int((place / 'statm').read_text().split()[_RESIDENT_FIELD])
    return Usage(
        processor_seconds=ticks / _CLOCK_TICKS,
        resident_bytes=pages * _PAGE_BYTES,
        exchanged_bytes=_exchanged_bytes((place / 'io').read_text()),
    )


def _exchanged_bytes(text: str) -> int:
    counts = dict(line.split(': ') for line in text.splitlines())
    return int(counts['rchar']) + int(counts['wchar'])
