"""Share the capacity of backend servers exactly among many instances.

Load pattern: one key draws hundreds of requests a second through dozens of
instances, or all of them choose the server that looked idle half a second ago.
One instance counts the requests at a group of servers and queues the excess. A
request that is not expected to be sent in time is rejected on arrival. In time
means before its deadline or, while demand exceeds the slots, early enough to
meet its objective.
"""

import collections
import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import queueing

PermitNumber = typing.NewType('PermitNumber', int)
# Requests for the same servers share one queue.
QueueName = typing.NewType('QueueName', str)

# A permit whose release was lost expires after this many mean durations, but
# not before the minimum.
_PERMIT_DURATIONS = 6
_MIN_PERMIT_MS = 1_500
# Instances repeat their requests well within this time; one that does not is
# considered down.
_RENEWAL_TIMEOUT_MS = 700
# Arrivals are counted over this time to detect demand above the slots.
_DEMAND_WINDOW_MS = 1_000
_SATURATED_SHARE = 1.0


@enum.unique
class PermitVerdict(enum.Enum):
    """Name the decisions on a request for a permit."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True, slots=True)
class PermitId:
    """Identify a permit by the instance that requests it and a number."""

    instance: ids.InstanceId
    number: PermitNumber


def _ignore_grant(_server: ids.ServerId) -> None:
    """Ignore grants where no server limits its rate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Describe the combined capacity of the servers of a queue."""

    slots: float
    capacity: int
    duration_ms: float
    # Chooses a server by the requests in flight at each; None if all are full.
    choose: typing.Callable[
        [queueing.QueuedRequest, typing.Mapping[ids.ServerId, int]],
        ids.ServerId | None,
    ]
    # Counts a granted request against the rate limit of its server.
    record_grant: typing.Callable[[ids.ServerId], None] = _ignore_grant


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """Report the verdict on a permit and the backlog behind it."""

    permit: PermitId
    verdict: PermitVerdict
    backlog: queueing.Backlog
    # The server to send the request to; None unless granted.
    server: ids.ServerId | None = None


@dataclasses.dataclass(slots=True)
class _QueuedRequest:
    request: queueing.QueuedRequest
    renewed_at: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class _Permit:
    server: ids.ServerId
    ends_at: clock.Millis


@dataclasses.dataclass(slots=True)
class _PermitQueue:
    """Track the permits for a group of servers and the queued requests."""

    supply: Supply
    held: dict[PermitId, _Permit] = dataclasses.field(default_factory=dict)
    queued: dict[PermitId, _QueuedRequest] = dataclasses.field(
        default_factory=dict
    )
    arrivals: collections.deque[clock.Millis] = dataclasses.field(
        default_factory=collections.deque,
    )

    def drop_stale(self, now: clock.Millis) -> None:
        """Drop expired permits and requests that were not repeated."""
        self.held = {
            permit: held
            for permit, held in self.held.items()
            if held.ends_at > now
        }
        self.queued = {
            permit: asked
            for permit, asked in self.queued.items()
            if now - asked.renewed_at < _RENEWAL_TIMEOUT_MS
        }
        while self.arrivals and now - self.arrivals[0] > _DEMAND_WINDOW_MS:
            self.arrivals.popleft()

    def is_saturated(self) -> bool:
        """Return whether demand exceeds the slots of the servers."""
        work = len(self.arrivals) * self.supply.duration_ms / _DEMAND_WINDOW_MS
        return work > self.supply.slots * _SATURATED_SHARE

    def choose(self, request: queueing.QueuedRequest) -> ids.ServerId | None:
        """Return a server with room for a request; None if all are full."""
        if len(self.held) >= self.supply.capacity:
            return None
        counted = collections.Counter(
            held.server for held in self.held.values()
        )
        return self.supply.choose(request, counted)

    def backlog(self, ahead: int) -> queueing.Backlog:
        """Return the backlog ahead of a request in the queue."""
        running_over = max(0, len(self.held) - self.supply.slots)
        return queueing.Backlog(
            ahead + running_over,
            self.supply.slots,
            self.supply.duration_ms,
        )


class PermitIssuer:
    """Grant permits for the servers whose requests this instance counts."""

    def __init__(self) -> None:
        self._queues: dict[QueueName, _PermitQueue] = {}

    @property
    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue.queued) for queue in self._queues.values())

    def request_permit(
        self,
        name: QueueName,
        permit: PermitId,
        request: queueing.QueuedRequest,
        supply: Supply,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        """Queue a request or renew it; return the decisions that follow."""
        queue = self._queues.setdefault(name, _PermitQueue(supply))
        queue.supply = supply
        held = queue.held.get(permit)
        if held is not None:
            return [_granted(permit, queue, held.server)]
        if permit not in queue.queued:
            queue.arrivals.append(now)
        queue.queued[permit] = _QueuedRequest(request, now)
        decided = self._decide(queue, now)
        if permit in queue.queued:
            queued = PermitVerdict.QUEUED
            backlog = queue.backlog(len(queue.queued))
            decided.append(PermitDecision(permit, queued, backlog))
        return decided

    def release(
        self,
        name: QueueName,
        permit: PermitId,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        """Release a permit or leave the queue; return what is decided now."""
        queue = self._queues.get(name)
        if queue is None:
            return []
        queue.held.pop(permit, None)
        queue.queued.pop(permit, None)
        return self._decide(queue, now)

    def decide_due(self, now: clock.Millis) -> list[PermitDecision]:
        """Return the decisions due by now; drop queues without requests."""
        decided = []
        for name, queue in list(self._queues.items()):
            decided.extend(self._decide(queue, now))
            if not (queue.held or queue.queued or queue.arrivals):
                self._queues.pop(name)
        return decided

    def _decide(
        self,
        queue: _PermitQueue,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        queue.drop_stale(now)
        duration = queue.supply.duration_ms
        in_turn = queueing.sort_queue(
            queue.queued.items(),
            lambda row: row[1].request,
            duration,
            now,
        )
        decided = []
        ahead = 0
        # The exclusions with which no server had room. Trying each queued
        # request took most of an issuer's processor time while servers were
        # paced.
        full: list[frozenset[ids.ServerId]] = []
        for permit, asked in in_turn:
            server = None
            if not any(tried <= asked.request.excluded for tried in full):
                server = queue.choose(asked.request)
                if server is None:
                    full.append(asked.request.excluded)
            if server is None and _can_start_in_time(
                asked.request, queue, ahead, now
            ):
                ahead += 1
                continue
            queue.queued.pop(permit)
            if server is None:
                decided.append(_rejected(permit, queue, ahead))
            else:
                ends_at = _expires_at(asked.request, duration, now)
                queue.held[permit] = _Permit(server, ends_at)
                queue.supply.record_grant(server)
                decided.append(_granted(permit, queue, server))
        return decided


def _granted(
    permit: PermitId,
    queue: _PermitQueue,
    server: ids.ServerId,
) -> PermitDecision:
    granted = PermitVerdict.GRANTED
    return PermitDecision(permit, granted, queue.backlog(0), server)


def _rejected(
    permit: PermitId, queue: _PermitQueue, ahead: int
) -> PermitDecision:
    rejected = PermitVerdict.REJECTED
    return PermitDecision(permit, rejected, queue.backlog(ahead + 1))


def _can_start_in_time(
    request: queueing.QueuedRequest,
    queue: _PermitQueue,
    ahead: int,
    now: clock.Millis,
) -> bool:
    expected = now + queue.backlog(ahead + 1).wait_ms
    duration = queue.supply.duration_ms
    latest = queueing.latest_start(request, duration)
    if queue.is_saturated():
        # A late request would displace one that can still meet its objective.
        on_time = clock.Millis(int(request.objective_at - duration))
        latest = min(latest, max(on_time, request.arrived))
    return expected <= latest


def _expires_at(
    request: queueing.QueuedRequest,
    duration_ms: float,
    now: clock.Millis,
) -> clock.Millis:
    held_ms = max(_MIN_PERMIT_MS, int(duration_ms * _PERMIT_DURATIONS))
    return min(request.ends_at, clock.later(now, held_ms))
