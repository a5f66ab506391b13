"""Serve other instances within the memory and number of connections."""

import asyncio
import typing

from grpclib import protocol
from grpclib import server as grpc_server

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_router import connection_limits, logs, metrics, settings

# A copy of 500 admissions, the longest message, takes some 130 KB.
MAX_MESSAGE_BYTES = 1_048_576
# Measured: some 18 KB for each connection without calls, counted as a small
# one, so that others give way first.
_CONNECTION_BYTES = caller_memory.SMALL_BYTES

_State = caller_memory.HolderState
_log = logs.part_logger('peers')


class PeerServer(grpc_server.Server):
    """Accept connections up to the limits."""

    def __init__(
        self,
        handlers: typing.Collection[typing.Any],
        bounds: settings.RequestBounds,
        router_metrics: metrics.Metrics,
        time_source: clock.Clock,
    ) -> None:
        super().__init__(handlers)
        self._limits = connection_limits.limits_of_peers(bounds, time_source)
        router_metrics.watch(self._limits)

    def _protocol_factory(self) -> protocol.H2Protocol:
        """Return a protocol that takes the place of the library's own."""
        made = super()._protocol_factory()
        return _PeerProtocol(made, self._limits)


class _PeerProtocol(protocol.H2Protocol):
    """Count the messages that a connection holds."""

    def __init__(
        self,
        made: protocol.H2Protocol,
        limits: connection_limits.ConnectionLimits,
    ) -> None:
        super().__init__(made.handler, made.config, made.h2_config)
        self._limits = limits
        self._is_counted = False
        self._transport: asyncio.BaseTransport | None = None

    @property
    def held(self) -> connection_limits.Held:
        """Return what the connection holds."""
        return self

    @property
    def state(self) -> _State:
        """Return why the memory is held."""
        return _State.INCOMPLETE if self.processor.streams else _State.IDLE

    @property
    def total_bytes(self) -> int:
        """Return the bytes of all messages whose calls have not ended."""
        streams = self.processor.streams.values()
        return _CONNECTION_BYTES + sum(one.data_received for one in streams)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection."""
        super().connection_made(transport)
        self._transport = transport
        self._is_counted = True
        self._limits.add(self)

    def data_received(self, data: bytes) -> None:
        """Read messages; close the connection if one is too long."""
        if not self._is_counted:
            return
        super().data_received(data)
        streams = self.processor.streams.values()
        if any(one.data_received > MAX_MESSAGE_BYTES for one in streams):
            _log.warning('closing a connection; a message is too long')
            self.drop()
        elif self._is_counted:
            self._limits.record(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._is_counted = False
        self._limits.remove(self)
        super().connection_lost(exc)

    def give_way(self) -> None:
        """Close the connection; the other instance opens a new one."""
        self.drop()

    def drop(self) -> None:
        """Close the connection at once."""
        self._is_counted = False
        self._limits.remove(self)
        if self._transport is not None:
            typing.cast(asyncio.Transport, self._transport).abort()
