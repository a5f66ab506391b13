"""Move keys between backend servers, one owner at a time."""

import asyncio
import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import idle_keys, owners, placement
from sycamoreferry_gateway import (
    assignment_writer,
    background,
    event_log,
    lease_manager,
    load_estimator,
    move_announcements,
    order_sender,
    term_manager,
    view,
)

_MAX_SLEEP_MS = 100
# A move for balance does not start if unanswered grants would delay it more.
_MAX_EXTRA_WAIT_MS = 50


class KeyMover:
    """Assign unowned keys, relocate keys of lost servers and balance load."""

    def __init__(
        self,
        cluster_view: view.View,
        terms: term_manager.TermManager,
        grants: lease_manager.LeaseManager,
        orders: order_sender.OrderSender,
        estimator: load_estimator.LoadEstimator,
        tasks: background.BackgroundTasks,
        announce: assignment_writer.Announce,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._terms = terms
        self._grants = grants
        self._orders = orders
        self._estimator = estimator
        self._tasks = tasks
        self._log = cluster_view.log
        self._announcer = move_announcements.MoveAnnouncer(
            cluster_view, announce
        )
        self._destinations: dict[
            tuple[ids.ServiceName, owners.KeyRange],
            servers.ServerIncarnation,
        ] = {}
        # The services whose keys got their first owners in this term.
        self._registrations: dict[
            ids.ServiceName, idle_keys.RegistrationWatch
        ] = {}
        self.moves_made = 0

    def start_term(self) -> None:
        """Clear the moves of an earlier term; their tasks are cancelled."""
        self._destinations.clear()
        self._registrations.clear()

    def assign_gaps(self, service: ids.ServiceName) -> None:
        """Start assigning unowned keys to servers with spare capacity."""
        table = self._view.assignment.table(service)
        gaps = [
            gap
            for gap in table.unowned()
            if not self._grants.is_blocked(service, gap)
        ]
        capacities = self._estimator.capacities(service) if gaps else []
        if not capacities:
            return
        if not table.rows:
            self._registrations[service] = idle_keys.RegistrationWatch()
        pieces = _cut_gaps(gaps, len(capacities))
        placements = placement.assign_unowned(
            pieces,
            table.rows,
            self._estimator.slots_by_key(service),
            capacities,
        )
        rows = [
            owners.Ownership(keys, life, ids.NO_FENCE)
            for keys, life in placements
        ]
        self._grants.block_grants(service, [row.keys for row in rows])
        self._tasks.start(self._assign(service, rows))

    def relocate_lost(self, service: ids.ServiceName) -> None:
        """Start relocating keys whose owner left, ended or is unreachable."""
        for row in self._view.assignment.table(service).rows:
            if self._grants.is_blocked(service, row.keys):
                continue
            if not self._grants.is_renewable(row.owner):
                self.relocate(service, row, [row.keys])

    def relocate(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        """Start taking ranges of a row from its owner to other servers."""
        for keys in ranges:
            part = dataclasses.replace(row, keys=keys)
            self._grants.block_grants(service, [keys])
            self._tasks.start(self._relocate(service, part))

    def can_move_soon(self, row: owners.Ownership) -> bool:
        """Tell whether no unanswered grant would delay a move of a row."""
        free_at = self._orders.book.free_at_after_release(row.owner, row.keys)
        return free_at <= self._clock.now() + _MAX_EXTRA_WAIT_MS

    def balance(self, service: ids.ServiceName) -> None:
        """Start the moves that balance the load between usable servers.

        Before the first request, the numbers of keys are balanced.
        """
        if not self._estimator.has_demand(service):
            self._spread_idle_keys(service)
            return
        slots_by_key = self._estimator.slots_by_key(service)
        moves = placement.plan_moves(
            self._planned_table(service).rows,
            slots_by_key,
            self._estimator.capacities(service),
            work_per_request=self._estimator.slots_per_request(service),
        )
        for move in moves:
            row = self._movable_row(service, move)
            if row is not None:
                self._start_move(
                    service, row, move, _sum_slots(slots_by_key, move.keys)
                )

    def _spread_idle_keys(self, service: ids.ServiceName) -> None:
        watch = self._registrations.get(service)
        if watch is None:
            return
        capacities = [
            capacity
            for capacity in self._estimator.capacities(service)
            if not capacity.is_limited
        ]
        known = [capacity.incarnation for capacity in capacities]
        if not watch.has_settled(known, self._clock.now()):
            return
        rows = self._planned_table(service).rows
        for move in idle_keys.plan_even_shares(rows, capacities):
            row = self._movable_row(service, move)
            if row is not None:
                self._start_move(service, row, move, 0)

    def _planned_table(self, service: ids.ServiceName) -> owners.OwnerTable:
        """Return the owners as they will be after the moves in progress."""
        planned = self._view.assignment.table(service)
        for (moving_service, keys), life in self._destinations.items():
            if moving_service == service:
                planned = planned.replace(
                    owners.Ownership(keys, life, ids.NO_FENCE),
                )
        return planned

    def _movable_row(
        self,
        service: ids.ServiceName,
        move: placement.Move,
    ) -> owners.Ownership | None:
        """Return the source row of a move, or None if it must not start now."""
        table = self._view.assignment.table(service)
        row = table.owner_of(move.keys.first)
        if row is None or row.owner != move.source:
            return None
        if self._grants.is_blocked(service, move.keys):
            return None
        return row if self.can_move_soon(row) else None

    def _start_move(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        move: placement.Move,
        slots: float,
    ) -> None:
        self._log.write(
            'coordinator',
            'moving keys',
            service=service,
            first=move.keys.first,
            last=move.keys.last,
            source=move.source.server,
            destination=move.destination.server,
            slots=round(slots, 2),
        )
        self._grants.block_grants(service, [move.keys])
        self._destinations[service, move.keys] = move.destination
        self._tasks.start(self._move(service, row, move))

    async def _assign(
        self,
        service: ids.ServiceName,
        rows: list[owners.Ownership],
    ) -> None:
        """Write the owners of unowned keys, then send the grants."""
        written = None
        try:
            if self._view.assignment.term > ids.FIRST_TERM:
                await self._wait_until(self._orders.book.earlier_grants_until)
            written = await self._terms.write_rows(service, rows)
        finally:
            self._grants.unblock_grants(service, [row.keys for row in rows])
        if written is None:
            return
        await asyncio.gather(*(self._grants.grant(row) for row in written))

    async def _relocate(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> None:
        """Take keys from a server that is not usable and reassign them."""
        try:
            handover = await self._release_keys(service, row)
            destination = self._least_loaded(service, row.keys)
            if destination is not None:
                self._destinations[service, row.keys] = destination
                await self._hand_over(service, row, destination, handover)
        finally:
            self._destinations.pop((service, row.keys), None)
            self._grants.unblock_grants(service, [row.keys])

    def _least_loaded(
        self, service: ids.ServiceName, keys: owners.KeyRange
    ) -> servers.ServerIncarnation | None:
        """Return the server that has most room for keys; None if none has."""
        placements = placement.assign_unowned(
            [keys],
            # Ranges that move at the same time go to different servers.
            self._planned_table(service).rows,
            self._estimator.slots_by_key(service),
            self._estimator.capacities(service),
        )
        return placements[0][1] if placements else None

    async def _release_keys(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> str:
        """Wait until a server no longer holds keys; return the handover.

        The handover is empty if the release was not answered and the lease
        had to expire.
        """
        self._announcer.begin(service, row.keys)
        server = self._view.fleet.get(row.owner.server)
        released = None
        target = server or self._grants.last_known_servers.get(row.owner)
        if target is not None:
            # A new incarnation may have accepted a renewal before its entry was
            # read, so it gets the release even if it isn't the row's owner.
            released = await self._orders.release(target, row.keys, row.fence)
        if released is not None:
            free_at = self._orders.book.free_at_after_release(
                row.owner, row.keys
            )
            await self._wait_until(free_at)
            _log_freed(self._log, service, row, 'released')
            return released.handover
        free_at = self._orders.book.free_at_without_release(row.owner, row.keys)
        await self._wait_until(free_at)
        _log_freed(self._log, service, row, 'lease is over')
        return ''

    async def _wait_until(self, moment: clock.Millis) -> None:
        """Sleep in short steps until a moment.

        The clock counts time in which the machine was suspended; the event
        loop's timers do not.
        """
        while self._clock.now() < moment:
            left = moment - self._clock.now()
            await asyncio.sleep(clock.seconds(max(1, min(left, _MAX_SLEEP_MS))))

    async def _hand_over(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        destination: servers.ServerIncarnation,
        handover: str,
    ) -> None:
        moved = owners.Ownership(
            row.keys,
            destination,
            ids.NO_FENCE,
            handover,
        )
        written = await self._terms.write_rows(service, [moved])
        if written is None and not self._terms.has_authority:
            return
        for granted in written or ():
            await self._grants.grant(granted)
            self.moves_made += 1
        # Keys whose new owner could not be written stay with the old owner,
        # which gets them again with the next renewal.
        self._announcer.end(service, row.keys)

    async def _move(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        move: placement.Move,
    ) -> None:
        part = dataclasses.replace(row, keys=move.keys)
        try:
            handover = await self._release_keys(service, part)
            is_usable = self._grants.is_usable(move.destination)
            await self._hand_over(
                service,
                part,
                move.destination if is_usable else move.source,
                handover,
            )
        finally:
            self._destinations.pop((service, move.keys), None)
            self._grants.unblock_grants(service, [move.keys])


def _log_freed(
    log: event_log.EventLog,
    service: ids.ServiceName,
    row: owners.Ownership,
    reason: str,
) -> None:
    log.write(
        'coordinator',
        'keys are free',
        service=service,
        first=row.keys.first,
        last=row.keys.last,
        server=row.owner.server,
        fence=row.fence,
        reason=reason,
    )


def _cut_gaps(
    gaps: typing.Sequence[owners.KeyRange],
    count: int,
) -> list[owners.KeyRange]:
    """Cut gaps at even boundaries so that a first assignment is balanced."""
    pieces = []
    for share in owners.split_evenly(count):
        for gap in gaps:
            if share.overlaps(gap):
                first = max(share.first, gap.first)
                last = min(share.last, gap.last)
                pieces.append(owners.KeyRange(first, last))
    return pieces


def _sum_slots(
    slots_by_key: typing.Mapping[owners.Key, float],
    keys: owners.KeyRange,
) -> float:
    return sum(
        weight
        for key, weight in slots_by_key.items()
        if keys.first <= key <= keys.last
    )
