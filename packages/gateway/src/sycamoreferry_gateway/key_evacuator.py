"""Move the keys of evacuated servers, and log when the last one has moved."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import evacuated_keys, owners
from sycamoreferry_gateway import (
    key_mover,
    lease_manager,
    load_estimator,
    view,
)


class KeyEvacuator:
    """Start the moves of keys out of evacuated data centres step by step."""

    def __init__(
        self,
        cluster_view: view.View,
        grants: lease_manager.LeaseManager,
        estimator: load_estimator.LoadEstimator,
        mover: key_mover.KeyMover,
    ) -> None:
        self._view = cluster_view
        self._grants = grants
        self._estimator = estimator
        self._mover = mover
        self._stepped_at = clock.LONG_AGO
        # Data centres whose servers were seen with keys, until they have none.
        self._moving: set[ids.DataCentre] = set()

    def start_step(self) -> bool:
        """Tell whether the next moves may start, and note that they do.

        The coordinator's ticks are a step apart, or a little less.
        """
        if not self._view.evacuations.active:
            return False
        now = self._view.clock.now()
        if now - self._stepped_at < evacuated_keys.STEP_MS // 2:
            return False
        self._stepped_at = now
        return True

    def move_keys(self, service: ids.ServiceName, *, is_trial: bool) -> None:
        """Start the moves of a service that are due, or one on trial.

        Without servers elsewhere the keys stay where they are.
        """
        rows = self._view.assignment.table(service).rows
        held = [row for row in rows if self._is_evacuated(row)]
        idle = [
            row
            for row in held
            if not self._grants.is_blocked(service, row.keys)
            and self._mover.can_move_soon(row)
        ]
        staying = len(self._estimator.capacities(service)) if idle else 0
        if not staying:
            return
        count = evacuated_keys.count_due(
            len(idle), min(self._elapsed_of(row) for row in idle)
        )
        if is_trial:
            count = 1 if len(idle) == len(held) else 0
        parts = evacuated_keys.count_parts(
            len(held), self._count_evacuated(service), staying
        )
        work = self._estimator.slots_by_key(service) if parts > 1 else {}
        for row in idle[:count]:
            cut = evacuated_keys.cut(row.keys, work, parts)
            self._mover.relocate(service, row, cut)

    def log_progress(self, services: list[ids.ServiceName]) -> None:
        """Log the data centres that the last key has left by now."""
        active = self._view.evacuations.active
        self._moving.intersection_update(active)
        if not active:
            return
        left = {
            server.data_centre
            for service in services
            for row in self._view.assignment.table(service).rows
            if (server := self._view.fleet.get(row.owner.server)) is not None
        }
        for data_centre in active:
            if data_centre in left:
                self._moving.add(data_centre)
            elif data_centre in self._moving:
                self._moving.discard(data_centre)
                self._log_moved(data_centre)

    def _count_evacuated(self, service: ids.ServiceName) -> int:
        known = self._view.servers_of(service)
        return sum(server.is_evacuated for server in known)

    def _is_evacuated(self, row: owners.Ownership) -> bool:
        server = self._view.fleet.get(row.owner.server)
        return (
            server is not None
            and server.is_evacuated
            and self._grants.is_renewable(row.owner)
        )

    def _elapsed_of(self, row: owners.Ownership) -> int:
        server = self._view.fleet.get(row.owner.server)
        return 0 if server is None else self._elapsed_ms(server.data_centre)

    def _elapsed_ms(self, data_centre: ids.DataCentre) -> int:
        since = self._view.evacuations.since(data_centre)
        return 0 if since is None else self._view.clock.now() - since

    def _log_moved(self, data_centre: ids.DataCentre) -> None:
        self._view.log.write(
            'evacuations',
            'all keys have moved',
            data_centre=data_centre,
            ms=self._elapsed_ms(data_centre),
        )
