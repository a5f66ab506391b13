"""Announce the beginning and the end of moves of keys to other instances.

Load pattern: a plan moves dozens of ranges of keys at once, and each message
goes to every instance. One message for each range kept a coordinator of 195
instances from being heard, so the moves of a plan share their messages.
"""

import asyncio

from sycamoreferry_core import clock, ids
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import assignment_writer, peer_messages, view

# The grants of one plan are answered within about this time. The end of a move
# is announced no later, as its keys wait until then.
_END_DELAY_MS = 10
# Keeps a message well below the size of a datagram.
_MAX_ROWS = 200

_Row = tuple[ids.ServiceName, owners.KeyRange]


class MoveAnnouncer:
    """Collect moves that begin or end together, and announce them at once."""

    def __init__(
        self,
        cluster_view: view.View,
        announce: assignment_writer.Announce,
    ) -> None:
        self._view = cluster_view
        self._announce = announce
        self._begun: list[_Row] = []
        self._ended: list[_Row] = []
        # The first ranges of messages, which earlier versions read alone.
        self._first: set[_Row] = set()

    def begin(self, service: ids.ServiceName, keys: owners.KeyRange) -> None:
        """Announce that keys change owner, with all that begin by now."""
        self._view.mark_moving(service, keys, is_over=False)
        if not self._begun:
            asyncio.get_running_loop().call_soon(self._send_begun)
        self._begun.append((service, keys))

    def end(self, service: ids.ServiceName, keys: owners.KeyRange) -> None:
        """Announce that a move is over, with those that end soon after."""
        self._view.mark_moving(service, keys, is_over=True)
        if not self._ended:
            asyncio.get_running_loop().call_later(
                clock.seconds(_END_DELAY_MS), self._send_ended
            )
        self._ended.append((service, keys))

    def _send_begun(self) -> None:
        rows = self._begun
        self._begun = []
        self._send(rows, is_over=False)

    def _send_ended(self) -> None:
        rows = self._ended
        self._ended = []
        for row in self._first.intersection(rows):
            self._first.discard(row)
            rows.remove(row)
            self._send([row], is_over=True)
        self._send(rows, is_over=True)

    def _send(self, rows: list[_Row], *, is_over: bool) -> None:
        for start in range(0, len(rows), _MAX_ROWS):
            (service, keys), *others = rows[start : start + _MAX_ROWS]
            if not is_over:
                self._first.add((service, keys))
            self._announce(
                peer_messages.KeysMoving(
                    service,
                    keys.first,
                    keys.last,
                    is_over,
                    [(other, more.first, more.last) for other, more in others],
                ),
            )
