"""Admit a request, or refuse it before it is sent anywhere."""

from sycamoreferry_core import outcomes, result_codes
from sycamoreferry_router import messages, view

RETRY_AFTER_MS = 1000


def admit(
    identified: messages.Identified,
    seen: view.InstanceView,
    *,
    leaving: bool,
) -> messages.Identified | outcomes.NotRun:
    """Refuse requests while the instance starts or leaves."""
    if leaving:
        return outcomes.NotRun(result_codes.ResultCode.LEAVING, RETRY_AFTER_MS)
    if not seen.ready:
        return outcomes.NotRun(
            result_codes.ResultCode.STARTING,
            RETRY_AFTER_MS,
        )
    return identified
