"""Track runs of requests until the server is seen to have survived them.

Load pattern: a request crashes its server while it runs, or shortly after the
attempt ended: its deadline passed, its caller left, or the server answered with
an error. No connection breaks then, so the run is kept until an answer of the
same incarnation shows that the run did no harm.
"""

import dataclasses

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import crashes

# A run whose attempt has ended may crash its server for this long.
_LATE_CRASH_MS = 1_000
# A server may be back after this long; its answers then prove nothing.
_RESTART_MS = 2_500
# Older runs are not held against a server that ends.
_MAX_AGE_MS = 15_000
_MAX_RUNS_PER_SERVER = 256


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """Hold a request that was sent to a server."""

    signature: crashes.Signature
    incarnation: servers.ServerIncarnation
    began_at: clock.Millis
    # None while the attempt is in progress.
    ended_at: clock.Millis | None = None
    # Whether another instance reported it.
    is_remote: bool = False


class ServerRuns:
    """Hold the runs that may still turn out to have crashed their server."""

    def __init__(self) -> None:
        self._runs: dict[servers.ServerIncarnation, list[Run]] = {}
        self._ended_at: dict[servers.ServerIncarnation, clock.Millis] = {}
        # The servers to which the last new connection failed.
        self._unreachable: set[servers.ServerIncarnation] = set()
        # When each server was last seen to be up.
        self._alive_at: dict[servers.ServerIncarnation, clock.Millis] = {}

    def begin(
        self,
        signature: crashes.Signature,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
    ) -> Run:
        """Record that a request is being sent to a server.

        A request that is sent to a server which is gone did not end it.
        """
        run = Run(signature, incarnation, now)
        if incarnation in self._ended_at or incarnation in self._unreachable:
            return run
        runs = self._runs.setdefault(incarnation, [])
        if len(runs) >= _MAX_RUNS_PER_SERVER:
            runs.pop(0)
        runs.append(run)
        return run

    def discard(self, run: Run) -> None:
        """Drop a run that did the server no harm, or did not begin."""
        runs = self._runs.get(run.incarnation, [])
        if run in runs:
            runs.remove(run)
            if not runs:
                self._runs.pop(run.incarnation)

    def end(self, run: Run, now: clock.Millis) -> None:
        """Record that an attempt ended before the server was seen again."""
        run.ended_at = now

    def record_alive(
        self, incarnation: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Drop the runs that an incarnation has survived by now."""
        self._alive_at[incarnation] = now
        self.record_reached(incarnation, now)

    def record_reached(
        self, incarnation: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Drop the runs that a server which takes connections has survived."""
        self._unreachable.discard(incarnation)
        for run in list(self._runs.get(incarnation, ())):
            if run.ended_at is None:
                continue
            if _LATE_CRASH_MS < now - run.ended_at < _RESTART_MS:
                self.discard(run)

    def record_unreachable(
        self, incarnation: servers.ServerIncarnation
    ) -> None:
        """Record that a new connection to a server failed."""
        self._unreachable.add(incarnation)

    def suspects(
        self, now: clock.Millis
    ) -> dict[servers.ServerIncarnation, clock.Millis]:
        """Return the servers that may have crashed, and since when.

        They have not answered since an attempt failed, and are not known to
        have ended.
        """
        found = {}
        for incarnation, runs in self._runs.items():
            if incarnation in self._ended_at:
                continue
            alive_at = self._alive_at.get(incarnation, clock.LONG_AGO)
            failed_at = [
                run.ended_at
                for run in runs
                if run.ended_at is not None and not run.is_remote
            ]
            since = min(failed_at, default=now)
            if alive_at < since < now:
                found[incarnation] = since
        return found

    def failed_runs(self, incarnation: servers.ServerIncarnation) -> list[Run]:
        """Return the runs of this instance that may have crashed a server."""
        return [
            run
            for run in self._runs.get(incarnation, ())
            if run.ended_at is not None and not run.is_remote
        ]

    def add_remote(self, run: Run) -> bool:
        """Add a run that another instance reports; return whether it is new."""
        known = self._runs.get(run.incarnation, ())
        if len(known) >= _MAX_RUNS_PER_SERVER or any(
            other.is_remote and other.signature == run.signature
            for other in known
        ):
            return False
        self._runs.setdefault(run.incarnation, []).append(run)
        return True

    def has_answer_of_another(
        self, incarnation: servers.ServerIncarnation, since: clock.Millis
    ) -> bool:
        """Return whether another server has answered since a time."""
        return any(
            alive_at > since and other != incarnation
            for other, alive_at in self._alive_at.items()
        )

    def confirm_end(
        self,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
        *,
        was_leaving: bool = False,
    ) -> list[crashes.Crash]:
        """Return the crashes that the end of an incarnation confirms.

        Attempts in progress hang if the host is gone, so they count too. A
        server that leaves ends its requests without its entry; they count only
        if they fail.
        """
        self._ended_at.setdefault(incarnation, now)
        confirmed: dict[crashes.Signature, crashes.Crash] = {}
        for run in list(self._runs.get(incarnation, ())):
            if run.ended_at is not None:
                self.discard(run)
            elif was_leaving:
                continue
            if _is_recent(run, now):
                confirmed[run.signature] = crashes.Crash(
                    run.signature, incarnation, run.began_at
                )
        return list(confirmed.values())

    def has_ended(self, incarnation: servers.ServerIncarnation) -> bool:
        """Return whether an incarnation is known to have ended."""
        return incarnation in self._ended_at

    def prune(self, now: clock.Millis) -> None:
        """Drop the runs that are too old to be held against a server."""
        for incarnation, ended_at in list(self._ended_at.items()):
            if incarnation not in self._runs and now - ended_at > _MAX_AGE_MS:
                self._ended_at.pop(incarnation)
        self._unreachable.intersection_update(self._runs)
        for incarnation, alive_at in list(self._alive_at.items()):
            if now - alive_at > _MAX_AGE_MS:
                self._alive_at.pop(incarnation)
        for runs in list(self._runs.values()):
            for run in list(runs):
                if not _is_recent(run, now):
                    self.discard(run)


def _is_recent(run: Run, now: clock.Millis) -> bool:
    return run.ended_at is None or now - run.ended_at <= _MAX_AGE_MS
