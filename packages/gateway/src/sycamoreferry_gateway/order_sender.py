"""Send grants and releases of keys to backend servers."""

import asyncio
import dataclasses
import typing

from sycamoreferry_adapter import key_orders
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.keyspace import leases, owners
from sycamoreferry_core.traffic import reachability
from sycamoreferry_gateway import http_client, order_connections

# Servers answer a grant at once; on a timeout the connection is reset.
GRANT_TIMEOUT_MS = 700
# Servers answer a release only when their running requests have ended.
RELEASE_TIMEOUT_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Hold the handover text of a release, for the grant to the next owner."""

    handover: str


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _PendingGrant:
    """Hold a grant that is neither answered nor given up."""

    address: deployment.Address
    keys: owners.KeyRange
    ended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class OrderSender:
    """Send grants and releases, and record grants in the lease book."""

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        book: leases.LeaseBook,
        links: reachability.Reachability,
        time_source: clock.Clock,
    ) -> None:
        self._pool = pool
        self._connections = order_connections.OrderConnections(
            pool, time_source
        )
        self._links = links
        self._book = book
        self._clock = time_source
        # The highest fence sent to each server, and the one up to which it may
        # have started again since.
        self._sent: dict[servers.ServerIncarnation, ids.Fence] = {}
        self._unproven: dict[servers.ServerIncarnation, ids.Fence] = {}
        self._pending: set[_PendingGrant] = set()

    @property
    def book(self) -> leases.LeaseBook:
        """Return the leases that follow from the grants sent."""
        return self._book

    def use_book(self, book: leases.LeaseBook) -> None:
        """Record later grants in another book; used when a term begins."""
        self._book = book

    def is_unproven(
        self, server: servers.BackendServer, fence: ids.Fence
    ) -> bool:
        """Tell whether a server may have started again since it got a fence.

        It may do so under its id, before its new entry is read.
        """
        life = server.incarnation
        if self._connections.take_doubt(_address(server)):
            self._unproven[life] = self._sent.get(life, ids.NO_FENCE)
        return fence <= self._unproven.get(life, ids.NO_FENCE)

    def keep_only(
        self, known: typing.Collection[servers.BackendServer]
    ) -> None:
        """Forget what was sent to servers that are gone."""
        lives = {server.incarnation for server in known}
        for fences in (self._sent, self._unproven):
            for life in list(fences):
                if life not in lives:
                    fences.pop(life)
        self._connections.keep_only({_address(server) for server in known})

    async def grant(
        self,
        server: servers.BackendServer,
        row: owners.Ownership,
        hold_ms: int,
    ) -> key_orders.GrantReply | http_client.FailedExchange:
        """Grant or renew keys for `hold_ms` and return the server's reply.

        After a failure with `was_sent`, the server may still hold the keys.
        """
        now = self._clock.now()
        latest_arrival = clock.later(now, GRANT_TIMEOUT_MS)
        book = self._book
        until = book.record_sent(row.owner, row.keys, latest_arrival, hold_ms)
        pending = _PendingGrant(_address(server), row.keys)
        self._pending.add(pending)
        try:
            outcome = await self._send_grant(server, row, hold_ms)
        finally:
            self._pending.discard(pending)
            pending.ended.set()
        if isinstance(outcome, http_client.FailedExchange):
            self._links.record_failure(row.owner.server, self._clock.now())
            if not outcome.was_sent:
                book.record_answered(row.owner, row.keys, until)
            return outcome
        book.record_answered(row.owner, row.keys, until)
        return key_orders.parse_grant_reply(outcome)

    async def release(
        self,
        server: servers.BackendServer,
        keys: owners.KeyRange,
        fence: ids.Fence,
    ) -> Released | None:
        """Release keys; return None if the server did not confirm it.

        Each order has its own connection, so a grant that was sent before may
        arrive after the release and give the keys back to the server. The
        release therefore waits until such grants are answered or given up.
        """
        await self._wait_for_grants(_address(server), keys)
        outcome = await self._connections.exchange(
            _address(server),
            http_client.encode_call(
                key_orders.build_release(keys, fence),
                str(_address(server)),
            ),
            RELEASE_TIMEOUT_MS,
        )
        if isinstance(outcome, http_client.FailedExchange):
            return None
        handover = key_orders.parse_release_reply(outcome)
        return None if handover is None else Released(handover)

    async def _wait_for_grants(
        self, address: deployment.Address, keys: owners.KeyRange
    ) -> None:
        ends = [
            pending.ended.wait()
            for pending in self._pending
            if pending.address == address and pending.keys.overlaps(keys)
        ]
        await asyncio.gather(*ends)

    async def _send_grant(
        self,
        server: servers.BackendServer,
        row: owners.Ownership,
        hold_ms: int,
    ) -> http_client.ExchangeResult:
        """Send a grant; one with a known fence only to the same process.

        Another process at the address holds nothing, and must get keys with a
        higher fence than the one before it.
        """
        address = _address(server)
        payload = http_client.encode_call(
            key_orders.build_grant(row, hold_ms), str(address)
        )
        sent = self._sent.get(row.owner, ids.NO_FENCE)
        self._sent[row.owner] = max(sent, row.fence)
        if row.fence > sent and self._connections.knows_process(address):
            return await self._connections.exchange(
                address, payload, GRANT_TIMEOUT_MS
            )
        return await self._connections.exchange_with_same(
            address, payload, GRANT_TIMEOUT_MS
        )


def _address(server: servers.BackendServer) -> deployment.Address:
    return deployment.Address(server.host, server.port)
