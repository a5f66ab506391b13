"""Keep the request rates to which backend servers limit all instances together.

Load pattern: an overloaded server advertises in its responses the request rate
that it accepts from all clients, for as long as the overload lasts. Instances
learn of it at different times, and from responses that may predate a change.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers

# A request now and then shows whether a server still takes none.
_MIN_REQUESTS_PER_S = 0.25
# A server without requests cannot withdraw its limit.
_CONFIRMED_MS = 10_000
# How long instances tell each other that a limit is over.
_LIFTED_REPORT_MS = 5_000
# Entries lapse and return while their servers go on.
_LAPSED_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class RateStatement:
    """Hold what a server said last; the rate is None if it names no limit."""

    requests_per_s: float | None
    stated_at: clock.Millis


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownStatement:
    """Hold a statement and the life of the server that made it."""

    born: servers.IncarnationNumber
    statement: RateStatement

    def precedes(
        self, born: servers.IncarnationNumber, stated_at: clock.Millis
    ) -> bool:
        """Return whether a statement of a life and time is newer."""
        return (self.born, self.statement.stated_at) < (born, stated_at)


class RateLimits:
    """Keep the newest statement of each server.

    A new life of a server is held to the limit of the earlier one until it has
    answered.
    """

    def __init__(self) -> None:
        self._known: dict[ids.ServerId, _KnownStatement] = {}

    @property
    def limited_count(self) -> int:
        """Return how many servers limit their rate."""
        return len(self.limited_servers())

    def limited_servers(self) -> list[ids.ServerId]:
        """Return the servers that limit their rate."""
        return [
            server
            for server, known in self._known.items()
            if known.statement.requests_per_s is not None
        ]

    def get(self, server: ids.ServerId) -> float | None:
        """Return the requests a second of a limited server, else None."""
        known = self._known.get(server)
        if known is None or known.statement.requests_per_s is None:
            return None
        return max(known.statement.requests_per_s, _MIN_REQUESTS_PER_S)

    def get_confirmed(
        self, server: ids.ServerId, now: clock.Millis
    ) -> float | None:
        """Return the limit of a server that has named it recently."""
        known = self._known.get(server)
        if known is None or now - known.statement.stated_at > _CONFIRMED_MS:
            return None
        return self.get(server)

    def statements_of(
        self, chosen: typing.Iterable[ids.ServerId]
    ) -> dict[servers.ServerIncarnation, RateStatement]:
        """Return what the chosen servers said last, of those that did."""
        return {
            servers.ServerIncarnation(server, self._known[server].born): (
                self._known[server].statement
            )
            for server in chosen
            if server in self._known
        }

    def recent(
        self, now: clock.Millis
    ) -> dict[servers.ServerIncarnation, RateStatement]:
        """Return the limits in force and those that were lifted recently."""
        return {
            server: statement
            for server, statement in self.statements_of(self._known).items()
            if statement.requests_per_s is not None
            or now - statement.stated_at < _LIFTED_REPORT_MS
        }

    def record_limit(
        self,
        server: servers.ServerIncarnation,
        requests_per_s: float,
        now: clock.Millis,
    ) -> bool:
        """Record a limit that an answer names; return whether it is new."""
        known = self._known.get(server.server)
        self.merge(server, RateStatement(requests_per_s, now))
        return known is None or known.statement.requests_per_s != requests_per_s

    def record_no_limit(
        self,
        server: servers.ServerIncarnation,
        sent_at: clock.Millis,
    ) -> bool:
        """Record an answer without a limit; return whether this lifts one.

        The server may have answered any time after the request was sent, so
        a limit that was named meanwhile stays.
        """
        if self.get(server.server) is None:
            return False
        # A limit that was named in the same millisecond is the earlier one.
        return self.merge(
            server, RateStatement(None, sent_at), is_later_if_equal=True
        )

    def merge(
        self,
        server: servers.ServerIncarnation,
        statement: RateStatement,
        *,
        is_later_if_equal: bool = False,
    ) -> bool:
        """Apply a statement if it is newer; return whether it is."""
        known = self._known.get(server.server)
        compared_at = clock.later(statement.stated_at, int(is_later_if_equal))
        if known is not None and not known.precedes(server.born, compared_at):
            return False
        self._known[server.server] = _KnownStatement(server.born, statement)
        return True

    def keep_only(
        self, listed: typing.Container[ids.ServerId], now: clock.Millis
    ) -> None:
        """Drop the statements of servers that are not listed any more."""
        for server, known in list(self._known.items()):
            is_old = now - known.statement.stated_at > _LAPSED_MS
            if is_old and server not in listed:
                self._known.pop(server)
