"""Expect how long work takes at servers whose machines slow down briefly.

Load pattern: servers share their machines with others, so that a fifth of them
is three times slower for some 400 ms at a time. Each states the slowdown of
its machine with its responses. The mean duration of ten seconds does not show
it, and a report is out of date within half a second.
"""

import dataclasses
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers

# A slowdown lasts some 400 ms and a report falls at any moment of it, so the
# probability that it still lasts falls linearly to 0 within this time.
_FRESH_MS = 400
# The mean of a service follows about twice this many reports.
_MEAN_SAMPLES = 50
# A wrong report must neither keep a server from being used nor overload it.
_MIN_SLOWDOWN = 0.1
_MAX_SLOWDOWN = 20.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlowdownReport:
    """Hold the factor by which work takes longer at a server, and when."""

    slowdown: float
    at: clock.Millis
    # Whether the server reported it to this instance.
    is_own: bool


@dataclasses.dataclass(slots=True)
class _Mean:
    slowdown: float = 1.0
    samples: int = 0

    def add(self, slowdown: float) -> None:
        self.samples = min(self.samples + 1, _MEAN_SAMPLES)
        self.slowdown += (slowdown - self.slowdown) / self.samples


class Slowdowns:
    """Keep the last report of each server and the mean of each service."""

    def __init__(self) -> None:
        self._reports: dict[ids.ServerId, SlowdownReport] = {}
        self._means: dict[ids.ServiceName, _Mean] = {}

    def record(
        self,
        server: servers.BackendServer,
        slowdown: float,
        at: clock.Millis,
    ) -> bool:
        """Record a server's report; return whether it is the first."""
        is_first = server.incarnation.server not in self._reports
        self._add(server, slowdown, at, is_own=True, counts=True)
        return is_first

    def merge(
        self,
        server: servers.BackendServer,
        slowdown: float,
        at: clock.Millis,
        *,
        counts: bool,
    ) -> None:
        """Record what another instance passed on, if it is newer.

        It counts in the mean of the service unless it may be passed on again.
        """
        self._add(server, slowdown, at, is_own=False, counts=counts)

    def own_report(
        self, server: ids.ServerId, now: clock.Millis
    ) -> SlowdownReport | None:
        """Return the report to pass on; None if there is none in date."""
        known = self._reports.get(server)
        if known is None or not known.is_own or not _weight(known, now):
            return None
        return known

    def fresh_reports(self, now: clock.Millis) -> list[float]:
        """Return the slowdowns of the reports that are not out of date."""
        return [
            report.slowdown
            for report in self._reports.values()
            if _weight(report, now)
        ]

    def is_reported(self, service: ids.ServiceName) -> bool:
        """Return whether a server of a service has reported a slowdown."""
        return service in self._means

    def relative_factor(
        self, server: servers.BackendServer, at: clock.Millis
    ) -> float:
        """Return the expected duration of work that starts then, over the mean.

        It is 1 for a server that reported no slowdown within half a second.
        """
        known = self._reports.get(server.incarnation.server)
        mean = self._means.get(server.service)
        if known is None or mean is None:
            return 1.0
        return 1 + _weight(known, at) * (known.slowdown / mean.slowdown - 1)

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Drop the reports of servers that are not known."""
        for server in list(self._reports):
            if server not in known:
                self._reports.pop(server)

    def _add(
        self,
        server: servers.BackendServer,
        slowdown: float,
        at: clock.Millis,
        *,
        is_own: bool,
        counts: bool,
    ) -> None:
        server_id = server.incarnation.server
        known = self._reports.get(server_id)
        if known is not None and known.at >= at:
            return
        slowdown = max(_MIN_SLOWDOWN, min(_MAX_SLOWDOWN, slowdown))
        self._reports[server_id] = SlowdownReport(slowdown, at, is_own)
        mean = self._means.setdefault(server.service, _Mean())
        if counts or not mean.samples:
            mean.add(slowdown)


def _weight(report: SlowdownReport, at: clock.Millis) -> float:
    """Return the probability that what was reported holds at a time."""
    return max(0, 1 - abs(at - report.at) / _FRESH_MS)
