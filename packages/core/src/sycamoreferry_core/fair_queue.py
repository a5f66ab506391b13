"""Queue waiting requests fairly among callers, within bounds."""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock, ids

Entry = typing.TypeVar('Entry')

_PACE_SHARE = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting(typing.Generic[Entry]):
    """Hold an entry, whose it is and when it is of no more use."""

    entry: Entry
    caller: ids.CallerId
    deadline: clock.Millis


_Lanes = collections.OrderedDict[
    ids.CallerId,
    collections.deque[Waiting[Entry]],
]


class FairQueue(typing.Generic[Entry]):
    """Serve callers in turn; drop for a newcomer of a quieter caller."""

    def __init__(self) -> None:
        self._size = 0
        self._lanes: _Lanes[Entry] = collections.OrderedDict()

    def __len__(self) -> int:
        """Return how many entries wait."""
        return self._size

    def push(
        self,
        waiting: Waiting[Entry],
        capacity: int,
    ) -> Waiting[Entry] | None:
        """Add an entry; return the one that found no room, if any."""
        if self._size >= capacity:
            loudest = self._loudest()
            lane = self._lanes.get(waiting.caller, ())
            if loudest is None or len(self._lanes[loudest]) <= len(lane) + 1:
                return waiting
            dropped = self._lanes[loudest].pop()
            self._size -= 1
            self._add(waiting)
            return dropped
        self._add(waiting)
        return None

    def peek(self) -> Waiting[Entry] | None:
        """Return the entry that is to be taken next."""
        if not self._lanes:
            return None
        return next(iter(self._lanes.values()))[0]

    def pop(self) -> Waiting[Entry] | None:
        """Take the oldest entry of the caller whose turn it is."""
        if not self._lanes:
            return None
        caller, lane = next(iter(self._lanes.items()))
        waiting = lane.popleft()
        self._size -= 1
        if lane:
            self._lanes.move_to_end(caller)
        else:
            self._lanes.pop(caller)
        return waiting

    def remove(self, waiting: Waiting[Entry]) -> bool:
        """Take an entry out whose caller has gone."""
        lane = self._lanes.get(waiting.caller)
        if lane is None or waiting not in lane:
            return False
        lane.remove(waiting)
        self._size -= 1
        if not lane:
            self._lanes.pop(waiting.caller)
        return True

    def _add(self, waiting: Waiting[Entry]) -> None:
        lane = self._lanes.setdefault(waiting.caller, collections.deque())
        lane.append(waiting)
        self._size += 1

    def _loudest(self) -> ids.CallerId | None:
        lanes = self._lanes
        return max(lanes, key=lambda caller: len(lanes[caller]), default=None)


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """Hold how often a queue that is not empty sees an answer."""

    last: float = 0
    interval_ms: float = 0

    def after_answer(self, now: float, *, busy: bool) -> 'Pace':
        """Return the pace after an answer; idle times do not count."""
        if not busy:
            return Pace(0, self.interval_ms)
        if not self.last:
            return Pace(now, self.interval_ms)
        gap = now - self.last
        if not self.interval_ms:
            return Pace(now, gap)
        interval = self.interval_ms + _PACE_SHARE * (gap - self.interval_ms)
        return Pace(now, interval)

    def capacity(self, wait_ms: float, most: int) -> int:
        """Return how many entries are answered within a wait."""
        if not self.interval_ms:
            return most
        return min(most, max(1, int(wait_ms / self.interval_ms)))
