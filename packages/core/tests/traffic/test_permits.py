"""Simulate a hot key whose requests arrive at many instances at once."""

import heapq
import itertools
import random
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import permits, queueing

SERVER = ids.ServerId('s1')
QUEUE_NAME = permits.QueueName('s1')
SLOTS = 2
WORK_MS = 170
# What a server queues before it resets connections.
SERVER_QUEUE = 8
OBJECTIVE_MS = 600
DEADLINE_MS = 4_000
INSTANCES = 71
# Requests a second for one key, as in a large deployment.
RATE = 166
RUN_MS = 10_000
REPORT_INTERVAL_MS = 450


def _choose(
    _request: queueing.QueuedRequest,
    counted: typing.Mapping[ids.ServerId, int],
) -> ids.ServerId | None:
    return SERVER if counted.get(SERVER, 0) <= SLOTS else None


SUPPLY = permits.Supply(SLOTS, SLOTS + 1, WORK_MS, _choose)


def _request(now: int, priority: int = 1) -> queueing.QueuedRequest:
    return queueing.QueuedRequest(
        ids.ServiceName('v'),
        None,
        priority,
        clock.Millis(now),
        clock.Millis(now + OBJECTIVE_MS),
        clock.Millis(now + DEADLINE_MS),
    )


def _permit(number: int) -> permits.PermitId:
    return permits.PermitId(
        ids.InstanceId(f'front-{number % INSTANCES}'),
        permits.PermitNumber(number),
    )


def _arrivals(seed: int) -> list[int]:
    source = random.Random(seed)
    found = []
    now = 0.0
    while now < RUN_MS:
        now += source.expovariate(RATE / clock.MILLIS_PER_SECOND)
        found.append(int(now))
    return found


class _Simulation:
    """Simulate granted requests in the slots of one server."""

    def __init__(self) -> None:
        self.issuer = permits.PermitIssuer()
        self.arrived: dict[permits.PermitId, int] = {}
        self.running: list[tuple[int, permits.PermitId]] = []
        self.free_at = [0] * SLOTS
        self.most_at_server = 0
        self.served_at: dict[permits.PermitId, int] = {}
        self.rejected_after_ms: list[int] = []

    def apply(self, decided: list[permits.PermitDecision], now: int) -> None:
        for decision in decided:
            if decision.verdict is permits.PermitVerdict.GRANTED:
                starts_at = max(now, heapq.heappop(self.free_at))
                heapq.heappush(self.free_at, starts_at + WORK_MS)
                heapq.heappush(
                    self.running, (starts_at + WORK_MS, decision.permit)
                )
                running = len(self.running)
                self.most_at_server = max(self.most_at_server, running)
            elif decision.verdict is permits.PermitVerdict.REJECTED:
                self.rejected_after_ms.append(
                    now - self.arrived[decision.permit]
                )

    def finish_until(self, now: int) -> None:
        while self.running and self.running[0][0] <= now:
            ended_at, permit = heapq.heappop(self.running)
            self.served_at[permit] = ended_at
            ended = clock.Millis(ended_at)
            self.apply(self.issuer.release(QUEUE_NAME, permit, ended), ended_at)

    def run(self, arrivals: list[int]) -> None:
        waits = []
        for number, now in enumerate(arrivals):
            self.finish_until(now)
            permit = _permit(number)
            self.arrived[permit] = now
            request = _request(now)
            waits.append((permit, request))
            moment = clock.Millis(now)
            decided = self.issuer.request_permit(
                QUEUE_NAME, permit, request, SUPPLY, moment
            )
            self.apply(decided, now)

    def on_time(self) -> int:
        return sum(
            1
            for permit, ended_at in self.served_at.items()
            if ended_at - self.arrived[permit] <= OBJECTIVE_MS
        )


def _most_in_flight_with_stale_reports(arrivals: list[int]) -> int:
    """Return the most requests in flight if all act on the last report."""
    most = 0
    free_at = [0] * SLOTS
    ends: list[int] = []
    known = 0
    reported_at = 0
    for now in arrivals:
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if now - reported_at >= REPORT_INTERVAL_MS:
            known, reported_at = len(ends), now
        if known < SUPPLY.capacity:
            starts_at = max(now, heapq.heappop(free_at))
            heapq.heappush(free_at, starts_at + WORK_MS)
            heapq.heappush(ends, starts_at + WORK_MS)
        most = max(most, len(ends))
    return most


def test_permits_keep_a_hot_key_within_capacity_unlike_stale_reports() -> None:
    arrivals = _arrivals(seed=7)
    simulation = _Simulation()
    simulation.run(arrivals)
    assert simulation.most_at_server <= SUPPLY.capacity
    assert _most_in_flight_with_stale_reports(arrivals) > SLOTS + SERVER_QUEUE


def test_hot_key_keeps_slots_busy_with_requests_on_time() -> None:
    simulation = _Simulation()
    simulation.run(_arrivals(seed=7))
    possible = RUN_MS // WORK_MS * SLOTS
    assert simulation.on_time() >= 0.9 * possible


def test_requests_that_cannot_start_in_time_are_rejected_early() -> None:
    simulation = _Simulation()
    simulation.run(_arrivals(seed=7))
    early = sum(
        1
        for waited_ms in simulation.rejected_after_ms
        if waited_ms <= OBJECTIVE_MS // 8
    )
    assert early >= 0.9 * len(simulation.rejected_after_ms)


def test_request_of_higher_priority_is_granted_first() -> None:
    issuer = permits.PermitIssuer()
    now = clock.Millis(0)
    for number in range(SUPPLY.capacity):
        issuer.request_permit(
            QUEUE_NAME, _permit(number), _request(0), SUPPLY, now
        )
    issuer.request_permit(
        QUEUE_NAME, _permit(10), _request(0, priority=2), SUPPLY, now
    )
    issuer.request_permit(
        QUEUE_NAME, _permit(11), _request(0, priority=0), SUPPLY, now
    )
    decided = issuer.release(QUEUE_NAME, _permit(0), clock.Millis(10))
    assert [decision.permit for decision in decided] == [_permit(11)]


def test_repeated_request_keeps_its_grant() -> None:
    issuer = permits.PermitIssuer()
    for moment in (0, 120):
        now = clock.Millis(moment)
        decided = issuer.request_permit(
            QUEUE_NAME, _permit(1), _request(0), SUPPLY, now
        )
        assert [decision.verdict for decision in decided] == [
            permits.PermitVerdict.GRANTED,
        ]
    others = itertools.chain.from_iterable(
        issuer.request_permit(
            QUEUE_NAME, _permit(n), _request(0), SUPPLY, clock.Millis(130)
        )
        for n in range(2, 4)
    )
    granted = [decision.verdict for decision in others]
    assert granted == [permits.PermitVerdict.GRANTED] * 2


def test_permit_whose_release_was_lost_expires() -> None:
    issuer = permits.PermitIssuer()
    now = clock.Millis(0)
    for number in range(SUPPLY.capacity):
        issuer.request_permit(
            QUEUE_NAME, _permit(number), _request(0), SUPPLY, now
        )
    later = clock.Millis(DEADLINE_MS)
    decided = issuer.request_permit(
        QUEUE_NAME, _permit(9), _request(later), SUPPLY, later
    )
    assert [decision.verdict for decision in decided] == [
        permits.PermitVerdict.GRANTED
    ]


def test_queued_request_of_a_stopped_instance_expires() -> None:
    issuer = permits.PermitIssuer()
    now = clock.Millis(0)
    for number in range(SUPPLY.capacity + 1):
        issuer.request_permit(
            QUEUE_NAME, _permit(number), _request(0), SUPPLY, now
        )
    assert issuer.waiting_count == 1
    issuer.decide_due(clock.Millis(800))
    assert issuer.waiting_count == 0


def test_full_servers_are_tried_once_for_all_queued_requests() -> None:
    """An issuer of paced servers tried them for each queued request."""
    tried: list[queueing.QueuedRequest] = []

    def choose(
        request: queueing.QueuedRequest,
        _counted: typing.Mapping[ids.ServerId, int],
    ) -> None:
        tried.append(request)

    supply = permits.Supply(SLOTS, SLOTS + 1, WORK_MS, choose)
    issuer = permits.PermitIssuer()
    for number in range(10):
        permit = _permit(number)
        issuer.request_permit(
            QUEUE_NAME, permit, _request(0), supply, clock.Millis(0)
        )
    tried.clear()
    issuer.decide_due(clock.Millis(1))
    assert len(tried) == 1
