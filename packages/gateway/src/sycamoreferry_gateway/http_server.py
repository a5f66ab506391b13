"""Accept the connections of callers."""

import asyncio
import sys
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import (
    caller_budget,
    caller_connection,
    caller_messages,
    caller_output,
)

_ACCEPT_BACKLOG = 1024
_SWEEP_INTERVAL_MS = 500
# Until the operator's limits are known, only timeouts end connections.
_DEFAULT_TIMEOUT_MS = 15_000
_DEFAULT_LIMITS = routes.CallerLimits(
    header_bytes=sys.maxsize,
    body_bytes=sys.maxsize,
    header_timeout_ms=_DEFAULT_TIMEOUT_MS,
    idle_timeout_ms=_DEFAULT_TIMEOUT_MS,
)

IsIdempotent = typing.Callable[[caller_messages.CallerRequest], bool]


class HttpServer:
    """Accept connections of callers and pass their requests to a handler."""

    def __init__(
        self,
        handler: caller_messages.Handler,
        source: clock.Clock,
        is_idempotent: IsIdempotent | None = None,
        budget: caller_budget.CallerBudget | None = None,
        max_connections: int = sys.maxsize,
    ) -> None:
        self.handler = handler
        # Pipelined requests run side by side if they may run twice.
        self.is_idempotent = is_idempotent or _may_run_once
        self.clock = source
        self.connections: set[caller_connection.CallerConnection] = set()
        self.limits: routes.CallerLimits | None = None
        self.is_draining = False
        self.budget = budget or caller_budget.unlimited(source)
        self._max_connections = max_connections
        self._listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen on an address; raise OSError if it can't be bound."""
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: caller_connection.CallerConnection(self),
            host,
            port,
            backlog=_ACCEPT_BACKLOG,
        )

    async def sweep_forever(self) -> None:
        """Close connections that exceeded their timeouts."""
        while True:
            await asyncio.sleep(clock.seconds(_SWEEP_INTERVAL_MS))
            limits = self.limits or _DEFAULT_LIMITS
            now = self.clock.now()
            for connection in list(self.connections):
                connection.sweep(now, limits)

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is in flight and no answer is unsent."""
        return not self.busy_count

    @property
    def busy_count(self) -> int:
        """Return how many connections have a request or an unsent answer."""
        return sum(not connection.is_idle for connection in self.connections)

    @property
    def unsent_answers(self) -> list[caller_output.UnsentAnswer]:
        """Return the answers that callers have not received whole."""
        answers = [one.output.unsent_answer for one in self.connections]
        return [answer for answer in answers if answer is not None]

    def add(self, connection: caller_connection.CallerConnection) -> None:
        """Add a connection; above the limit, close the longest unused."""
        self.connections.add(connection)
        if len(self.connections) <= self._max_connections:
            return
        self.budget.surplus_count += 1
        # The new connection has had no time to send a request, and a request
        # that may have been sent on must not be refused.
        accounts: dict[typing.Hashable, caller_connection.CallerConnection] = {
            one.account: one
            for one in self.connections
            if one is not connection and not one.account.has_requests
        }
        surplus = self._longest_unused(accounts) or connection
        self.connections.discard(surplus)
        surplus.account.close_surplus()

    def discard(self, connection: caller_connection.CallerConnection) -> None:
        """Discard a closed connection."""
        self.connections.discard(connection)

    def stop_listening(self) -> None:
        """Accept no new connections."""
        if self._listener is not None:
            self._listener.close()

    def reject_incomplete(self) -> None:
        """Reject the requests that are still being read as not run."""
        for connection in list(self.connections):
            connection.reject_incomplete()

    def close_idle(self) -> None:
        """Close connections without a request in flight or an unsent answer."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def close_connections(self) -> None:
        """Close all connections, also those with a request in flight."""
        for connection in list(self.connections):
            connection.close()

    def _longest_unused(
        self,
        accounts: dict[typing.Hashable, caller_connection.CallerConnection],
    ) -> caller_connection.CallerConnection | None:
        memory = self.budget.memory
        checked = None
        found = memory.longest_unused(accounts, self.clock.now())
        while found is not None and found is not checked:
            # Its recorded state may be from the last sweep.
            accounts[found].account.refresh()
            checked = found
            found = memory.longest_unused(accounts, self.clock.now())
        return None if found is None else accounts[found]


def _may_run_once(_request: caller_messages.CallerRequest) -> bool:
    """Tell that no request may run twice."""
    return False
