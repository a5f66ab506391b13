"""Reject requests that exceed the configured size limits."""

from sycamoreferry_core import outcomes, result_codes
from sycamoreferry_router import messages, settings


def accept(
    incoming: messages.Incoming,
    bounds: settings.RequestBounds,
) -> messages.Incoming | outcomes.NotRun:
    """Return the request, or NotRun if its body or headers are too large."""
    if len(incoming.body) > bounds.body_bytes:
        return outcomes.NotRun(result_codes.ResultCode.BODY_TOO_LARGE)
    header_bytes = sum(
        len(name) + len(text) for name, text in incoming.headers.items()
    )
    if header_bytes > bounds.header_bytes:
        return outcomes.NotRun(result_codes.ResultCode.HEADERS_TOO_LARGE)
    return incoming
