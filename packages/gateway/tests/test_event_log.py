"""Check the event log's limits, also when its reader stalls."""

import json
import os
import typing

import pytest

from sycamoreferry_core import clock
from sycamoreferry_gateway import event_log

LINES = 20_000
# The log queues 2,000 lines; a pipe holds 64 KiB, of over 40 bytes a line.
MAX_KEPT_LINES = 2_000 + 65_536 // 40


@pytest.fixture
def pipe() -> typing.Iterator[tuple[int, int]]:
    """Return the read and write ends of a pipe that nobody reads yet."""
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def _read_all(read_end: int) -> bytes:
    found = b''
    while True:
        try:
            chunk = os.read(read_end, 1 << 20)
        except BlockingIOError:
            return found
        found += chunk


def test_stalled_reader_loses_lines_but_does_not_block_the_writer(
    pipe: tuple[int, int],
) -> None:
    read_end, write_end = pipe
    log = event_log.EventLog(clock.ManualClock(), write_end)
    # A blocking write would never return here, as nobody reads the pipe.
    for number in range(LINES):
        log.write('part', 'event', number=number)
    output = b''
    while chunk := _read_all(read_end):
        output += chunk
        log.report_dropped()
    lines = [json.loads(line) for line in output.splitlines()]
    events = [line for line in lines if line['event'] == 'event']
    drop_reports = [line for line in lines if line['event'] == 'lines dropped']
    assert [line['number'] for line in events] == list(range(len(events)))
    assert len(events) <= MAX_KEPT_LINES
    assert sum(line['count'] for line in drop_reports) == LINES - len(events)


def test_sampled_lines_are_rate_limited_and_others_are_not(
    pipe: tuple[int, int],
) -> None:
    read_end, write_end = pipe
    log = event_log.EventLog(clock.ManualClock(), write_end)
    for number in range(1_000):
        log.write_rate_limited('request', 'request ended', number=number)
    log.write('instance', 'stopping')
    log.report_dropped()
    output = b''
    while chunk := _read_all(read_end):
        output += chunk
        log.report_dropped()
    events = [json.loads(line)['event'] for line in output.splitlines()]
    assert events.count('request ended') == 600
    assert events.count('stopping') == 1
    assert json.loads(output.splitlines()[-1])['count'] == 400
