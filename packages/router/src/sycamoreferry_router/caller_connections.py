"""Keep the connections of callers within their memory and number."""

import abc
import resource
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router import held_memory, settings

# Connections to backend servers, other instances and the platform need the
# rest of the descriptors.
_DESCRIPTOR_SHARE = 0.75


class Connection(typing.Protocol):
    """Hold memory for a caller."""

    held: held_memory.HeldMemory

    @abc.abstractmethod
    def __hash__(self) -> int:
        """Return the hash of the identity."""

    def give_way(self) -> None:
        """Free the memory; refuse the request or close the connection."""

    def drop(self) -> None:
        """Close the connection at once."""


class CallerConnections:
    """Choose the connections to close when there are too many, or too large."""

    def __init__(
        self,
        bounds: settings.RequestBounds,
        time_source: clock.Clock,
    ) -> None:
        self._clock = time_source
        self._memory = caller_memory.CallerMemory(bounds.caller_bytes)
        self._limit = min(bounds.connections, _usable_descriptors())
        self._open: dict[Connection, None] = {}

    @property
    def free_bytes(self) -> int:
        """Return the bytes that can be held without an eviction."""
        return self._memory.free_bytes

    def add(self, connection: Connection) -> None:
        """Add a new connection; close another one if there are too many."""
        if len(self._open) >= self._limit:
            unused = self._memory.longest_unused(
                self._open.keys(), self._clock.now()
            )
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


def _usable_descriptors() -> int:
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return settings.MAX_CONNECTIONS
    return int(soft * _DESCRIPTOR_SHARE)
