import asyncio
import contextlib

import pytest

from sycamoreferry_core import (
    clock,
    fold,
    ids,
    outcomes,
    records,
    result_codes,
)
from sycamoreferry_ports import http_forward, http_probe, wire
from sycamoreferry_router import crash_guard, messages, settings, view

SERVICE = settings.Service(name='plain')


class CrashSystem:
    """Share a log among several guards; one request crashes its server."""

    def __init__(self, instances: int, poison: str = 'poison') -> None:
        self.clock = clock.ManualClock(clock.Millis(100_000))
        self.poison = poison
        self.gone: set[str] = set()
        self.log_is_down = False
        self.reset_only = False
        self.views = [view.InstanceView() for _ in range(instances)]
        self.guards = [
            crash_guard.CrashGuard(
                crash_guard.Dependencies(
                    instance_view, self.publish, self.probe, self.clock
                ),
            )
            for instance_view in self.views
        ]

    async def publish(
        self,
        record: records.AnyRecord,
    ) -> result_codes.ResultCode | None:
        if self.log_is_down:
            return None
        for instance_view in self.views:
            offset = instance_view.log_state.next_offset
            logged = records.LoggedRecord(offset, records.encode_record(record))
            instance_view.log_state = fold.fold_one(
                instance_view.log_state, logged
            )
        return result_codes.ResultCode.ANSWERED

    async def probe(self, server: wire.ListedServer) -> http_probe.ProbeResult:
        await asyncio.sleep(0)
        if server.server in self.gone:
            return http_probe.ProbeResult.CONNECTION_FAILED
        return http_probe.ProbeResult.ANSWERED

    async def run(
        self,
        server: str,
        target: str,
    ) -> http_forward.ForwardOutcome:
        await asyncio.sleep(0)
        if server in self.gone:
            return http_forward.IncompleteAnswer('gone')
        if target == self.poison:
            if not self.reset_only:
                self.gone.add(server)
            return http_forward.IncompleteAnswer('crashed')
        return http_forward.Received(200, {}, b'')

    async def send(
        self,
        instance: int,
        server: str,
        target: str,
    ) -> http_forward.ForwardOutcome | result_codes.ResultCode:
        guard = self.guards[instance]
        selected = _select(server, target)
        refused = guard.refuse(selected)
        if refused is not None:
            return refused.code
        outcome = await guard.forward(selected, self.run(server, target))
        await asyncio.sleep(0)
        return outcome


def _select(server: str, target: str) -> messages.Selected:
    listed = wire.ListedServer(
        server=ids.ServerId(server),
        service=SERVICE.service_name,
        data_centre=ids.DataCentre('north'),
        host='127.0.0.1',
        port=9,
        state='live',
    )
    incoming = messages.Incoming(
        method='GET',
        service=SERVICE.name,
        target=target,
        headers={},
        body=b'',
        received_at=clock.Millis(0),
    )
    identified = messages.Identified(
        incoming=incoming,
        request_id=ids.RequestId('r'),
        service=SERVICE,
        key=None,
        shard=None,
        deadline=clock.Millis(1000),
        idempotency_key=None,
    )
    return messages.Selected(
        identified,
        listed,
        outcomes.Destination(listed.server),
    )


async def test_second_crash_at_another_instance_quarantines() -> None:
    system = CrashSystem(3)
    await system.send(0, 's1', 'poison')
    await system.send(1, 's2', 'poison')
    for instance in range(3):
        code = await system.send(instance, 's3', 'poison')
        assert code is result_codes.ResultCode.QUARANTINED
    assert system.gone == {'s1', 's2'}


async def test_unpublished_crashes_also_quarantine_a_request() -> None:
    system = CrashSystem(1)
    system.log_is_down = True
    for server in ('s1', 's2', 's3'):
        await system.send(0, server, 'poison')
    assert system.gone == {'s1', 's2'}


async def test_trials_identify_the_request_that_crashed_the_server() -> None:
    system = CrashSystem(1)
    targets = ('poison', 'one', 'two', 'three')
    await asyncio.gather(*(system.send(0, 's1', name) for name in targets))
    outcomes_of_retries = await asyncio.gather(
        *(system.send(0, 's2', name) for name in targets),
    )
    assert outcomes_of_retries.count(result_codes.ResultCode.NO_TARGET) == 3
    for name in targets[1:]:
        assert isinstance(
            await system.send(0, 's3', name),
            http_forward.Received,
        )
    code = await system.send(0, 's3', 'poison')
    assert code is result_codes.ResultCode.QUARANTINED
    assert system.gone == {'s1', 's2'}


async def test_cut_connection_of_a_running_server_is_no_crash() -> None:
    system = CrashSystem(2)
    system.reset_only = True
    for server in ('s1', 's2', 's3'):
        cut = await system.send(0, server, 'poison')
        assert isinstance(cut, http_forward.IncompleteAnswer)


async def test_server_that_stays_down_quarantines_no_request() -> None:
    system = CrashSystem(2)
    await system.send(0, 's1', 'poison')
    for instance in (0, 1, 0, 1):
        system.clock.advance(10_000)
        await system.send(instance, 's1', 'innocent')
    assert isinstance(
        await system.send(1, 's2', 'innocent'),
        http_forward.Received,
    )


async def test_operator_ends_a_quarantine() -> None:
    system = CrashSystem(2)
    await system.send(0, 's1', 'poison')
    await system.send(1, 's2', 'poison')
    system.poison = ''
    digest = crash_guard.digest_of(_select('s3', 'poison'))
    await system.publish(
        records.SuspicionCleared(
            record_id=ids.RecordId('by-an-operator'),
            digest=digest,
        ),
    )
    for instance in range(2):
        answered = await system.send(instance, 's3', 'poison')
        assert isinstance(answered, http_forward.Received)


async def test_quarantine_ends_by_time() -> None:
    system = CrashSystem(1)
    await system.send(0, 's1', 'poison')
    await system.send(0, 's2', 'poison')
    system.poison = ''
    system.clock.advance(600_000)
    answered = await system.send(0, 's3', 'poison')
    assert isinstance(answered, http_forward.Received)


@pytest.mark.parametrize('has_left', [True, False])
async def test_server_that_crashes_after_the_attempt_ended_is_not_counted(
    monkeypatch: pytest.MonkeyPatch, *, has_left: bool
) -> None:
    monkeypatch.setattr(crash_guard, 'LATE_CRASH_MS', 1)
    system = CrashSystem(3)

    async def end_early(server: str) -> http_forward.ForwardOutcome:
        if has_left:
            raise asyncio.CancelledError
        return http_forward.TimedOut()

    for instance, server in enumerate(('s1', 's2')):
        selected = _select(server, 'poison')
        with contextlib.suppress(asyncio.CancelledError):
            await system.guards[instance].forward(selected, end_early(server))
        system.gone.add(server)
        await asyncio.sleep(0.02)
    code = await system.send(2, 's3', 'poison')
    assert code is result_codes.ResultCode.QUARANTINED


async def test_server_that_is_up_after_a_time_out_was_not_crashed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(crash_guard, 'LATE_CRASH_MS', 1)
    system = CrashSystem(1)

    async def time_out() -> http_forward.ForwardOutcome:
        return http_forward.TimedOut()

    for server in ('s1', 's2'):
        await system.guards[0].forward(_select(server, 'slow'), time_out())
        await asyncio.sleep(0.02)
    answered = await system.send(0, 's3', 'slow')
    assert isinstance(answered, http_forward.Received)
