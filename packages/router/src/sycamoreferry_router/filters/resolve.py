"""Resolve which backend servers may run a request."""

from sycamoreferry_core import ids, outcomes, result_codes
from sycamoreferry_router import messages, view

_Code = result_codes.ResultCode
RETRY_AFTER_MS = 1000
_NOBODY = ids.ServerId('')


def resolve(
    identified: messages.Identified,
    seen: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    """Return the owner of a key, or the live targets of a service."""
    if identified.shard is None:
        return _resolve_targets(identified, seen)
    return _resolve_owner(identified, identified.shard, seen)


def _resolve_targets(
    identified: messages.Identified,
    seen: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    listed = seen.servers_of(identified.service.service_name)
    live = tuple(server for server in listed if server.state == view.LIVE)
    if not live:
        return outcomes.NotRun(_Code.NO_TARGET, RETRY_AFTER_MS)
    slots = _slots(identified, seen)
    return messages.Resolved(identified, live, listed, ids.NO_FENCE, slots)


def _resolve_owner(
    identified: messages.Identified,
    shard: ids.ShardId,
    seen: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    assigned = seen.log_state.assignment_of(identified.service.service_name)
    owner = assigned.owner_of(shard)
    listed = seen.servers.get(owner) if owner else None
    if listed is None:
        lost = outcomes.Way(owner or _NOBODY, shard)
        return outcomes.NotRun(_Code.NO_OWNER, RETRY_AFTER_MS, lost)
    return messages.Resolved(
        identified,
        (listed,),
        seen.servers_of(identified.service.service_name),
        assigned.fences[shard],
        _slots(identified, seen),
    )


def _slots(identified: messages.Identified, seen: view.InstanceView) -> int:
    return seen.profile(identified.service.profile).limits.slots_per_target
