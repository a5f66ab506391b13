"""Choose the crashes that a heartbeat reports.

Load pattern: servers that crash by the dozen, each with several requests in
flight. A heartbeat has to fit a datagram, and a few crashes matter: new ones,
which other instances may add to theirs, and those that block a request, which
an instance that started since has not heard of.
"""

import collections

from sycamoreferry_core import clock
from sycamoreferry_core.traffic import block_trials, crashes, server_runs

# A crash is reported for this long, so that lost datagrams do no harm.
_NEW_MS = 3_000
_MOST_NEW = 64
_BLOCKED_INTERVAL_MS = 1_000
_MOST_BLOCKED = 16


_Timed = collections.deque[tuple[clock.Millis, crashes.Signature]]


class CrashSelection:
    """Keep what was found here, and choose what is to be reported next."""

    def __init__(self, history: crashes.CrashHistory) -> None:
        self._history = history
        self._new: collections.deque[tuple[clock.Millis, crashes.Crash]] = (
            collections.deque(maxlen=_MOST_NEW)
        )
        self._survivals: _Timed = collections.deque(maxlen=_MOST_NEW)
        self._trials: _Timed = collections.deque(maxlen=_MOST_NEW)
        self._suspects: collections.deque[
            tuple[clock.Millis, server_runs.Run]
        ] = collections.deque(maxlen=_MOST_NEW)
        self._blocked_at = clock.LONG_AGO
        self._position = 0

    def add(self, crash: crashes.Crash, now: clock.Millis) -> None:
        """Add a crash that this instance has found itself."""
        self._new.append((now, crash))

    def add_suspect(self, run: server_runs.Run, now: clock.Millis) -> None:
        """Add a run whose server this instance cannot reach any more.

        Others count it if the server's end is known, also if this instance
        ends before that.
        """
        self._suspects.append((now, run))

    def add_survival(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> None:
        """Add a request with crashes that a server has answered here."""
        self._survivals.append((now, signature))

    def add_trial(
        self, signature: crashes.Signature, now: clock.Millis
    ) -> None:
        """Add a request that this instance has sent as a trial."""
        self._trials.append((now, signature))

    def changes(self) -> tuple[object, ...]:
        """Return what changes if something new is to be reported."""
        return tuple(
            rows[-1] if rows else None
            for rows in (
                self._new,
                self._suspects,
                self._survivals,
                self._trials,
            )
        )

    def suspects(self, now: clock.Millis) -> list[server_runs.Run]:
        """Return the newest runs at servers that cannot be reached."""
        return [run for at, run in self._suspects if _is_new(at, now)]

    def survivals(
        self, now: clock.Millis
    ) -> dict[crashes.Signature, clock.Millis]:
        """Return when requests were answered here, and those that are blocked.

        An instance that started since has not seen a blocked one answered.
        """
        answered = {
            signature: self._history.answered_at(signature, now)
            for signature in self._history.blocked(now)[:_MOST_BLOCKED]
        }
        known = {
            signature: at
            for signature, at in answered.items()
            if at is not None
        }
        known.update(
            (signature, at)
            for at, signature in self._survivals
            if _is_new(at, now)
        )
        return known

    def trials(
        self, now: clock.Millis
    ) -> dict[crashes.Signature, block_trials.Trials]:
        """Return the last trials of the requests that were tried here."""
        return {
            signature: self._history.trials[signature]
            for at, signature in self._trials
            if _is_new(at, now) and signature in self._history.trials
        }

    def choose(self, now: clock.Millis) -> list[crashes.Crash]:
        """Return the crashes to report now; those of blocks at intervals."""
        chosen = [crash for at, crash in self._new if _is_new(at, now)]
        if now - self._blocked_at >= _BLOCKED_INTERVAL_MS:
            self._blocked_at = now
            chosen.extend(self._choose_blocking(now))
        return list(dict.fromkeys(chosen))

    def _choose_blocking(self, now: clock.Millis) -> list[crashes.Crash]:
        blocked = self._history.blocked(now)
        if not blocked:
            return []
        start = self._position % len(blocked)
        self._position = start + _MOST_BLOCKED
        turned = blocked[start:] + blocked[:start]
        return [
            crash
            for signature in turned[:_MOST_BLOCKED]
            for crash in self._history.blocking_crashes(signature)
        ]


def _is_new(at: clock.Millis, now: clock.Millis) -> bool:
    return now - at < _NEW_MS
