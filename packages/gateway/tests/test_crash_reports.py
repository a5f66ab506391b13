"""Check what instances report to each other of requests that crash servers."""

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import crashes
from sycamoreferry_gateway import event_log, instance
from sycamoreferry_ports import boot_clock

SIGNATURE = crashes.Signature(7)
SENDER = ('127.0.0.1', 1)
# The longest block, and some more.
BLOCK_S = 125


class _Pair:
    """Pass the heartbeats of two instances to each other."""

    def __init__(self, instances: list[instance.Instance]) -> None:
        self.instances = instances
        self.clock = clock.ManualClock()

    def crash(self, number: int, signature: crashes.Signature) -> None:
        incarnation = servers.ServerIncarnation(
            ids.ServerId(f's{number}'), servers.IncarnationNumber(1)
        )
        self.instances[0]._view.crashes.history.record(
            crashes.Crash(signature, incarnation, self.clock.now())
        )

    def exchange(self) -> None:
        first, second = self.instances
        for source, target in ((first, second), (second, first)):
            target._exchange.message_handler.handle(
                source._exchange._heartbeat([]), SENDER
            )
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
