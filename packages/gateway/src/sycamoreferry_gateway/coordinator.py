"""Coordinate the ownership of keys while this instance is the coordinator."""

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances
from sycamoreferry_core.keyspace import leases, owners
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    assignment_writer,
    background,
    event_log,
    http_client,
    key_evacuator,
    key_mover,
    lease_manager,
    load_estimator,
    order_sender,
    store_client,
    term_manager,
    view,
)

_TICK_INTERVAL_MS = 100
_TERM_CHECK_INTERVAL_MS = 500
_PLAN_INTERVAL_MS = 250


class Coordinator:
    """Claim the term when it is vacant, and then keep every key owned."""

    def __init__(
        self,
        cluster_view: view.View,
        client: store_client.StoreClient,
        pool: http_client.ConnectionPool,
        loads: server_load.ServerLoads,
        log: event_log.EventLog,
        announce: assignment_writer.Announce,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._links = loads.reachability
        self._orders = order_sender.OrderSender(
            pool,
            leases.LeaseBook(),
            self._links,
            cluster_view.clock,
        )
        self._tasks = background.BackgroundTasks('coordinator', log)
        self._terms = term_manager.TermManager(
            cluster_view,
            client,
            self._orders,
            log,
            announce,
        )
        self._grants = lease_manager.LeaseManager(
            cluster_view,
            self._terms,
            self._orders,
            self._tasks,
            log,
        )
        self._estimator = load_estimator.LoadEstimator(
            cluster_view,
            loads,
            self._grants.is_usable,
        )
        self._mover = key_mover.KeyMover(
            cluster_view,
            self._terms,
            self._grants,
            self._orders,
            self._estimator,
            self._tasks,
            announce,
        )
        self._evacuator = key_evacuator.KeyEvacuator(
            cluster_view, self._grants, self._estimator, self._mover
        )
        self._planned_at = clock.LONG_AGO
        self._is_leaving = False

    @property
    def is_coordinating(self) -> bool:
        """Tell whether this instance holds the newest term it knows of."""
        return self._terms.is_coordinating

    @property
    def has_authority(self) -> bool:
        """Tell whether this instance may send grants and releases now."""
        return self._terms.has_authority

    @property
    def moves_made(self) -> int:
        """Return how many key ranges were granted after a handover."""
        return self._mover.moves_made

    def count_demand(
        self,
        service: ids.ServiceName,
        key: owners.Key,
        count: int,
    ) -> None:
        """Add requests for a key, counted by this or another instance."""
        self._estimator.count_demand(service, key, count)

    def last_given_up(self) -> tuple[ids.Term, int]:
        """Return the last term given up and the ms until its leases expire."""
        return self._terms.last_given_up()

    async def run(self) -> None:
        """Coordinate while the term is held; otherwise claim it when vacant."""
        while True:
            await self._view.ticks.wait(_TICK_INTERVAL_MS)
            if self.has_authority:
                self._coordinate_or_hand_over()
            elif self.is_coordinating:
                reason = 'the store did not confirm the term in time'
                if self._terms.has_lost_era:
                    reason = 'the store returned to an older copy'
                self._give_up(reason)
            else:
                await self._consider_claim()

    async def prove_forever(self) -> None:
        """Check the term against the store periodically."""
        while True:
            await self._view.ticks.wait(_TERM_CHECK_INTERVAL_MS)
            if self.is_coordinating:
                await self._terms.confirm()

    def resign(self) -> None:
        """Give up the term for good, so that another instance claims it."""
        self._is_leaving = True
        if self.is_coordinating:
            self._give_up('this instance is shutting down')

    def _coordinate_or_hand_over(self) -> None:
        now = self._clock.now()
        if self._links.is_cut_off and self._view.peers.reaching_servers(now):
            self._give_up('this instance reaches no server, others do')
        else:
            self._coordinate()

    def _give_up(self, reason: str) -> None:
        self._tasks.cancel_all()
        self._terms.give_up(reason)

    async def _consider_claim(self) -> None:
        # Moves of an ended term would hand over keys that their server got
        # again in the next one.
        self._tasks.cancel_all()
        if self._terms.is_superseded:
            self._terms.stop()
        if self._is_leaving or not self._keyed_services():
            return
        holder = self._view.assignment.coordinator
        coordinator_view = instances.CoordinatorView(
            holder,
            holder == self._view.deployment.instance,
            self._view.owners.term_since,
            self._links.is_cut_off,
            self._view.owners.lost_since,
        )
        now = self._clock.now()
        if not instances.should_claim(coordinator_view, self._view.peers, now):
            return
        if await self._terms.claim():
            self._grants.start_term()
            self._mover.start_term()
            self._coordinate()

    def _keyed_services(self) -> list[ids.ServiceName]:
        config = self._view.config
        if config is None:
            return []
        return [
            service
            for service, policy in config.services.items()
            if policy.is_keyed
        ]

    def _coordinate(self) -> None:
        now = self._clock.now()
        self._orders.book.prune(now)
        self._orders.keep_only(self._view.fleet.servers.values())
        is_planning = now - self._planned_at >= _PLAN_INTERVAL_MS
        if is_planning:
            self._planned_at = now
        can_write = not self._terms.are_writes_refused
        # Keys that are released have no owner until the store has a new one.
        is_evacuating = (
            can_write
            and not self._terms.is_authority_expiring
            and self._evacuator.start_step()
        )
        services = self._keyed_services()
        self._evacuator.log_progress(services)
        for service in services:
            if is_evacuating:
                self._evacuator.move_keys(
                    service, is_trial=self._terms.has_refused_write
                )
            if can_write:
                self._mover.relocate_lost(service)
                self._mover.assign_gaps(service)
            self._grants.renew(service)
            if is_planning and can_write:
                self._mover.balance(service)
