"""Handle callers' requests: admit, forward, retry and answer."""

import asyncio
import http
import typing

import xxhash

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, ids, result_codes
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import (
    crashes,
    queueing,
    retry_budget,
    routes,
    server_load,
)
from sycamoreferry_gateway import (
    answers,
    attempt_classifier,
    backlogs,
    dispatcher,
    event_log,
    http_client,
    http_server,
    open_requests,
    proxied_requests,
    telemetry,
    view,
)

_Code = result_codes.ResultCode

# A request is sent at most this often, including sends that a server rejects.
_MAX_SENDS = 3
# A repeatable request spends this share of its remaining time on one server,
# so that time is left for another.
_ATTEMPT_SHARE = 0.5
_MIN_ATTEMPT_MS = 250
# Delay before a request is sent again to the owner that has just rejected it.
_REJECTION_BACKOFF_MS = 40
_STARTING_RETRY_AFTER_MS = 500
_RETRY_AFTER_MS = 300
_STOPPING = 'instance is stopping'


class RequestHandler:
    """Handle requests of callers, from arrival to answer."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        placement: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        log: event_log.EventLog,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._dispatcher = placement
        self._pool = pool
        self._log = log
        self._telemetry = metrics
        self._classifier = attempt_classifier.AttemptClassifier(
            cluster_view, loads, log
        )
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
        self.in_flight = 0

    def drain_demand(self) -> dict[tuple[ids.ServiceName, owners.Key], int]:
        """Return the request counts by key since the last call, and reset."""
        demand = self._demand
        self._demand = {}
        return demand

    def log_unanswered(self) -> None:
        """Log each request in flight and the server that it was sent to."""
        now = self._view.clock.now()
        for proxied in self.open_requests.proxied:
            self._log.write(
                'request',
                'request is unanswered at the end of the shutdown',
                request=proxied.request_id,
                ms=now - proxied.arrived,
                sent_to=proxied.current_server,
                **self._log_fields(proxied),
            )

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
            self._log_end(request, proxied, arrived, 'caller left', None)
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
        self._log_end(request, proxied, arrived, final.reason, final)
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
            return self._failure_answer(proxied, _STOPPING, _RETRY_AFTER_MS)

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
            attempt = await self._attempt(proxied, queued, found)
            proxied.attempts.append(attempt)
            final = self._final_answer(proxied, attempt)
            if final is not None:
                return final
            if proxied.key is None:
                queued.excluded |= {found.incarnation.server}
            elif attempt.result is proxied_requests.AttemptResult.NOT_RUN:
                await asyncio.sleep(clock.seconds(_REJECTION_BACKOFF_MS))

    async def _attempt(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
        server: servers.BackendServer,
    ) -> proxied_requests.Attempt:
        started_at = self._view.clock.now()
        in_flight = self._loads.total_in_flight(
            server.incarnation.server, started_at
        )
        has_free_slot = in_flight <= server.slots
        has_answered = None
        proxied.current_server = server.incarnation.server
        try:
            attempt = await self._send(proxied, server, started_at)
            has_answered = (
                attempt.result is proxied_requests.AttemptResult.ANSWERED
            )
        except asyncio.CancelledError:
            proxied.attempts.append(
                proxied_requests.Attempt(
                    proxied_requests.AttemptResult.UNKNOWN,
                    server,
                    'interrupted',
                )
            )
            raise
        finally:
            proxied.current_server = None
            self._dispatcher.release(
                queued,
                server.incarnation.server,
                has_answered=has_answered,
            )
        # Time spent queued at the server is no measure of its speed.
        if (
            attempt.result is proxied_requests.AttemptResult.ANSWERED
            and has_free_slot
        ):
            elapsed = self._view.clock.now() - started_at
            self._loads.record_duration(server, elapsed)
        return attempt

    async def _send(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        started_at: clock.Millis,
    ) -> proxied_requests.Attempt:
        if not self._has_time(proxied, server, started_at):
            detail = 'no time left'
            if started_at < proxied.ends_at:
                detail = _STOPPING
            return proxied_requests.Attempt(
                proxied_requests.AttemptResult.NOT_SENT, server, detail
            )
        payload = http_client.encode_request(
            proxied.request.method,
            proxied.request.target,
            request_headers.with_attempt_headers(
                proxied.request.end_to_end_headers(),
                proxied.answer_by - started_at,
                server.incarnation.server,
            ),
            proxied.request.body,
        )
        outcome = await self._pool.exchange(
            deployment.Address(server.host, server.port),
            payload,
            self._attempt_timeout_ms(proxied, server, started_at),
            lambda reply: answers.matches_request(reply, proxied.request_id),
        )
        return self._classifier.classify(proxied, server, outcome, started_at)

    def _has_time(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        now: clock.Millis,
    ) -> bool:
        """Tell whether an attempt may start before the answer is due."""
        remaining = proxied.answer_by - now
        if proxied.answer_by < proxied.ends_at:
            # A stop would cut a shorter attempt, and its outcome be unknown.
            return remaining > self._loads.duration_ms(server)
        return remaining > 0

    def _attempt_timeout_ms(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        started_at: clock.Millis,
    ) -> float:
        remaining = proxied.answer_by - started_at
        if proxied.key is not None or not self._has_attempts_left(proxied):
            return remaining
        attempt_ms = max(
            (proxied.ends_at - started_at) * _ATTEMPT_SHARE,
            _MIN_ATTEMPT_MS,
            4 * self._loads.duration_ms(server),
        )
        return min(remaining, attempt_ms)

    def _has_attempts_left(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> bool:
        if not proxied.route.kind.is_retryable:
            return False
        return len(proxied.attempts) + 1 < proxied.route.max_attempts

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
        if self._should_retry(proxied, attempt):
            return None
        if (
            attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
            and attempt.reply is not None
        ):
            if attempt.reply.status not in request_headers.NOT_RUN_STATUSES:
                return answers.forwarded(attempt.reply)
        return self._failure_answer(proxied, attempt.detail, _RETRY_AFTER_MS)

    def _should_retry(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
    ) -> bool:
        now = self._view.clock.now()
        sends = sum(
            1
            for one in proxied.attempts
            if one.result is not proxied_requests.AttemptResult.NOT_SENT
        )
        has_time = self._has_time(proxied, attempt.server, now)
        if len(proxied.attempts) > _MAX_SENDS or not has_time:
            return False
        if attempt.result is proxied_requests.AttemptResult.NOT_SENT:
            return not proxied.may_have_run or self._may_rerun(proxied)
        if attempt.result is not proxied_requests.AttemptResult.NOT_RUN:
            if not self._may_rerun(proxied):
                return False
            if (
                attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
                and proxied.key is not None
            ):
                return False
        if sends >= max(proxied.route.max_attempts, _MAX_SENDS):
            return False
        return self.retry_budget.spend(
            proxied.service,
            self._view.peers.count(now),
            now,
        )

    def _may_rerun(self, proxied: proxied_requests.ProxiedRequest) -> bool:
        runs = sum(
            1
            for one in proxied.attempts
            if one.result
            in {
                proxied_requests.AttemptResult.UNKNOWN,
                proxied_requests.AttemptResult.SERVER_ERROR,
            }
        )
        kind = proxied.route.kind
        return kind.is_retryable and runs < proxied.route.max_attempts

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
            if reason == _STOPPING:
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

    def _log_end(
        self,
        request: http_server.CallerRequest,
        proxied: proxied_requests.ProxiedRequest | None,
        arrived: clock.Millis,
        reason: str,
        final: answers.FinalAnswer | None,
    ) -> None:
        elapsed = self._view.clock.now() - arrived
        code = final.code if final else None
        self._telemetry.count_request(proxied, code, elapsed)
        fields: dict[str, typing.Any] = {
            'request': request.header(request_headers.REQUEST_ID),
            'status': final.answer.status if final else None,
            'code': int(code) if code else None,
            'reason': reason,
            'ms': elapsed,
        }
        if self._view.config is not None:
            fields['config'] = self._view.config.version
        if proxied is not None:
            fields.update(self._log_fields(proxied))
        self._log.write_rate_limited('request', 'request ended', **fields)

    def _log_fields(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> dict[str, typing.Any]:
        described: dict[str, typing.Any] = {
            'route': proxied.route.name,
            'service': proxied.service,
            'waited_ms': proxied.waited_ms,
            'owners_offset': self._view.owners_offset,
            'stopping': self.open_requests.is_stopping,
            'tries': [
                [one.server.incarnation.server, one.result.value, one.detail]
                for one in proxied.attempts
            ],
        }
        if proxied.rejection_backlog is not None:
            described['ahead'] = proxied.rejection_backlog.ahead
            described['slots'] = proxied.rejection_backlog.slots
            described['expected_wait_ms'] = round(
                proxied.rejection_backlog.wait_ms
            )
        if proxied.key is not None:
            described['key'] = proxied.key
            described['term'] = self._view.assignment.term
            row = self._view.owner_of(proxied.service, proxied.key)
            if row is not None:
                described['owner'] = row.owner.server
                described['fence'] = row.fence
        return described


def _signature(request: http_server.CallerRequest) -> crashes.Signature:
    digest = xxhash.xxh3_64()
    for part in (request.method, request.target, request.caller):
        digest.update(part.encode('latin-1', 'replace'))
        digest.update(b'\0')
    digest.update(request.body)
    return crashes.Signature(digest.intdigest())
