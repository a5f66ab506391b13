"""Grant keys to their owners and renew the grants in time."""

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
    term_keeper,
    view,
)

# Keys are held this long after a grant, and renewed well before.
HOLD_MS = 4_000
_RENEW_MS = 1_300
_AGING_RENEW_MS = 300
# A server that leaves grants unanswered is not renewed forever.
_UNANSWERED_TO_SUSPEND = 3
_SUSPENSION_MS = 3_000


@dataclasses.dataclass(slots=True)
class _ServerHealth:
    renewed_at: dict[owners.KeyRange, clock.Millis]
    unanswered: int = 0
    suspended_until: clock.Millis = clock.LONG_AGO
    is_renewing: bool = False


class GrantKeeper:
    """Keep grants alive; know which keys must not be granted now."""

    def __init__(
        self,
        folded: view.View,
        terms: term_keeper.TermKeeper,
        orders: order_sender.OrderSender,
        tasks: background.BackgroundTasks,
        log: event_log.EventLog,
    ) -> None:
        self._view = folded
        self._clock = folded.clock
        self._terms = terms
        self._orders = orders
        self._tasks = tasks
        self._log = log
        self._health: dict[servers.ServerLife, _ServerHealth] = {}
        # Keys that no grant may be sent for: moves and unresolved writes.
        self._held_back: set[tuple[ids.ServiceName, owners.KeyRange]] = set()
        # Where a server was reached last, for releases after it is gone.
        self.last_known: dict[
            servers.ServerLife,
            servers.BackendServer,
        ] = {}

    def start_term(self) -> None:
        """Forget what was found out and held back in an earlier term."""
        self._health.clear()
        self._held_back.clear()

    def is_held_back(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
    ) -> bool:
        """Tell whether keys must not be granted now."""
        return any(
            held_service == service and held.overlaps(keys)
            for held_service, held in self._held_back
        )

    def is_usable(self, life: servers.ServerLife) -> bool:
        """Tell whether a server takes keys."""
        if not self._view.fleet.is_ready(life):
            return False
        health = self._health.get(life)
        return health is None or health.suspended_until <= self._clock.now()

    def hold_back(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        """Grant keys no more until they are let go."""
        self._held_back.update((service, keys) for keys in ranges)

    def let_go(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        """Allow grants of keys again."""
        self._held_back.difference_update((service, keys) for keys in ranges)

    def renew(self, service: ids.ServiceName) -> None:
        """Renew the grants that are due, server by server."""
        due: dict[servers.ServerLife, list[owners.Ownership]] = {}
        for row in self._view.assignment.table(service).rows:
            self._remember(row.owner)
            if not self.is_usable(row.owner):
                continue
            if self._health_of(row.owner).is_renewing:
                continue
            parts = self._renewable(service, row)
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
        """Grant or renew keys of a row."""
        server = self._view.fleet.get(row.owner.server)
        if server is None or server.life != row.owner:
            return
        if not self._terms.has_authority:
            return
        health = self._health_of(row.owner)
        is_aging = self._terms.is_proof_aging
        hold = HOLD_MS
        if is_aging:
            hold = self._view.deployment.bounds.longest_hold_ms
        sent_at = self._clock.now()
        reply = await self._orders.grant(server, row, hold)
        if reply is key_orders.GrantReply.HELD:
            health.renewed_at[row.keys] = sent_at
            health.unanswered = 0
            self._orders.book.confirm_fence(row.owner, row.keys)
            return
        self._log.sample(
            'coordinator',
            'grant failed',
            server=row.owner.server,
            first=row.keys.first,
            last=row.keys.last,
            fence=row.fence,
            reason=str(reply),
        )
        if reply is key_orders.GrantReply.FENCED:
            await self._fence_again(row, service)
            return
        self._count_unanswered(row.owner, health)

    def _remember(self, life: servers.ServerLife) -> None:
        server = self._view.fleet.get(life.server)
        if server is not None and server.life == life:
            self.last_known[life] = server

    def _renewable(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> list[owners.Ownership]:
        """Return the due parts of a row that are not about to change."""
        held_back = [
            keys
            for held_service, keys in self._held_back
            if held_service == service
        ]
        pace = _RENEW_MS
        if self._terms.is_proof_aging:
            pace = _AGING_RENEW_MS
        before = clock.Millis(self._clock.now() - pace)
        renewed_at = self._health_of(row.owner).renewed_at
        return [
            part
            for part in owners.subtract(row, held_back)
            if renewed_at.get(part.keys, clock.LONG_AGO) <= before
        ]

    async def _renew_server(
        self,
        service: ids.ServiceName,
        life: servers.ServerLife,
        rows: list[owners.Ownership],
    ) -> None:
        try:
            for row in rows:
                if self.is_held_back(service, row.keys):
                    continue
                # Grants before this one took time, in which keys may have
                # moved on.
                if self._view.assignment.table(service).has(row):
                    await self.grant(row, service)
        finally:
            self._health_of(life).is_renewing = False

    async def _fence_again(
        self,
        row: owners.Ownership,
        service: ids.ServiceName | None,
    ) -> None:
        """Write the same owner under a fence above what the server saw."""
        if service is None or self.is_held_back(service, row.keys):
            return
        self.hold_back(service, [row.keys])
        try:
            await self._terms.write_rows(service, [row])
        finally:
            self.let_go(service, [row.keys])

    def _count_unanswered(
        self,
        life: servers.ServerLife,
        health: _ServerHealth,
    ) -> None:
        health.unanswered += 1
        if health.unanswered >= _UNANSWERED_TO_SUSPEND:
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

    def _health_of(self, life: servers.ServerLife) -> _ServerHealth:
        health = self._health.get(life)
        if health is None:
            health = _ServerHealth({})
            self._health[life] = health
        return health
