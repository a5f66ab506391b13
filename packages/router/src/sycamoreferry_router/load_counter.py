"""Count the requests of each shard."""

import collections

from sycamoreferry_core import ids, outcomes, shard_loads
from sycamoreferry_router import messages

MAX_REPORTED_SHARDS = 64


class LoadCounter:
    """Count requests per shard; a gate that admits every request."""

    def __init__(self) -> None:
        self._counts: dict[
            ids.ServiceName,
            collections.Counter[ids.ShardId],
        ] = collections.defaultdict(collections.Counter)

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.NotRun:
        """Count the request for its shard and admit it."""
        if identified.shard is not None:
            self._counts[identified.service.service_name][identified.shard] += 1
        return identified

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        """Do nothing; a request is counted on entry."""

    def take_report(
        self,
        service: ids.ServiceName,
        interval_ms: int,
    ) -> shard_loads.LoadReport:
        """Return the counts since the last report, and reset them."""
        counted = self._counts.pop(service, collections.Counter())
        busiest = dict(counted.most_common(MAX_REPORTED_SHARDS))
        return shard_loads.LoadReport(
            interval_ms=interval_ms,
            busiest=busiest,
            rest=counted.total() - sum(busiest.values()),
        )
