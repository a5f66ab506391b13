"""Define the messages that are passed between the filters."""

import dataclasses
import typing

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_ports import http_forward, wire
from sycamoreferry_router import settings

IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


class Holder(typing.Protocol):
    """Account for the memory of a request."""

    @property
    def is_refused(self) -> bool:
        """Tell whether the request was refused before it was forwarded."""

    def mark_forwarded(self) -> None:
        """Protect the request, which a server may run from now on."""

    def may_hold(self, size: int) -> bool:
        """Count an answer to hold in memory; return False if it is too long."""


class UnlimitedHolder:
    """Account for nothing."""

    is_refused = False

    def mark_forwarded(self) -> None:
        """Do nothing; the memory has no limit."""

    def may_hold(self, size: int) -> bool:
        """Return True; the memory has no limit."""
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """Hold a request as received from the caller."""

    method: str
    service: str
    target: str
    headers: typing.Mapping[str, str]
    body: bytes
    received_at: clock.Millis
    holder: Holder = UnlimitedHolder()


@dataclasses.dataclass(frozen=True, slots=True)
class Identified:
    """Hold a request with its service, key and deadline validated."""

    incoming: Incoming
    request_id: ids.RequestId
    service: settings.Service
    key: str | None
    shard: ids.ShardId | None
    deadline: clock.Millis
    idempotency_key: ids.IdempotencyKey | None

    @property
    def idempotent(self) -> bool:
        """Return True if the method makes running the request twice safe."""
        return self.incoming.method in IDEMPOTENT_METHODS


@dataclasses.dataclass(frozen=True, slots=True)
class Resolved:
    """Hold a request with the backend servers that may run it."""

    identified: Identified
    candidates: tuple[wire.ListedServer, ...]
    # All servers of the service, including draining ones.
    listed: tuple[wire.ListedServer, ...]
    fence: ids.Fence
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Selected:
    """Hold a request with the backend server selected to run it."""

    identified: Identified
    server: wire.ListedServer
    way: outcomes.Destination
    can_run_elsewhere: bool = False
    # Whether the server got the request before.
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """Hold a request with the result of forwarding it to its server."""

    selected: Selected
    outcome: http_forward.ForwardOutcome
