"""Check the event log's limits, also when its reader stalls."""

import json
import os
import pathlib
import threading
import typing

import pytest

from sycamoreferry_adapter import settings_file
from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import __main__ as gateway_main
from sycamoreferry_gateway import event_log, instance
from sycamoreferry_ports import boot_clock

LINES = 20_000
# The log queues 2,000 lines; a pipe holds 64 KiB, of over 40 bytes a line.
MAX_KEPT_LINES = 2_000 + 65_536 // 40
# More than the pipe holds, and few enough for the queue.
LAST_LINES = 1_500
# The shutdown leaves the process this long to exit before it is killed.
EXIT_MARGIN_MS = 600


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


class _LateReader:
    """Read a pipe to its end in a thread, from now on."""

    def __init__(self, read_end: int) -> None:
        os.set_blocking(read_end, True)
        self._read_end = read_end
        self._thread = threading.Thread(target=self._read)
        self._output = b''
        self._thread.start()

    def lines(self) -> list[dict[str, typing.Any]]:
        """Return the lines once the writer has closed its end."""
        self._thread.join()
        return [json.loads(line) for line in self._output.splitlines()]

    def _read(self) -> None:
        while chunk := os.read(self._read_end, 1 << 16):
            self._output += chunk


def _write_last_lines(log: event_log.EventLog) -> None:
    for number in range(LAST_LINES):
        log.write('request', 'request ended', number=number)
    log.write('instance', 'stopped')


class _EndingInstance:
    """Write more lines than the pipe holds and end, as a reader starts."""

    def __init__(self, read_end: int) -> None:
        self.readers: list[_LateReader] = []
        self._read_end = read_end

    def build(
        self, _: deployment.Deployment, log: event_log.EventLog
    ) -> typing.Self:
        """Keep the log of the process."""
        self._log = log
        return self

    async def run(self) -> None:
        _write_last_lines(self._log)
        self.readers.append(_LateReader(self._read_end))


@pytest.fixture
def own_pipe() -> tuple[int, int]:
    """Return the ends of a pipe that the test closes."""
    return os.pipe()


def test_lines_that_wait_for_a_slow_reader_are_written_before_the_exit(
    own_pipe: tuple[int, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read_end, write_end = own_pipe
    monkeypatch.setattr(event_log, '_CLOSE_LIMIT_MS', 10_000)
    log = event_log.EventLog(boot_clock.BootClock(), write_end)
    _write_last_lines(log)
    reader = _LateReader(read_end)
    log.close()
    os.close(write_end)
    lines = reader.lines()
    os.close(read_end)
    assert len(lines) == LAST_LINES + 1
    assert lines[-1]['event'] == 'stopped'


def test_process_writes_the_lines_that_wait_before_it_exits(
    own_pipe: tuple[int, int],
    sample_deployment: deployment.Deployment,
    cluster: typing.Any,
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    read_end, write_end = own_pipe
    ending = _EndingInstance(read_end)
    settings = tmp_path / 'boot.conf'
    settings.write_text(cluster.settings_text(sample_deployment, 1))
    log = event_log.EventLog(boot_clock.BootClock(), write_end)
    monkeypatch.setenv(settings_file.PATH_VARIABLE, str(settings))
    monkeypatch.setattr(event_log, '_CLOSE_LIMIT_MS', 10_000)
    monkeypatch.setattr(event_log, 'EventLog', lambda _: log)
    monkeypatch.setattr(instance, 'Instance', ending.build)
    assert gateway_main.main() == 0
    os.close(write_end)
    lines = ending.readers[0].lines()
    os.close(read_end)
    assert lines[-1]['event'] == 'stopped'


def test_stalled_reader_does_not_hold_up_the_exit(
    pipe: tuple[int, int],
) -> None:
    time_source = boot_clock.BootClock()
    log = event_log.EventLog(time_source, pipe[1])
    _write_last_lines(log)
    started_at = time_source.now()
    log.close()
    assert time_source.now() - started_at < EXIT_MARGIN_MS


def test_closed_reader_does_not_hold_up_the_exit() -> None:
    read_end, write_end = os.pipe()
    time_source = boot_clock.BootClock()
    log = event_log.EventLog(time_source, write_end)
    _write_last_lines(log)
    os.close(read_end)
    started_at = time_source.now()
    log.close()
    os.close(write_end)
    assert time_source.now() - started_at < EXIT_MARGIN_MS
