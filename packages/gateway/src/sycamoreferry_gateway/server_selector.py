"""Select a backend server with free capacity by the loads known here."""

import random

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import queueing, server_choice, server_load
from sycamoreferry_gateway import backlogs, view


class ServerSelector:
    """Select the owner of a request's key, or the best server of a service."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        estimates: backlogs.BacklogEstimator,
        rng: random.Random,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._backlogs = estimates
        self._random = rng

    def select(
        self,
        request: queueing.QueuedRequest,
    ) -> servers.BackendServer | None:
        """Return a server with free capacity; None if there is none."""
        now = self._view.clock.now()
        if request.key is None:
            return self._choose_server(request, now)
        return self._owner_with_capacity(request, now)

    def _choose_server(
        self,
        request: queueing.QueuedRequest,
        now: clock.Millis,
    ) -> servers.BackendServer | None:
        choosing = server_choice.ChoiceInputs(
            self._view.deployment.data_centre,
            request.excluded,
            now,
            request.has_large_answer,
        )
        candidates = self._loads.back_offs.open_servers(
            self._view.servers_of(request.service), now
        )
        drawn = server_choice.draw_candidates(
            candidates, self._loads, choosing, self._random.sample
        )
        return server_choice.choose_server(
            drawn,
            self._loads,
            choosing,
            self._random.random,
        )

    def _owner_with_capacity(
        self,
        request: queueing.QueuedRequest,
        now: clock.Millis,
    ) -> servers.BackendServer | None:
        server = self._backlogs.owner_server(request)
        if server is None or self._loads.back_offs.remaining_ms(
            server.incarnation, now
        ):
            return None
        has_room = server_choice.has_room(server, self._loads, now)
        return server if has_room else None
