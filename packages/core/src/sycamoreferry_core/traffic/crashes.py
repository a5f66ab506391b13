"""Block requests that crash every backend server that runs them.

Load pattern: a caller sends a request that crashes its server, and retries it
at any instance. A broken connection alone is no proof of a crash; it counts
once the incarnation that ran the request is known to have ended.
"""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers

Signature = typing.NewType('Signature', int)

_CRASHES_TO_BLOCK = 3
# The end of an incarnation within this time of a broken connection confirms
# the crash.
_CONFIRM_MS = 6_000
_BLOCK_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Report that an incarnation ended while it ran a request."""

    signature: Signature
    life: servers.ServerLife


_Suspect = tuple[Signature, clock.Millis]


class CrashHistory:
    """Count the server incarnations that each request has crashed."""

    def __init__(self) -> None:
        self._suspects: dict[servers.ServerLife, list[_Suspect]] = (
            collections.defaultdict(list)
        )
        self._crashes: dict[
            Signature,
            dict[servers.ServerLife, clock.Millis],
        ] = collections.defaultdict(dict)

    def suspect(
        self,
        signature: Signature,
        life: servers.ServerLife,
        now: clock.Millis,
    ) -> None:
        """Record a request whose connection broke without a response."""
        self._suspects[life].append((signature, now))

    def server_ended(
        self,
        life: servers.ServerLife,
        now: clock.Millis,
    ) -> list[Crash]:
        """Record and return the crashes that the end of a server confirms."""
        confirmed = []
        for signature, at in self._suspects.pop(life, ()):
            if now - at <= _CONFIRM_MS:
                confirmed.append(Crash(signature, life))
        for crash in confirmed:
            self.record(crash, now)
        return confirmed

    def record(self, crash: Crash, now: clock.Millis) -> bool:
        """Record a crash; return whether it was unknown here."""
        lives = self._crashes[crash.signature]
        is_new = crash.life not in lives
        lives.setdefault(crash.life, now)
        return is_new

    def is_blocked(self, signature: Signature, now: clock.Millis) -> bool:
        """Return whether a request has recently crashed too many servers."""
        lives = self._crashes.get(signature)
        if lives is None or len(lives) < _CRASHES_TO_BLOCK:
            return False
        return now - max(lives.values()) < _BLOCK_MS

    def recent(self) -> list[Crash]:
        """Return the known crashes, to be reported to other instances."""
        return [
            Crash(signature, life)
            for signature, lives in self._crashes.items()
            for life in lives
        ]

    def prune(self, now: clock.Millis) -> None:
        """Drop suspects and crashes that are too old to have an effect."""
        for life, rows in list(self._suspects.items()):
            if all(now - at > _CONFIRM_MS for _, at in rows):
                self._suspects.pop(life)
        for signature, lives in list(self._crashes.items()):
            if now - max(lives.values()) > _BLOCK_MS:
                self._crashes.pop(signature)
