"""Account for the memory of one connection of a caller."""

import http
import typing

from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_gateway import (
    caller_budget,
    caller_input,
    caller_output,
    request_pipeline,
    request_reader,
)

# Ordinary requests of a connection take less than this. The connection itself
# does too: 400 that had sent a head took 1 to 3 MB.
_ORDINARY_BYTES = 8_192
# What a connection counts with at least.
_CONNECTION_BYTES = 16_384

_State = caller_memory.HolderState


class CallerAccount:
    """Record what a connection holds, and free it if it must give way.

    What was sent on is recorded apart under the connection's pipeline, as it
    can't be refused while that which waits behind it can.
    """

    def __init__(
        self,
        budget: caller_budget.CallerBudget,
        received: caller_input.CallerInput,
        reader: request_reader.RequestReader,
        pipeline: request_pipeline.RequestPipeline,
        output: caller_output.CallerOutput,
        refuse: typing.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._input = received
        self._reader = reader
        self._pipeline = pipeline
        self._output = output
        self._refuse = refuse
        self._is_closed = False
        self._has_refused = False
        self._is_ordinary = False
        self._sent_on_bytes = 0

    @property
    def has_requests(self) -> bool:
        """Tell whether a request was read and is not answered yet."""
        return bool(self._pipeline)

    def update(self) -> None:
        """Record what the connection holds now, unless it is an ordinary one.

        Those count with a fixed amount, as recording each step of an ordinary
        request took a tenth of its processor time.
        """
        if self._is_closed:
            return
        sent_on, waiting = self._pipeline.parted_bytes
        unread = self._output.bytes_in_process
        unsent = len(self._input) + self._reader.held_bytes + waiting + unread
        if unsent + sent_on > _ORDINARY_BYTES:
            self._is_ordinary = False
            self._record(_CONNECTION_BYTES + unsent, sent_on)
        elif not self._is_ordinary:
            self.refresh()

    def record_forward(self) -> None:
        """Record that a request is sent on; ordinary ones are counted alike."""
        if not self._is_ordinary:
            self.update()

    def refresh(self) -> None:
        """Record what the connection holds, and its state."""
        if self._is_closed:
            return
        sent_on, waiting = self._pipeline.parted_bytes
        unread = self._output.bytes_in_process
        unsent = len(self._input) + self._reader.held_bytes + waiting + unread
        self._is_ordinary = unsent + sent_on <= _ORDINARY_BYTES
        if self._is_ordinary:
            self._record(_CONNECTION_BYTES, 0)
        else:
            self._record(_CONNECTION_BYTES + unsent, sent_on)

    def give_way(self) -> None:
        """Refuse what was not sent on; else close the connection."""
        is_reading = self._reader.reading_since is not None
        may_refuse = (
            is_reading
            or bool(len(self._input))
            or bool(self._pipeline.parted_bytes[1])
        )
        if self._has_refused or self._output.bytes_in_process:
            may_refuse = False
        if may_refuse:
            self._has_refused = True
            self._refuse()
            self.refresh()
        elif self._pipeline and not self._output.bytes_in_process:
            # A request was sent on since the state was recorded.
            self.refresh()
        else:
            self.close()
            self._output.close(discards_unsent=True)

    def close_surplus(self) -> None:
        """Close a connection without a request in flight."""
        if self._reader.reading_since is not None and not self._pipeline:
            self._output.write_rejection(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.close()
        self._output.close()

    def close(self) -> None:
        """Record that the connection holds nothing more."""
        self._is_closed = True
        self._budget.memory.release(self)
        self._budget.memory.release(self._pipeline)

    def _record(self, unsent: int, sent_on: int) -> None:
        # What moves from one part to the other must not be counted twice.
        if sent_on > self._sent_on_bytes:
            has_changed = self._record_unsent(unsent) or self._record_sent_on(
                sent_on
            )
        else:
            has_changed = self._record_sent_on(sent_on) or self._record_unsent(
                unsent
            )
        if has_changed:
            # This connection may be among those that gave way.
            self.update()

    def _record_unsent(self, size: int) -> bool:
        return self._budget.update(self, size, self._state())

    def _record_sent_on(self, size: int) -> bool:
        if size == self._sent_on_bytes:
            return False
        self._sent_on_bytes = size
        return self._budget.update(self._pipeline, size, _State.FORWARDED)

    def _state(self) -> caller_memory.HolderState:
        if self._output.bytes_in_process:
            return _State.UNREAD
        if self._has_refused and self._pipeline:
            # Only what was sent on is still held.
            return _State.FORWARDED
        if self._pipeline.parted_bytes[1]:
            return _State.WAITING
        if self._reader.reading_since is not None or len(self._input):
            return _State.INCOMPLETE
        return _State.FORWARDED if self._pipeline else _State.IDLE
