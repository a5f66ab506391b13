"""Aggregate the load of each shard from the reports of instances."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids

# In requests per second. Keeps a server without traffic from looking like one
# without shards.
IDLE_SHARD_RATE = 0.01
# A report weighs as much as all before it, so a spike does not move a shard.
NEWEST_REPORT_WEIGHT = 0.5
REPORTS_UNTIL_EXPIRY = 3

Rates = typing.Mapping[ids.ShardId, float]


@dataclasses.dataclass(frozen=True)
class ShardLoads:
    """Hold requests per second of the busiest shards and of each other one."""

    busiest: Rates = dataclasses.field(default_factory=dict)
    other_rate: float = IDLE_SHARD_RATE

    def of_shard(self, shard: ids.ShardId) -> float:
        """Return the load of a shard in requests per second."""
        return self.busiest.get(shard, 0) + self.other_rate

    def of_shards(self, shards: typing.Collection[ids.ShardId]) -> float:
        """Return the load of a set of shards in requests per second."""
        known = (self.busiest.get(shard, 0) for shard in shards)
        return sum(known) + self.other_rate * len(shards)


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Hold the requests that one instance counted over an interval."""

    interval_ms: int
    busiest: typing.Mapping[ids.ShardId, int]
    rest: int


@dataclasses.dataclass(frozen=True)
class _InstanceLoad:
    expires_at: clock.Millis
    rates: Rates
    rest: float


@dataclasses.dataclass(frozen=True)
class LoadTable:
    """Hold the smoothed load from each instance that reports."""

    instance_loads: typing.Mapping[ids.InstanceId, _InstanceLoad] = (
        dataclasses.field(
            default_factory=dict,
        )
    )

    def with_report(
        self,
        instance: ids.InstanceId,
        report: LoadReport,
        now: clock.Millis,
    ) -> typing.Self:
        """Return a copy with a report added and expired instances removed."""
        kept = {
            name: load
            for name, load in self.instance_loads.items()
            if now < load.expires_at
        }
        kept[instance] = _smooth(kept.get(instance), report, now)
        return dataclasses.replace(self, instance_loads=kept)

    def total_loads(self, shard_count: int, now: clock.Millis) -> ShardLoads:
        """Return the load of every shard in requests per second."""
        busiest: dict[ids.ShardId, float] = {}
        rest = float(0)
        for load in self.instance_loads.values():
            if now >= load.expires_at:
                continue
            rest += load.rest
            for shard, rate in load.rates.items():
                busiest[shard] = busiest.get(shard, 0) + rate
        return ShardLoads(busiest, IDLE_SHARD_RATE + rest / shard_count)


def _smooth(
    before: _InstanceLoad | None,
    report: LoadReport,
    now: clock.Millis,
) -> _InstanceLoad:
    interval_s = clock.seconds(report.interval_ms)
    rates = {
        shard: count / interval_s for shard, count in report.busiest.items()
    }
    rest = report.rest / interval_s
    if before is not None:
        rates = _average(before.rates, rates)
        rest = (
            NEWEST_REPORT_WEIGHT * rest
            + (1 - NEWEST_REPORT_WEIGHT) * before.rest
        )
    lifetime_ms = REPORTS_UNTIL_EXPIRY * report.interval_ms
    return _InstanceLoad(clock.later(now, lifetime_ms), rates, rest)


def _average(before: Rates, newest: Rates) -> dict[ids.ShardId, float]:
    shards = set(before).union(newest)
    smoothed = {
        shard: NEWEST_REPORT_WEIGHT * newest.get(shard, 0)
        + (1 - NEWEST_REPORT_WEIGHT) * before.get(shard, 0)
        for shard in shards
    }
    return {
        shard: rate
        for shard, rate in smoothed.items()
        if rate > IDLE_SHARD_RATE
    }
