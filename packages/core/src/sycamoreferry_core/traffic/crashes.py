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
    incarnation: servers.ServerIncarnation


_Suspect = tuple[Signature, clock.Millis]


class CrashHistory:
    """Count the server incarnations that each request has crashed."""

    def __init__(self) -> None:
        self._suspects: dict[servers.ServerIncarnation, list[_Suspect]] = (
            collections.defaultdict(list)
        )
        self._crashes: dict[
            Signature,
            dict[servers.ServerIncarnation, clock.Millis],
        ] = collections.defaultdict(dict)

    def record_broken_connection(
        self,
        signature: Signature,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
    ) -> None:
        """Record a request whose connection broke without a response."""
        self._suspects[incarnation].append((signature, now))

    def confirm_crashes(
        self,
        incarnation: servers.ServerIncarnation,
        now: clock.Millis,
    ) -> list[Crash]:
        """Record and return the crashes that the end of a server confirms."""
        confirmed = []
        for signature, at in self._suspects.pop(incarnation, ()):
            if now - at <= _CONFIRM_MS:
                confirmed.append(Crash(signature, incarnation))
        for crash in confirmed:
            self.record(crash, now)
        return confirmed

    def record(self, crash: Crash, now: clock.Millis) -> bool:
        """Record a crash; return whether it was unknown here."""
        incarnations = self._crashes[crash.signature]
        is_new = crash.incarnation not in incarnations
        incarnations.setdefault(crash.incarnation, now)
        return is_new

    def is_blocked(self, signature: Signature, now: clock.Millis) -> bool:
        """Return whether a request has recently crashed too many servers."""
        incarnations = self._crashes.get(signature)
        if incarnations is None or len(incarnations) < _CRASHES_TO_BLOCK:
            return False
        return now - max(incarnations.values()) < _BLOCK_MS

    def blocked_count(self, now: clock.Millis) -> int:
        """Return the number of requests that are blocked."""
        return sum(
            self.is_blocked(signature, now) for signature in self._crashes
        )

    def known_crashes(self) -> list[Crash]:
        """Return the known crashes, to be reported to other instances."""
        return [
            Crash(signature, incarnation)
            for signature, incarnations in self._crashes.items()
            for incarnation in incarnations
        ]

    def prune(self, now: clock.Millis) -> None:
        """Drop suspects and crashes that are too old to have an effect."""
        for incarnation, rows in list(self._suspects.items()):
            if all(now - at > _CONFIRM_MS for _, at in rows):
                self._suspects.pop(incarnation)
        for signature, incarnations in list(self._crashes.items()):
            if now - max(incarnations.values()) > _BLOCK_MS:
                self._crashes.pop(signature)
