"""Decide which requests are blocked since they crash backend servers."""

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import (
    crash_selection,
    crashes,
    server_runs,
)


class CrashGuard:
    """Join the runs at servers with the crashes that all instances know."""

    def __init__(self) -> None:
        self.runs = server_runs.ServerRuns()
        self.history = crashes.CrashHistory()
        self.selection = crash_selection.CrashSelection(self.history)

    def confirm_crashes(
        self,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
    ) -> list[crashes.Crash]:
        """Record and return the crashes that the end of a server confirms."""
        confirmed = [
            crashes.Crash(signature, incarnation, now)
            for signature in self.runs.confirm_end(incarnation, now)
        ]
        for crash in confirmed:
            self.history.record(crash)
            self.selection.add(crash, now)
        return confirmed

    def prune(self, now: clock.Millis) -> None:
        """Drop runs and crashes that are too old to have an effect."""
        self.runs.prune(now)
        self.history.prune(now)
