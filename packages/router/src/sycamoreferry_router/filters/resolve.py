"""Resolve the backend servers that may run a request."""

from sycamoreferry_core import ids, outcomes, result_codes
from sycamoreferry_router import messages, view

_Code = result_codes.ResultCode
RETRY_AFTER_MS = 1000
_NO_SERVER = ids.ServerId('')


def resolve(
    identified: messages.Identified,
    instance_view: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    """Return the owner of a key, or the live targets of a service."""
    if identified.shard is None:
        return _resolve_targets(identified, instance_view)
    return _resolve_owner(identified, identified.shard, instance_view)


def _resolve_targets(
    identified: messages.Identified,
    instance_view: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    listed = instance_view.servers_of(identified.service.service_name)
    live = tuple(server for server in listed if server.state == view.LIVE)
    if not live:
        return outcomes.NotRun(_Code.NO_TARGET, RETRY_AFTER_MS)
    slots = _slots(identified, instance_view)
    return messages.Resolved(identified, live, listed, ids.NO_FENCE, slots)


def _resolve_owner(
    identified: messages.Identified,
    shard: ids.ShardId,
    instance_view: view.InstanceView,
) -> messages.Resolved | outcomes.NotRun:
    assigned = instance_view.log_state.assignment_of(
        identified.service.service_name
    )
    owner = assigned.owner_of(shard)
    listed = instance_view.servers.get(owner) if owner else None
    if listed is None:
        route = outcomes.Destination(owner or _NO_SERVER, shard)
        return outcomes.NotRun(_Code.NO_OWNER, RETRY_AFTER_MS, route)
    return messages.Resolved(
        identified,
        (listed,),
        instance_view.servers_of(identified.service.service_name),
        assigned.fences[shard],
        _slots(identified, instance_view),
    )


def _slots(
    identified: messages.Identified, instance_view: view.InstanceView
) -> int:
    return instance_view.profile(
        identified.service.profile
    ).limits.slots_per_target
