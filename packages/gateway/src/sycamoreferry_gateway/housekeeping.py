"""Drop what is too old to have an effect, and update means."""

import typing

from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import caller_budget, http_client, part_runner, view
from sycamoreferry_ports import allocator

_INTERVAL_MS = 500


class Housekeeping:
    """Run the periodic steps that no request waits for."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        pools: typing.Sequence[http_client.ConnectionPool],
        parts: part_runner.PartRunner,
        on_view_change: typing.Callable[[], None],
        callers: caller_budget.CallerBudget,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._pools = pools
        self._parts = parts
        self._on_view_change = on_view_change
        self._callers = callers

    async def run_forever(self) -> None:
        """Run each step at an interval, also if another one raises."""
        while True:
            await self._view.ticks.wait(_INTERVAL_MS)
            self._parts.run_step('close connections', self._close_expired)
            self._parts.run_step('update loads', self._update_loads)
            self._parts.run_step('update crashes', self._update_crashes)
            self._parts.run_step('update view', self._on_view_change)
            self._parts.run_step('return memory', self._return_memory)
            self._callers.report(self._view.log)
            self._view.log.report_dropped()

    def _close_expired(self) -> None:
        for pool in self._pools:
            pool.close_expired()

    def _return_memory(self) -> None:
        if self._callers.has_shrunk():
            allocator.return_free_memory()

    def _update_loads(self) -> None:
        now = self._view.clock.now()
        known = self._view.fleet.servers
        self._loads.peers.drop_silent(now)
        self._loads.keep_only(known)
        self._loads.durations.update_services(known.values(), now)
        self._loads.rate_limits.keep_only(known, now)
        self._loads.warm_ups.keep_only(known, now)
        self._loads.back_offs.keep_only(self._view.fleet.incarnations)

    def _update_crashes(self) -> None:
        self._view.crashes.prune(self._view.clock.now())
        self._view.blocks.update()
