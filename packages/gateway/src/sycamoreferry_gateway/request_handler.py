"""Handle callers' requests: admit, forward, retry and answer."""

import asyncio
import http

import xxhash

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, ids, result_codes
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import (
    crashes,
    queueing,
    reachability,
    retry_budget,
    routes,
    server_load,
)
from sycamoreferry_gateway import (
    answers,
    attempt_classifier,
    attempt_runner,
    backlogs,
    dispatcher,
    event_log,
    http_client,
    http_server,
    open_requests,
    proxied_requests,
    request_log,
    retry_policy,
    telemetry,
    view,
)

_Code = result_codes.ResultCode

# Delay before a request is sent again to the owner that has just rejected it.
_REJECTION_BACKOFF_MS = 40
_STARTING_RETRY_AFTER_MS = 500
_RETRY_AFTER_MS = 300


class RequestHandler:
    """Handle requests of callers, from arrival to answer."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        placement: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        links: reachability.Reachability,
        log: event_log.EventLog,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._view = cluster_view
        self._dispatcher = placement
        self._log = log
        self._route_splits = routes.WeightedRoundRobin()
        self._demand: dict[tuple[ids.ServiceName, owners.Key], int] = {}
        bounds = cluster_view.deployment.bounds
        self.retry_budget = retry_budget.RetryBudget(
            retry_budget.RetryAllowance(
                bounds.retry_ratio,
                bounds.retry_window_ms,
                bounds.retry_extra,
            ),
        )
        self.open_requests = open_requests.OpenRequests(cluster_view.clock)
        self.request_log = request_log.RequestLog(
            cluster_view, self.open_requests, log, metrics
        )
        self._policy = retry_policy.RetryPolicy(
            cluster_view, loads, self.retry_budget
        )
        self._attempts = attempt_runner.AttemptRunner(
            cluster_view,
            loads,
            placement,
            pool,
            attempt_classifier.AttemptClassifier(
                cluster_view, loads, links, log
            ),
            self._policy,
        )
        self.in_flight = 0

    def drain_demand(self) -> dict[tuple[ids.ServiceName, owners.Key], int]:
        """Return the request counts by key since the last call, and reset."""
        demand = self._demand
        self._demand = {}
        return demand

    async def serve(
        self,
        request: http_server.CallerRequest,
    ) -> http_server.CallerAnswer:
        """Return the answer to a request; log and count how it ended."""
        arrived = self._view.clock.now()
        self.in_flight += 1
        proxied: proxied_requests.ProxiedRequest | None = None
        try:
            prepared = self._prepare(request, arrived)
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
        return final.answer

    def _prepare(
        self,
        request: http_server.CallerRequest,
        arrived: clock.Millis,
    ) -> proxied_requests.ProxiedRequest | answers.FinalAnswer:
        config = self._view.config
        table = self._view.route_table
        if config is None or table is None:
            return answers.refusal(
                _Code.STARTING,
                'no configuration known',
                _STARTING_RETRY_AFTER_MS,
            )
        route = table.match(request.header('host') or '', request.path)
        if route is None:
            return answers.refusal(_Code.UNKNOWN_SERVICE, 'no route matches')
        request_id = request.header(request_headers.REQUEST_ID) or ''
        service = self._route_splits.choose(route)
        policy = config.services[service]
        key = request_headers.parse_key(request.header(request_headers.KEY))
        if policy.is_keyed and key is None:
            return answers.refusal(
                _Code.KEY_REQUIRED, 'key is missing or malformed'
            )
        if not policy.is_keyed:
            key = None
        self.retry_budget.count_request(service, arrived)
        if key is not None:
            counted = self._demand.get((service, key), 0)
            self._demand[service, key] = counted + 1
        caller_timeout_ms = request_headers.parse_deadline(
            request.header(request_headers.DEADLINE),
        )
        allowed_ms = route.timeout_ms
        if caller_timeout_ms is not None:
            allowed_ms = min(allowed_ms, caller_timeout_ms)
        return proxied_requests.ProxiedRequest(
            request=request,
            request_id=request_id,
            arrived=arrived,
            ends_at=clock.later(arrived, allowed_ms),
            answer_by=clock.later(arrived, allowed_ms),
            route=route,
            service=service,
            key=key,
            signature=_signature(request),
        )

    async def _forward(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer:
        if self._view.crashes.is_blocked(
            proxied.signature,
            proxied.arrived,
        ):
            return answers.refusal(
                _Code.QUARANTINED,
                'request ended the servers that ran it',
                _RETRY_AFTER_MS,
            )
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
                proxied, queued, self._attempt_until_final(proxied, queued)
            )
        except TimeoutError:
            if not self.open_requests.is_stopping:
                raise
            return self._failure_answer(
                proxied, attempt_runner.STOPPING, _RETRY_AFTER_MS
            )

    async def _attempt_until_final(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
    ) -> answers.FinalAnswer:
        while True:
            queued_at = self._view.clock.now()
            try:
                found = await self._dispatcher.acquire(queued)
            finally:
                proxied.waited_ms += self._view.clock.now() - queued_at
            if isinstance(found, backlogs.Rejection):
                proxied.rejection_backlog = found.backlog
                return self._failure_answer(
                    proxied,
                    found.reason,
                    found.retry_after_ms,
                )
            attempt = await self._attempts.run(proxied, queued, found)
            proxied.attempts.append(attempt)
            final = self._final_answer(proxied, attempt)
            if final is not None:
                return final
            if proxied.key is None:
                queued.excluded |= {found.incarnation.server}
            elif attempt.result is proxied_requests.AttemptResult.NOT_RUN:
                await asyncio.sleep(clock.seconds(_REJECTION_BACKOFF_MS))

    def _final_answer(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
    ) -> answers.FinalAnswer | None:
        """Return the answer to give, or None to retry."""
        if (
            attempt.result is proxied_requests.AttemptResult.ANSWERED
            and attempt.reply is not None
        ):
            return answers.forwarded(attempt.reply)
        if self._policy.should_retry(proxied, attempt):
            return None
        if (
            attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
            and attempt.reply is not None
        ):
            if attempt.reply.status not in request_headers.NOT_RUN_STATUSES:
                return answers.forwarded(attempt.reply)
        return self._failure_answer(proxied, attempt.detail, _RETRY_AFTER_MS)

    def _failure_answer(
        self,
        proxied: proxied_requests.ProxiedRequest,
        reason: str,
        retry_after_ms: int,
    ) -> answers.FinalAnswer:
        if not proxied.may_have_run:
            code = _Code.OVERLOADED
            if proxied.key is not None and reason == 'key has no owner':
                code = _Code.NO_OWNER
            if reason == attempt_runner.STOPPING:
                code = _Code.LEAVING
            return answers.refusal(code, reason, retry_after_ms)
        now = self._view.clock.now()
        code = _Code.OUTCOME_UNKNOWN
        status = http.HTTPStatus.BAD_GATEWAY
        if now >= proxied.ends_at:
            code = _Code.ANSWER_TOO_LATE
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        return answers.FinalAnswer(
            answers.instance_answer(status, code, reason), code, reason
        )


def _signature(request: http_server.CallerRequest) -> crashes.Signature:
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, request.caller):
        digest.update(part.encode('latin-1', 'replace'))
        digest.update(b'\0')
    digest.update(request.body)
    return crashes.Signature(digest.intdigest())
