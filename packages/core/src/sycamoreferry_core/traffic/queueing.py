"""Queue requests without a free slot and reject those that can't be served.

Load pattern: demand exceeds the slots for seconds, and callers retry. Requests
that can still meet their objective go first, by priority and then by deadline;
a late request takes only capacity that no other request needs.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import owners

_Row = typing.TypeVar('_Row')

# A request that can't be sent within this share of the time between its arrival
# and its deadline is rejected on arrival.
_LATEST_START_SHARE = 0.7
# An attempt takes up to this many mean durations; a stopping instance leaves
# time for it.
_ATTEMPT_DURATIONS = 4
# Callers honour a retry delay of at most a third of their remaining time.
_RETRY_AFTER_SHARE = 0.3
_MIN_RETRY_AFTER_MS = 50
_MAX_RETRY_AFTER_MS = 2_000
_RETRY_AFTER_JITTER = 0.5
# Callers that are rejected for a back-off return spread over this time.
_RETURN_SPREAD_MS = 500


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """Hold what decides the position of a request in a queue."""

    service: ids.ServiceName
    key: owners.Key | None
    priority: int
    arrived: clock.Millis
    objective_at: clock.Millis
    ends_at: clock.Millis
    excluded: frozenset[ids.ServerId] = frozenset()
    has_large_answer: bool = False
    # Set if the instance that holds the request stops before ends_at.
    answer_by: clock.Millis | None = None
    # The data centre that received the request.
    data_centre: ids.DataCentre = ids.DataCentre('')


@dataclasses.dataclass(frozen=True, slots=True)
class Backlog:
    """Describe the requests ahead of one in a queue and their service rate."""

    ahead: float
    slots: float
    duration_ms: float
    # The rest of a back-off, before which no request is sent.
    back_off_ms: int = 0

    @property
    def wait_ms(self) -> float:
        """Return the expected wait in milliseconds."""
        queued_ms = self.ahead * self.duration_ms / (self.slots or 1)
        return self.back_off_ms + queued_ms


def queue_position(
    request: QueuedRequest,
    duration_ms: float,
    now: clock.Millis,
) -> tuple[bool, int, int]:
    """Return a request's sort key: on time first, then priority, deadline."""
    is_late = now + duration_ms > request.objective_at
    return is_late, request.priority, request.ends_at


def latest_start(
    request: QueuedRequest,
    duration_ms: float,
) -> clock.Millis:
    """Return the latest time at which a request may be sent."""
    span = request.ends_at - request.arrived
    latest_by_share = request.arrived + int(span * _LATEST_START_SHARE)
    latest_by_duration = int(request.ends_at - duration_ms)
    latest = min(latest_by_share, latest_by_duration)
    if request.answer_by is not None:
        attempt_ms = int(duration_ms * _ATTEMPT_DURATIONS)
        latest = min(latest, request.answer_by - attempt_ms)
    return clock.Millis(latest)


def can_be_served(
    request: QueuedRequest,
    backlog: Backlog,
    now: clock.Millis,
) -> bool:
    """Return whether a request is expected to be sent in time."""
    if not (backlog.ahead or backlog.back_off_ms):
        return True
    expected = now + backlog.wait_ms
    return expected <= latest_start(request, backlog.duration_ms)


def retry_delay_ms(
    remaining_ms: int,
    backlog: Backlog,
    jitter: float,
) -> int:
    """Return the delay before a rejected caller should retry, in ms."""
    if backlog.back_off_ms:
        spread_ms = int(_RETURN_SPREAD_MS * jitter)
        return max(_MIN_RETRY_AFTER_MS, backlog.back_off_ms + spread_ms)
    wanted = max(backlog.wait_ms, _MIN_RETRY_AFTER_MS)
    wanted *= 1 + _RETRY_AFTER_JITTER * jitter
    longest = min(_MAX_RETRY_AFTER_MS, remaining_ms * _RETRY_AFTER_SHARE)
    return int(max(_MIN_RETRY_AFTER_MS, min(wanted, longest)))


def sort_queue(
    rows: typing.Iterable[_Row],
    request_of: typing.Callable[[_Row], QueuedRequest],
    duration_ms: float,
    now: clock.Millis,
) -> list[_Row]:
    """Return rows sorted by the queue position of their requests."""
    return sorted(
        rows,
        key=lambda row: queue_position(request_of(row), duration_ms, now),
    )
