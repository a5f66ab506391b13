import asyncio
import typing

import pytest

from sycamoreferry_core import (
    admission_state,
    clock,
    ids,
    outcomes,
    records,
    result_codes,
    state,
)
from sycamoreferry_peer import admission_client
from sycamoreferry_peer import client as peer_client
from sycamoreferry_ports import boot_clock, headers, log_port
from sycamoreferry_router import (
    admission_partitions,
    messages,
    partition_calls,
    partition_loop,
    view,
)
from sycamoreferry_router.filters import admission_gate
from sycamoreferry_standins import cluster, request_path

OWN_ID = ids.InstanceId('own')
DEADLINE_MS = 500
_READ_DELAY_SECONDS = 0.01


class _Log:
    """Hold a stream in memory; while stale, reads show no new records."""

    def __init__(self) -> None:
        self.stale = False
        self._visible_end = 0
        self._payloads: list[bytes] = []

    async def append(self, payload: bytes) -> log_port.AppendOutcome:
        self._payloads.append(payload)
        return log_port.Appended(ids.Offset(len(self._payloads) - 1))

    async def read(
        self,
        start: ids.Offset,
        wait_ms: int,
    ) -> log_port.ReadOutcome:
        await asyncio.sleep(_READ_DELAY_SECONDS)
        if not self.stale:
            self._visible_end = len(self._payloads)
        end = self._visible_end
        return log_port.Tail(
            first_offset=ids.Offset(0),
            end_offset=ids.Offset(end),
            logged=tuple(
                records.LoggedRecord(ids.Offset(offset), self._payloads[offset])
                for offset in range(start, end)
            ),
        )


class _Owner:
    """Own the only partition, on a log that the test controls."""

    def __init__(self) -> None:
        self.log = _Log()
        self._clock = boot_clock.BootClock()
        self.view = view.InstanceView()
        self.view.caught_up = True
        own_state = state.InstanceState(
            OWN_ID, ids.DataCentre('north'), '127.0.0.1', 9, 9
        )
        self.view.log_state = state.LogState(instances={OWN_ID: own_state})
        parts = partition_calls.Dependencies(
            OWN_ID,
            self.view,
            admission_client.AdmissionClient(
                peer_client.PeerClient(DEADLINE_MS), DEADLINE_MS, DEADLINE_MS
            ),
            self._clock,
            admission_state.Timing(detection_ms=50, batch_ms=5),
            read_wait_ms=0,
        )
        self.loop = partition_loop.PartitionLoop(0, self.log, parts)
        self.partitions = admission_partitions.AdmissionPartitions(
            [self.loop], parts
        )
        self.gate = admission_gate.AdmissionGate(self.partitions, self._clock)

    async def is_serving(self) -> bool:
        return self.loop.current.is_serving

    async def enter(
        self, deadline_ms: int = DEADLINE_MS, caller: str = ''
    ) -> messages.Identified | outcomes.Outcome:
        now = self._clock.now()
        named = {headers.IDEMPOTENCY_KEY: 'k', headers.CALLER: caller}
        return await self.gate.enter(
            messages.Identified(
                messages.Incoming('POST', 'plain', '/a', named, b'', now),
                ids.RequestId('r1'),
                request_path.small_settings().services[0],
                None,
                None,
                clock.later(now, deadline_ms),
                ids.IdempotencyKey('k'),
            )
        )


@pytest.fixture
async def owner() -> typing.AsyncIterator[_Owner]:
    """Yield the owner of a partition once it serves."""
    owning = _Owner()
    running = asyncio.create_task(owning.loop.run())
    await cluster.wait_for(owning.is_serving, 'a settled claim')
    yield owning
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_admission_that_is_never_decided_ends_with_the_deadline(
    owner: _Owner,
) -> None:
    # While the view is behind, the partition refuses no overdue requests.
    owner.view.caught_up = False
    owner.log.stale = True
    ended = await asyncio.wait_for(owner.enter(), 3)
    assert isinstance(ended, outcomes.NotRun)
    assert ended.code is result_codes.ResultCode.ADMISSION_UNAVAILABLE


async def test_cancelled_admission_does_not_block_its_key(
    owner: _Owner,
) -> None:
    waiting = asyncio.create_task(owner.enter(60_000))
    await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)

    async def is_admitted() -> bool:
        return isinstance(await owner.enter(), messages.Identified)

    await cluster.wait_for(is_admitted, 'an admission of the same key', 3_000)


async def test_caller_that_is_not_utf8_is_admitted(owner: _Owner) -> None:
    assert isinstance(
        await owner.enter(caller='caf\udce9'), messages.Identified
    )


async def test_endings_are_logged_before_the_instance_leaves(
    owner: _Owner,
) -> None:
    admitted = await owner.enter()
    assert isinstance(admitted, messages.Identified)
    rejected = outcomes.NotRun(result_codes.ResultCode.LEAVING)
    await owner.gate.leave(admitted, rejected)
    await owner.gate.drain()
    await owner.partitions.drain()
    window = owner.loop.current.journal.window
    assert not window.size
