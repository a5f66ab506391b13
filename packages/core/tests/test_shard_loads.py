import pytest

from sycamoreferry_core import clock, ids, shard_loads

INTERVAL_MS = 1000
ONE = ids.InstanceId('one')
TWO = ids.InstanceId('two')
SHARD = ids.ShardId(3)


def _report(requests: int, rest: int = 0) -> shard_loads.LoadReport:
    return shard_loads.LoadReport(INTERVAL_MS, {SHARD: requests}, rest)


def test_reports_of_all_instances_add_up() -> None:
    table = shard_loads.LoadTable()
    table = table.with_report(ONE, _report(10, 40), clock.Millis(0))
    table = table.with_report(TWO, _report(20, 40), clock.Millis(0))
    loads = table.total_loads(80, clock.Millis(0))
    idle = shard_loads.IDLE_SHARD_RATE
    assert loads.of_shard(SHARD) == pytest.approx(31 + idle)
    assert loads.of_shard(ids.ShardId(0)) == pytest.approx(1 + idle)
    both = loads.of_shards((SHARD, ids.ShardId(0)))
    assert both == pytest.approx(32 + 2 * idle)


def test_newest_report_has_half_the_weight() -> None:
    table = shard_loads.LoadTable()
    table = table.with_report(ONE, _report(10), clock.Millis(0))
    table = table.with_report(ONE, _report(110), clock.Millis(INTERVAL_MS))
    loads = table.total_loads(8, clock.Millis(INTERVAL_MS))
    assert loads.busiest[SHARD] == pytest.approx(60)


def test_load_of_silent_instance_expires() -> None:
    table = shard_loads.LoadTable().with_report(
        ONE, _report(10), clock.Millis(0)
    )
    late = clock.Millis(INTERVAL_MS * shard_loads.REPORTS_UNTIL_EXPIRY)
    assert not table.total_loads(8, late).busiest
    assert list(table.with_report(TWO, _report(1), late).instance_loads) == [
        TWO
    ]
