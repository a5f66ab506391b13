"""Make connections of callers give way when their memory is used up.

One account holds for all ports of a process.
"""

import sys
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_gateway import event_log

# The program takes 32 MB when it has started. Of the rest, a third is for what
# servers send (body_budget) and for single copies. With the least memory,
# 160 MB, the largest body of 67,108,864 bytes fits into seven eighths.
_PROGRAM_MB = 40
_REST_SHARE = 2 / 3
_MAX_SHARE = 0.5
_MIN_SHARE = 0.1
_MEGABYTE = 1_000_000
# Returning memory takes a few milliseconds, so it starts with much only.
_MUCH_BYTES = 8_000_000
# Once it has started, it goes on until no more than this is held.
_REST_BYTES = 1_000_000
_PART = 'callers'


class Holder(typing.Protocol):
    """Hold memory for a connection."""

    def give_way(self) -> None:
        """Free what is held, or close the connection."""


class CallerBudget:
    """Record what connections hold, and tell those that must give way."""

    def __init__(self, limit_bytes: int, source: clock.Clock) -> None:
        self.memory = caller_memory.CallerMemory(limit_bytes)
        # Connections closed as there were too many.
        self.surplus_count = 0
        self._clock = source
        self._reported = self.counts
        # The most that was held since memory was returned.
        self._peak_bytes = 0
        self._has_rest = False

    @property
    def counts(self) -> dict[str, int]:
        """Return how many gave way by reason, for metrics and the log."""
        evicted = self.memory.evicted
        state = caller_memory.HolderState
        return {
            'callers_refused_incomplete': evicted.get(state.INCOMPLETE, 0),
            'callers_refused_waiting': evicted.get(state.WAITING, 0),
            'callers_closed_unread': evicted.get(state.UNREAD, 0),
            'callers_closed_idle': evicted.get(state.IDLE, 0),
            'callers_closed_surplus': self.surplus_count,
        }

    def has_room(self, size: int) -> bool:
        """Tell whether bytes can be held without another giving way."""
        return size <= self.memory.free_bytes

    def update(
        self,
        holder: typing.Hashable,
        held: int,
        state: caller_memory.HolderState,
    ) -> bool:
        """Record what a holder holds in all; tell whether any gave way."""
        now = self._clock.now()
        self._peak_bytes = max(self._peak_bytes, self.memory.held_bytes)
        evicted = self.memory.reserve(holder, held, state, now)
        for one in evicted:
            typing.cast(Holder, one).give_way()
        return bool(evicted)

    def has_shrunk(self) -> bool:
        """Tell whether memory is to be returned; forget the last peak if so.

        It is returned again while the rest is freed, and once more after that.
        What is freed last may keep much more of the heap from being returned.
        """
        held = self.memory.held_bytes
        least = _REST_BYTES if self._has_rest else _MUCH_BYTES
        if self._peak_bytes - held > max(least, held):
            self._has_rest = True
        elif self._has_rest and held <= _REST_BYTES:
            self._has_rest = False
        else:
            return False
        self._peak_bytes = held
        return True

    def report(self, log: event_log.EventLog) -> None:
        """Log how many gave way, if any did since the last call."""
        counts = self.counts
        if counts != self._reported:
            log.write_rate_limited(
                _PART,
                'connections gave way',
                bytes_held=self.memory.held_bytes,
                bytes_limit=self.memory.limit_bytes,
                **{
                    reason: count - self._reported[reason]
                    for reason, count in counts.items()
                },
            )
            self._reported = counts


def for_machine(memory_mb: int, source: clock.Clock) -> CallerBudget:
    """Return the budget of a process on a machine with memory in MB."""
    limit_mb = min(
        (memory_mb - _PROGRAM_MB) * _REST_SHARE, memory_mb * _MAX_SHARE
    )
    limit_mb = max(limit_mb, memory_mb * _MIN_SHARE)
    return CallerBudget(int(limit_mb * _MEGABYTE), source)


def unlimited(source: clock.Clock) -> CallerBudget:
    """Return a budget that only counts."""
    return CallerBudget(sys.maxsize, source)
