import pytest

from sycamoreferry_core import clock, ids, load_book

INTERVAL_MS = 1000
ONE = ids.InstanceId('one')
TWO = ids.InstanceId('two')
SHARD = ids.ShardId(3)


def _report(requests: int, rest: int = 0) -> load_book.LoadReport:
    return load_book.LoadReport(INTERVAL_MS, {SHARD: requests}, rest)


def test_reports_of_all_instances_add_up() -> None:
    table = load_book.LoadBook()
    table = table.take(ONE, _report(10, 40), clock.Millis(0))
    table = table.take(TWO, _report(20, 40), clock.Millis(0))
    loads = table.add_up(80, clock.Millis(0))
    idle = load_book.IDLE_SHARD_RATE
    assert loads.of_shard(SHARD) == pytest.approx(31 + idle)
    assert loads.of_shard(ids.ShardId(0)) == pytest.approx(1 + idle)
    both = loads.of_shards((SHARD, ids.ShardId(0)))
    assert both == pytest.approx(32 + 2 * idle)


def test_newest_report_has_half_the_weight() -> None:
    table = load_book.LoadBook()
    table = table.take(ONE, _report(10), clock.Millis(0))
    table = table.take(ONE, _report(110), clock.Millis(INTERVAL_MS))
    loads = table.add_up(8, clock.Millis(INTERVAL_MS))
    assert loads.busiest[SHARD] == pytest.approx(60)


def test_load_of_silent_instance_expires() -> None:
    table = load_book.LoadBook().take(ONE, _report(10), clock.Millis(0))
    late = clock.Millis(INTERVAL_MS * load_book.REPORTS_UNTIL_FORGOTTEN)
    assert not table.add_up(8, late).busiest
    assert list(table.take(TWO, _report(1), late).heard) == [TWO]
