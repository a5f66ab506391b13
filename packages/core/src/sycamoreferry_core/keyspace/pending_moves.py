"""Track which keys are about to change owner."""

import dataclasses

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import owners

# A move whose end was not reported is considered complete after this time.
_MOVE_TIMEOUT_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    service: ids.ServiceName
    keys: owners.KeyRange
    until: clock.Millis


class PendingMoves:
    """Track ranges of keys from the start of their move to its end."""

    def __init__(self) -> None:
        self._rows: list[_Move] = []

    def record(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
        now: clock.Millis,
        *,
        is_complete: bool,
    ) -> None:
        """Record the start or the end of a move."""
        self._rows = [
            row
            for row in self._rows
            if row.until > now
            and not (row.service == service and row.keys == keys)
        ]
        if not is_complete:
            until = clock.later(now, _MOVE_TIMEOUT_MS)
            self._rows.append(_Move(service, keys, until))

    def clear(self) -> None:
        """Forget all moves."""
        self._rows.clear()

    def is_moving(
        self,
        service: ids.ServiceName,
        key: owners.Key,
        now: clock.Millis,
    ) -> bool:
        """Return whether a key is about to change owner."""
        return any(
            row.service == service
            and row.keys.first <= key <= row.keys.last
            and row.until > now
            for row in self._rows
        )
