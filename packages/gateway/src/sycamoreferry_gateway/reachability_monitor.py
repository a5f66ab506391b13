"""Probe servers when many fail, to find out whether any can be reached."""

import asyncio
import random

from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import event_log, http_client, view

_CHECK_INTERVAL_MS = 50
# Some servers may be down while the links of this instance work.
_SERVERS_PER_PROBE = 4


class ReachabilityMonitor:
    """Keep up to date whether this instance reaches any server."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        pool: http_client.ConnectionPool,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._clock = cluster_view.clock
        self._pool = pool
        self._log = log
        self._random = random.Random()

    async def watch_forever(self) -> None:
        """Probe servers while they fail, or while none can be reached."""
        while True:
            await self._view.ticks.wait(_CHECK_INTERVAL_MS)
            if not self._loads.reachability.is_in_doubt:
                continue
            ready = self._ready_servers()
            if self._loads.reachability.should_probe(
                len(ready), self._clock.now()
            ):
                await self._probe(ready)

    def _ready_servers(self) -> list[servers.BackendServer]:
        known = self._view.fleet.servers.values()
        return [server for server in known if server.is_ready]

    async def _probe(self, ready: list[servers.BackendServer]) -> None:
        count = min(_SERVERS_PER_PROBE, len(ready))
        chosen = self._random.sample(ready, count)
        reached = await asyncio.gather(
            *(
                self._pool.can_connect(
                    deployment.Address(server.host, server.port)
                )
                for server in chosen
            )
        )
        is_changed = self._loads.reachability.record_probe(
            self._clock.now(), has_reached=any(reached)
        )
        if is_changed:
            self._log.write(
                'servers',
                'servers can be reached again'
                if any(reached)
                else 'no server can be reached',
                probed=[server.incarnation.server for server in chosen],
            )
