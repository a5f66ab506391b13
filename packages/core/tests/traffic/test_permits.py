"""Replay a hot key that many instances send to at once."""

import heapq
import itertools
import random
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import permits, waiting

SERVER = ids.ServerId('s1')
LINE = permits.LineName('s1')
SLOTS = 2
WORK_MS = 170
# What a server queues before it resets connections.
SERVER_QUEUE = 8
OBJECTIVE_MS = 600
DEADLINE_MS = 4_000
INSTANCES = 71
# Requests a second for one key, as on the grown sites.
RATE = 166
LENGTH_MS = 10_000
NEWS_MS = 450


def _choose(
    _request: waiting.WaitingRequest,
    counted: typing.Mapping[ids.ServerId, int],
) -> ids.ServerId | None:
    return SERVER if counted.get(SERVER, 0) <= SLOTS else None


ROOM = permits.Supply(SLOTS, SLOTS + 1, WORK_MS, _choose)


def _request(now: int, priority: int = 1) -> waiting.WaitingRequest:
    return waiting.WaitingRequest(
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
    while now < LENGTH_MS:
        now += source.expovariate(RATE / clock.MILLIS_PER_SECOND)
        found.append(int(now))
    return found


class _Replay:
    """Run granted requests in the slots of one server."""

    def __init__(self) -> None:
        self.desk = permits.PermitDesk()
        self.arrived: dict[permits.PermitId, int] = {}
        self.running: list[tuple[int, permits.PermitId]] = []
        self.free_at = [0] * SLOTS
        self.most_at_server = 0
        self.served_at: dict[permits.PermitId, int] = {}
        self.held_ms: list[int] = []

    def take(self, decided: list[permits.PermitDecision], now: int) -> None:
        for one in decided:
            if one.verdict is permits.PermitVerdict.GRANTED:
                starts_at = max(now, heapq.heappop(self.free_at))
                heapq.heappush(self.free_at, starts_at + WORK_MS)
                heapq.heappush(self.running, (starts_at + WORK_MS, one.permit))
                running = len(self.running)
                self.most_at_server = max(self.most_at_server, running)
            elif one.verdict is permits.PermitVerdict.REJECTED:
                self.held_ms.append(now - self.arrived[one.permit])

    def end_until(self, now: int) -> None:
        while self.running and self.running[0][0] <= now:
            ended_at, permit = heapq.heappop(self.running)
            self.served_at[permit] = ended_at
            ended = clock.Millis(ended_at)
            self.take(self.desk.give_back(LINE, permit, ended), ended_at)

    def play(self, arrivals: list[int]) -> None:
        waits = []
        for number, now in enumerate(arrivals):
            self.end_until(now)
            permit = _permit(number)
            self.arrived[permit] = now
            request = _request(now)
            waits.append((permit, request))
            moment = clock.Millis(now)
            decided = self.desk.ask(LINE, permit, request, ROOM, moment)
            self.take(decided, now)

    def on_time(self) -> int:
        return sum(
            1
            for permit, ended_at in self.served_at.items()
            if ended_at - self.arrived[permit] <= OBJECTIVE_MS
        )


def _sent_with_old_news(arrivals: list[int]) -> int:
    """Return the most at a server if all judge by the last news."""
    most = 0
    free_at = [0] * SLOTS
    ends: list[int] = []
    known = 0
    told_at = 0
    for now in arrivals:
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        if now - told_at >= NEWS_MS:
            known, told_at = len(ends), now
        if known < ROOM.capacity:
            starts_at = max(now, heapq.heappop(free_at))
            heapq.heappush(free_at, starts_at + WORK_MS)
            heapq.heappush(ends, starts_at + WORK_MS)
        most = max(most, len(ends))
    return most


def test_hot_key_overruns_its_server_only_with_old_news() -> None:
    arrivals = _arrivals(seed=7)
    replay = _Replay()
    replay.play(arrivals)
    assert replay.most_at_server <= ROOM.capacity
    assert _sent_with_old_news(arrivals) > SLOTS + SERVER_QUEUE


def test_hot_key_keeps_slots_busy_with_requests_on_time() -> None:
    replay = _Replay()
    replay.play(_arrivals(seed=7))
    possible = LENGTH_MS // WORK_MS * SLOTS
    assert replay.on_time() >= 0.9 * possible


def test_requests_without_a_chance_are_rejected_early() -> None:
    replay = _Replay()
    replay.play(_arrivals(seed=7))
    early = sum(1 for held in replay.held_ms if held <= OBJECTIVE_MS // 8)
    assert early >= 0.9 * len(replay.held_ms)


def test_urgent_request_goes_first() -> None:
    desk = permits.PermitDesk()
    now = clock.Millis(0)
    for number in range(ROOM.capacity):
        desk.ask(LINE, _permit(number), _request(0), ROOM, now)
    desk.ask(LINE, _permit(10), _request(0, priority=2), ROOM, now)
    desk.ask(LINE, _permit(11), _request(0, priority=0), ROOM, now)
    decided = desk.give_back(LINE, _permit(0), clock.Millis(10))
    assert [one.permit for one in decided] == [_permit(11)]


def test_repeated_ask_gets_the_same_grant() -> None:
    desk = permits.PermitDesk()
    for moment in (0, 120):
        now = clock.Millis(moment)
        decided = desk.ask(LINE, _permit(1), _request(0), ROOM, now)
        assert [one.verdict for one in decided] == [
            permits.PermitVerdict.GRANTED,
        ]
    others = itertools.chain.from_iterable(
        desk.ask(LINE, _permit(n), _request(0), ROOM, clock.Millis(130))
        for n in range(2, 4)
    )
    granted = [one.verdict for one in others]
    assert granted == [permits.PermitVerdict.GRANTED] * 2


def test_permit_whose_return_was_lost_ends() -> None:
    desk = permits.PermitDesk()
    now = clock.Millis(0)
    for number in range(ROOM.capacity):
        desk.ask(LINE, _permit(number), _request(0), ROOM, now)
    later = clock.Millis(DEADLINE_MS)
    decided = desk.ask(LINE, _permit(9), _request(later), ROOM, later)
    assert [one.verdict for one in decided] == [permits.PermitVerdict.GRANTED]


def test_wait_of_an_instance_that_is_gone_ends() -> None:
    desk = permits.PermitDesk()
    now = clock.Millis(0)
    for number in range(ROOM.capacity + 1):
        desk.ask(LINE, _permit(number), _request(0), ROOM, now)
    assert desk.waiting_count == 1
    desk.sweep(clock.Millis(800))
    assert desk.waiting_count == 0
