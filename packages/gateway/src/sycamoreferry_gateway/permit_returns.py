"""Give room back to the instances that count it, until they confirm."""

import asyncio
import dataclasses

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import permits
from sycamoreferry_gateway import peer_messages, permit_counter

# Twice the way between data centres, with a margin.
_REPEAT_MS = 120
# A return that was lost so often is left to the permit's own end.
_MOST_SENT = 8


@dataclasses.dataclass(slots=True)
class _Return:
    home: ids.InstanceId
    message: peer_messages.PermitReturn
    sent: int = 0


class PermitReturns:
    """Send returns, and send again those that were not confirmed."""

    def __init__(self) -> None:
        self._open: dict[permits.PermitNumber, _Return] = {}
        self.post: permit_counter.Post = _post_nowhere

    @property
    def open_count(self) -> int:
        """Return how many returns are not confirmed."""
        return len(self._open)

    def start(
        self,
        home: ids.InstanceId,
        message: peer_messages.PermitReturn,
    ) -> None:
        """Give room back."""
        number = permits.PermitNumber(message.number)
        self._open[number] = _Return(home, message)
        self._send(self._open[number])

    def take_returned(self, returned: peer_messages.PermitReturned) -> None:
        """Note that a return arrived."""
        self._open.pop(permits.PermitNumber(returned.number), None)

    async def repeat_forever(self) -> None:
        """Send returns again that were not confirmed."""
        while True:
            await asyncio.sleep(clock.seconds(_REPEAT_MS))
            for number, returned in list(self._open.items()):
                if returned.sent < _MOST_SENT:
                    self._send(returned)
                else:
                    self._open.pop(number, None)

    def _send(self, returned: _Return) -> None:
        returned.sent += 1
        self.post(returned.home, returned.message)


def _post_nowhere(
    _instance: ids.InstanceId,
    _message: peer_messages.PeerMessage,
) -> None:
    """Send nothing until the link to other instances is there."""
