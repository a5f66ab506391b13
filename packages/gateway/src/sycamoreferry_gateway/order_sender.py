"""Give orders about keys to backend servers."""

import dataclasses

from sycamoreferry_adapter import key_orders
from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.keyspace import leases, owners
from sycamoreferry_gateway import http_client

# A grant is answered at once; without an answer the connection is reset.
GRANT_TIMEOUT_MS = 700
# A release is answered when running work has ended.
RELEASE_TIMEOUT_MS = 4_000


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """Hold what a release hands over to the next owner."""

    handover: str


class OrderSender:
    """Send grants and releases; record what they mean for leases."""

    def __init__(
        self,
        pool: http_client.ConnectionPool,
        book: leases.LeaseBook,
        source: clock.Clock,
    ) -> None:
        self._pool = pool
        self._book = book
        self._clock = source

    @property
    def book(self) -> leases.LeaseBook:
        """Return the leases that the orders gave."""
        return self._book

    def use_book(self, book: leases.LeaseBook) -> None:
        """Record in another book from now on."""
        self._book = book

    async def grant(
        self,
        server: servers.BackendServer,
        row: owners.Ownership,
        hold_ms: int,
    ) -> key_orders.GrantReply | http_client.Failed:
        """Grant or renew keys; without an answer they may still be held."""
        now = self._clock.now()
        earlier = self._book.unanswered_until(row.owner, row.keys)
        latest_arrival = clock.later(now, GRANT_TIMEOUT_MS)
        self._book.record_sent(row.owner, row.keys, latest_arrival, hold_ms)
        outcome = await self._pool.exchange(
            _address(server),
            http_client.encode_call(
                key_orders.grant(row, hold_ms),
                str(_address(server)),
            ),
            GRANT_TIMEOUT_MS,
        )
        if isinstance(outcome, http_client.Failed):
            if not outcome.was_sent:
                self._answered(row, earlier)
            return outcome
        self._answered(row, earlier)
        return key_orders.read_grant(outcome)

    async def release(
        self,
        server: servers.BackendServer,
        keys: owners.KeyRange,
        fence: ids.Fence,
    ) -> Released | None:
        """Release keys; None if no answer came."""
        outcome = await self._pool.exchange(
            _address(server),
            http_client.encode_call(
                key_orders.release(keys, fence),
                str(_address(server)),
            ),
            RELEASE_TIMEOUT_MS,
        )
        if isinstance(outcome, http_client.Failed):
            return None
        handover = key_orders.read_release(outcome)
        return None if handover is None else Released(handover)

    def _answered(self, row: owners.Ownership, earlier: clock.Millis) -> None:
        self._book.record_answered(
            row.owner,
            row.keys,
            earlier_unanswered=earlier,
        )


def _address(server: servers.BackendServer) -> deployment.Address:
    return deployment.Address(server.host, server.port)
