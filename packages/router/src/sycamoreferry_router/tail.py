"""Fold new log records into the view, and append to the log."""

import asyncio

from sycamoreferry_core import clock, fold, ids, records, result_codes
from sycamoreferry_ports import log_port, log_state
from sycamoreferry_router import logs, peer_sync, view

RETRY_MS = 200
RELAY_INTERVAL_MS = 1000
READ_BACK_TIMEOUT_MS = 5000

_log = logs.part_logger('tail')


class Tail:
    """Follow one stream of the log."""

    def __init__(
        self,
        log_service: log_port.LogService,
        instance_view: view.InstanceView,
        relaying: peer_sync.PeerSync,
        wait_ms: int,
    ) -> None:
        self._log_service = log_service
        self._view = instance_view
        self._relay = relaying
        self._wait_ms = wait_ms
        self._is_log_readable = True

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while True:
            self._is_log_readable = await self._follow_once()
            if not self._is_log_readable:
                await asyncio.sleep(clock.seconds(RETRY_MS))

    async def run_relay(self) -> None:
        """Catch up from peers while the log does not answer."""
        while True:
            if not self._is_log_readable:
                await self._relay.catch_up()
            await asyncio.sleep(clock.seconds(RELAY_INTERVAL_MS))

    async def read_now(self) -> bool:
        """Fold the log up to its end; return False if it cannot be read."""
        while True:
            outcome = await self._log_service.read(self._next_offset(), 0)
            if isinstance(outcome, log_port.ReadFailed):
                return False
            if not await self._fold(outcome):
                return False
            if self._next_offset() >= outcome.end_offset:
                return True

    async def publish(
        self,
        record: records.AnyRecord,
    ) -> result_codes.ResultCode | None:
        """Append a record; return its verdict, or None if unconfirmed."""
        appended = await self._log_service.append(
            records.encode_record(record),
        )
        if isinstance(appended, log_port.NotAppended):
            return None
        return await self.await_verdict(record.record_id)

    async def await_verdict(
        self,
        record_id: ids.RecordId,
    ) -> result_codes.ResultCode | None:
        """Return the verdict on a record, or None after a time-out."""
        try:
            async with asyncio.timeout(clock.seconds(READ_BACK_TIMEOUT_MS)):
                return await self._verdict(record_id)
        except TimeoutError:
            return None

    async def _verdict(
        self,
        record_id: ids.RecordId,
    ) -> result_codes.ResultCode:
        while True:
            verdict = self._view.log_state.verdict_of(record_id)
            if verdict is not None:
                return verdict
            async with self._view.changed:
                await self._view.changed.wait()

    async def _follow_once(self) -> bool:
        outcome = await self._log_service.read(
            self._next_offset(),
            self._wait_ms if self._view.caught_up else 0,
        )
        if isinstance(outcome, log_port.ReadFailed):
            _log.debug('{}; trying again', outcome.reason)
            return False
        if not await self._fold(outcome):
            return False
        self._view.caught_up = self._next_offset() >= outcome.end_offset
        return True

    def _next_offset(self) -> ids.Offset:
        return self._view.log_state.next_offset

    async def _fold(self, outcome: log_port.Tail) -> bool:
        if outcome.first_offset > self._next_offset():
            return await self._start_from_snapshot()
        if outcome.logged:
            try:
                folded = fold.fold_all(self._view.log_state, outcome.logged)
            except fold.OffsetGapError as error:
                _log.error('{}', error)
                return False
            self._relay.recent.add(outcome.logged)
            await self._view.advance(folded)
        return True

    async def _start_from_snapshot(self) -> bool:
        try:
            found = await log_state.find_snapshot(self._log_service)
        except log_state.LogUnreadableError as error:
            _log.error('{}', error)
            return False
        _log.info('starting from the state before {}', found.next_offset)
        await self._view.advance(found)
        return True
