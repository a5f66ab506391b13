"""Probe servers after failed attempts, to learn of crashes soon.

Their entries expire seconds after a crash, and later while the store is away.
"""

import random
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import background, http_client, view

_CHECK_INTERVAL_MS = 50
# A server may crash a while after its attempt ended, so that one which is up is
# probed again.
_SECOND_PROBE_MS = 100
_LATE_PROBE_MS = 1_100
_REPEATED_PROBE_MS = 50
# Interval of probes while no other server answers either.
_UNCONFIRMED_PROBE_MS = 250
_FAILED_PROBES = 2
_MOST_PROBES = 8


class CrashMonitor:
    """Count a server as ended once new connections to it fail twice."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        pool: http_client.ConnectionPool,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._pool = pool
        self._next_at: dict[servers.ServerIncarnation, clock.Millis] = {}
        self._failures: dict[servers.ServerIncarnation, int] = {}
        # The servers to which a probe is on its way.
        self._probed: set[servers.ServerIncarnation] = set()
        self._random = random.Random()
        self._tasks = background.BackgroundTasks('crashes', cluster_view.log)

    async def watch_forever(self) -> None:
        """Probe the servers that may have crashed."""
        while True:
            await self._view.ticks.wait(_CHECK_INTERVAL_MS)
            suspects = self._view.crashes.runs.suspects(self._view.clock.now())
            self._drop_others(suspects)
            due = [one for one in suspects if self._is_due(one, suspects[one])]
            for one in due[: _MOST_PROBES - len(self._probed)]:
                self._tasks.start(self._probe(one, suspects[one]))

    def _is_due(
        self, incarnation: servers.ServerIncarnation, since: clock.Millis
    ) -> bool:
        if incarnation in self._probed:
            return False
        next_at = self._next_at.setdefault(incarnation, since)
        return self._view.clock.now() >= next_at

    async def _probe(
        self, incarnation: servers.ServerIncarnation, since: clock.Millis
    ) -> None:
        server = self._view.fleet.get(incarnation.server)
        if server is None or server.incarnation != incarnation:
            return
        self._probed.add(incarnation)
        try:
            await self._probe_server(server, since)
        finally:
            self._probed.discard(incarnation)

    async def _probe_server(
        self, server: servers.BackendServer, since: clock.Millis
    ) -> None:
        incarnation = server.incarnation
        is_up = await self._pool.can_connect(
            deployment.Address(server.host, server.port)
        )
        now = self._view.clock.now()
        if is_up:
            self._view.crashes.runs.record_reached(incarnation, now)
            self._failures.pop(incarnation, None)
            is_first = now - since < _SECOND_PROBE_MS
            delay = _SECOND_PROBE_MS if is_first else _LATE_PROBE_MS
            self._next_at[incarnation] = clock.later(now, delay)
            return
        self._view.crashes.runs.record_unreachable(incarnation)
        failures = self._failures.get(incarnation, 0) + 1
        self._failures[incarnation] = failures
        self._next_at[incarnation] = clock.later(
            now,
            _REPEATED_PROBE_MS
            if failures < _FAILED_PROBES
            else _UNCONFIRMED_PROBE_MS,
        )
        if failures == 1:
            self._view.crashes.report_suspects(incarnation, now)
        if failures >= _FAILED_PROBES and await self._has_own_links(
            incarnation, since
        ):
            self._view.blocks.confirm_crashes(
                incarnation, was_leaving=server.leaving_since is not None
            )

    async def _has_own_links(
        self, incarnation: servers.ServerIncarnation, since: clock.Millis
    ) -> bool:
        """Tell whether this instance still reaches other servers."""
        if self._loads.reachability.is_cut_off:
            return False
        if self._view.crashes.runs.has_answer_of_another(incarnation, since):
            return True
        others = [
            server
            for server in self._view.fleet.servers.values()
            if server.is_ready and server.incarnation not in self._failures
        ]
        if not others:
            return False
        chosen = self._random.choice(others)
        return await self._pool.can_connect(
            deployment.Address(chosen.host, chosen.port)
        )

    def _drop_others(
        self, suspects: typing.Container[servers.ServerIncarnation]
    ) -> None:
        for known in (self._next_at, self._failures):
            for incarnation in list(known):
                if incarnation not in suspects:
                    known.pop(incarnation)
