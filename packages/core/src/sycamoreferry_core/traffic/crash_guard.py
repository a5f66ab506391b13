"""Decide which requests are blocked since they crash backend servers."""

import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import (
    block_trials,
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
        # All entries of servers that were written before this were read.
        self.entries_read_at = clock.LONG_AGO

    def confirm_crashes(
        self,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
        *,
        was_leaving: bool = False,
    ) -> list[crashes.Crash]:
        """Record the crashes that a server's end confirms; return new ones."""
        confirmed = self.runs.confirm_end(
            incarnation, now, was_leaving=was_leaving
        )
        new = [crash for crash in confirmed if self.history.record(crash)]
        for crash in new:
            self.selection.add(crash, now)
        return new

    def report_suspects(
        self, incarnation: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Tell other instances which runs failed at an unreachable server."""
        for run in self.runs.failed_runs(incarnation):
            self.selection.add_suspect(run, now)

    def add_remote(self, run: server_runs.Run, now: clock.Millis) -> None:
        """Add a run that another instance reports."""
        if self.runs.add_remote(run) and self.runs.has_ended(run.incarnation):
            self.confirm_crashes(run.incarnation, now)

    def record_answer(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> None:
        """Record that a server ran a request and answered it."""
        if self.history.record_answer(signature, now):
            self.selection.add_survival(signature, now)

    def record_entry(self, incarnation: servers.ServerIncarnation) -> None:
        """Record that a server has written an entry since the last reading."""
        self.history.record_seen(incarnation, self.entries_read_at)

    def is_trial_due(
        self,
        signature: crashes.Signature,
        now: clock.Millis,
        own: ids.InstanceId,
        instances: typing.Collection[ids.InstanceId],
    ) -> bool:
        """Return whether this instance may send a blocked request as a trial.

        Without instances that take turns no trial may be sent.
        """
        due_for_ms = now - self.history.trial_due_at(signature, now)
        return due_for_ms >= 0 and block_trials.is_turn(
            own, instances, signature, due_for_ms
        )

    def retry_after_ms(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> int:
        """Return the time until a blocked request may be sent; 0 if it may."""
        if not self.history.is_blocked(signature, now):
            return 0
        return max(0, self.history.trial_due_at(signature, now) - now)

    def begin_trial(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> bool:
        """Record that a request is sent; return whether that is a trial."""
        if not self.history.is_blocked(signature, now):
            return False
        self._record_trial(signature, now, 1)
        return True

    def cancel_trial(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> None:
        """Record that a trial ran at no server."""
        if signature in self.history.trials:
            self._record_trial(signature, now, -1)

    def prune(self, now: clock.Millis) -> None:
        """Drop runs and crashes that are too old to have an effect."""
        self.runs.prune(now)
        self.history.prune(now)

    def _record_trial(
        self, signature: crashes.Signature, now: clock.Millis, change: int
    ) -> None:
        known = self.history.trials.get(signature)
        trials = block_trials.Trials(change, now, now)
        if known is not None:
            trials = block_trials.Trials(
                known.count + change, now, known.first_at
            )
        self.history.trials[signature] = trials
        self.selection.add_trial(signature, now)
