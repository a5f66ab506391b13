"""Select the backend server to run a request."""

import random
import typing

from sycamoreferry_core import balancing, clock, ids, outcomes
from sycamoreferry_ports import wire
from sycamoreferry_router import messages, target_stats

NO_SHARD = ids.ShardId(-1)


class Selector:
    """Select a target with spare capacity from local load statistics."""

    def __init__(
        self,
        data_centre: ids.DataCentre,
        rng: random.Random,
    ) -> None:
        self._data_centre = data_centre
        self._rng = rng

    def select(
        self,
        resolved: messages.Resolved,
        tried: frozenset[ids.ServerId],
        stats: target_stats.ServiceStats,
        now: clock.Millis,
    ) -> messages.Selected | None:
        """Return the request with one server, or None if all are full."""
        candidates = resolved.candidates
        stats.update_listed(resolved.listed, now)
        if len(candidates) == 1:
            target = stats.target_of(candidates[0].server)
            chosen = candidates[0] if target.has_capacity else None
        else:
            untried = _untried(candidates, tried)
            chosen = self._choose(resolved, untried, stats, now)
        return None if chosen is None else _selected(resolved, chosen)

    def _choose(
        self,
        resolved: messages.Resolved,
        candidates: typing.Sequence[wire.ListedServer],
        stats: target_stats.ServiceStats,
        now: clock.Millis,
    ) -> wire.ListedServer | None:
        usable = stats.usable(
            [candidate.server for candidate in candidates],
            now,
        )
        with_capacity = [
            candidate
            for candidate in candidates
            if candidate.server in usable
            and stats.targets[candidate.server].has_capacity
        ]
        common = balancing.ScoringContext(stats.base_latency_ms, now)
        preferred = (
            self._nearby(resolved, with_capacity, stats, common)
            or with_capacity
        )
        index = balancing.choose(
            [stats.targets[server.server].load for server in preferred],
            common,
            self._rng.randrange,
        )
        return None if index is None else preferred[index]

    def _nearby(
        self,
        resolved: messages.Resolved,
        with_capacity: typing.Sequence[wire.ListedServer],
        stats: target_stats.ServiceStats,
        common: balancing.ScoringContext,
    ) -> list[wire.ListedServer]:
        return [
            candidate
            for candidate in with_capacity
            if candidate.data_centre == self._data_centre
            and balancing.is_local_target_usable(
                stats.targets[candidate.server].load,
                common,
                resolved.slots,
            )
        ]


def _untried(
    candidates: tuple[wire.ListedServer, ...],
    tried: frozenset[ids.ServerId],
) -> typing.Sequence[wire.ListedServer]:
    if not tried:
        return candidates
    untried = [
        candidate for candidate in candidates if candidate.server not in tried
    ]
    return untried or candidates


def _selected(
    resolved: messages.Resolved,
    server: wire.ListedServer,
) -> messages.Selected:
    identified = resolved.identified
    shard = identified.shard
    return messages.Selected(
        identified=identified,
        server=server,
        way=outcomes.Destination(
            server=server.server,
            shard=NO_SHARD if shard is None else shard,
            fence=resolved.fence,
        ),
        can_run_elsewhere=(
            identified.idempotent and len(resolved.candidates) > 1
        ),
    )
