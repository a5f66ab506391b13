"""Answer questions about an instance's state."""

import http

from sycamoreferry_gateway import http_server

METRICS_PATH = '/metrics'


def metrics(exposition: bytes) -> http_server.CallerAnswer:
    """Return the metrics in the text format."""
    headers = (('Content-Type', 'text/plain; version=0.0.4'),)
    return http_server.CallerAnswer(
        int(http.HTTPStatus.OK),
        headers,
        exposition,
    )


def readiness(*, is_ready: bool) -> http_server.CallerAnswer:
    """Return whether new connections are welcome."""
    status = http.HTTPStatus.OK if is_ready else _NOT_READY
    return http_server.CallerAnswer(int(status), (), b'')


_NOT_READY = http.HTTPStatus.SERVICE_UNAVAILABLE
