"""Account for the memory that the connections of callers hold.

Load pattern: many callers send large requests of a permitted size at once and
stop just short of their end, send more than the servers can run, or do not
read their answers. Each connection is within its limits, but together they
exceed the memory of the machine, and the process ends with the requests of all
callers. The connections that hold most for longest give way before that.
"""

import collections
import dataclasses
import enum
import operator
import typing

from sycamoreferry_core import clock

# Ordinary requests hold less than this with their connection.
SMALL_BYTES = 32_768
# A new connection has this time to send the start of a request.
_FIRST_REQUEST_MS = 1_000
# This share of the memory is left to them.
_SMALL_SHARE = 1 / 8

Holder = typing.Hashable


@enum.unique
class HolderState(enum.Enum):
    """Tell why a connection holds memory."""

    IDLE = 'idle'
    INCOMPLETE = 'incomplete'
    # Its requests are complete, and none of them was sent on.
    WAITING = 'waiting'
    # A request was sent on, so that it may run; it can't be refused.
    FORWARDED = 'forwarded'
    UNREAD = 'unread'


@dataclasses.dataclass(slots=True)
class _Held:
    size: int
    state: HolderState
    # When the state began.
    entered_at: clock.Millis
    # When the size was recorded.
    since: clock.Millis
    # The bytes times the milliseconds that they were held until `since`.
    byte_ms: int = 0

    @property
    def is_large(self) -> bool:
        return self.size > SMALL_BYTES

    def weight(self, now: clock.Millis) -> int:
        # One millisecond more, so that the larger of two new ones weighs more.
        return self.byte_ms + self.size * (now - self.since + 1)


class CallerMemory:
    """Choose the connections that give way when their memory is used up."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit = limit_bytes
        self._large_limit = limit_bytes - int(limit_bytes * _SMALL_SHARE)
        self._known: dict[Holder, _Held] = {}
        self._total = 0
        self._large = 0
        self._evicted: collections.Counter[HolderState] = collections.Counter()

    @property
    def limit_bytes(self) -> int:
        """Return the limit for all holders."""
        return self._limit

    @property
    def held_bytes(self) -> int:
        """Return what all holders hold."""
        return self._total

    @property
    def free_bytes(self) -> int:
        """Return what a large holder can take without another giving way."""
        return max(
            0,
            min(self._large_limit - self._large, self._limit - self._total),
        )

    @property
    def evicted(self) -> typing.Mapping[HolderState, int]:
        """Return how many holders had to give way, by their state."""
        return self._evicted

    def reserve(
        self,
        holder: Holder,
        held: int,
        state: HolderState,
        now: clock.Millis,
    ) -> list[Holder]:
        """Record the bytes that a holder holds in all, and its state.

        Returns the holders that must give way, which may include this one. They
        are released here; their owner closes them.
        """
        known = self._known.get(holder)
        if known is None:
            known = _Held(0, state, now, now)
            self._known[holder] = known
        self._subtract(known)
        known.byte_ms += known.size * (now - known.since)
        if state is HolderState.IDLE:
            # What a connection held for earlier requests counts no more.
            known.byte_ms = 0
        if state is not known.state:
            known.entered_at = now
        known.size = held
        known.state = state
        known.since = now
        self._total += held
        if known.is_large:
            self._large += held
        if not self._is_over():
            return []
        return self._evict(now)

    def release(self, holder: Holder) -> None:
        """Forget a holder that holds nothing more."""
        known = self._known.pop(holder, None)
        if known is not None:
            self._subtract(known)

    def longest_unused(
        self, among: typing.Collection[Holder], now: clock.Millis
    ) -> Holder | None:
        """Return the holder to close if there are too many; None if none may.

        It is the one that has been idle longest, or else the one that has been
        sending a request for longest.
        """
        idle = self._longest(HolderState.IDLE, among)
        if idle is None or now - idle[0] < _FIRST_REQUEST_MS:
            incomplete = self._longest(HolderState.INCOMPLETE, among)
            idle = incomplete or idle
        return None if idle is None else idle[2]

    def _longest(
        self, state: HolderState, among: typing.Collection[Holder]
    ) -> tuple[clock.Millis, int, Holder] | None:
        known = self._known
        found = (
            (known[holder].entered_at, number, holder)
            for number, holder in enumerate(among)
            if holder in known and known[holder].state is state
        )
        return min(found, default=None)

    def _subtract(self, known: _Held) -> None:
        self._total -= known.size
        if known.is_large:
            self._large -= known.size

    def _is_over(self) -> bool:
        return self._total > self._limit or self._large > self._large_limit

    def _evict(self, now: clock.Millis) -> list[Holder]:
        """Evict large holders first; small ones only if these are too many."""
        ranked = sorted(
            (
                (known.is_large, known.weight(now), number, holder)
                for number, (holder, known) in enumerate(self._known.items())
                if known.state is not HolderState.FORWARDED and known.size
            ),
            key=operator.itemgetter(0, 1, 2),
            reverse=True,
        )
        evicted = []
        for _, _, _, holder in ranked:
            is_small = not self._known[holder].is_large
            if not self._is_over() or (is_small and self._total <= self._limit):
                break
            self._evicted[self._known[holder].state] += 1
            self.release(holder)
            evicted.append(holder)
        return evicted
