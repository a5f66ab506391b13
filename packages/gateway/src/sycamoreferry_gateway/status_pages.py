"""Serve the readiness and metrics pages of an instance."""

import http
import typing

from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import caller_messages

_METRICS_PATH = '/metrics'
# Load balancers and scrapers send a short head and no body.
_REQUEST_BYTES = 8_192
_READ_TIMEOUT_MS = 5_000
_IDLE_TIMEOUT_MS = 15_000
LIMITS = routes.CallerLimits(
    header_bytes=_REQUEST_BYTES,
    body_bytes=_REQUEST_BYTES,
    header_timeout_ms=_READ_TIMEOUT_MS,
    idle_timeout_ms=_IDLE_TIMEOUT_MS,
)


class StatusPages:
    """Answer load balancers and operators."""

    def __init__(
        self,
        is_ready: typing.Callable[[], bool],
        render_metrics: typing.Callable[[], bytes],
    ) -> None:
        self._is_ready = is_ready
        self._render_metrics = render_metrics

    async def serve(
        self, request: caller_messages.CallerRequest
    ) -> caller_messages.CallerAnswer:
        """Return the metrics on their path, the readiness on any other."""
        if request.path == _METRICS_PATH:
            return metrics(self._render_metrics())
        return readiness(is_ready=self._is_ready())


def metrics(exposition: bytes) -> caller_messages.CallerAnswer:
    """Return the metrics page of a rendered text exposition."""
    headers = (('Content-Type', 'text/plain; version=0.0.4'),)
    return caller_messages.CallerAnswer(
        int(http.HTTPStatus.OK),
        headers,
        exposition,
    )


def readiness(*, is_ready: bool) -> caller_messages.CallerAnswer:
    """Return 200 if the instance accepts requests, otherwise 503."""
    status = http.HTTPStatus.OK if is_ready else _NOT_READY
    return caller_messages.CallerAnswer(int(status), (), b'')


_NOT_READY = http.HTTPStatus.SERVICE_UNAVAILABLE
