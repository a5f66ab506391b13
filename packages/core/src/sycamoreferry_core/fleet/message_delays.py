"""Estimate how long messages of other instances took to be read.

Load pattern: an instance that was frozen reads messages that waited for
seconds. The ages in them count from the moment when they were sent. Clocks of
instances have no common start, so delays are measured against the fastest
message of the same sender.
"""

import dataclasses

from sycamoreferry_core import clock, ids

# Clocks drift, so that the fastest message is looked for anew.
_WINDOW_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Sender:
    incarnation: int
    window_began_at: clock.Millis
    # The least differences of the clocks in this window and the one before.
    least: int
    least_before: int

    def add(self, difference: int, now: clock.Millis) -> int:
        """Add a difference of the clocks; return the least one."""
        if now - self.window_began_at > _WINDOW_MS:
            self.window_began_at = now
            self.least_before = self.least
            self.least = difference
        self.least = min(self.least, difference)
        return min(self.least, self.least_before)


class MessageDelays:
    """Track the clocks of the senders of messages."""

    def __init__(self) -> None:
        self._senders: dict[ids.InstanceId, _Sender] = {}

    def delay_ms(
        self,
        sender: ids.InstanceId,
        incarnation: int,
        sent_at: int,
        now: clock.Millis,
    ) -> int:
        """Return how much longer a message took than the fastest one.

        It is 0 if the sender does not tell its time.
        """
        if not sent_at:
            return 0
        difference = now - sent_at
        known = self._senders.get(sender)
        if known is None or known.incarnation != incarnation:
            known = _Sender(incarnation, now, difference, difference)
            self._senders[sender] = known
        return difference - known.add(difference, now)
