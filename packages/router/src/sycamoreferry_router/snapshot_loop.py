"""Write snapshots to the log when it is this instance's turn."""

import asyncio

from sycamoreferry_core import clock, ids, result_codes, snapshots
from sycamoreferry_router import logs, tail, view

CHECK_MS = 1000

_log = logs.part_logger('snapshot')


class SnapshotLoop:
    """Watch the age of the newest snapshot and replace it in time."""

    def __init__(
        self,
        me: ids.InstanceId,
        seen: view.InstanceView,
        following: tail.Tail,
        timer: clock.Clock,
        policy: snapshots.SnapshotPolicy,
    ) -> None:
        self._me = me
        self._view = seen
        self._tail = following
        self._clock = timer
        self._policy = policy
        self._covers = ids.FIRST_OFFSET
        # The age of a snapshot that was there at the start is not known.
        self._seen_at = clock.later(timer.now(), -policy.interval_ms // 2)

    async def run(self) -> None:
        """Check at every interval until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(CHECK_MS))
            if self._view.caught_up and self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        log_state = self._view.log_state
        if log_state.snapshots.covers > self._covers:
            self._covers = log_state.snapshots.covers
            self._seen_at = self._clock.now()
        age_ms = self._clock.now() - self._seen_at
        return snapshots.is_due(log_state, self._me, self._policy, age_ms)

    async def _write(self) -> None:
        parts = snapshots.write_parts(self._view.log_state, self._me)
        for part in parts:
            verdict = await self._tail.publish(part)
            if verdict is not result_codes.ResultCode.ANSWERED:
                _log.warning('part {} was not taken: {}', part.part, verdict)
                return
        _log.info(
            'wrote the state before {} in {} parts',
            parts[0].covers,
            len(parts),
        )
