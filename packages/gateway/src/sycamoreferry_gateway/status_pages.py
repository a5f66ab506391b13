"""Build the readiness and metrics pages of an instance."""

import http

from sycamoreferry_gateway import http_server

METRICS_PATH = '/metrics'


def metrics(exposition: bytes) -> http_server.CallerAnswer:
    """Return the metrics page of a rendered text exposition."""
    headers = (('Content-Type', 'text/plain; version=0.0.4'),)
    return http_server.CallerAnswer(
        int(http.HTTPStatus.OK),
        headers,
        exposition,
    )


def readiness(*, is_ready: bool) -> http_server.CallerAnswer:
    """Return 200 if the instance accepts requests, otherwise 503."""
    status = http.HTTPStatus.OK if is_ready else _NOT_READY
    return http_server.CallerAnswer(int(status), (), b'')


_NOT_READY = http.HTTPStatus.SERVICE_UNAVAILABLE
