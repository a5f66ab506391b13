"""Grant keys to their owners and renew the leases before they expire."""

import dataclasses
import typing

from sycamoreferry_adapter import key_orders
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import (
    background,
    event_log,
    order_sender,
    term_manager,
    view,
)

# A server holds keys this long after a grant, which is renewed well before.
HOLD_MS = 4_000
_RENEW_INTERVAL_MS = 1_300
_URGENT_RENEW_INTERVAL_MS = 300
# After this many unanswered grants, a server gets no keys for a while.
_MAX_UNANSWERED_GRANTS = 3
_SUSPENSION_MS = 3_000


@dataclasses.dataclass(slots=True)
class _ServerHealth:
    renewed_at: dict[owners.KeyRange, clock.Millis]
    unanswered: int = 0
    suspended_until: clock.Millis = clock.LONG_AGO
    is_renewing: bool = False


class LeaseManager:
    """Renew leases and track the keys for which grants are blocked."""

    def __init__(
        self,
        cluster_view: view.View,
        terms: term_manager.TermManager,
        orders: order_sender.OrderSender,
        tasks: background.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._clock = cluster_view.clock
        self._terms = terms
        self._orders = orders
        self._tasks = tasks
        self._log = log
        self._health: dict[servers.ServerIncarnation, _ServerHealth] = {}
        # Keys for which grants are blocked: moves and unresolved writes.
        self._blocked: set[tuple[ids.ServiceName, owners.KeyRange]] = set()
        # The last known address of each server, for releases after its entry
        # has expired.
        self.last_known_servers: dict[
            servers.ServerIncarnation,
            servers.BackendServer,
        ] = {}

    def start_term(self) -> None:
        """Clear the server health and blocked keys of an earlier term."""
        self._health.clear()
        self._blocked.clear()

    def is_blocked(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
    ) -> bool:
        """Tell whether grants are blocked for any of the keys."""
        return any(
            blocked_service == service and blocked_keys.overlaps(keys)
            for blocked_service, blocked_keys in self._blocked
        )

    def is_usable(self, life: servers.ServerIncarnation) -> bool:
        """Tell whether a server may get keys: ready and not suspended."""
        return self._view.fleet.is_ready(life) and self.is_renewable(life)

    def is_renewable(self, life: servers.ServerIncarnation) -> bool:
        """Tell whether a server may hold its keys further.

        A server of an evacuated data centre holds them until they move.
        """
        server = self._view.fleet.get(life.server)
        if server is None or server.incarnation != life:
            return False
        if not server.is_available:
            return False
        health = self._health.get(life)
        return health is None or health.suspended_until <= self._clock.now()

    def block_grants(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        """Block grants of keys until the same ranges are unblocked."""
        self._blocked.update((service, keys) for keys in ranges)

    def unblock_grants(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        """Allow grants of key ranges that were blocked."""
        self._blocked.difference_update((service, keys) for keys in ranges)

    def renew(self, service: ids.ServiceName) -> None:
        """Start the renewals that are due, with one task for each server."""
        due: dict[servers.ServerIncarnation, list[owners.Ownership]] = {}
        for row in self._view.assignment.table(service).rows:
            self._record_last_known(row.owner)
            if not self.is_renewable(row.owner):
                continue
            if self._health_of(row.owner).is_renewing:
                continue
            parts = self._due_parts(service, row)
            if parts:
                due.setdefault(row.owner, []).extend(parts)
        for life, rows in due.items():
            self._health_of(life).is_renewing = True
            self._tasks.start(self._renew_server(service, life, rows))

    async def grant(
        self,
        row: owners.Ownership,
        service: ids.ServiceName | None = None,
    ) -> None:
        """Grant the keys of a row to its owner, or renew the lease.

        Does nothing if the server is not known in this incarnation or the
        authority is lost. With a service, keys are written again under a higher
        fence if the server refuses theirs or may have started again.
        """
        server = self._view.fleet.get(row.owner.server)
        if server is None or server.incarnation != row.owner:
            return
        if not self._terms.has_authority:
            return
        if self._orders.is_unproven(server, row.fence):
            await self._raise_fences([row], service)
            return
        health = self._health_of(row.owner)
        is_expiring = self._terms.is_authority_expiring
        hold_ms = HOLD_MS
        if is_expiring:
            hold_ms = self._view.deployment.bounds.longest_hold_ms
        sent_at = self._clock.now()
        reply = await self._orders.grant(server, row, hold_ms)
        if reply is key_orders.GrantReply.HELD:
            health.renewed_at[row.keys] = sent_at
            health.unanswered = 0
            self._orders.book.confirm_fence(row.owner, row.keys)
            return
        self._log.write_rate_limited(
            'coordinator',
            'grant failed',
            server=row.owner.server,
            first=row.keys.first,
            last=row.keys.last,
            fence=row.fence,
            reason=str(reply),
        )
        if reply is key_orders.GrantReply.FENCED:
            await self._raise_fences([row], service)
            return
        self._count_unanswered(row.owner, health)

    def _record_last_known(self, life: servers.ServerIncarnation) -> None:
        server = self._view.fleet.get(life.server)
        if server is not None and server.incarnation == life:
            self.last_known_servers[life] = server

    def _due_parts(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> list[owners.Ownership]:
        """Return the parts of a row that are due and not blocked."""
        blocked = [
            keys
            for blocked_service, keys in self._blocked
            if blocked_service == service
        ]
        interval_ms = _RENEW_INTERVAL_MS
        if self._terms.is_authority_expiring:
            interval_ms = _URGENT_RENEW_INTERVAL_MS
        due_before = clock.Millis(self._clock.now() - interval_ms)
        renewed_at = self._health_of(row.owner).renewed_at
        return [
            part
            for part in owners.subtract(row, blocked)
            if renewed_at.get(part.keys, clock.LONG_AGO) <= due_before
        ]

    async def _renew_server(
        self,
        service: ids.ServiceName,
        life: servers.ServerIncarnation,
        rows: list[owners.Ownership],
    ) -> None:
        try:
            await self._raise_fences(self._unproven_rows(life, rows), service)
            for row in rows:
                if self.is_blocked(service, row.keys):
                    continue
                # The keys may have changed owner while earlier grants of this
                # task were answered.
                if self._view.assignment.table(service).contains(row):
                    await self.grant(row, service)
        finally:
            self._health_of(life).is_renewing = False

    def _unproven_rows(
        self,
        life: servers.ServerIncarnation,
        rows: list[owners.Ownership],
    ) -> list[owners.Ownership]:
        server = self._view.fleet.get(life.server)
        if server is None:
            return []
        return [
            row for row in rows if self._orders.is_unproven(server, row.fence)
        ]

    async def _raise_fences(
        self,
        rows: typing.Iterable[owners.Ownership],
        service: ids.ServiceName | None,
    ) -> None:
        """Write the same owners under a fence above all that were sent."""
        if service is None:
            return
        # The keys may have changed owner since the rows were read.
        table = self._view.assignment.table(service)
        free = [
            row
            for row in rows
            if table.contains(row) and not self.is_blocked(service, row.keys)
        ]
        if not free:
            return
        ranges = [row.keys for row in free]
        self.block_grants(service, ranges)
        try:
            await self._terms.write_rows(service, free)
        finally:
            self.unblock_grants(service, ranges)

    def _count_unanswered(
        self,
        life: servers.ServerIncarnation,
        health: _ServerHealth,
    ) -> None:
        health.unanswered += 1
        if health.unanswered >= _MAX_UNANSWERED_GRANTS:
            health.unanswered = 0
            health.suspended_until = clock.later(
                self._clock.now(),
                _SUSPENSION_MS,
            )
            self._log.write(
                'coordinator',
                'server leaves grants unanswered',
                server=life.server,
            )

    def _health_of(self, life: servers.ServerIncarnation) -> _ServerHealth:
        health = self._health.get(life)
        if health is None:
            health = _ServerHealth({})
            self._health[life] = health
        return health
