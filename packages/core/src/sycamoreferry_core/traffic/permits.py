"""Share the room of backend servers exactly among many instances.

Load pattern: one key draws hundreds of requests a second through dozens of
instances, or all of them choose the server that looked idle half a second ago.
One instance counts the requests at some servers and lets them wait in turn. A
request that has no chance to be sent in time is rejected on arrival; where the
demand exceeds the slots, that is measured against its objective.
"""

import collections
import dataclasses
import enum
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import waiting

PermitNumber = typing.NewType('PermitNumber', int)
# Requests for the same servers wait in one line.
LineName = typing.NewType('LineName', str)

# A permit whose return was lost ends after so many durations, at least this.
_HELD_DURATIONS = 6
_LEAST_HELD_MS = 1_500
# An instance asks again well before; one that stopped asking is gone.
_ASKED_FRESH_MS = 700
# Arrivals are counted over this time to see whether demand exceeds the slots.
_DEMAND_WINDOW_MS = 1_000
_SATURATED_SHARE = 1.0


@enum.unique
class PermitVerdict(enum.Enum):
    """Tell what becomes of a request that needs room."""

    GRANTED = 'granted'
    QUEUED = 'queued'
    REJECTED = 'rejected'


@dataclasses.dataclass(frozen=True, slots=True)
class PermitId:
    """Name a request for room by the instance that asks."""

    instance: ids.InstanceId
    number: PermitNumber


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """Hold what the servers of a line can be sent at once."""

    slots: int
    capacity: int
    duration_ms: float
    # Chooses a server by the requests counted at each; None if none has room.
    choose: typing.Callable[
        [waiting.WaitingRequest, typing.Mapping[ids.ServerId, int]],
        ids.ServerId | None,
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """Hold a verdict and what it looked at."""

    permit: PermitId
    verdict: PermitVerdict
    backlog: waiting.Backlog
    # Where the request goes, once it is granted.
    server: ids.ServerId | None = None


@dataclasses.dataclass(slots=True)
class _Asked:
    request: waiting.WaitingRequest
    asked_at: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    server: ids.ServerId
    ends_at: clock.Millis


@dataclasses.dataclass(slots=True)
class _Line:
    """Hold the requests at some servers and those that wait for them."""

    supply: Supply
    held: dict[PermitId, _Held] = dataclasses.field(default_factory=dict)
    queue: dict[PermitId, _Asked] = dataclasses.field(default_factory=dict)
    arrivals: collections.deque[clock.Millis] = dataclasses.field(
        default_factory=collections.deque,
    )

    def drop_stale(self, now: clock.Millis) -> None:
        """Forget permits that are over and instances that stopped asking."""
        self.held = {
            permit: held
            for permit, held in self.held.items()
            if held.ends_at > now
        }
        self.queue = {
            permit: asked
            for permit, asked in self.queue.items()
            if now - asked.asked_at < _ASKED_FRESH_MS
        }
        while self.arrivals and now - self.arrivals[0] > _DEMAND_WINDOW_MS:
            self.arrivals.popleft()

    def is_saturated(self) -> bool:
        """Tell whether more arrives than the server can run."""
        work = len(self.arrivals) * self.supply.duration_ms / _DEMAND_WINDOW_MS
        return work > self.supply.slots * _SATURATED_SHARE

    def choose(self, request: waiting.WaitingRequest) -> ids.ServerId | None:
        """Return a server with room for a request."""
        if len(self.held) >= self.supply.capacity:
            return None
        counted = collections.Counter(
            held.server for held in self.held.values()
        )
        return self.supply.choose(request, counted)

    def backlog(self, ahead: int) -> waiting.Backlog:
        """Return what is ahead of a request in the queue."""
        running_over = max(0, len(self.held) - self.supply.slots)
        return waiting.Backlog(
            ahead + running_over,
            self.supply.slots,
            self.supply.duration_ms,
        )


class PermitDesk:
    """Give out room at the servers that this instance counts for."""

    def __init__(self) -> None:
        self._lines: dict[LineName, _Line] = {}

    @property
    def waiting_count(self) -> int:
        """Return how many requests wait."""
        return sum(len(line.queue) for line in self._lines.values())

    def ask(
        self,
        name: LineName,
        permit: PermitId,
        request: waiting.WaitingRequest,
        supply: Supply,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        """Take a request, or its repetition; return what is decided now."""
        line = self._lines.setdefault(name, _Line(supply))
        line.supply = supply
        held = line.held.get(permit)
        if held is not None:
            return [_granted(permit, line, held.server)]
        if permit not in line.queue:
            line.arrivals.append(now)
        line.queue[permit] = _Asked(request, now)
        decided = self._decide(line, now)
        if permit in line.queue:
            queued = PermitVerdict.QUEUED
            backlog = line.backlog(len(line.queue))
            decided.append(PermitDecision(permit, queued, backlog))
        return decided

    def give_back(
        self,
        name: LineName,
        permit: PermitId,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        """End a permit or a wait; return what is decided now."""
        line = self._lines.get(name)
        if line is None:
            return []
        line.held.pop(permit, None)
        line.queue.pop(permit, None)
        return self._decide(line, now)

    def sweep(self, now: clock.Millis) -> list[PermitDecision]:
        """Return what time alone decides; forget lines without requests."""
        decided = []
        for name, line in list(self._lines.items()):
            decided.extend(self._decide(line, now))
            if not (line.held or line.queue or line.arrivals):
                self._lines.pop(name)
        return decided

    def _decide(
        self,
        line: _Line,
        now: clock.Millis,
    ) -> list[PermitDecision]:
        line.drop_stale(now)
        duration = line.supply.duration_ms
        in_turn = waiting.in_turn(
            line.queue.items(),
            lambda row: row[1].request,
            duration,
            now,
        )
        decided = []
        ahead = 0
        for permit, asked in in_turn:
            server = line.choose(asked.request)
            if server is None and _has_chance(asked.request, line, ahead, now):
                ahead += 1
                continue
            line.queue.pop(permit)
            if server is None:
                decided.append(_rejected(permit, line, ahead))
            else:
                ends_at = _ends_at(asked.request, duration, now)
                line.held[permit] = _Held(server, ends_at)
                decided.append(_granted(permit, line, server))
        return decided


def _granted(
    permit: PermitId,
    line: _Line,
    server: ids.ServerId,
) -> PermitDecision:
    granted = PermitVerdict.GRANTED
    return PermitDecision(permit, granted, line.backlog(0), server)


def _rejected(permit: PermitId, line: _Line, ahead: int) -> PermitDecision:
    rejected = PermitVerdict.REJECTED
    return PermitDecision(permit, rejected, line.backlog(ahead + 1))


def _has_chance(
    request: waiting.WaitingRequest,
    line: _Line,
    ahead: int,
    now: clock.Millis,
) -> bool:
    expected = now + line.backlog(ahead + 1).wait_ms
    duration = line.supply.duration_ms
    latest = waiting.latest_start(request, duration)
    if line.is_saturated():
        # A late request would only displace one that is still on time.
        on_time = clock.Millis(int(request.objective_at - duration))
        latest = min(latest, max(on_time, request.arrived))
    return expected <= latest


def _ends_at(
    request: waiting.WaitingRequest,
    duration_ms: float,
    now: clock.Millis,
) -> clock.Millis:
    held_ms = max(_LEAST_HELD_MS, int(duration_ms * _HELD_DURATIONS))
    return min(request.ends_at, clock.later(now, held_ms))
