"""Report the current status of an instance."""

import dataclasses
import typing

from sycamoreferry_core import clock, coordination, ids
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_router import coordination_loop, http_server, view


@dataclasses.dataclass(frozen=True)
class StatusReporter:
    """Build the status reply from an instance's components."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    instance_view: view.InstanceView
    loops: typing.Mapping[str, coordination_loop.CoordinationLoop]
    server: http_server.HttpServer
    clock: clock.Clock

    def report(self) -> peer_pb2.StatusReply:
        """Return the state, terms and profiles as they are now."""
        log_state = self.instance_view.log_state
        return peer_pb2.StatusReply(
            instance=self.instance,
            data_centre=self.data_centre,
            next_offset=log_state.next_offset,
            profiles=[
                peer_pb2.ProfileInForce(name=name, number=published.number)
                for name, published in log_state.profiles.items()
            ],
            services=[
                _service_status(name, loop, self.clock.now())
                for name, loop in self.loops.items()
            ],
            ready=self.server.ready,
            in_flight=self.server.in_flight,
        )


def _service_status(
    name: str,
    loop: coordination_loop.CoordinationLoop,
    now: clock.Millis,
) -> peer_pb2.ServiceStatus:
    current = loop.current
    return peer_pb2.ServiceStatus(
        service=name,
        term=current.term.term,
        coordinator=current.term.coordinator,
        deputy=current.term.deputy,
        role=current.role.value,
        has_authority=loop.has_authority,
        leases=leases_of(current, now) if loop.has_authority else (),
    )


def leases_of(
    current: coordination.CoordinatorState,
    now: clock.Millis,
) -> list[peer_pb2.ServerLease]:
    """Return the leases that a coordinator knows, with the time left."""
    return [
        peer_pb2.ServerLease(
            server=link.server,
            lasts_ms=max(0, link.lease_bound - now),
            shards=len(link.held_shards),
        )
        for link in current.links.values()
    ]
