"""Return permits to the instances that issued them, until confirmed."""

import asyncio
import dataclasses

from sycamoreferry_core import clock, ids
from sycamoreferry_core.traffic import permits
from sycamoreferry_gateway import peer_messages, permit_service

# A round trip between data centres, with a margin.
_REPEAT_INTERVAL_MS = 120
# After this many sends the permit is left to expire where it was issued.
_MAX_SENDS = 8


@dataclasses.dataclass(slots=True)
class _PendingReturn:
    home: ids.InstanceId
    message: peer_messages.PermitReturn
    sent: int = 0


class PermitReturns:
    """Send returns of permits, and repeat those that are not confirmed."""

    def __init__(self) -> None:
        self._unconfirmed: dict[permits.PermitNumber, _PendingReturn] = {}
        # Set while returns may be unconfirmed.
        self._has_unconfirmed = asyncio.Event()
        self.post: permit_service.Post = _discard

    @property
    def unconfirmed_count(self) -> int:
        """Return how many returns are still unconfirmed."""
        return len(self._unconfirmed)

    def start(
        self,
        home: ids.InstanceId,
        message: peer_messages.PermitReturn,
    ) -> None:
        """Send the return of a permit, and repeat it until confirmed."""
        number = permits.PermitNumber(message.number)
        self._unconfirmed[number] = _PendingReturn(home, message)
        self._has_unconfirmed.set()
        self._send(self._unconfirmed[number])

    def confirm(self, returned: peer_messages.PermitReturned) -> None:
        """Stop repeating a return that arrived."""
        self._unconfirmed.pop(permits.PermitNumber(returned.number), None)

    async def repeat_forever(self) -> None:
        """Repeat unconfirmed returns; give up after a number of sends."""
        while True:
            if not self._unconfirmed:
                self._has_unconfirmed.clear()
            await self._has_unconfirmed.wait()
            await asyncio.sleep(clock.seconds(_REPEAT_INTERVAL_MS))
            for number, pending in list(self._unconfirmed.items()):
                if pending.sent < _MAX_SENDS:
                    self._send(pending)
                else:
                    self._unconfirmed.pop(number, None)

    def _send(self, pending: _PendingReturn) -> None:
        pending.sent += 1
        self.post(pending.home, pending.message)


def _discard(
    _instance: ids.InstanceId,
    _message: peer_messages.PeerMessage,
) -> None:
    """Discard messages until the peer link is set."""
