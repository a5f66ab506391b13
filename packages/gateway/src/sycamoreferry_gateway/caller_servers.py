"""Build the servers of a process, which share one account of its memory."""

import dataclasses

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment
from sycamoreferry_core.traffic import descriptor_shares
from sycamoreferry_gateway import (
    caller_budget,
    http_server,
    relay_service,
    request_handler,
    status_pages,
    view,
)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerServers:
    """Hold the servers for callers, other instances and operators."""

    budget: caller_budget.CallerBudget
    callers: http_server.HttpServer
    relays: http_server.HttpServer
    pages: http_server.HttpServer

    @property
    def gauges(self) -> dict[str, float]:
        """Return what the connections hold, and how many gave way."""
        return {
            'callers_connected': len(self.callers.connections),
            'callers_bytes_held': self.budget.memory.held_bytes,
            'callers_bytes_limit': self.budget.memory.limit_bytes,
            **self.budget.counts,
        }


def build(
    settings: deployment.Deployment,
    source: clock.Clock,
    handling: request_handler.RequestHandler,
    cluster_view: view.View,
    pages: status_pages.StatusPages,
) -> CallerServers:
    """Return the servers within the limits of the machine."""
    budget = caller_budget.for_machine(settings.memory_mb, source)
    handling.relay.has_room = budget.has_room
    shares = descriptor_shares.divide(settings.max_descriptors)
    status = http_server.HttpServer(
        pages.serve, source, budget=budget, max_connections=shares.pages
    )
    status.limits = status_pages.LIMITS
    return CallerServers(
        budget,
        http_server.HttpServer(
            handling.serve,
            source,
            handling.is_idempotent,
            budget,
            shares.callers,
        ),
        relay_service.build_server(
            handling.serve_relayed, cluster_view, budget, shares.relays
        ),
        status,
    )
