"""Run the attempts of a request, one after the other, until it is answered."""

import asyncio

from sycamoreferry_core import clock, result_codes
from sycamoreferry_core.traffic import queueing, retry_budget, server_load
from sycamoreferry_gateway import (
    answer_race,
    answers,
    attempt_runner,
    backlogs,
    dispatcher,
    event_log,
    final_answers,
    http_client,
    proxied_requests,
    request_relay,
    retry_policy,
    view,
)

# Delay before a request is sent again to the owner that has just rejected it.
_REJECTION_BACKOFF_MS = 40


class AttemptSeries:
    """Choose servers for a request, or instances that reach them."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        placement: dispatcher.Dispatcher,
        pool: http_client.ConnectionPool,
        budget: retry_budget.RetryBudget,
        log: event_log.EventLog,
    ) -> None:
        self._view = cluster_view
        self._dispatcher = placement
        self._policy = retry_policy.RetryPolicy(cluster_view, loads, budget)
        self._attempts = attempt_runner.AttemptRunner(
            cluster_view, loads, placement, pool, self._policy, log
        )
        self.relay = request_relay.RequestRelay(
            cluster_view, loads, self._policy
        )
        self.answers = final_answers.FinalAnswers(
            cluster_view, loads, self._policy
        )

    async def run(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
    ) -> answers.FinalAnswer:
        """Send a request until a server answers or no retry is left."""
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
                return self.answers.failure(
                    proxied,
                    found.reason,
                    found.retry_after_ms,
                )
            attempt = await self._attempts.run(proxied, queued, found)
            proxied.attempts.append(attempt)
            if attempt.rest is not None:
                return await self._retry_beside(
                    proxied, queued, attempt, attempt.rest
                )
            final = self.answers.choose(proxied, attempt)
            if final is not None:
                return final
            await self._prepare_retry(queued, attempt)

    async def _retry_beside(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
        attempt: proxied_requests.Attempt,
        rest: asyncio.Task[proxied_requests.Attempt],
    ) -> answers.FinalAnswer:
        """Retry while the server of an attempt may still answer."""
        finals = await answer_race.wait_for_answer(
            self._retry(proxied, queued, attempt),
            self._await_rest(proxied, attempt, rest),
        )
        for final in finals:
            if final.code is result_codes.ResultCode.ANSWERED:
                return final
        return self.answers.failure(
            proxied, finals[0].reason, self.answers.retry_after_ms(proxied)
        )

    async def _await_rest(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
        rest: asyncio.Task[proxied_requests.Attempt],
    ) -> answers.FinalAnswer:
        """Return the answer of a slow server, or the failure."""
        ended = await rest
        proxied.attempts[proxied.attempts.index(attempt)] = ended
        return self.answers.of_attempt(proxied, ended)

    async def _retry(
        self,
        proxied: proxied_requests.ProxiedRequest,
        queued: queueing.QueuedRequest,
        attempt: proxied_requests.Attempt,
    ) -> answers.FinalAnswer:
        final = self.answers.choose(proxied, attempt)
        if final is not None:
            return final
        await self._prepare_retry(queued, attempt)
        return await self.run(proxied, queued)

    async def _prepare_retry(
        self,
        queued: queueing.QueuedRequest,
        attempt: proxied_requests.Attempt,
    ) -> None:
        was_rejected = attempt.result is proxied_requests.AttemptResult.NOT_RUN
        if was_rejected and self.answers.back_off_ms(attempt):
            # The request goes to another server, or waits for this one.
            return
        if queued.key is None:
            queued.excluded |= {attempt.server.incarnation.server}
        elif was_rejected:
            await asyncio.sleep(clock.seconds(_REJECTION_BACKOFF_MS))

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
                return self.answers.failure(
                    proxied,
                    'relayed request was not answered',
                    self.answers.retry_after_ms(proxied),
                )
        return None
