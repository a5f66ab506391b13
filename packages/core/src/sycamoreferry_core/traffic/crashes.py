"""Block requests that crash every backend server that runs them.

Load pattern: a caller sends a request that crashes its server, and retries it
at any instance. A run counts as a crash once the incarnation that ran the
request is known to have ended, unless a server has answered the same request
since the run began.
"""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import block_trials

Signature = typing.NewType('Signature', int)

_CRASHES_TO_BLOCK = 3
# The same while most other instances can't report theirs.
_OWN_CRASHES_TO_BLOCK = 2
_BLOCK_MS = 120_000
# Instances of an earlier version report crashes without their age. One that is
# still known here does not count again.
_KEPT_MS = 5 * _BLOCK_MS
# A request that was answered this recently is probably not the cause.
_PROVEN_MS = 60_000
_MAX_ANSWERED = 2_048


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Report that an incarnation ended while or after it ran a request."""

    signature: Signature
    incarnation: servers.ServerIncarnation
    # When the run began.
    at: clock.Millis


_Key = typing.TypeVar('_Key')
_Crashes = dict[servers.ServerIncarnation, clock.Millis]


class CrashHistory:
    """Count the server incarnations that each request has crashed."""

    def __init__(self) -> None:
        self._crashes: dict[Signature, _Crashes] = collections.defaultdict(dict)
        # Whether most other instances report their crashes here.
        self.hears_most = True
        # The requests with crashes enough to block them, now or earlier.
        self._repeated: dict[Signature, None] = {}
        # When requests were answered, the latest last.
        self._answered_at: dict[Signature, clock.Millis] = {}
        # The same for requests with crashes, which must not be forgotten.
        self._survived_at: dict[Signature, clock.Millis] = {}
        # When incarnations that had counted as ended were seen again.
        self._seen_at: dict[servers.ServerIncarnation, clock.Millis] = {}
        self.trials: dict[Signature, block_trials.Trials] = {}

    @property
    def has_repeated(self) -> bool:
        """Tell whether a request seems to have crashed several servers."""
        return bool(self._repeated)

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it was unknown here."""
        incarnations = self._crashes[crash.signature]
        is_new = crash.incarnation not in incarnations
        incarnations.setdefault(crash.incarnation, crash.at)
        if len(incarnations) >= _OWN_CRASHES_TO_BLOCK:
            self._repeated[crash.signature] = None
        return is_new

    def record_answer(self, signature: Signature, now: clock.Millis) -> bool:
        """Record that a server answered; return whether crashes are void."""
        self._note_answer(signature, now)
        return signature in self._crashes and self.record_survival(
            signature, now
        )

    def record_survival(self, signature: Signature, at: clock.Millis) -> bool:
        """Void the crashes by runs before a time; return whether any were."""
        before = self._survived_at.get(signature, clock.LONG_AGO)
        if at <= before:
            return False
        self._note_answer(signature, at)
        self._survived_at[signature] = at
        trials = self.trials.get(signature)
        if trials is not None and trials.last_at <= at:
            self.trials.pop(signature)
        return any(
            before < crashed_at <= at
            for crashed_at in self._crashes.get(signature, {}).values()
        )

    def answered_at(
        self, signature: Signature, now: clock.Millis
    ) -> clock.Millis | None:
        """Return when a request was answered last, if that was lately."""
        answered_at = self._answered_at.get(signature)
        if answered_at is None or now - answered_at >= _PROVEN_MS:
            return None
        return answered_at

    def record_seen(
        self, incarnation: servers.ServerIncarnation, now: clock.Millis
    ) -> None:
        """Void the crashes of an incarnation that has not ended after all."""
        self._seen_at[incarnation] = now

    def is_blocked(self, signature: Signature, now: clock.Millis) -> bool:
        """Return whether a request has recently crashed too many servers."""
        if signature not in self._repeated:
            return False
        counted = self._counted(signature)
        needed = _CRASHES_TO_BLOCK if self.hears_most else _OWN_CRASHES_TO_BLOCK
        return len(counted) >= needed and now - counted[-1].at < _BLOCK_MS

    def trial_due_at(
        self, signature: Signature, now: clock.Millis
    ) -> clock.Millis:
        """Return when a blocked request may be sent again, as a trial."""
        trials = self.trials.get(signature)
        counted = self._counted(signature)
        last_at = counted[-1].at
        crashes = 0
        if trials is not None:
            last_at = trials.last_at
            crashes = sum(
                crash.at >= trials.first_at
                and not self._is_explained(crash, now)
                for crash in counted
            )
        delay = block_trials.delay_ms(
            trials,
            crashes,
            is_proven=self.answered_at(signature, now) is not None,
        )
        return clock.later(last_at, delay)

    def record_trial(
        self, signature: Signature, trials: block_trials.Trials
    ) -> None:
        """Record the last trial of a request unless a later one is known."""
        known = self.trials.get(signature)
        survived_at = self._survived_at.get(signature, clock.LONG_AGO)
        is_later = known is None or trials.last_at > known.last_at
        if is_later and trials.last_at > survived_at:
            self.trials[signature] = trials

    def blocked(self, now: clock.Millis) -> list[Signature]:
        """Return the requests that are blocked."""
        return [
            signature
            for signature in self._repeated
            if self.is_blocked(signature, now)
        ]

    def blocking_crashes(self, signature: Signature) -> list[Crash]:
        """Return the newest crashes of a request, as many as block it."""
        return self._counted(signature)[-_CRASHES_TO_BLOCK:]

    def prune(self, now: clock.Millis) -> None:
        """Drop what is too old to have an effect."""
        for signature, incarnations in list(self._crashes.items()):
            if now - max(incarnations.values()) > _KEPT_MS:
                self._crashes.pop(signature)
                self._repeated.pop(signature, None)
                self.trials.pop(signature, None)
        self._survived_at = _drop_old(self._survived_at, now)
        self._seen_at = _drop_old(self._seen_at, now)

    def _is_explained(self, crash: Crash, now: clock.Millis) -> bool:
        """Return whether a request that was not answered ran there as well.

        Only a request that servers answered is excused by another one, so that
        two that crash servers do not excuse each other.
        """
        if self.answered_at(crash.signature, now) is None:
            return False
        return any(
            crash.incarnation in self._crashes[other]
            and self.answered_at(other, now) is None
            for other in self.blocked(now)
        )

    def _note_answer(self, signature: Signature, at: clock.Millis) -> None:
        latest = max(at, self._answered_at.pop(signature, clock.LONG_AGO))
        self._answered_at[signature] = latest
        if len(self._answered_at) > _MAX_ANSWERED:
            self._answered_at.pop(next(iter(self._answered_at)))

    def _counted(self, signature: Signature) -> list[Crash]:
        """Return the crashes that count against a request, the last last."""
        survived_at = self._survived_at.get(signature, clock.LONG_AGO)
        counted = [
            Crash(signature, incarnation, at)
            for incarnation, at in self._crashes.get(signature, {}).items()
            if at > survived_at
            and at > self._seen_at.get(incarnation, clock.LONG_AGO)
        ]
        return sorted(counted, key=lambda crash: crash.at)


def _drop_old(
    times: dict[_Key, clock.Millis], now: clock.Millis
) -> dict[_Key, clock.Millis]:
    return {key: at for key, at in times.items() if now - at <= _KEPT_MS}
