"""Admit a request, or refuse it before it is sent anywhere."""

import typing

from sycamoreferry_core import outcomes, result_codes
from sycamoreferry_router import messages, view

RETRY_AFTER_MS = 1000


class Gate(typing.Protocol):
    """Decide whether a request may run, and learn how it ended."""

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        """Return the request, or the outcome that it already has."""

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        """Learn how a request that was let in ended."""


class ReadinessGate:
    """Refuse requests while the instance starts or leaves."""

    def __init__(self, seen: view.InstanceView) -> None:
        self._view = seen
        self.leaving = False

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        """Return the request, or why it is refused."""
        if self.leaving:
            return outcomes.NotRun(
                result_codes.ResultCode.LEAVING,
                RETRY_AFTER_MS,
            )
        if not self._view.ready:
            return outcomes.NotRun(
                result_codes.ResultCode.STARTING,
                RETRY_AFTER_MS,
            )
        return identified

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        """Learn nothing."""
