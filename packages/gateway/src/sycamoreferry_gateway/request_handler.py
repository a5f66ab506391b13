"""Handle callers' requests: admit, forward, retry and answer."""

import asyncio
import http

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, result_codes
from sycamoreferry_core.traffic import (
    queueing,
    retry_budget,
    routes,
    server_load,
)
from sycamoreferry_gateway import (
    answers,
    attempt_runner,
    backlogs,
    caller_messages,
    dispatcher,
    event_log,
    http_client,
    open_requests,
    proxied_requests,
    relay_messages,
    request_log,
    request_preparation,
    request_relay,
    retry_policy,
    telemetry,
    view,
)

_Code = result_codes.ResultCode

# Delay before a request is sent again to the owner that has just rejected it.
_REJECTION_BACKOFF_MS = 40
_RETRY_AFTER_MS = 300
# The codes of requests that no server ran, for these reasons.
_REJECTIONS = {
    attempt_runner.STOPPING: _Code.LEAVING,
    attempt_runner.BLOCKED: _Code.QUARANTINED,
}


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
        self._loads = loads
        self._dispatcher = placement
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
        self._policy = retry_policy.RetryPolicy(
            cluster_view, loads, self.retry_budget
        )
        self.relay = request_relay.RequestRelay(
            cluster_view, loads, self._policy
        )
        self._attempts = attempt_runner.AttemptRunner(
            cluster_view,
            loads,
            placement,
            pool,
            self._policy,
            log,
        )
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
            return self._failure_answer(
                proxied, attempt_runner.BLOCKED, self._retry_after_ms(proxied)
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
            relayed = await self._relay_while_needed(proxied)
            if relayed is not None:
                return relayed
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
            await self._prepare_retry(queued, attempt)

    async def _prepare_retry(
        self,
        queued: queueing.QueuedRequest,
        attempt: proxied_requests.Attempt,
    ) -> None:
        was_rejected = attempt.result is proxied_requests.AttemptResult.NOT_RUN
        if was_rejected and self._back_off_ms(attempt):
            # The request goes to another server, or waits for this one.
            return
        if queued.key is None:
            queued.excluded |= {attempt.server.incarnation.server}
        elif was_rejected:
            await asyncio.sleep(clock.seconds(_REJECTION_BACKOFF_MS))

    def _retry_after_ms(self, proxied: proxied_requests.ProxiedRequest) -> int:
        blocked_ms = self._view.blocks.retry_after_ms(proxied.signature)
        return max(_RETRY_AFTER_MS, blocked_ms)

    def _back_off_ms(self, attempt: proxied_requests.Attempt) -> int:
        return self._loads.back_offs.remaining_ms(
            attempt.server.incarnation, self._view.clock.now()
        )

    async def _relay_while_needed(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer | None:
        """Return the final answer if other instances are to run a request."""
        while self.relay.is_needed(proxied):
            relayed = await self.relay.forward(proxied)
            if isinstance(relayed, answers.FinalAnswer):
                return relayed
            has_unknown_outcome = relayed is request_relay.RelayFailure.UNKNOWN
            if has_unknown_outcome and not self._policy.may_relay_again(
                proxied
            ):
                return self._failure_answer(
                    proxied, 'relayed request was not answered', _RETRY_AFTER_MS
                )
        return None

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
        is_blocked = attempt.detail == attempt_runner.BLOCKED
        if not is_blocked and self._policy.should_retry(proxied, attempt):
            return None
        if (
            attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
            and attempt.reply is not None
        ):
            if attempt.reply.status not in request_headers.NOT_RUN_STATUSES:
                return answers.forwarded(attempt.reply)
        retry_after_ms = self._retry_after_ms(proxied)
        if proxied.key is not None:
            retry_after_ms = max(retry_after_ms, self._back_off_ms(attempt))
        return self._failure_answer(proxied, attempt.detail, retry_after_ms)

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
            code = _REJECTIONS.get(reason, code)
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
