"""Admit a request, or reject it before it is forwarded."""

import random
import typing

from sycamoreferry_core import outcomes, result_codes
from sycamoreferry_router import messages, view

RETRY_AFTER_MS = 1000
# Random jitter keeps callers rejected together from retrying together.
RETRY_JITTER_MS = 2000


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
        """Record the outcome of a request that this gate admitted."""


def leaving() -> outcomes.NotRun:
    """Return the failure of a request that the shutdown leaves no time for."""
    return outcomes.NotRun(result_codes.ResultCode.LEAVING, RETRY_AFTER_MS)


def overloaded(rng: random.Random) -> outcomes.NotRun:
    """Return the failure of a request that there is no memory for."""
    return outcomes.NotRun(
        result_codes.ResultCode.OVERLOADED,
        RETRY_AFTER_MS + rng.randrange(RETRY_JITTER_MS),
    )


class ReadinessGate:
    """Reject requests while the instance is starting or draining."""

    def __init__(self, instance_view: view.InstanceView) -> None:
        self._view = instance_view
        self.draining = False

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        """Return the request, or NotRun with the reason for rejecting it."""
        if self.draining:
            return leaving()
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
        """Do nothing; readiness does not depend on outcomes."""
