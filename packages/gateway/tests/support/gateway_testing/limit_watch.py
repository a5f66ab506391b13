"""Count the requests that servers with a rate limit get in any window."""

import collections
import dataclasses
import math
import typing

from sycamoreferry_ports import boot_clock

# The platform's StabilityWindow, from which on a named limit holds.
STABILITY_MS = 3_000
WINDOW_MS = 4_000
_SENDER_HEADER = 'sent-by'


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Record that a request reached a limited server."""

    at: int
    sender: str


class LimitWatch:
    """Record arrivals, limits and disruptions of senders."""

    def __init__(self) -> None:
        self.clock = boot_clock.BootClock()
        # Who was disrupted, from when to when.
        self.disruptions: list[tuple[str, int, int]] = []
        self._arrivals: dict[str, list[Arrival]] = collections.defaultdict(list)
        self._limits: dict[str, list[tuple[int, float]]] = {}

    def record_arrivals(self, server: typing.Any) -> None:
        """Record what arrives at a server from now on."""
        run = server._run
        arrived = self._arrivals[server.name]

        async def record(request: typing.Any) -> typing.Any:
            sender = request.header(_SENDER_HEADER) or ''
            arrived.append(Arrival(self.clock.now(), sender))
            return await run(request)

        server._run = record

    def limit(self, server: typing.Any, requests_per_s: float) -> None:
        """Let a server name a limit in its answers from now on."""
        server.rate_limit = str(requests_per_s)
        changes = self._limits.setdefault(server.name, [])
        changes.append((self.clock.now(), requests_per_s))

    def lift(self, server: typing.Any) -> None:
        """Let a server name no limit from now on."""
        server.rate_limit = ''
        self._limits[server.name].append((self.clock.now(), math.inf))

    def excess(self) -> dict[str, tuple[int, float]]:
        """Return the servers with too many arrivals, and what was allowed."""
        found = {}
        for name in self._limits:
            arrived, allowed = self.worst_window(name)
            if arrived > allowed:
                found[name] = (arrived, allowed)
        return found

    def worst_window(self, name: str) -> tuple[int, float]:
        """Return the arrivals of the window that exceeds its bound most."""
        since = self._limits[name][0][0] + STABILITY_MS
        times = [
            arrival.at
            for arrival in self._arrivals[name]
            if arrival.at >= since and not self._is_excused(arrival)
        ]
        windows = [
            (
                sum(start <= at < start + WINDOW_MS for at in times),
                1.5 * self._allowed(name, start) + 5,
            )
            for start in times
        ]
        return max(windows, key=lambda row: row[0] - row[1], default=(0, 5.0))

    def _allowed(self, name: str, start: int) -> float:
        """Return the requests that the limits of a window add up to."""
        changes = self._limits[name]
        ends = [at for at, _ in changes[1:]] + [start + WINDOW_MS]
        allowed = 0.0
        for (begins_at, limit), ends_at in zip(changes, ends, strict=True):
            lasts_ms = min(ends_at, start + WINDOW_MS) - max(begins_at, start)
            if lasts_ms > 0:
                allowed += limit * lasts_ms / 1_000
        return allowed

    def _is_excused(self, arrival: Arrival) -> bool:
        """Tell whether the sender was disrupted within the window."""
        return any(
            who == arrival.sender
            and begins_at <= arrival.at
            and ends_at >= arrival.at - STABILITY_MS
            for who, begins_at, ends_at in self.disruptions
        )
