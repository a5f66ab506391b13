"""Write structured log lines without blocking and within a bounded rate."""

import collections
import os
import select
import typing

import logbook

from sycamoreferry_core import clock
from sycamoreferry_gateway import log_fields

# Lines that are buffered while the reader of the descriptor is slow.
_MAX_PENDING_LINES = 2_000
# Rate limit for frequent lines, and the burst that it allows.
_LINES_PER_SECOND = 150
_BURST_LINES = 600
# Limit for writing the lines that wait at the end of the process.
_CLOSE_LIMIT_MS = 50
_STDOUT = 1


class _LineHandler(logbook.Handler):  # type: ignore[misc]
    """Write records as JSON lines to a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        super().__init__(level=logbook.INFO)
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a record, or drop it if the queue is full; then flush."""
        line = {
            'at': record.time.isoformat(timespec='milliseconds'),
            'level': record.level_name.lower(),
            'part': record.channel,
            'event': record.message,
            **record.extra,
        }
        if len(self._pending) >= _MAX_PENDING_LINES:
            self.dropped += 1
            return
        self._pending.append(log_fields.encode_line(line))
        self.flush()

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self.dropped += len(self._pending)
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def flush_until(self, ends_at: clock.Millis, source: clock.Clock) -> None:
        """Write pending lines; wait for a slow reader until a given time."""
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        self.flush()
        while self._pending:
            remaining = ends_at - source.now()
            if remaining <= 0 or not poller.poll(remaining):
                return
            self.flush()


class EventLog:
    """Log events by part; drop frequent lines above the rate and count them."""

    def __init__(
        self, time_source: clock.Clock, descriptor: int = _STDOUT
    ) -> None:
        self._clock = time_source
        self._handler = _LineHandler(descriptor)
        self._handler.push_application()
        self._loggers: dict[str, logbook.Logger] = {}
        self._tokens = float(_BURST_LINES)
        self._refilled_at = time_source.now()
        self._dropped = 0

    def write(self, part: str, event: str, **fields: typing.Any) -> None:
        """Write a line regardless of the rate, such as a change of state."""
        logger = self._loggers.get(part)
        if logger is None:
            logger = logbook.Logger(part)
            self._loggers[part] = logger
        logger.info(event, extra=fields)

    def write_rate_limited(
        self, part: str, event: str, **fields: typing.Any
    ) -> None:
        """Write a frequent line, such as one per request, within the rate."""
        self._refill()
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        self.write(part, event, **fields)

    def report_dropped(self) -> None:
        """Log how many lines were dropped since the last call."""
        self._handler.flush()
        dropped = self._dropped + self._handler.dropped
        if dropped:
            self._dropped = 0
            self._handler.dropped = 0
            self.write('log', 'lines dropped', count=dropped)

    def close(self) -> None:
        """Write what is pending before the process ends, within a limit."""
        self.report_dropped()
        ends_at = clock.later(self._clock.now(), _CLOSE_LIMIT_MS)
        self._handler.flush_until(ends_at, self._clock)

    def _refill(self) -> None:
        now = self._clock.now()
        added = clock.seconds(now - self._refilled_at) * _LINES_PER_SECOND
        self._tokens = min(float(_BURST_LINES), self._tokens + added)
        self._refilled_at = now
