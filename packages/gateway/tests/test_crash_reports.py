"""Check what instances report to each other of requests that crash servers."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import crashes
from sycamoreferry_gateway import (
    event_log,
    instance,
    peer_messages,
    peer_socket,
)
from sycamoreferry_ports import boot_clock

SIGNATURE = crashes.Signature(7)
SENDER = ('127.0.0.1', 1)
# The longest block, and some more.
BLOCK_S = 125
CRASHES = 5_000
# An instance hears as many within the platform's StabilityWindow.
HEARTBEATS = 15
HEARTBEAT_MS = 200


def _heartbeat(source: instance.Instance) -> peer_messages.Heartbeat:
    heartbeats = source._exchange._heartbeats
    return heartbeats.with_crashes(heartbeats.build([], is_leaving=False))


class _Pair:
    """Pass the heartbeats of two instances to each other."""

    def __init__(self, instances: list[instance.Instance]) -> None:
        self.instances = instances
        self.clock = clock.ManualClock()

    def crash(self, number: int, signature: crashes.Signature) -> None:
        incarnation = servers.ServerIncarnation(
            ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
        )
        guard = self.instances[0]._view.crashes
        run = guard.runs.begin(signature, incarnation, self.clock.now())
        guard.runs.end(run, self.clock.now())
        guard.confirm_crashes(incarnation, self.clock.now())

    def exchange(self) -> None:
        first, second = self.instances
        for source, target in ((first, second), (second, first)):
            target._exchange.message_handler.handle(_heartbeat(source), SENDER)
            source._view.crashes.prune(self.clock.now())

    def blocked(self, signature: crashes.Signature) -> list[bool]:
        now = self.clock.now()
        return [
            one._view.crashes.history.is_blocked(signature, now)
            for one in self.instances
        ]


@pytest.fixture
def pair(
    sample_deployment: deployment.Deployment,
    quiet_log: event_log.EventLog,
    monkeypatch: pytest.MonkeyPatch,
) -> _Pair:
    made = _Pair(
        [instance.Instance(sample_deployment, quiet_log) for _ in range(2)]
    )
    monkeypatch.setattr(boot_clock.BootClock, 'now', lambda _: made.clock.now())
    return made


def test_block_is_renewed_by_the_reports_of_other_instances(
    pair: _Pair,
) -> None:
    for number in range(3):
        pair.crash(number, SIGNATURE)
    pair.exchange()
    assert pair.blocked(SIGNATURE) == [True, True]
    for _ in range(BLOCK_S):
        pair.clock.advance(clock.MILLIS_PER_SECOND)
        pair.exchange()
    assert pair.blocked(SIGNATURE) == [False, False]


def test_heartbeat_grows_with_all_crashes_and_is_dropped(pair: _Pair) -> None:
    for number in range(CRASHES):
        pair.crash(number, crashes.Signature(number * number + 1_000))
    for number in range(3):
        pair.crash(CRASHES + number, SIGNATURE)
    sizes = []
    for _ in range(HEARTBEATS):
        pair.clock.advance(HEARTBEAT_MS)
        heartbeat = _heartbeat(pair.instances[0])
        sizes.append(len(peer_messages.encode(heartbeat)))
        pair.exchange()
    assert max(sizes) < peer_socket.MAX_DATAGRAM_BYTES / 10
    assert pair.blocked(SIGNATURE) == [True, True]


def test_instance_that_starts_late_learns_of_a_block(pair: _Pair) -> None:
    for number in range(3):
        pair.crash(number, SIGNATURE)
    pair.clock.advance(BLOCK_S * clock.MILLIS_PER_SECOND // 2)
    for _ in range(HEARTBEATS):
        pair.clock.advance(HEARTBEAT_MS)
        pair.exchange()
    assert pair.blocked(SIGNATURE) == [True, True]


def test_instance_that_starts_late_takes_an_answered_request_for_the_cause(
    pair: _Pair,
) -> None:
    first, second = (one._view.crashes for one in pair.instances)
    first.record_answer(SIGNATURE, pair.clock.now())
    pair.clock.advance(1)
    for number in range(3):
        pair.crash(number, SIGNATURE)
    pair.clock.advance(BLOCK_S * clock.MILLIS_PER_SECOND // 10)
    for _ in range(HEARTBEATS):
        pair.clock.advance(HEARTBEAT_MS)
        pair.exchange()
    assert pair.blocked(SIGNATURE) == [True, True]
    now = pair.clock.now()
    due_at = [
        guard.history.trial_due_at(SIGNATURE, now) for guard in (first, second)
    ]
    assert due_at[0] == due_at[1]
