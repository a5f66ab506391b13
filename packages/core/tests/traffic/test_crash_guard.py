"""Check which requests are blocked since they crash their servers."""

import typing

import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import crash_guard, crashes

SIGNATURE = crashes.Signature(7)
SURVIVED_MS = 1_100
STABILITY_MS = 3_000


def _incarnation(number: int) -> servers.ServerIncarnation:
    return servers.ServerIncarnation(
        ids.ServerId('s'), servers.IncarnationNumber(number)
    )


class _Guard:
    """Drive a guard with a clock, for one request."""

    def __init__(self) -> None:
        self.guard = crash_guard.CrashGuard()
        self.clock = clock.ManualClock()

    @property
    def is_blocked(self) -> bool:
        return self.guard.history.is_blocked(SIGNATURE, self.clock.now())

    def fail(self, number: int) -> None:
        """End an attempt without a complete answer."""
        run = self.guard.runs.begin(
            SIGNATURE, _incarnation(number), self.clock.now()
        )
        self.guard.runs.end(run, self.clock.now())

    def confirm(self, number: int) -> list[crashes.Crash]:
        return self.guard.confirm_crashes(
            _incarnation(number), self.clock.now()
        )


@pytest.fixture
def guard() -> _Guard:
    return _Guard()


def test_request_is_blocked_after_three_crashes(guard: _Guard) -> None:
    for number in range(3):
        assert not guard.is_blocked
        guard.fail(number)
        guard.clock.advance(3_000)
        assert guard.confirm(number)
        guard.clock.advance(2_000)
    assert guard.is_blocked


def test_broken_connections_alone_block_no_request(guard: _Guard) -> None:
    for number in range(5):
        guard.fail(number)
        guard.clock.advance(1)
    assert not guard.is_blocked


def test_server_end_long_after_the_request_confirms_no_crash(
    guard: _Guard,
) -> None:
    guard.fail(1)
    guard.clock.advance(60_000)
    assert not guard.confirm(1)


def test_server_that_answers_after_the_request_was_not_crashed_by_it(
    guard: _Guard,
) -> None:
    guard.fail(1)
    guard.clock.advance(SURVIVED_MS)
    guard.guard.runs.record_alive(_incarnation(1), guard.clock.now())
    assert not guard.confirm(1)


def test_server_may_crash_shortly_after_it_answered_others(
    guard: _Guard,
) -> None:
    guard.fail(1)
    guard.clock.advance(10)
    guard.guard.runs.record_alive(_incarnation(1), guard.clock.now())
    assert guard.confirm(1)


def test_crashes_that_peers_report_count_once(guard: _Guard) -> None:
    history = guard.guard.history
    now = guard.clock.now()
    for _ in range(3):
        history.record(crashes.Crash(SIGNATURE, _incarnation(1), now))
    assert not guard.is_blocked
    history.record(crashes.Crash(SIGNATURE, _incarnation(2), now))
    history.record(crashes.Crash(SIGNATURE, _incarnation(3), now))
    assert guard.is_blocked
    assert len(history.blocking_crashes(SIGNATURE)) == 3


def test_failed_runs_are_dropped_once_too_old(guard: _Guard) -> None:
    guard.fail(1)
    guard.clock.advance(60_000)
    guard.guard.prune(guard.clock.now())
    runs: typing.Any = guard.guard.runs
    assert not runs._runs


@pytest.mark.parametrize('was_leaving', [True, False])
def test_server_whose_end_is_known_before_the_attempt_ends_is_not_counted(
    guard: _Guard, *, was_leaving: bool
) -> None:
    runs = guard.guard.runs
    run = runs.begin(SIGNATURE, _incarnation(1), guard.clock.now())
    guard.clock.advance(2_600)
    at_end = guard.guard.confirm_crashes(
        _incarnation(1), guard.clock.now(), was_leaving=was_leaving
    )
    runs.end(run, guard.clock.advance(1_000))
    assert runs.has_ended(_incarnation(1))
    assert len(at_end) + len(guard.confirm(1)) == 1
    assert bool(at_end) is not was_leaving


def test_request_sent_to_a_server_that_is_gone_did_not_crash_it(
    guard: _Guard,
) -> None:
    guard.fail(1)
    guard.guard.runs.record_unreachable(_incarnation(1))
    other = crashes.Signature(8)
    run = guard.guard.runs.begin(other, _incarnation(1), guard.clock.now())
    guard.guard.runs.end(run, guard.clock.advance(1_000))
    assert [crash.signature for crash in guard.confirm(1)] == [SIGNATURE]


def _block(guard: _Guard) -> None:
    for number in range(3):
        guard.fail(number)
        guard.clock.advance(500)
        guard.confirm(number)


def test_request_that_was_answered_meanwhile_is_not_blocked(
    guard: _Guard,
) -> None:
    for number in range(6):
        guard.fail(number)
        guard.clock.advance(500)
        guard.confirm(number)
        guard.guard.record_answer(SIGNATURE, guard.clock.now())
        guard.clock.advance(1)
    assert not guard.is_blocked


def test_request_is_blocked_though_it_was_answered_before(
    guard: _Guard,
) -> None:
    guard.guard.record_answer(SIGNATURE, guard.clock.now())
    guard.clock.advance(1)
    _block(guard)
    assert guard.is_blocked


def test_server_that_is_seen_again_was_not_crashed(guard: _Guard) -> None:
    _block(guard)
    guard.clock.advance(4_000)
    guard.guard.entries_read_at = guard.clock.now()
    guard.guard.record_entry(_incarnation(0))
    assert not guard.is_blocked


def test_entry_written_before_the_crash_does_not_void_it(
    guard: _Guard,
) -> None:
    _block(guard)
    guard.guard.entries_read_at = clock.later(guard.clock.now(), -4_000)
    guard.guard.record_entry(_incarnation(2))
    assert guard.is_blocked


def test_answered_trial_ends_the_block(guard: _Guard) -> None:
    _block(guard)
    assert guard.guard.begin_trial(SIGNATURE, guard.clock.now())
    guard.guard.record_answer(SIGNATURE, guard.clock.now())
    assert not guard.is_blocked


class _Fleet:
    """Repeat a blocked request at instances that report to each other late."""

    def __init__(self, count: int) -> None:
        self.names = [ids.InstanceId(f'i{number}') for number in range(count)]
        self.guards = [_Guard() for _ in self.names]
        self.sent: list[clock.Millis] = []
        for guard in self.guards:
            _block(guard)

    def repeat(self, duration_ms: int, report_delay_ms: int) -> None:
        """Send the request to all instances at once every 10 ms."""
        reports: list[tuple[int, int]] = []
        for _ in range(duration_ms // 10):
            for guard in self.guards:
                guard.clock.advance(10)
            now = self.guards[0].clock.now()
            for number, guard in enumerate(self.guards):
                due = guard.guard.is_trial_due(
                    SIGNATURE, now, self.names[number], self.names
                )
                if due:
                    guard.guard.begin_trial(SIGNATURE, now)
                    self.sent.append(now)
                    reports.append((now + report_delay_ms, number))
            while reports and reports[0][0] <= now:
                self._report(reports.pop(0)[1])

    def _report(self, number: int) -> None:
        trials = self.guards[number].guard.history.trials[SIGNATURE]
        for guard in self.guards:
            guard.guard.history.record_trial(SIGNATURE, trials)


@pytest.mark.parametrize('instances', [1, 3, 9, 30, 300])
def test_blocked_request_is_tried_by_all_instances_at_once(
    instances: int,
) -> None:
    fleet = _Fleet(instances)
    fleet.repeat(duration_ms=60_000, report_delay_ms=70)
    # A trial of a request that crashes its server counts on the platform.
    assert 1 <= len(fleet.sent) <= 3


@pytest.mark.parametrize('is_answered', [True, False])
def test_request_that_crashes_its_trials_is_tried_again_and_again(
    guard: _Guard, *, is_answered: bool
) -> None:
    if is_answered:
        guard.guard.record_answer(SIGNATURE, guard.clock.now())
        guard.clock.advance(1)
    _block(guard)
    own = ids.InstanceId('i')
    bound = guard.clock.now() + STABILITY_MS
    late = 0
    for number in range(3, 12_000):
        now = guard.clock.advance(10)
        if now < 120_000 and guard.guard.is_trial_due(
            SIGNATURE, now, own, [own]
        ):
            late += now > bound
            guard.guard.begin_trial(SIGNATURE, now)
            guard.fail(number)
            guard.clock.advance(SURVIVED_MS)
            guard.confirm(number)
    # As many sends as the platform allows after the third crash.
    assert 1 <= late <= 3


def test_no_trial_is_sent_by_an_instance_that_hears_few_others(
    guard: _Guard,
) -> None:
    _block(guard)
    guard.clock.advance(30_000)
    for _ in range(100):
        now = guard.clock.advance(10)
        assert not guard.guard.is_trial_due(
            SIGNATURE, now, ids.InstanceId('i'), []
        )


def test_instance_that_hears_no_others_waits_for_a_third_crash(
    guard: _Guard,
) -> None:
    guard.guard.history.hears_most = False
    for number in range(2):
        assert not guard.is_blocked
        guard.fail(number)
        guard.confirm(number)
    assert guard.is_blocked
    guard.guard.history.hears_most = True
    assert not guard.is_blocked


def test_trial_beside_a_request_that_crashes_servers_delays_the_next(
    guard: _Guard,
) -> None:
    other = crashes.Signature(8)
    guard.guard.record_answer(SIGNATURE, guard.clock.now())
    guard.clock.advance(1)
    _block(guard)
    own = ids.InstanceId('i')
    for number in range(10, 13):
        now = guard.clock.now()
        guard.guard.history.record(
            crashes.Crash(other, _incarnation(number), now)
        )
    guard.guard.begin_trial(SIGNATURE, guard.clock.now())
    guard.guard.history.record(
        crashes.Crash(SIGNATURE, _incarnation(12), guard.clock.now())
    )
    served_at = None
    for _ in range(300):
        now = guard.clock.advance(10)
        if guard.guard.is_trial_due(SIGNATURE, now, own, [own]):
            served_at = now
            break
    assert served_at is not None
