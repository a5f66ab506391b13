"""Keep the request rates to which backend servers limit all instances together.

Load pattern: a server in need names in its answers the rate that it takes from
all callers, as long as the need lasts. Instances hear of it at different times,
and from answers that may have been sent before the rate changed.
"""

import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers


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
        return None if statement is None else statement.requests_per_s

    def record_limit(
        self,
        server: servers.ServerIncarnation,
        requests_per_s: float,
        now: clock.Millis,
    ) -> bool:
        """Record a limit that an answer names; return whether it is new."""
        is_new = self.get(server) != requests_per_s
        self._statements[server] = RateStatement(requests_per_s, now)
        return is_new

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

    def keep_only(
        self, known: typing.Container[servers.ServerIncarnation]
    ) -> None:
        """Drop the statements of servers that are not known."""
        for server in list(self._statements):
            if server not in known:
                self._statements.pop(server)
