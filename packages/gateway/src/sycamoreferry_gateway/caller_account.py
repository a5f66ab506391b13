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

# An idle connection takes some 5 KB, with its parser and the kernel's share
# not counted.
_CONNECTION_BYTES = 8_192

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
        self._sent_on_bytes = 0

    def update(self) -> None:
        """Record what the connection holds now."""
        # What moves from one part to the other must not be counted twice.
        if self._pipeline.sent_on_bytes > self._sent_on_bytes:
            self._update_unsent()
            self._update_sent_on()
        else:
            self._update_sent_on()
            self._update_unsent()

    def give_way(self) -> None:
        """Refuse what was not sent on; else close the connection."""
        is_reading = self._reader.reading_since is not None
        may_refuse = is_reading or bool(self._pipeline.waiting_bytes)
        if self._has_refused or self._output.bytes_in_process:
            may_refuse = False
        if may_refuse:
            self._has_refused = True
            self._refuse()
            self.update()
        else:
            self.close()
            self._output.close(discards_unsent=True)

    def close_surplus(self) -> None:
        """Close a connection without a request in flight."""
        if self._reader.reading_since is not None:
            self._output.write_rejection(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.close()
        self._output.close()

    def close(self) -> None:
        """Record that the connection holds nothing more."""
        self._is_closed = True
        self._budget.memory.release(self)
        self._budget.memory.release(self._pipeline)

    def _update_sent_on(self) -> None:
        sent_on = self._pipeline.sent_on_bytes
        if sent_on != self._sent_on_bytes and not self._is_closed:
            self._sent_on_bytes = sent_on
            self._budget.update(self._pipeline, sent_on, _State.FORWARDED)

    def _update_unsent(self) -> None:
        if self._is_closed:
            return
        unread = self._output.bytes_in_process
        waiting = self._pipeline.waiting_bytes
        held = (
            _CONNECTION_BYTES
            + len(self._input)
            + self._reader.held_bytes
            + waiting
            + unread
        )
        self._budget.update(self, held, self._state(unread, waiting))

    def _state(self, unread: int, waiting: int) -> caller_memory.HolderState:
        if unread:
            return _State.UNREAD
        if waiting:
            return _State.WAITING
        if self._reader.reading_since is not None or len(self._input):
            return _State.INCOMPLETE
        return _State.FORWARDED if self._pipeline else _State.IDLE
