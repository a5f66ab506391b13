"""Estimate the load of keys and the capacity of servers."""

import math
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import capacities as key_capacities
from sycamoreferry_core.keyspace import demand, owners, placement
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import view

# Requests arrive irregularly, and a rate limit leaves no slack for bursts.
_LIMIT_SHARE = 0.7


class LoadEstimator:
    """Estimate the load of each key and the capacity of each server."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        is_usable: typing.Callable[[servers.ServerIncarnation], bool],
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._is_usable = is_usable
        self._demand: dict[ids.ServiceName, demand.KeyDemand] = {}

    def count_demand(
        self,
        service: ids.ServiceName,
        key: owners.Key,
        count: int,
    ) -> None:
        """Add requests for a key, counted by this or another instance."""
        known = self._demand.setdefault(service, demand.KeyDemand())
        known.add(key, count, self._clock.now())

    def capacities(
        self,
        service: ids.ServiceName,
    ) -> list[placement.Capacity]:
        """Return the capacities of the usable servers of a service."""
        mean = self._loads.service_duration_ms(service)
        known = [
            key_capacities.ServerSpeed(
                server.incarnation,
                server.slots,
                mean / max(1, self._loads.duration_ms(server)),
                self._max_slots(server, mean),
            )
            for server in self._view.servers_of(service)
            if self._is_usable(server.incarnation)
        ]
        demanded = sum(self.slots_by_key(service).values())
        return key_capacities.weight_capacities(known, demanded)

    def has_demand(self, service: ids.ServiceName) -> bool:
        """Tell whether a request for a key of a service was ever counted."""
        return service in self._demand

    def slots_by_key(self, service: ids.ServiceName) -> dict[owners.Key, float]:
        """Return the average number of slots that each key keeps busy."""
        known = self._demand.get(service)
        if known is None:
            return {}
        seconds = clock.seconds(1) * self._loads.service_duration_ms(service)
        rates = known.rates(self._clock.now())
        return {key: rate * seconds for key, rate in rates.items()}

    def slots_per_request(self, service: ids.ServiceName) -> float:
        """Return by how much one request raises the work of its key."""
        duration_ms = self._loads.service_duration_ms(service)
        return duration_ms / demand.TIME_CONSTANT_MS

    def _max_slots(
        self, server: servers.BackendServer, mean_ms: float
    ) -> float:
        now = self._clock.now()
        limit = self._loads.rate_limits.get_confirmed(
            server.incarnation.server, now
        )
        cold = self._loads.warm_ups.requests_per_s(server, now)
        if cold is not None:
            # Keys leave a cold server, and none moves to it for these few
            # seconds: with so little room, it would be the least busy one and
            # hold up moves to the others.
            limit = cold if limit is None else min(cold, limit)
        if limit is None:
            return math.inf
        share = limit * _LIMIT_SHARE
        return share * mean_ms / clock.MILLIS_PER_SECOND
