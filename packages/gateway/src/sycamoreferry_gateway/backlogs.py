"""Estimate the backlog ahead of a request, and build rejections."""

import dataclasses
import random

from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import queueing, server_load
from sycamoreferry_gateway import view

# A key without an owner is assumed to get one within the time of a move.
_EXPECTED_MOVE_MS = 500
# The coordinator tries a refused write of owners again after about this time.
_STALLED_MOVE_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Hold why a request got no server, and when the caller may retry."""

    reason: str
    retry_after_ms: int
    # The backlog on which the decision was based.
    backlog: queueing.Backlog


class BacklogEstimator:
    """Estimate backlogs from the load of the eligible servers."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        rng: random.Random,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._random = rng

    def owner_server(
        self,
        request: queueing.QueuedRequest,
    ) -> servers.BackendServer | None:
        """Return the server that owns a request's key, if it is ready."""
        if request.key is None:
            return None
        row = self._view.owner_of(request.service, request.key)
        if row is None:
            return None
        server = self._view.fleet.get(row.owner.server)
        if server is None or server.incarnation != row.owner:
            return None
        return server if self.may_get(server, request) else None

    def may_get(
        self,
        server: servers.BackendServer,
        request: queueing.QueuedRequest,
    ) -> bool:
        """Tell whether a server that was chosen may get a request now."""
        is_keyed = request.key is not None
        return server.is_available and self._view.evacuations.accepts(
            server, is_keyed=is_keyed
        )

    def is_move_stalled(self, request: queueing.QueuedRequest) -> bool:
        """Tell whether a key still belongs to a server that should be empty.

        Its keys normally move within the drain time; no one knows when they
        move after that, so its requests are not worth queueing.
        """
        if request.key is None:
            return False
        table = self._view.assignment.table(request.service)
        row = table.owner_of(request.key)
        since = (
            None if row is None else self._view.fleet.leaving_since(row.owner)
        )
        if since is None:
            return self._is_evacuation_overdue(row)
        drain_ms = self._view.deployment.bounds.drain_ms
        return self._view.clock.now() - since > drain_ms

    def is_hopeless(self, request: queueing.QueuedRequest) -> bool:
        """Tell whether a request would wait for a server in vain."""
        if self.is_move_stalled(request):
            return True
        if not self._view.evacuations.active:
            return False
        if self.owner_server(request) is not None:
            return False
        known = self._view.servers_of(request.service)
        return any(server.is_evacuated for server in known) and not any(
            server.is_ready for server in known
        )

    def is_late(self, request: queueing.QueuedRequest) -> bool:
        """Tell whether a request can no longer be sent in time."""
        duration = self._loads.service_duration_ms(request.service)
        now = self._view.clock.now()
        return now >= queueing.latest_start(request, duration)

    def can_be_served(
        self,
        request: queueing.QueuedRequest,
        own_waiting: int,
    ) -> bool:
        """Tell whether a request is expected to be sent in time."""
        if self.is_hopeless(request):
            return False
        backlog = self.estimate(request, own_waiting)
        return queueing.can_be_served(request, backlog, self._view.clock.now())

    def estimate(
        self,
        request: queueing.QueuedRequest,
        own_waiting: int,
    ) -> queueing.Backlog:
        """Estimate the requests ahead, their slots and their duration."""
        now = self._view.clock.now()
        if request.key is not None:
            server = self.owner_server(request)
            if server is None:
                is_stalled = self.is_hopeless(request)
                move_ms = _STALLED_MOVE_MS if is_stalled else _EXPECTED_MOVE_MS
                return queueing.Backlog(1, 1, move_ms)
            server_id = server.incarnation.server
            ahead = self._loads.total_waiting(server_id)
            ahead += max(
                0,
                self._loads.total_in_flight(server_id, now) - server.slots,
            )
            duration = self._loads.current_duration_ms(server, now)
            return queueing.Backlog(
                ahead, server.slots, duration, self.back_off_ms(request)
            )
        ready = [
            server
            for server in self._view.servers_of(request.service)
            if server.is_ready
        ]
        if not ready and self.is_hopeless(request):
            return queueing.Backlog(1, 1, _STALLED_MOVE_MS)
        ahead = own_waiting * self._view.peers.count(now)
        usable = self._loads.back_offs.open_servers(ready, now) or ready
        slots = sum(server.slots for server in usable)
        duration = self._loads.service_duration_ms(request.service)
        return queueing.Backlog(
            ahead, slots, duration, self.back_off_ms(request)
        )

    def back_off_ms(self, request: queueing.QueuedRequest) -> int:
        """Return when the first server that can run a request may get one.

        It is 0 while one of them may get requests, or none is known.
        """
        if self._loads.back_offs.is_empty:
            return 0
        now = self._view.clock.now()
        return min(
            (
                self._loads.back_offs.remaining_ms(server.incarnation, now)
                for server in self.possible_servers(request)
            ),
            default=0,
        )

    def possible_servers(
        self, request: queueing.QueuedRequest
    ) -> list[servers.BackendServer]:
        """Return the ready servers that could run a request, busy or not."""
        if request.key is not None:
            owner = self.owner_server(request)
            return [] if owner is None else [owner]
        return [
            server
            for server in self._view.servers_of(request.service)
            if server.is_ready
            and server.incarnation.server not in request.excluded
        ]

    def rejection(
        self,
        request: queueing.QueuedRequest,
        own_waiting: int,
    ) -> Rejection:
        """Return the rejection of a request behind its current backlog."""
        backlog = self.estimate(request, own_waiting)
        return self.rejection_for(request, backlog)

    def rejection_for(
        self,
        request: queueing.QueuedRequest,
        backlog: queueing.Backlog,
    ) -> Rejection:
        """Return the rejection of a request behind a backlog known already."""
        now = self._view.clock.now()
        retry_after = queueing.retry_delay_ms(
            request.ends_at - now,
            backlog,
            self._random.random(),
        )
        reason = 'no room'
        if request.key is not None and self.owner_server(request) is None:
            reason = 'key has no owner'
        elif self.is_hopeless(request):
            reason = 'all data centres are evacuated'
        elif backlog.back_off_ms:
            reason = 'server asked for a back-off'
        return Rejection(reason, retry_after, backlog)

    def _is_evacuation_overdue(self, row: owners.Ownership | None) -> bool:
        server = None
        if row is not None:
            server = self._view.fleet.get(row.owner.server)
        return server is not None and self._view.evacuations.is_overdue(server)
