"""Bound the bytes that a connection pool keeps of unfinished answers."""

import typing

from sycamoreferry_core.fleet import deployment

# The pools for servers, the store and other instances take half of the 300 MB
# of an instance at most; with less memory they take less in proportion.
MAX_UNFINISHED_BYTES = 50_331_648


class AnswerReader(typing.Protocol):
    """Read an answer that can be rejected before it is complete."""

    def reject_answer(self) -> None:
        """Discard the answer and close its connection."""


class BodyBudget:
    """Reject the longest unfinished answers above the limit of a pool."""

    def __init__(self, memory_mb: int = deployment.DEFAULT_MEMORY_MB) -> None:
        share = min(1, memory_mb / deployment.DEFAULT_MEMORY_MB)
        self._limit = int(MAX_UNFINISHED_BYTES * share)
        self._kept: dict[AnswerReader, int] = {}
        # With the answers that are complete and not passed on yet.
        self._total = 0

    def record(self, reader: AnswerReader, size: int) -> None:
        """Record how many bytes a reader keeps; zero if it has none."""
        self._total += size - self._kept.pop(reader, 0)
        if size:
            self._kept[reader] = size
        while self._kept and self._total > self._limit:
            longest = max(self._kept, key=self._kept.__getitem__)
            self._total -= self._kept.pop(longest)
            longest.reject_answer()

    def hold(self, size: int) -> None:
        """Count a complete answer until `free` is called."""
        self._total += size

    def free(self, size: int) -> None:
        """Count a complete answer no more."""
        self._total -= size
