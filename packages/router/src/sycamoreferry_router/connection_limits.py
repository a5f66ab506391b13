"""Keep the connections of a port within their memory and number."""

import abc
import resource
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router import settings

# Connections to backend servers, other instances and the platform need the
# rest of the descriptors.
_CALLER_DESCRIPTORS = 0.6
_PEER_DESCRIPTORS = 0.2
_PEER_SHARE = 0.25
# Several of the longest messages between instances.
_MIN_PEER_BYTES = 4_000_000
# A limit below the number of instances would cut them off from each other.
_MIN_PEERS = 128


class Held(typing.Protocol):
    """Tell what a connection holds."""

    @property
    def state(self) -> caller_memory.HolderState:
        """Return why the memory is held."""

    @property
    def total_bytes(self) -> int:
        """Return the bytes that the connection holds in all."""


class Connection(typing.Protocol):
    """Hold memory for a caller or another instance."""

    @property
    def held(self) -> Held:
        """Return what the connection holds."""

    @abc.abstractmethod
    def __hash__(self) -> int:
        """Return the hash of the identity."""

    def give_way(self) -> None:
        """Free the memory; refuse the request or close the connection."""

    def drop(self) -> None:
        """Close the connection at once."""


class ConnectionLimits:
    """Choose the connections to close when there are too many, or too large."""

    def __init__(
        self,
        limit_bytes: int,
        max_connections: int,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._memory = caller_memory.CallerMemory(limit_bytes)
        self._limit = max_connections
        self._open: dict[Connection, None] = {}

    @property
    def free_bytes(self) -> int:
        """Return the bytes that can be held without an eviction."""
        return self._memory.free_bytes

    def add(self, connection: Connection) -> None:
        """Add a new connection; close another one if there are too many."""
        if len(self._open) >= self._limit:
            unused = self._memory.longest_unused(self._open.keys())
            if unused is None:
                connection.drop()
                return
            typing.cast(Connection, unused).drop()
        self._open[connection] = None
        self.record(connection)

    def record(self, connection: Connection) -> None:
        """Record what a connection holds; have others give way if needed."""
        evicted = self._memory.reserve(
            connection,
            connection.held.total_bytes,
            connection.held.state,
            self._clock.now(),
        )
        for holder in evicted:
            typing.cast(Connection, holder).give_way()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._open.pop(connection, None)
        self._memory.release(connection)


def limits_of_callers(
    bounds: settings.RequestBounds,
    time_source: clock.Clock,
) -> ConnectionLimits:
    """Return the limits of the connections of callers."""
    return ConnectionLimits(
        bounds.caller_bytes,
        min(bounds.connections, _descriptors(_CALLER_DESCRIPTORS)),
        time_source,
    )


def limits_of_peers(
    bounds: settings.RequestBounds,
    time_source: clock.Clock,
) -> ConnectionLimits:
    """Return the limits of the connections of other instances."""
    return ConnectionLimits(
        max(_MIN_PEER_BYTES, int(bounds.caller_bytes * _PEER_SHARE)),
        min(
            max(_MIN_PEERS, bounds.connections),
            _descriptors(_PEER_DESCRIPTORS),
        ),
        time_source,
    )


def _descriptors(share: float) -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return settings.MAX_CONNECTIONS
    return int(soft * share)
