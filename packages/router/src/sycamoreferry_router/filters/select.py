"""Select the backend server that is to run a request."""

import collections
import functools
import random
import typing

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
        tried: frozenset[ids.ServerId],
    ) -> messages.Selected | outcomes.NotRun:
        """Return the request with one server, an untried one if possible."""
        untried = [
            candidate
            for candidate in resolved.candidates
            if candidate.server not in tried
        ]
        loads = [
            balancing.TargetLoad(
                candidate.server,
                self._in_flight[candidate.server],
            )
            for candidate in untried or resolved.candidates
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
            can_run_elsewhere=(
                len(untried) > 1 and resolved.identified.idempotent
            ),
        )

    def enter(self, server: ids.ServerId) -> typing.Callable[[], None]:
        """Count a request that goes out; return what counts it back."""
        self._in_flight[server] += 1
        return functools.partial(self._leave, server)

    def _leave(self, server: ids.ServerId) -> None:
        self._in_flight[server] -= 1
        if not self._in_flight[server]:
            self._in_flight.pop(server)
