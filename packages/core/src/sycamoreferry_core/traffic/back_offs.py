"""Keep how long each backend server wants no requests from this instance.

Load pattern: an overloaded server rejects what it is sent with a Retry-After.
Requests that are held back meanwhile must not all reach it at the end of that
time, so they are spaced until the server answers otherwise.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers

# A server without requests cannot withdraw a delay that it named by mistake.
_LONGEST_MS = clock.MILLIS_PER_HOUR
# Interval of the requests after a back-off while none of them is answered.
_TRIAL_INTERVAL_MS = 250


@dataclasses.dataclass(frozen=True, slots=True)
class _BackOff:
    ends_at: clock.Millis
    # When the next request may be sent; not before the end.
    next_at: clock.Millis


class BackOffs:
    """Keep the back-off of each server until it answers after its end."""

    def __init__(self) -> None:
        self._known: dict[servers.ServerIncarnation, _BackOff] = {}

    @property
    def is_empty(self) -> bool:
        """Tell whether no server's back-off holds requests back."""
        return not self._known

    def record_delay(
        self,
        server: servers.ServerIncarnation,
        delay_ms: int,
        now: clock.Millis,
    ) -> bool:
        """Start or extend a back-off; return whether it is a new one."""
        ends_at = clock.later(now, min(delay_ms, _LONGEST_MS))
        known = self._known.get(server)
        if known is not None:
            ends_at = max(ends_at, known.ends_at)
        self._known[server] = _BackOff(ends_at, ends_at)
        return known is None or known.ends_at <= now

    def record_answer(
        self, server: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Record an answer that names no delay; drop a back-off that is over.

        A request sent before the back-off may be answered during it.
        """
        known = self._known.get(server)
        if known is not None and known.ends_at <= now:
            self._known.pop(server)

    def record_start(
        self, server: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Record that a request is about to be sent to a server."""
        known = self._known.get(server)
        if known is not None:
            next_at = clock.later(max(now, known.ends_at), _TRIAL_INTERVAL_MS)
            self._known[server] = _BackOff(known.ends_at, next_at)

    def remaining_ms(
        self, server: servers.ServerIncarnation, now: clock.Millis
    ) -> int:
        """Return how long a server may be sent no request; 0 if it may."""
        known = self._known.get(server)
        return 0 if known is None else max(0, known.next_at - now)

    def open_servers(
        self,
        candidates: typing.Iterable[servers.BackendServer],
        now: clock.Millis,
    ) -> list[servers.BackendServer]:
        """Return the servers that may be sent a request."""
        closed = self._closed(now)
        return [
            server for server in candidates if server.incarnation not in closed
        ]

    def closed_ids(self, now: clock.Millis) -> set[ids.ServerId]:
        """Return the servers of all services that may be sent no request."""
        return {incarnation.server for incarnation in self._closed(now)}

    def count(self, now: clock.Millis) -> int:
        """Return how many servers have a back-off that is not over."""
        return sum(known.ends_at > now for known in self._known.values())

    def keep_only(
        self, known: typing.Container[servers.ServerIncarnation]
    ) -> None:
        """Drop the back-offs of servers that are not known."""
        for server in list(self._known):
            if server not in known:
                self._known.pop(server)

    def _closed(self, now: clock.Millis) -> set[servers.ServerIncarnation]:
        return {
            incarnation
            for incarnation, known in self._known.items()
            if known.next_at > now
        }
