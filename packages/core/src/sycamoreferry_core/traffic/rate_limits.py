"""Keep the request rates to which backend servers limit all instances together.

Load pattern: an overloaded server advertises in its responses the request rate
that it accepts from all clients, for as long as the overload lasts. Instances
learn of it at different times, and from responses that may predate a change.
"""

import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers

# A request now and then shows whether a server still takes none.
_MIN_REQUESTS_PER_S = 0.25
# A server without requests cannot withdraw its limit.
_CONFIRMED_MS = 10_000
# How long instances tell each other that a limit is over.
_LIFTED_REPORT_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class RateStatement:
    """Hold what a server said last; the rate is None if it names no limit."""

    requests_per_s: float | None
    stated_at: clock.Millis


class RateLimits:
    """Keep the newest statement of each server."""

    def __init__(self) -> None:
        self._statements: dict[servers.ServerIncarnation, RateStatement] = {}

    @property
    def limited_count(self) -> int:
        """Return how many servers limit their rate."""
        return sum(
            statement.requests_per_s is not None
            for statement in self._statements.values()
        )

    def get(self, server: servers.ServerIncarnation) -> float | None:
        """Return the requests a second of a limited server, else None."""
        statement = self._statements.get(server)
        if statement is None or statement.requests_per_s is None:
            return None
        return max(statement.requests_per_s, _MIN_REQUESTS_PER_S)

    def get_confirmed(
        self, server: servers.ServerIncarnation, now: clock.Millis
    ) -> float | None:
        """Return the limit of a server that has named it recently."""
        statement = self._statements.get(server)
        if statement is None or now - statement.stated_at > _CONFIRMED_MS:
            return None
        return self.get(server)

    def statement(
        self, server: servers.ServerIncarnation
    ) -> RateStatement | None:
        """Return what a server said last about its limit, if anything."""
        return self._statements.get(server)

    def recent(
        self, now: clock.Millis
    ) -> dict[servers.ServerIncarnation, RateStatement]:
        """Return the limits in force and those that were lifted recently."""
        return {
            server: statement
            for server, statement in self._statements.items()
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
        known = self._statements.get(server)
        self._statements[server] = RateStatement(requests_per_s, now)
        return known is None or known.requests_per_s != requests_per_s

    def record_no_limit(
        self,
        server: servers.ServerIncarnation,
        sent_at: clock.Millis,
    ) -> bool:
        """Record an answer without a limit; return whether this lifts one.

        The server may have answered any time after the request was sent, so
        a limit that was named meanwhile stays.
        """
        known = self._statements.get(server)
        if known is None or known.requests_per_s is None:
            return False
        if sent_at < known.stated_at:
            return False
        self._statements[server] = RateStatement(None, sent_at)
        return True

    def merge(
        self, server: servers.ServerIncarnation, statement: RateStatement
    ) -> None:
        """Apply a statement that another instance heard, if it is newer."""
        known = self._statements.get(server)
        if known is None or known.stated_at < statement.stated_at:
            self._statements[server] = statement

    def keep_only(
        self, known: typing.Container[servers.ServerIncarnation]
    ) -> None:
        """Drop the statements of servers that are not known."""
        for server in list(self._statements):
            if server not in known:
                self._statements.pop(server)
