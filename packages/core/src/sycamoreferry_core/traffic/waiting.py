"""Hold requests that find no room, and reject those that can't be served.

Load pattern: demand exceeds the slots for seconds, and callers return. What
can still be answered within its objective goes first, by priority and then by
the time it has left; a late request takes only room that nobody else needs.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import owners

_Row = typing.TypeVar('_Row')

# A request that can't be answered by then is rejected on arrival.
_USABLE_SHARE = 0.7
# Callers come back at most after a third of what they have left.
_RETURN_SHARE = 0.3
_LEAST_RETURN_MS = 50
_LONGEST_RETURN_MS = 2_000
_RETURN_JITTER = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class WaitingRequest:
    """Hold what decides the turn of a request."""

    service: ids.ServiceName
    key: owners.Key | None
    priority: int
    arrived: clock.Millis
    objective_at: clock.Millis
    ends_at: clock.Millis
    excluded: frozenset[ids.ServerId] = frozenset()
    has_large_answer: bool = False
    # Where the request came in.
    data_centre: ids.DataCentre = ids.DataCentre('')


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Hold what is ahead of a request."""

    ahead: int
    slots: float
    duration_ms: float

    @property
    def wait_ms(self) -> float:
        """Return the expected wait in milliseconds."""
        return self.ahead * self.duration_ms / max(self.slots, 1)


def turn(
    waiting: WaitingRequest,
    duration_ms: float,
    now: clock.Millis,
) -> tuple[bool, int, int]:
    """Return the sort key of a request: on time, urgent, then short of time."""
    is_late = now + duration_ms > waiting.objective_at
    return is_late, waiting.priority, waiting.ends_at


def latest_start(
    waiting: WaitingRequest,
    duration_ms: float,
) -> clock.Millis:
    """Return when a request has to be sent at the latest."""
    span = waiting.ends_at - waiting.arrived
    share_ends = waiting.arrived + int(span * _USABLE_SHARE)
    by_duration = int(waiting.ends_at - duration_ms)
    return clock.Millis(min(share_ends, by_duration))


def can_be_served(
    waiting: WaitingRequest,
    backlog: Backlog,
    now: clock.Millis,
) -> bool:
    """Tell whether a request is likely to be sent in time."""
    if not backlog.ahead:
        return True
    expected = now + backlog.wait_ms
    return expected <= latest_start(waiting, backlog.duration_ms)


def return_after_ms(
    remaining_ms: int,
    backlog: Backlog,
    jitter: float,
) -> int:
    """Return when a rejected caller should come back, in milliseconds."""
    wanted = max(backlog.wait_ms, _LEAST_RETURN_MS)
    wanted *= 1 + _RETURN_JITTER * jitter
    longest = min(_LONGEST_RETURN_MS, remaining_ms * _RETURN_SHARE)
    return int(max(_LEAST_RETURN_MS, min(wanted, longest)))


def in_turn(
    rows: typing.Iterable[_Row],
    request_of: typing.Callable[[_Row], WaitingRequest],
    duration_ms: float,
    now: clock.Millis,
) -> list[_Row]:
    """Return what holds waiting requests in the order of their turns."""
    return sorted(
        rows,
        key=lambda row: turn(request_of(row), duration_ms, now),
    )
