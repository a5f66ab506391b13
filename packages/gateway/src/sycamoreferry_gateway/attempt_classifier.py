"""Classify answers of backend servers and track their health and load."""

import http

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, http_messages
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    answers,
    event_log,
    http_client,
    proxied_requests,
    view,
)

_SERVER_ERROR = 500
# Failures that a lost link to the server causes.
LINK_FAILURES = frozenset(
    (http_client.ExchangeFailure.CONNECT, http_client.ExchangeFailure.TIMEOUT),
)


class AttemptClassifier:
    """Classify whether a request was answered, ran, or may have run."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._log = log

    def classify(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        outcome: http_client.ExchangeResult,
        started_at: clock.Millis,
    ) -> proxied_requests.Attempt:
        """Return the result of an attempt; record it for the server."""
        now = self._view.clock.now()
        if isinstance(outcome, http_client.FailedExchange):
            return self._classify_failure(proxied, server, outcome, now)
        if outcome.status != http.HTTPStatus.MISDIRECTED_REQUEST:
            # A 421 may come from another server at the same address.
            self._record_rate_limit(server, outcome, started_at, now)
            self._record_back_off(server, outcome, now)
        if request_headers.reports_leaving(outcome):
            self._view.record_leaving(server.incarnation, 'answer')
        load = request_headers.parse_load(
            outcome.header(request_headers.LOAD),
        )
        server_id = server.incarnation.server
        if load is not None:
            self._loads.record_reported_load(
                server_id,
                load.running,
                load.waiting,
                now,
            )
            if outcome.status != http.HTTPStatus.MISDIRECTED_REQUEST:
                self._record_slowdown(server, load.slowdown, now)
        if request_headers.reports_not_run(outcome):
            if outcome.status != http.HTTPStatus.MISDIRECTED_REQUEST:
                self._record_failure(server, now, 'rejected')
            detail = f'rejected with {outcome.status}'
            return proxied_requests.Attempt(
                proxied_requests.AttemptResult.NOT_RUN, server, detail, outcome
            )
        if not answers.is_intact(outcome):
            self._record_failure(server, now, 'answer is altered or incomplete')
            return proxied_requests.Attempt(
                proxied_requests.AttemptResult.UNKNOWN,
                server,
                'answer is not whole',
            )
        is_error = outcome.status >= _SERVER_ERROR
        if is_error:
            self._record_failure(server, now, 'server error')
        else:
            self._loads.record_success(server_id)
        if is_error or outcome.status in request_headers.NOT_RUN_STATUSES:
            # Without the server's word for it, a request may have run even if
            # the status tells callers that it has not.
            detail = f'status {outcome.status}'
            return proxied_requests.Attempt(
                proxied_requests.AttemptResult.SERVER_ERROR,
                server,
                detail,
                outcome,
            )
        return proxied_requests.Attempt(
            proxied_requests.AttemptResult.ANSWERED, server, 'answered', outcome
        )

    def _record_rate_limit(
        self,
        server: servers.BackendServer,
        reply: http_messages.HttpResponse,
        started_at: clock.Millis,
        now: clock.Millis,
    ) -> None:
        named = reply.header(request_headers.RATE_LIMIT)
        limit = request_headers.parse_rate_limit(named)
        limits = self._loads.rate_limits
        is_new = False
        if limit is not None:
            is_new = limits.record_limit(server.incarnation, limit, now)
        elif named is None and answers.is_intact(reply):
            is_new = limits.record_no_limit(server.incarnation, started_at)
        if is_new:
            self._log.write_rate_limited(
                'servers',
                'server changed its rate limit',
                server=server.incarnation.server,
                requests_per_s=limit,
            )

    def _record_slowdown(
        self,
        server: servers.BackendServer,
        slowdown: float | None,
        now: clock.Millis,
    ) -> None:
        if slowdown is None:
            return
        if self._loads.slowdowns.record(server, slowdown, now):
            self._log.write_rate_limited(
                'servers',
                'server reports the slowdown of its machine',
                server=server.incarnation.server,
                slowdown=slowdown,
            )

    def _record_back_off(
        self,
        server: servers.BackendServer,
        reply: http_messages.HttpResponse,
        now: clock.Millis,
    ) -> None:
        retry_after_ms = None
        if reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_ms = request_headers.parse_retry_after(
                reply.header(request_headers.RETRY_AFTER.lower()),
            )
        back_offs = self._loads.back_offs
        if not retry_after_ms:
            back_offs.record_answer(server.incarnation, now)
        elif back_offs.record_delay(server.incarnation, retry_after_ms, now):
            self._log.write_rate_limited(
                'servers',
                'server asked for a back-off',
                server=server.incarnation.server,
                retry_after_ms=retry_after_ms,
            )

    def _classify_failure(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        failed: http_client.FailedExchange,
        now: clock.Millis,
    ) -> proxied_requests.Attempt:
        if not failed.lacked_memory:
            self._record_failure(server, now, failed.failure.value)
        if failed.failure in LINK_FAILURES:
            self._loads.reachability.record_failure(
                server.incarnation.server, now
            )
        is_cut_off = self._loads.reachability.is_cut_off
        if failed.may_be_restart and not is_cut_off:
            self._assume_cold(server, failed, now)
        detail = failed.failure.value
        if not failed.was_sent:
            return proxied_requests.Attempt(
                proxied_requests.AttemptResult.NOT_SENT, server, detail
            )
        return proxied_requests.Attempt(
            proxied_requests.AttemptResult.UNKNOWN, server, detail
        )

    def _assume_cold(
        self,
        server: servers.BackendServer,
        failed: http_client.FailedExchange,
        now: clock.Millis,
    ) -> None:
        if self._loads.warm_ups.assume_failed(
            server, now, was_refused=failed.was_refused
        ):
            self._log.write_rate_limited(
                'servers',
                'server is assumed to be cold',
                server=server.incarnation.server,
                reason=failed.failure.value,
                remaining_ms=self._loads.warm_ups.remaining_ms(server, now),
            )

    def _record_failure(
        self,
        server: servers.BackendServer,
        now: clock.Millis,
        reason: str,
    ) -> None:
        if self._loads.record_failure(server.incarnation.server, now):
            self._log.write_rate_limited(
                'servers',
                'server suspended after failures',
                server=server.incarnation.server,
                reason=reason,
            )
