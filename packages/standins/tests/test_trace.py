import pathlib

import msgspec
import pytest

from sycamoreferry_core import clock, ids
from sycamoreferry_standins import log_service, trace

LINES: tuple[trace.AnyLine, ...] = (
    trace.RequestSent(
        at_ms=0,
        request_id=ids.RequestId('r1'),
        caller=ids.CallerId('phone-1'),
        service=ids.ServiceName('reserba'),
        method='POST',
        idempotency_key=ids.IdempotencyKey('deposit-1'),
    ),
    trace.LogFaultsSet(at_ms=40, faults=log_service.LogFaults(down=True)),
    trace.ServerLeaving(at_ms=40, server=ids.ServerId('reserba-1')),
    trace.ProcessKilled(at_ms=90, process='entry-1'),
)


class Ping(trace.Line, frozen=True, tag=True):
    """Stand for a line type of another trace."""


def test_trace_reads_what_was_written(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'a.jsonl'
    path.write_bytes(trace.format_trace(reversed(LINES)))
    read = trace.read_trace(path)
    assert sorted(map(repr, read)) == sorted(map(repr, LINES))
    assert [line.at_ms for line in read] == [0, 40, 40, 90]


@pytest.mark.parametrize(
    ('content', 'reason'),
    [
        (b'', 'a: holds no lines'),
        (b'{"type":"Unknown","at_ms":1}', 'a:1: is no line of a trace'),
        (b'{"type":"Ping"}', 'a:1: is no line of a trace'),
        (
            b'{"type":"Ping","at_ms":2}\n{"type":"Ping","at_ms":1}',
            'a:2: is earlier',
        ),
    ],
)
def test_bad_trace_names_the_line(content: bytes, reason: str) -> None:
    with pytest.raises(trace.TraceError, match=reason):
        trace.parse_lines(content, msgspec.json.Decoder(Ping), 'a')


def test_unreadable_trace_is_reported(tmp_path: pathlib.Path) -> None:
    with pytest.raises(trace.TraceError, match='cannot be read'):
        trace.read_trace(tmp_path / 'none.jsonl')


def test_walk_moves_the_clock() -> None:
    timer = clock.ManualClock(clock.Millis(500))
    times = [timer.now() - line.at_ms for line in trace.walk(LINES, timer)]
    assert times == [500, 500, 500, 500]
