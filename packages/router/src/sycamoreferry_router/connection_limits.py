"""Keep the connections of a port within their memory and number."""

import abc
import collections
import resource
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router import logs, settings

# Connections to backend servers, other instances and the platform need the
# rest of the descriptors.
_CALLER_DESCRIPTORS = 0.6
_PEER_DESCRIPTORS = 0.2
_PEER_SHARE = 0.25
# Several of the longest messages between instances.
_MIN_PEER_BYTES = 4_000_000
# A limit below the number of instances would cut them off from each other.
_MIN_PEERS = 128


_LOG_INTERVAL_MS = 10_000
# The reason for a close that is not due to memory.
_NUMBER = 'number'

_log = logs.part_logger('connections')


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
        port: str,
        limit_bytes: int,
        max_connections: int,
        time_source: clock.Clock,
    ) -> None:
        self._port = port
        self._clock = time_source
        self._memory = caller_memory.CallerMemory(limit_bytes)
        self._limit = max_connections
        self._open: dict[Connection, None] = {}
        self._evicted: collections.Counter[str] = collections.Counter()
        self._logged_at = clock.LONG_AGO

    @property
    def port(self) -> str:
        """Return which connections are limited: callers or peers."""
        return self._port

    @property
    def held_bytes(self) -> int:
        """Return the bytes that all connections hold."""
        return self._memory.held_bytes

    @property
    def evicted(self) -> typing.Mapping[str, int]:
        """Return the connections closed or refused, by reason."""
        return self._evicted

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
            self._count(_NUMBER)
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
            evictee = typing.cast(Connection, holder)
            self._count(evictee.held.state.value)
            evictee.give_way()

    def remove(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._open.pop(connection, None)
        self._memory.release(connection)

    def _count(self, reason: str) -> None:
        self._evicted[reason] += 1
        now = self._clock.now()
        if now - self._logged_at < _LOG_INTERVAL_MS:
            return
        self._logged_at = now
        _log.warning(
            'too many connections of {}, or too large; {} open, {} bytes held,'
            ' closed or refused since the start: {}',
            self._port,
            len(self._open),
            self._memory.held_bytes,
            dict(self._evicted),
        )


def limits_of_callers(
    bounds: settings.RequestBounds,
    time_source: clock.Clock,
) -> ConnectionLimits:
    """Return the limits of the connections of callers."""
    return ConnectionLimits(
        'callers',
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
        'peers',
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
