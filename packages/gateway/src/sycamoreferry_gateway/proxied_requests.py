"""Hold a request in progress and its attempts at backend servers."""

from __future__ import annotations

import asyncio
import dataclasses
import enum

from sycamoreferry_core import clock, http_messages, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import crashes, queueing, routes
from sycamoreferry_gateway import caller_messages


@enum.unique
class AttemptResult(enum.Enum):
    """Name the results of an attempt to run a request at a server."""

    ANSWERED = 'answered'
    SERVER_ERROR = 'server error'
    NOT_RUN = 'not run'
    NOT_SENT = 'not sent'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one attempt to run a request at a server."""

    result: AttemptResult
    server: servers.BackendServer
    detail: str
    reply: http_messages.HttpResponse | None = None
    # The rest of the attempt, if its server is slow but may still answer.
    rest: asyncio.Task[Attempt] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class ProxiedRequest:
    """Hold a request from its arrival until its answer."""

    request: caller_messages.CallerRequest
    request_id: str
    arrived: clock.Millis
    # When the caller's deadline or the route's timeout is reached.
    ends_at: clock.Millis
    # Before ends_at if the instance stops earlier.
    answer_by: clock.Millis
    route: routes.Route
    service: ids.ServiceName
    key: owners.Key | None
    signature: crashes.Signature
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    waited_ms: int = 0
    # The server of the attempt in progress; None while waiting for one.
    current_server: ids.ServerId | None = None
    # Set if another instance received the request and relayed it here.
    is_relayed: bool = False
    # Attempts of other instances that may have run it.
    earlier_runs: int = 0
    # The instances to which this one relayed it.
    relays: list[ids.InstanceId] = dataclasses.field(default_factory=list)
    # The backlog ahead of the request when it was rejected.
    rejection_backlog: queueing.Backlog | None = None

    @property
    def run_count(self) -> int:
        """Return how often servers may have run it; errors count as runs."""
        return self.earlier_runs + sum(
            one.result in {AttemptResult.UNKNOWN, AttemptResult.SERVER_ERROR}
            for one in self.attempts
        )

    @property
    def was_sent(self) -> bool:
        """Tell whether it is at a server, or a server may have run it."""
        return self.current_server is not None or self.may_have_run

    @property
    def may_have_run(self) -> bool:
        """Tell whether a server may have run it; errors count as run."""
        return self.run_count > 0
