"""Block requests that crash every backend server that runs them.

Load pattern: a caller sends a request that crashes its server, and retries it
at any instance. A run counts as a crash once the incarnation that ran the
request is known to have ended.
"""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers

Signature = typing.NewType('Signature', int)

_CRASHES_TO_BLOCK = 3
_BLOCK_MS = 120_000
# Instances of an earlier version report crashes without their age. One that is
# still known here does not count again.
_KEPT_MS = 5 * _BLOCK_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Report that an incarnation ended while it ran a request."""

    signature: Signature
    incarnation: servers.ServerIncarnation
    at: clock.Millis


class CrashHistory:
    """Count the server incarnations that each request has crashed."""

    def __init__(self) -> None:
        self._crashes: dict[
            Signature,
            dict[servers.ServerIncarnation, clock.Millis],
        ] = collections.defaultdict(dict)
        # The requests with crashes enough to block them, now or earlier.
        self._repeated: dict[Signature, None] = {}

    def record(self, crash: Crash) -> bool:
        """Record a crash; return whether it was unknown here."""
        incarnations = self._crashes[crash.signature]
        is_new = crash.incarnation not in incarnations
        incarnations.setdefault(crash.incarnation, crash.at)
        if len(incarnations) >= _CRASHES_TO_BLOCK:
            self._repeated[crash.signature] = None
        return is_new

    def is_blocked(self, signature: Signature, now: clock.Millis) -> bool:
        """Return whether a request has recently crashed too many servers."""
        incarnations = self._crashes.get(signature)
        if incarnations is None or len(incarnations) < _CRASHES_TO_BLOCK:
            return False
        return now - max(incarnations.values()) < _BLOCK_MS

    def blocked(self, now: clock.Millis) -> list[Signature]:
        """Return the requests that are blocked."""
        return [
            signature
            for signature in self._repeated
            if self.is_blocked(signature, now)
        ]

    def blocking_crashes(self, signature: Signature) -> list[Crash]:
        """Return the newest crashes of a request, as many as block it."""
        newest = sorted(
            self._crashes.get(signature, {}).items(), key=lambda row: -row[1]
        )
        return [
            Crash(signature, incarnation, at)
            for incarnation, at in newest[:_CRASHES_TO_BLOCK]
        ]

    def prune(self, now: clock.Millis) -> None:
        """Drop crashes that are too old to have an effect."""
        for signature, incarnations in list(self._crashes.items()):
            if now - max(incarnations.values()) > _KEPT_MS:
                self._crashes.pop(signature)
                self._repeated.pop(signature, None)
