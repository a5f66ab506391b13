"""Choose the instances that count the requests at servers."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import permit_issuers
from sycamoreferry_core.traffic import permits, server_load
from sycamoreferry_gateway import issuer_health, view

# Interval at which counting instances are chosen again from those alive.
_REFRESH_MS = 200


class CountingInstances:
    """Choose among the instances that are heard and answer."""

    def __init__(
        self, cluster_view: view.View, loads: server_load.ServerLoads
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._loads = loads
        self._own_instance = cluster_view.deployment.instance
        self._chosen = permit_issuers.IssuerCache()
        self._chosen_at = clock.LONG_AGO
        self._health = issuer_health.IssuerHealth()

    def of_line(self, line: permits.QueueName) -> ids.InstanceId:
        """Return the instance that counts a queue of requests."""
        now = self._clock.now()
        if now - self._chosen_at >= _REFRESH_MS:
            self._chosen_at = now
            self._chosen.update_weights(self._weights(now))
        return self._chosen.get(line) or self._own_instance

    def of_server(self, server_id: ids.ServerId) -> ids.InstanceId:
        """Return the instance that counts the requests at a server."""
        server = self._view.fleet.get(server_id)
        if server is None or self._view.is_keyed(server.service):
            return self.of_line(permits.QueueName(server_id))
        known = self._view.servers_of(server.service)
        pools = permit_issuers.pool_count(len(known))
        pool = permit_issuers.pool_of(server_id, pools)
        return self.of_line(pool_line(server.service, pool))

    def of_limited_servers(self) -> dict[ids.ServerId, ids.InstanceId]:
        """Return the instances that count for limited and cold servers."""
        listed = self._view.fleet.servers.values()
        cold = self._loads.warm_ups.cold_servers(listed, self._clock.now())
        return {
            server: self.of_server(server)
            for server in (*self._loads.rate_limits.limited_servers(), *cold)
        }

    def record_answer(self, instance: ids.InstanceId) -> None:
        """Record that an instance has answered a permit request."""
        self._health.record_answer(instance, self._clock.now())

    def skip(self, instance: ids.InstanceId) -> bool:
        """Skip an instance; return False if no other one answers either."""
        is_skipped = self._health.skip(instance, self._clock.now())
        if is_skipped:
            self._chosen_at = clock.LONG_AGO
        return is_skipped

    def _weights(self, now: clock.Millis) -> dict[ids.InstanceId, float]:
        weights = {
            peer.instance: peer.counting_weight
            for peer in self._view.peers.alive(now)
            if not peer.is_leaving
            and not self._health.is_skipped(peer.instance, now)
        }
        weights[self._own_instance] = self._view.deployment.counting_weight
        return weights


def pool_line(service: ids.ServiceName, pool: int) -> permits.QueueName:
    """Return the name of the queue for a pool of servers."""
    return permits.QueueName(f'{service} {pool}')
