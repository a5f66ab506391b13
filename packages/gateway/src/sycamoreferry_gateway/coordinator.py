"""Assign keys to backend servers while this instance coordinates."""

import asyncio
import dataclasses
import typing
import uuid

from sycamoreferry_adapter import key_orders, store_calls
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import instances, servers, store_records
from sycamoreferry_core.keyspace import (
    capacities,
    demand,
    leases,
    owners,
    placement,
)
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    assignment,
    event_log,
    http_client,
    order_sender,
    peer_messages,
    store_client,
    view,
)

# A coordinator acts this long after the store last proved its term.
AUTHORITY_MS = 1_500
_PROOF_PACE_MS = 500
_TICK_MS = 100
# Keys are held this long after a grant, and renewed well before.
HOLD_MS = 4_000
_RENEW_MS = 1_300
# While its proof ages, the coordinator grants for as long as is allowed.
_PROOF_AGING_MS = 900
_PLAN_PACE_MS = 250
_WRITE_RETRY_MS = 100
# A server that leaves grants unanswered is not renewed forever.
_UNANSWERED_TO_SUSPEND = 3
_SUSPENSION_MS = 3_000
# A voluntary move must not wait for grants without an answer.
_MOST_EXTRA_WAIT_MS = 50

_Announce = typing.Callable[[peer_messages.PeerMessage], None]


@dataclasses.dataclass(slots=True)
class _ServerHealth:
    renewed_at: dict[owners.KeyRange, clock.Millis]
    unanswered: int = 0
    suspended_until: clock.Millis = clock.LONG_AGO
    is_renewing: bool = False


class Coordinator:
    """Claim the term, renew grants and move keys."""

    def __init__(
        self,
        folded: view.View,
        client: store_client.StoreClient,
        pool: http_client.ConnectionPool,
        loads: server_load.ServerLoads,
        log: event_log.EventLog,
        announce: _Announce,
    ) -> None:
        self._view = folded
        self._clock = folded.clock
        self._client = client
        self._loads = loads
        self._log = log
        self._announce = announce
        self._book = leases.LeaseBook()
        self._orders = order_sender.OrderSender(pool, self._book, folded.clock)
        self._demand: dict[ids.ServiceName, demand.KeyDemand] = {}
        self._health: dict[servers.ServerLife, _ServerHealth] = {}
        self._last_known: dict[
            servers.ServerLife,
            servers.BackendServer,
        ] = {}
        self._writing = asyncio.Lock()
        # Keys that no grant may be sent for: moves and unresolved writes.
        self._held_back: set[tuple[ids.ServiceName, owners.KeyRange]] = set()
        self._destinations: dict[
            tuple[ids.ServiceName, owners.KeyRange],
            servers.ServerLife,
        ] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._term = ids.NO_TERM
        self._given_up_term = ids.NO_TERM
        self._end = ids.FIRST_OFFSET
        self._proved_at = clock.LONG_AGO
        self._planned_at = clock.LONG_AGO
        self.is_leaving = False
        self.moves_made = 0

    @property
    def is_coordinating(self) -> bool:
        """Tell whether this instance holds the newest term it knows of."""
        current = self._view.assignment
        return (
            self._term > ids.NO_TERM
            and current.term == self._term
            and current.coordinator == self._view.deployment.instance
        )

    @property
    def has_authority(self) -> bool:
        """Tell whether this instance may give orders now."""
        return self.is_coordinating and instances.is_authority_fresh(
            self._proved_at,
            AUTHORITY_MS,
            self._clock.now(),
        )

    def count_demand(
        self,
        service: ids.ServiceName,
        key: owners.Key,
        count: int,
    ) -> None:
        """Count requests for a key, of any instance."""
        known = self._demand.setdefault(service, demand.KeyDemand())
        known.add(key, count, self._clock.now())

    async def run(self) -> None:
        """Follow the coordinator, and take its place when it is gone."""
        while True:
            await asyncio.sleep(clock.seconds(_TICK_MS))
            if not self.is_coordinating:
                await self._consider_claim()
            elif self.has_authority:
                self._coordinate()
            else:
                self._give_up('the store did not prove the term in time')

    async def prove_forever(self) -> None:
        """Ask the store at a pace whether the term still holds."""
        while True:
            await asyncio.sleep(clock.seconds(_PROOF_PACE_MS))
            if self.is_coordinating and not self._writing.locked():
                await self._prove()

    def given_up(self) -> tuple[ids.Term, int]:
        """Return the term given up last and how long its leases last, in ms."""
        left = self._book.latest_end() - self._clock.now()
        return self._given_up_term, max(0, left)

    async def resign(self) -> None:
        """Stop giving orders; another instance takes the term."""
        self.is_leaving = True
        if self.is_coordinating:
            self._give_up('this instance leaves')

    async def _prove(self) -> None:
        asked_at = self._clock.now()
        page = await self._client.read(store_calls.OWNERS_TOPIC, self._end)
        if isinstance(page, store_records.StoreFailure):
            return
        if isinstance(page, store_records.HistoryGone) or page.records:
            if not self._writing.locked():
                await self._adopt_newest(asked_at)
            return
        if self.is_coordinating:
            self._proved_at = max(self._proved_at, asked_at)

    async def _adopt_newest(self, asked_at: clock.Millis) -> bool:
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return False
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        self._end = listing.end
        if self.is_coordinating:
            self._proved_at = asked_at
        elif self._term > ids.NO_TERM:
            self._log.write(
                'coordinator',
                'another instance coordinates',
                term=self._view.assignment.term,
                own_term=self._term,
                coordinator=self._view.assignment.coordinator,
            )
            self._stop_term()
        return True

    def _give_up(self, reason: str) -> None:
        """Give no order of this term any more, so that its leases are known."""
        self._given_up_term = self._term
        self._log.write(
            'coordinator',
            'gave up the term',
            term=self._term,
            reason=reason,
            leases_ms=self.given_up()[1],
        )
        self._stop_term()

    def _stop_term(self) -> None:
        self._term = ids.NO_TERM
        for task in self._tasks:
            task.cancel()
        self._held_back.clear()
        self._destinations.clear()

    async def _consider_claim(self) -> None:
        if self._term > ids.NO_TERM:
            self._stop_term()
        if self.is_leaving or not self._keyed_services():
            return
        own = self._view.deployment.instance
        seen = instances.CoordinatorView(
            self._view.assignment.coordinator,
            self._view.assignment.coordinator == own,
            self._view.coordinator_since,
        )
        if not instances.should_claim(
            seen,
            self._view.peers,
            self._clock.now(),
        ):
            return
        await self._claim()

    async def _claim(self) -> None:
        asked_at = self._clock.now()
        known_term = self._view.assignment.term
        if not await self._adopt_newest(asked_at):
            return
        current = self._view.assignment
        if current.term != known_term and current.coordinator is not None:
            return
        fence = ids.Fence(self._end + 1)
        claimed = assignment.Assignment(
            term=ids.Term(current.term + 1),
            coordinator=self._view.deployment.instance,
            write=uuid.uuid4().hex,
            # A server that takes its keys under a new fence refuses grants
            # of earlier terms that are still on their way.
            tables={
                service: table.with_fence(fence)
                for service, table in current.tables.items()
            },
        )
        asked_at = self._clock.now()
        if not await self._append(claimed):
            return
        self._term = claimed.term
        self._proved_at = asked_at
        self._health.clear()
        self._held_back.clear()
        self._destinations.clear()
        self._account_for(current)
        self._log.write(
            'coordinator',
            'claimed the term',
            term=claimed.term,
            offset=self._end,
            previous=current.coordinator,
        )
        self._coordinate()

    def _account_for(self, earlier: assignment.Assignment) -> None:
        """Know until when grants of an earlier term may be held."""
        if earlier.coordinator is None:
            return
        if earlier.term == self._given_up_term:
            # The book of this instance's own term is exact.
            return
        self._book = leases.LeaseBook()
        self._orders.use_book(self._book)
        until = self._view.given_up.get(earlier.term)
        if until is None:
            longest = self._view.deployment.bounds.longest_hold_ms
            unknown_ms = AUTHORITY_MS + leases.longest_hold_ms(longest)
            until = clock.later(self._clock.now(), unknown_ms)
        self._book.assume_earlier_grants(until)

    async def _append(self, wanted: assignment.Assignment) -> bool:
        """Append an assignment at the known end; tell whether it is there."""
        content = assignment.encode_assignment(wanted)
        at = self._end
        appended = await self._client.append(
            store_calls.OWNERS_TOPIC,
            assignment.ASSIGNMENT_KEY,
            content,
            at,
        )
        if isinstance(appended, store_records.Appended):
            self._take_written(appended.offset, content)
            return True
        if isinstance(appended, store_records.StoreFailure):
            self._log.sample(
                'coordinator',
                'write has no result',
                trouble=appended.trouble.value,
                detail=appended.detail,
                offset=at,
            )
            return False
        listing = await self._client.newest(store_calls.OWNERS_TOPIC)
        if isinstance(listing, store_records.StoreFailure):
            return False
        self._end = listing.end
        self._view.replace(store_calls.OWNERS_TOPIC, listing)
        return self._view.assignment.write == wanted.write

    def _take_written(self, offset: ids.Offset, content: bytes) -> None:
        self._end = ids.Offset(offset + 1)
        record = store_records.StoredRecord(
            assignment.ASSIGNMENT_KEY,
            offset,
            content,
        )
        page = store_records.RecordPage((record,), self._end)
        self._view.apply(store_calls.OWNERS_TOPIC, page)
        self._announce(
            peer_messages.Records(
                store_calls.OWNERS_TOPIC,
                self._end,
                [peer_messages.RecordRow(record.key, offset, content)],
            ),
        )

    async def _write_rows(
        self,
        service: ids.ServiceName,
        rows: typing.Sequence[owners.Ownership],
    ) -> list[owners.Ownership] | None:
        """Write new owners; return the rows with their fences.

        The rows' keys must be held back until the result is known, since a
        write without an answer may still be carried out.
        """
        async with self._writing:
            while self.has_authority:
                current = self._view.assignment
                # The offset at which the record will lie is a fence above
                # all that were written before.
                fence = ids.Fence(self._end + 1)
                fenced = [dataclasses.replace(row, fence=fence) for row in rows]
                table = current.table(service)
                for row in fenced:
                    table = table.replace(row)
                wanted = dataclasses.replace(
                    current,
                    write=uuid.uuid4().hex,
                    tables={**current.tables, service: table},
                )
                asked_at = self._clock.now()
                if await self._append(wanted):
                    self._proved_at = max(self._proved_at, asked_at)
                    return fenced
                await asyncio.sleep(clock.seconds(_WRITE_RETRY_MS))
        return None

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
        self._book.prune(self._clock.now())
        for service in self._keyed_services():
            self._relocate_lost(service)
            self._assign_gaps(service)
            self._renew(service)
        now = self._clock.now()
        if now - self._planned_at >= _PLAN_PACE_MS:
            self._planned_at = now
            for service in self._keyed_services():
                self._balance(service)

    def _start(self, work: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.write('coordinator', 'task failed', reason=repr(error))

    def _is_held_back(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
    ) -> bool:
        return any(
            held_service == service and held.overlaps(keys)
            for held_service, held in self._held_back
        )

    def _is_usable(self, life: servers.ServerLife) -> bool:
        if not self._view.fleet.is_ready(life):
            return False
        health = self._health.get(life)
        return health is None or health.suspended_until <= self._clock.now()

    def _capacities(
        self,
        service: ids.ServiceName,
    ) -> list[placement.Capacity]:
        mean = self._loads.service_ms(service)
        known = [
            capacities.ServerSpeed(
                server.life,
                server.slots,
                mean / max(1, self._loads.duration_ms(server)),
            )
            for server in self._view.servers_of(service)
            if self._is_usable(server.life)
        ]
        demanded = sum(self._work(service).values())
        return capacities.weigh_capacities(known, demanded)

    def _work(self, service: ids.ServiceName) -> dict[owners.Key, float]:
        known = self._demand.get(service)
        if known is None:
            return {}
        seconds = clock.seconds(1) * self._loads.service_ms(service)
        rates = known.rates(self._clock.now())
        return {key: rate * seconds for key, rate in rates.items()}

    def _assign_gaps(self, service: ids.ServiceName) -> None:
        """Give keys that nobody owns to servers with room."""
        table = self._view.assignment.table(service)
        gaps = [
            gap
            for gap in table.unowned()
            if not self._is_held_back(service, gap)
        ]
        offered = self._capacities(service)
        if not gaps or not offered:
            return
        pieces = _pieces(gaps, len(offered))
        chosen = placement.spread(
            pieces,
            table.rows,
            self._work(service),
            offered,
        )
        rows = [
            owners.Ownership(keys, life, ids.NO_FENCE) for keys, life in chosen
        ]
        self._hold_back(service, [row.keys for row in rows])
        self._start(self._assign(service, rows))

    async def _assign(
        self,
        service: ids.ServiceName,
        rows: list[owners.Ownership],
    ) -> None:
        """Write owners of free keys, then grant."""
        written = None
        try:
            wait = self._book.assumed_until - self._clock.now()
            if wait > 0 and self._view.assignment.term > ids.FIRST_TERM:
                await asyncio.sleep(clock.seconds(wait))
            written = await self._write_rows(service, rows)
        finally:
            self._let_go(service, [row.keys for row in rows])
        if written is None:
            return
        await asyncio.gather(*(self._grant(row) for row in written))

    def _hold_back(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        self._held_back.update((service, keys) for keys in ranges)

    def _let_go(
        self,
        service: ids.ServiceName,
        ranges: typing.Iterable[owners.KeyRange],
    ) -> None:
        self._held_back.difference_update((service, keys) for keys in ranges)

    def _relocate_lost(self, service: ids.ServiceName) -> None:
        """Move the keys of servers that left, ended or can't be reached."""
        for row in self._view.assignment.table(service).rows:
            if self._is_held_back(service, row.keys):
                continue
            if not self._is_usable(row.owner):
                self._hold_back(service, [row.keys])
                self._start(self._relocate(service, row))

    async def _relocate(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> None:
        """Free keys of a server that must not keep them, then reassign."""
        try:
            handover = await self._free(service, row)
            if handover is None:
                return
            offered = self._capacities(service)
            chosen = placement.spread(
                [row.keys],
                self._view.assignment.table(service).rows,
                self._work(service),
                offered,
            )
            if not chosen:
                return
            await self._hand_over(service, row, chosen[0][1], handover)
        finally:
            self._let_go(service, [row.keys])

    async def _free(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> str | None:
        """Return the handover once a server holds keys no more."""
        self._mark_moving(service, row.keys, is_over=False)
        server = self._view.fleet.get(row.owner.server)
        if server is not None and server.life != row.owner:
            self._book.forget(row.owner)
            self._log_freed(service, row, 'server started again')
            return ''
        released = None
        known = server or self._last_known.get(row.owner)
        if known is not None:
            released = await self._orders.release(known, row.keys, row.fence)
        if released is not None:
            free_at = self._book.free_after_release(row.owner, row.keys)
            await self._wait_for(row, free_at)
            self._log_freed(service, row, 'released')
            return released.handover
        free_at = self._book.free_without_release(row.owner, row.keys)
        await self._wait_for(row, free_at)
        self._log_freed(service, row, 'lease is over')
        return ''

    async def _wait_for(
        self,
        row: owners.Ownership,
        free_at: clock.Millis,
    ) -> None:
        """Wait until a time, or until the server has started again."""
        while self._clock.now() < free_at:
            server = self._view.fleet.get(row.owner.server)
            if server is not None and server.life != row.owner:
                return
            left = free_at - self._clock.now()
            await asyncio.sleep(clock.seconds(max(1, min(left, _TICK_MS))))

    async def _hand_over(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        destination: servers.ServerLife,
        handover: str,
    ) -> None:
        moved = owners.Ownership(
            row.keys,
            destination,
            ids.NO_FENCE,
            handover,
        )
        written = await self._write_rows(service, [moved])
        if written is None:
            return
        self.moves_made += 1
        for granted in written:
            await self._grant(granted)
        self._mark_moving(service, row.keys, is_over=True)

    def _balance(self, service: ids.ServiceName) -> None:
        """Start the moves that even out the load."""
        now = self._clock.now()
        table = self._view.assignment.table(service)
        work = self._work(service)
        planned = table
        for (moving, keys), life in self._destinations.items():
            if moving == service:
                planned = planned.replace(
                    owners.Ownership(keys, life, ids.NO_FENCE),
                )
        moves = placement.plan_moves(
            planned.rows,
            work,
            self._capacities(service),
        )
        for move in moves:
            row = table.owner_of(move.keys.first)
            if row is None or row.owner != move.source:
                continue
            if self._is_held_back(service, move.keys):
                continue
            free_at = self._book.free_after_release(move.source, row.keys)
            if free_at > now + _MOST_EXTRA_WAIT_MS:
                continue
            self._log.write(
                'coordinator',
                'moving keys',
                service=service,
                first=move.keys.first,
                last=move.keys.last,
                source=move.source.server,
                destination=move.destination.server,
                slots=round(_weigh(work, move.keys), 2),
            )
            self._hold_back(service, [move.keys])
            self._destinations[service, move.keys] = move.destination
            self._start(self._move(service, row, move))

    async def _move(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        move: placement.Move,
    ) -> None:
        part = dataclasses.replace(row, keys=move.keys)
        try:
            handover = await self._free(service, part)
            if handover is None:
                return
            destination = move.destination
            if not self._is_usable(destination):
                destination = move.source
            await self._hand_over(service, part, destination, handover)
        finally:
            self._destinations.pop((service, move.keys), None)
            self._let_go(service, [move.keys])

    def _mark_moving(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
        *,
        is_over: bool,
    ) -> None:
        self._view.mark_moving(service, keys, is_over=is_over)
        self._announce(
            peer_messages.KeysMoving(
                service,
                keys.first,
                keys.last,
                is_over,
            ),
        )

    def _renew(self, service: ids.ServiceName) -> None:
        """Renew the grants that are due, server by server."""
        now = self._clock.now()
        is_aging = now - self._proved_at > _PROOF_AGING_MS
        pace = _TICK_MS * 3 if is_aging else _RENEW_MS
        due: dict[servers.ServerLife, list[owners.Ownership]] = {}
        for row in self._view.assignment.table(service).rows:
            health = self._health_of(row.owner)
            server = self._view.fleet.get(row.owner.server)
            if server is not None and server.life == row.owner:
                self._last_known[row.owner] = server
            if not self._is_usable(row.owner) or health.is_renewing:
                continue
            for part in self._renewable(service, row):
                last = health.renewed_at.get(part.keys, clock.LONG_AGO)
                if now - last >= pace:
                    due.setdefault(row.owner, []).append(part)
        for life, rows in due.items():
            self._health_of(life).is_renewing = True
            self._start(self._renew_server(service, life, rows))

    def _renewable(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
    ) -> list[owners.Ownership]:
        """Return the parts of a row that are not about to change."""
        held_back = [
            keys
            for held_service, keys in self._held_back
            if held_service == service
        ]
        return owners.subtract(row, held_back)

    async def _renew_server(
        self,
        service: ids.ServiceName,
        life: servers.ServerLife,
        rows: list[owners.Ownership],
    ) -> None:
        try:
            for row in rows:
                if self._is_held_back(service, row.keys):
                    continue
                current = self._view.assignment.table(service)
                held = current.owner_of(row.keys.first)
                if held is not None and held.fence == row.fence:
                    await self._grant(row, service)
        finally:
            self._health_of(life).is_renewing = False

    async def _grant(
        self,
        row: owners.Ownership,
        service: ids.ServiceName | None = None,
    ) -> None:
        server = self._view.fleet.get(row.owner.server)
        if server is None or server.life != row.owner:
            return
        if not self.has_authority:
            return
        health = self._health_of(row.owner)
        is_aging = self._clock.now() - self._proved_at > _PROOF_AGING_MS
        hold = HOLD_MS
        if is_aging:
            hold = self._view.deployment.bounds.longest_hold_ms
        sent_at = self._clock.now()
        reply = await self._orders.grant(server, row, hold)
        if reply is key_orders.GrantReply.HELD:
            health.renewed_at[row.keys] = sent_at
            health.unanswered = 0
            self._book.confirm_fence(row.owner, row.keys)
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

    async def _fence_again(
        self,
        row: owners.Ownership,
        service: ids.ServiceName | None,
    ) -> None:
        """Write the same owner under a fence above what the server saw."""
        if service is None or self._is_held_back(service, row.keys):
            return
        self._hold_back(service, [row.keys])
        try:
            await self._write_rows(service, [row])
        finally:
            self._let_go(service, [row.keys])

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

    def _log_freed(
        self,
        service: ids.ServiceName,
        row: owners.Ownership,
        reason: str,
    ) -> None:
        self._log.write(
            'coordinator',
            'keys are free',
            service=service,
            first=row.keys.first,
            last=row.keys.last,
            server=row.owner.server,
            fence=row.fence,
            reason=reason,
        )


def _pieces(
    gaps: typing.Sequence[owners.KeyRange],
    count: int,
) -> list[owners.KeyRange]:
    """Cut large gaps so that a first start is even."""
    pieces = []
    for whole in owners.split_evenly(count):
        for gap in gaps:
            if whole.overlaps(gap):
                first = max(whole.first, gap.first)
                last = min(whole.last, gap.last)
                pieces.append(owners.KeyRange(first, last))
    return pieces


def _weigh(
    work: typing.Mapping[owners.Key, float],
    keys: owners.KeyRange,
) -> float:
    return sum(
        weight for key, weight in work.items() if keys.first <= key <= keys.last
    )
