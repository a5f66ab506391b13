"""Run attempts of a request at the servers that were chosen for it."""

import asyncio
import dataclasses

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment, servers
from sycamoreferry_core.traffic import queueing, server_load
from sycamoreferry_gateway import (
    attempt_classifier,
    dispatcher,
    event_log,
    http_client,
    proxied_requests,
    request_identity,
    retry_policy,
    run_recorder,
    view,
)

STOPPING = 'instance is stopping'
EVACUATED = 'data centre is evacuated'
REFUSED = 'memory for callers is used up'
BLOCKED = 'request ended the servers that ran it'
# These tell nothing of the server.
_NO_FAULT_OF_SERVER = frozenset((EVACUATED, REFUSED))
# A repeatable request spends this share of its remaining time on one server,
# so that time is left for another.
_ATTEMPT_SHARE = 0.5
_MIN_ATTEMPT_MS = 250
_HEAD = 'HEAD'
_OVERDUE = http_client.FailedExchange(
    http_client.ExchangeFailure.TIMEOUT, was_sent=True
)
_UNREACHABLE = http_client.FailedExchange(
    http_client.ExchangeFailure.CONNECT, was_sent=False
)


class AttemptRunner:
    """Send requests to servers and account for their load."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        placement: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        policy: retry_policy.RetryPolicy,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._dispatcher = placement
        self._pool = pool
        self._policy = policy
        self._classifier = attempt_classifier.AttemptClassifier(
            cluster_view, loads, log
        )
        self._runs = run_recorder.RunRecorder(cluster_view, loads, log)

    async def run(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
        server: servers.BackendServer,
    ) -> proxied_requests.Attempt:
        """Send a request to a server that has capacity for it."""
        started_at = self._view.clock.now()
        in_flight = self._loads.total_in_flight(
            server.incarnation.server, started_at
        )
        has_free_slot = in_flight <= server.slots
        has_answered = None
        proxied.current_server = server.incarnation.server
        try:
            attempt = await self._send(proxied, server)
            if attempt.detail not in _NO_FAULT_OF_SERVER:
                has_answered = (
                    attempt.result is proxied_requests.AttemptResult.ANSWERED
                )
        except asyncio.CancelledError:
            proxied.attempts.append(_interrupted(server))
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
            now = self._view.clock.now()
            self._loads.durations.record(server, now - started_at, now)
        return attempt

    async def _send(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
    ) -> proxied_requests.Attempt:
        await self._view.evacuations.wait_until_current()
        started_at = self._view.clock.now()
        obstacle = self._obstacle(proxied, server, started_at)
        if obstacle is not None:
            return _not_sent(server, obstacle)
        if self._view.blocks.is_blocked(proxied.signature):
            # A trial that reaches no server would delay those of others.
            if not await self._pool.can_connect(_address_of(server)):
                return self._classifier.classify(
                    proxied, server, _UNREACHABLE, started_at
                )
            if not self._view.blocks.may_send(proxied.signature):
                return _not_sent(server, BLOCKED)
        if proxied.request.is_refused:
            return _not_sent(server, REFUSED)
        payload = http_client.encode_parts(
            proxied.request.method,
            proxied.request.target,
            request_headers.with_attempt_headers(
                proxied.request.end_to_end_headers(),
                proxied.answer_by - started_at,
                server.incarnation.server,
            ),
            proxied.request.body,
        )
        proxied.request.record_forward()
        return await self._exchange_or_go_on(
            proxied, server, payload, started_at
        )

    def _obstacle(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        now: clock.Millis,
    ) -> str | None:
        """Return why a request must not be sent to a server now, if so."""
        is_keyed = proxied.key is not None
        if not self._view.evacuations.accepts(server, is_keyed=is_keyed):
            return EVACUATED
        if not self._policy.has_time(proxied, server, now):
            return STOPPING if now < proxied.ends_at else 'no time left'
        if not self._view.blocks.may_send(proxied.signature):
            return BLOCKED
        return None

    async def _exchange_or_go_on(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        payload: http_client.Payload,
        started_at: clock.Millis,
    ) -> proxied_requests.Attempt:
        """Return once the server answers, or another one is to be tried."""
        exchange = self._exchange(proxied, server, payload, started_at)
        timeout_ms = self._attempt_timeout_ms(proxied, server, started_at)
        if timeout_ms >= proxied.answer_by - started_at:
            return await exchange
        task = asyncio.get_running_loop().create_task(exchange)
        try:
            await asyncio.wait(
                (task,), timeout=timeout_ms / clock.MILLIS_PER_SECOND
            )
        except asyncio.CancelledError:
            task.cancel()
            raise
        if task.done():
            return task.result()
        attempt = self._classifier.classify(
            proxied, server, _OVERDUE, started_at
        )
        return dataclasses.replace(attempt, rest=task)

    async def _exchange(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        payload: http_client.Payload,
        started_at: clock.Millis,
    ) -> proxied_requests.Attempt:
        """Send a request and wait for its answer until it is due."""
        with self._runs.record(proxied, server) as run:
            outcome = await self._pool.exchange(
                _address_of(server),
                payload,
                proxied.answer_by - started_at,
                request_identity.RequestIdentity(
                    request_headers.REQUEST_ID,
                    proxied.request_id,
                    expects_body=proxied.request.method != _HEAD,
                ),
            )
            run.attempt = self._classifier.classify(
                proxied, server, outcome, started_at
            )
        return run.attempt

    def _attempt_timeout_ms(
        self,
        proxied: proxied_requests.ProxiedRequest,
        server: servers.BackendServer,
        started_at: clock.Millis,
    ) -> float:
        remaining = proxied.answer_by - started_at
        if proxied.key is not None or not self._policy.has_attempts_left(
            proxied
        ):
            return remaining
        attempt_ms = max(
            (proxied.ends_at - started_at) * _ATTEMPT_SHARE,
            _MIN_ATTEMPT_MS,
            4 * self._loads.duration_ms(server),
        )
        return min(remaining, attempt_ms)


def _address_of(server: servers.BackendServer) -> deployment.Address:
    return deployment.Address(server.host, server.port)


def _not_sent(
    server: servers.BackendServer, detail: str
) -> proxied_requests.Attempt:
    return proxied_requests.Attempt(
        proxied_requests.AttemptResult.NOT_SENT, server, detail
    )


def _interrupted(server: servers.BackendServer) -> proxied_requests.Attempt:
    return proxied_requests.Attempt(
        proxied_requests.AttemptResult.UNKNOWN, server, run_recorder.INTERRUPTED
    )
