"""Write snapshots to the log when it is this instance's turn."""

import asyncio

from sycamoreferry_core import clock, ids, result_codes, snapshots
from sycamoreferry_router import logs, tail, view

CHECK_INTERVAL_MS = 1000

_log = logs.part_logger('snapshot')


class SnapshotLoop:
    """Check regularly whether a snapshot is due, and write it."""

    def __init__(
        self,
        instance_id: ids.InstanceId,
        instance_view: view.InstanceView,
        log_tail: tail.Tail,
        time_source: clock.Clock,
        policy: snapshots.SnapshotPolicy,
    ) -> None:
        self._instance_id = instance_id
        self._view = instance_view
        self._tail = log_tail
        self._clock = time_source
        self._policy = policy
        self._newest_covers = ids.FIRST_OFFSET
        # The age of a snapshot found at the start is unknown; half the interval
        # is assumed.
        self._newest_since = clock.later(
            time_source.now(), -policy.interval_ms // 2
        )

    async def run(self) -> None:
        """Check every CHECK_INTERVAL_MS until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(CHECK_INTERVAL_MS))
            if self._view.caught_up and self._is_due():
                await self._write()

    def _is_due(self) -> bool:
        log_state = self._view.log_state
        if log_state.snapshots.covers > self._newest_covers:
            self._newest_covers = log_state.snapshots.covers
            self._newest_since = self._clock.now()
        age_ms = self._clock.now() - self._newest_since
        return snapshots.is_due(
            log_state, self._instance_id, self._policy, age_ms
        )

    async def _write(self) -> None:
        parts = snapshots.build_parts(self._view.log_state, self._instance_id)
        for part in parts:
            verdict = await self._tail.publish(part)
            if verdict is not result_codes.ResultCode.ANSWERED:
                _log.warning(
                    'snapshot part {} was not accepted: {}; stopping',
                    part.part,
                    verdict,
                )
                return
        _log.info(
            'wrote a snapshot of the state before offset {} in {} parts',
            parts[0].covers,
            len(parts),
        )
