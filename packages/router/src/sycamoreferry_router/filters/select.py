"""Select the backend server that is to run a request."""

import collections
import random

from sycamoreferry_core import balancing, ids, outcomes, result_codes
from sycamoreferry_router import messages

NO_SHARD = ids.ShardId(-1)


class Selector:
    """Select targets by the instance's own counts of requests in flight."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._in_flight: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )

    def select(
        self,
        resolved: messages.Resolved,
    ) -> messages.Selected | outcomes.NotRun:
        """Return the request with one server."""
        loads = [
            balancing.TargetLoad(
                candidate.server,
                self._in_flight[candidate.server],
            )
            for candidate in resolved.candidates
        ]
        chosen = balancing.choose_target(loads, self._chance.randrange)
        if chosen is None:
            return outcomes.NotRun(result_codes.ResultCode.NO_TARGET)
        shard = resolved.identified.shard
        return messages.Selected(
            identified=resolved.identified,
            server=next(
                candidate
                for candidate in resolved.candidates
                if candidate.server == chosen.server
            ),
            way=outcomes.Way(
                server=chosen.server,
                shard=NO_SHARD if shard is None else shard,
                fence=resolved.fence,
            ),
        )

    def enter(self, server: ids.ServerId) -> None:
        """Count a request that goes out to a server."""
        self._in_flight[server] += 1

    def leave(self, server: ids.ServerId) -> None:
        """Count a request that came back from a server."""
        self._in_flight[server] -= 1
        if not self._in_flight[server]:
            self._in_flight.pop(server)
