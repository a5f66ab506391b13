"""Handle callers' requests: admit, forward, retry and answer."""

import asyncio

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock
from sycamoreferry_core.traffic import (
    queueing,
    retry_budget,
    routes,
    server_load,
)
from sycamoreferry_gateway import (
    answers,
    attempt_series,
    caller_messages,
    dispatcher,
    event_log,
    http_client,
    open_requests,
    proxied_requests,
    relay_messages,
    request_log,
    request_preparation,
    telemetry,
    view,
)


class RequestHandler:
    """Handle requests of callers, from arrival to answer."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        placement: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._log = log
        bounds = cluster_view.deployment.bounds
        self.retry_budget = retry_budget.RetryBudget(
            retry_budget.RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_window_ms,
                bounds.retry_extra,
            ),
        )
        self.preparer = request_preparation.RequestPreparer(
            cluster_view, self.retry_budget
        )
        self.open_requests = open_requests.OpenRequests(cluster_view.clock)
        self.telemetry = telemetry.Telemetry()
        self.request_log = request_log.RequestLog(
            cluster_view, self.open_requests, log, self.telemetry
        )
        self._series = attempt_series.AttemptSeries(
            cluster_view, loads, placement, pool, self.retry_budget, log
        )
        self.relay = self._series.relay
        self.in_flight = 0

    async def serve(
        self,
        request: caller_messages.CallerRequest,
    ) -> caller_messages.CallerAnswer:
        """Return the answer to a request of a caller."""
        final = await self._serve(request, request.received_at)
        return final.answer

    def is_idempotent(self, request: caller_messages.CallerRequest) -> bool:
        """Tell whether a request may run twice, by its route."""
        table = self._view.route_table
        if table is None:
            return False
        route = table.match(request.header('host') or '', request.path)
        return route is not None and route.kind.is_retryable

    async def serve_relayed(
        self,
        request: caller_messages.CallerRequest,
        relayed: relay_messages.RelayedRequest,
    ) -> answers.FinalAnswer:
        """Return the answer to a request that another instance received."""
        arrived = clock.later(self._view.clock.now(), -relayed.elapsed_ms)
        return await self._serve(request, arrived, relayed)

    async def _serve(
        self,
        request: caller_messages.CallerRequest,
        arrived: clock.Millis,
        relayed: relay_messages.RelayedRequest | None = None,
    ) -> answers.FinalAnswer:
        """Serve a request; log and count how it ended."""
        self.in_flight += 1
        proxied: proxied_requests.ProxiedRequest | None = None
        try:
            prepared = self.preparer.prepare(request, arrived, relayed)
            if isinstance(prepared, answers.FinalAnswer):
                final = prepared
            else:
                proxied = prepared
                final = await self._forward(proxied)
        except asyncio.CancelledError:
            self.request_log.log_end(
                request, proxied, arrived, 'caller left', None
            )
            raise
        except Exception as error:
            self._log.write(
                'request',
                'request failed',
                request=request.header(request_headers.REQUEST_ID),
                error=repr(error),
            )
            final = answers.internal_failure()
        finally:
            self.in_flight -= 1
        self.request_log.log_end(request, proxied, arrived, final.reason, final)
        return final

    async def _forward(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer:
        if not self._view.blocks.may_send(proxied.signature):
            return self._series.answers.blocked(proxied)
        if not self.open_requests.may_start(proxied):
            return answers.leaving()
        queued = queueing.QueuedRequest(
            service=proxied.service,
            key=proxied.key,
            priority=proxied.route.priority,
            arrived=proxied.arrived,
            objective_at=clock.later(
                proxied.arrived,
                proxied.route.objective_ms,
            ),
            ends_at=proxied.ends_at,
            has_large_answer=(proxied.route.kind is routes.RouteKind.DOWNLOAD),
            data_centre=self._view.deployment.data_centre,
        )
        try:
            return await self.open_requests.run(
                proxied, queued, self._series.run(proxied, queued)
            )
        except TimeoutError:
            if not self.open_requests.is_stopping:
                raise
            return self._series.answers.stopping(proxied)
