"""Queue waiting requests fairly among callers, within bounds."""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock, ids

Entry = typing.TypeVar('Entry')

_GAP_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedEntry(typing.Generic[Entry]):
    """Hold a queued entry, its caller and its deadline."""

    entry: Entry
    caller: ids.CallerId
    deadline: clock.Millis


_CallerQueues = collections.OrderedDict[
    ids.CallerId,
    collections.deque[QueuedEntry[Entry]],
]


class FairQueue(typing.Generic[Entry]):
    """Serve callers in turn; a full queue drops from its busiest caller."""

    def __init__(self) -> None:
        self._size = 0
        self._queues: _CallerQueues[Entry] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued entries."""
        return self._size

    def push(
        self,
        waiting: QueuedEntry[Entry],
        capacity: int,
    ) -> QueuedEntry[Entry] | None:
        """Add an entry; return the rejected or displaced one, if any."""
        if self._size >= capacity:
            busiest = self._busiest_caller()
            queue = self._queues.get(waiting.caller, ())
            if busiest is None or len(self._queues[busiest]) <= len(queue) + 1:
                return waiting
            dropped = self._queues[busiest].pop()
            self._size -= 1
            self._add(waiting)
            return dropped
        self._add(waiting)
        return None

    def peek(self) -> QueuedEntry[Entry] | None:
        """Return the entry that the next pop takes, or None."""
        if not self._queues:
            return None
        return next(iter(self._queues.values()))[0]

    def pop(self) -> QueuedEntry[Entry] | None:
        """Remove the next caller's oldest entry; return None if empty."""
        if not self._queues:
            return None
        caller, queue = next(iter(self._queues.items()))
        waiting = queue.popleft()
        self._size -= 1
        if queue:
            self._queues.move_to_end(caller)
        else:
            self._queues.pop(caller)
        return waiting

    def remove(self, waiting: QueuedEntry[Entry]) -> bool:
        """Remove an entry; return False if it is no longer queued."""
        queue = self._queues.get(waiting.caller)
        if queue is None or waiting not in queue:
            return False
        queue.remove(waiting)
        self._size -= 1
        if not queue:
            self._queues.pop(waiting.caller)
        return True

    def _add(self, waiting: QueuedEntry[Entry]) -> None:
        queue = self._queues.setdefault(waiting.caller, collections.deque())
        queue.append(waiting)
        self._size += 1

    def _busiest_caller(self) -> ids.CallerId | None:
        queues = self._queues
        return max(queues, key=lambda caller: len(queues[caller]), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerInterval:
    """Track the average interval between answers while a queue waits."""

    last_answer_at: float = 0
    interval_ms: float = 0

    def after_answer(self, now: float, *, busy: bool) -> 'AnswerInterval':
        """Return the average after an answer; idle time does not count."""
        if not busy:
            return AnswerInterval(0, self.interval_ms)
        if not self.last_answer_at:
            return AnswerInterval(now, self.interval_ms)
        gap = now - self.last_answer_at
        if not self.interval_ms:
            return AnswerInterval(now, gap)
        interval = self.interval_ms + _GAP_WEIGHT * (gap - self.interval_ms)
        return AnswerInterval(now, interval)

    def capacity(self, wait_ms: float, limit: int) -> int:
        """Return how many entries are likely to be answered within a wait."""
        if not self.interval_ms:
            return limit
        return min(limit, max(1, int(wait_ms / self.interval_ms)))
