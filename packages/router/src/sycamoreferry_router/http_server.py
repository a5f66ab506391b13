"""Serve callers, operators and probes over HTTP."""

import asyncio
import http
import math
import random
import typing

from sanic import app as sanic_app
from sanic import request as sanic_request
from sanic import response
from sanic import server as sanic_server
from sanic.server.protocols import http_protocol

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_router import (
    bounded_protocol,
    connection_limits,
    lingering_protocol,
    logs,
    messages,
    metrics,
    pipeline,
    responses,
    settings,
    view,
)
from sycamoreferry_router.filters import admit, answer

App = sanic_app.Sanic[typing.Any, typing.Any]

_NOT_READY_STATUS = int(http.HTTPStatus.SERVICE_UNAVAILABLE)
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
# Lets a body just over the limit reach the accept filter, which rejects it
# with its own result code.
_BODY_SLACK_BYTES = 65536
# Sanic rejects larger headers itself, before the accept filter sees them.
_HEADER_SLACK_BYTES = 8192
_KEEP_ALIVE_SECONDS = 75
# Each request has a deadline of its own. The library would answer 503, which
# says that a request has not run, to one that a server still runs.
_RESPONSE_TIMEOUT_SECONDS = math.inf
IDLE_POLL_MS = 20

_log = logs.part_logger('http')


class HttpServer:
    """Run requests through the pipeline and send their responses."""

    def __init__(
        self,
        config: settings.Settings,
        request_pipeline: pipeline.Pipeline,
        instance_view: view.InstanceView,
        router_metrics: metrics.Metrics,
        instance: ids.InstanceId,
        time_source: clock.Clock,
    ) -> None:
        self._pipeline = request_pipeline
        self._view = instance_view
        self._metrics = router_metrics
        self._instance = instance
        self._clock = time_source
        self._rng = random.Random()
        self._app = self._build_app(config)
        self._listening: sanic_server.AsyncioServer | None = None
        self.in_flight = 0

    @property
    def ready(self) -> bool:
        """Return True when the instance has started and is not draining."""
        return self._view.ready and not self._pipeline.draining

    @property
    def is_idle(self) -> bool:
        """Return True if no request is in flight and no answer is unsent."""
        connections = self._listening.connections if self._listening else ()
        return not self.in_flight and not any(map(_is_answering, connections))

    async def start(
        self,
        host: str,
        port: int,
        *,
        is_only_app: bool = False,
    ) -> sanic_server.AsyncioServer:
        """Start listening; sanic can optimise only one app in a process."""
        self._app.config.TOUCHUP = is_only_app
        server = await self._app.create_server(
            host=host,
            port=port,
            access_log=False,
            return_asyncio_server=True,
            protocol=bounded_protocol.BoundedProtocol,
        )
        if server is None:
            raise RuntimeError('sanic returned no server from create_server')
        self._listening = server
        await server.startup()  # type: ignore[no-untyped-call]
        await server.start_serving()  # type: ignore[no-untyped-call]
        return server

    async def wait_until_idle(self, deadline: clock.Millis) -> None:
        """Wait until all answers are sent, or until a deadline."""
        while not self.is_idle and self._clock.now() < deadline:  # noqa: ASYNC110
            await asyncio.sleep(clock.seconds(IDLE_POLL_MS))

    def _build_app(self, config: settings.Settings) -> App:
        app: App = sanic_app.Sanic(
            config.instance.name,
            configure_logging=False,
            request_class=bounded_protocol.BoundedRequest,
        )
        app.ctx.limits = connection_limits.limits_of_callers(
            config.bounds, self._clock
        )
        self._metrics.watch(app.ctx.limits)
        app.exception(bounded_protocol.RefusedError)(self._answer_refused)
        app.config.REQUEST_MAX_SIZE = (
            config.bounds.body_bytes + _BODY_SLACK_BYTES
        )
        app.config.REQUEST_MAX_HEADER_SIZE = (
            config.bounds.header_bytes + _HEADER_SLACK_BYTES
        )
        app.config.KEEP_ALIVE_TIMEOUT = _KEEP_ALIVE_SECONDS
        app.config.RESPONSE_TIMEOUT = _RESPONSE_TIMEOUT_SECONDS
        app.add_route(self._show_health, '/healthz', ignore_body=True)
        app.add_route(self._show_readiness, '/readyz', ignore_body=True)
        app.add_route(self._show_metrics, '/metrics', ignore_body=True)
        app.add_route(
            self._serve_caller,
            '/<path:path>',
            methods=_METHODS,
        )
        return app

    async def _show_health(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        return response.text('healthy')

    async def _show_readiness(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        if self._pipeline.draining:
            return response.text('leaving', status=_NOT_READY_STATUS)
        if not self._view.ready:
            return response.text('starting', status=_NOT_READY_STATUS)
        return response.text('ready')

    async def _show_metrics(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse:
        self._metrics.set_gauges(self._view.log_state, self.in_flight)
        content, extra = self._metrics.render(
            request.headers.get('accept', 'text/plain'),
        )
        return response.raw(content, headers=extra)

    async def _answer_refused(
        self,
        request: sanic_request.Request,
        error: Exception,
    ) -> response.HTTPResponse:
        overloaded = admit.overloaded(self._rng)
        return responses.buffered_response(
            answer.answer(overloaded, self._instance)
        )

    async def _serve_caller(
        self,
        request: sanic_request.Request,
        path: str,
    ) -> response.HTTPResponse | None:
        self.in_flight += 1
        try:
            return await self._answer_caller(request)
        finally:
            self.in_flight -= 1

    async def _answer_caller(
        self,
        request: sanic_request.Request,
    ) -> response.HTTPResponse | None:
        connection = bounded_protocol.connection_of(request)
        connection.start_waiting(request.head)
        outcome = await self._pipeline.serve(
            self._to_incoming(request, connection)
        )
        # The request isn't needed any more, and a caller may read slowly.
        request.body = b''
        rendered = answer.answer(outcome, self._instance)
        connection.held.start_answer(rendered)
        connection.record()
        if self._pipeline.draining:
            responses.close_after_answer(request)
        if rendered.download is None:
            return responses.buffered_response(rendered)
        try:
            await self._send_download(request, rendered, rendered.download)
        finally:
            connection.held.end_answer()
            connection.record()
        return None

    async def _send_download(
        self,
        request: sanic_request.Request,
        rendered: answer.HttpAnswer,
        download: outcomes.Download,
    ) -> None:
        try:
            async with self._pipeline.time_limits.limit(
                download.seconds_left()
            ):
                await responses.send_download(request, rendered, download)
        except (outcomes.BodyTruncatedError, TimeoutError) as error:
            # Abort the connection so that the caller cannot take the truncated
            # response for a complete one.
            _log.warning(
                'download truncated; aborting its connection: {!r}',
                error,
            )
            responses.abort(request)
        finally:
            download.close()

    def _to_incoming(
        self,
        request: sanic_request.Request,
        holder: messages.Holder,
    ) -> messages.Incoming:
        # Keep the path undecoded: decoding could change its meaning.
        _, service, *rest = request.path.split('/', 2)
        query = f'?{request.query_string}' if request.query_string else ''
        return messages.Incoming(
            method=request.method,
            service=service,
            target=f'/{"".join(rest)}{query}',
            headers=request.headers,
            body=request.body,
            received_at=self._clock.now(),
            holder=holder,
        )


def _is_answering(connection: http_protocol.HttpProtocol) -> bool:
    """Tell whether an answer is due on a connection or not sent in full."""
    transport = connection.transport
    if transport is None:
        return False
    is_unsent = lingering_protocol.unsent_bytes(transport) > 0
    return is_unsent or bool(connection.http)
