"""Remember which keys are about to change owner."""

import dataclasses

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import owners

# A move whose end was not heard of is taken as over after this.
_LONGEST_MOVE_MS = 3_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Moving:
    service: ids.ServiceName
    keys: owners.KeyRange
    until: clock.Millis


class MovingKeys:
    """Hold ranges from the start of their move to its end."""

    def __init__(self) -> None:
        self._rows: list[_Moving] = []

    def mark(
        self,
        service: ids.ServiceName,
        keys: owners.KeyRange,
        now: clock.Millis,
        *,
        is_over: bool,
    ) -> None:
        """Note the start or the end of a move."""
        self._rows = [
            row
            for row in self._rows
            if row.until > now
            and not (row.service == service and row.keys == keys)
        ]
        if not is_over:
            until = clock.later(now, _LONGEST_MOVE_MS)
            self._rows.append(_Moving(service, keys, until))

    def clear(self) -> None:
        """Forget all moves."""
        self._rows.clear()

    def has(
        self,
        service: ids.ServiceName,
        key: owners.Key,
        now: clock.Millis,
    ) -> bool:
        """Tell whether a key is about to change owner."""
        return any(
            row.service == service
            and row.keys.first <= key <= row.keys.last
            and row.until > now
            for row in self._rows
        )
