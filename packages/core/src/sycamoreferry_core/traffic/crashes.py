"""Stop a request that crashes each backend server that runs it.

Load pattern: a caller sends a request that ends its server, and sends it again
at any instance. A broken connection alone proves nothing; it counts once the
incarnation that ran the request is seen to be over.
"""

import collections
import dataclasses
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers

Signature = typing.NewType('Signature', int)

_CRASHES_TO_BLOCK = 3
# An end of the server within this time of the broken connection confirms it.
_CONFIRM_MS = 6_000
_BLOCK_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """Tell that an incarnation ended while it ran a request."""

    signature: Signature
    life: servers.ServerLife


_Suspect = tuple[Signature, clock.Millis]


class CrashHistory:
    """Count the servers that each request has crashed."""

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
        """Remember a request whose connection broke without an answer."""
        self._suspects[life].append((signature, now))

    def server_ended(
        self,
        life: servers.ServerLife,
        now: clock.Millis,
    ) -> list[Crash]:
        """Return the crashes that the end of an incarnation confirms."""
        confirmed = []
        for signature, at in self._suspects.pop(life, ()):
            if now - at <= _CONFIRM_MS:
                confirmed.append(Crash(signature, life))
        for crash in confirmed:
            self.record(crash, now)
        return confirmed

    def record(self, crash: Crash, now: clock.Millis) -> bool:
        """Count a crash; tell whether it is new here."""
        lives = self._crashes[crash.signature]
        is_new = crash.life not in lives
        lives.setdefault(crash.life, now)
        return is_new

    def is_blocked(self, signature: Signature, now: clock.Millis) -> bool:
        """Tell whether a request has crashed too many servers."""
        lives = self._crashes.get(signature)
        if lives is None or len(lives) < _CRASHES_TO_BLOCK:
            return False
        return now - max(lives.values()) < _BLOCK_MS

    def recent(self) -> list[Crash]:
        """Return what is known of crashes, for other instances."""
        return [
            Crash(signature, life)
            for signature, lives in self._crashes.items()
            for life in lives
        ]

    def prune(self, now: clock.Millis) -> None:
        """Forget what no longer matters."""
        for life, rows in list(self._suspects.items()):
            if all(now - at > _CONFIRM_MS for _, at in rows):
                self._suspects.pop(life)
        for signature, lives in list(self._crashes.items()):
            if now - max(lives.values()) > _BLOCK_MS:
                self._crashes.pop(signature)
