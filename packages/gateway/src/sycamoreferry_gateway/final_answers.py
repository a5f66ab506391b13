"""Choose the final answers to requests."""

import http

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import result_codes
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    answers,
    attempt_runner,
    proxied_requests,
    retry_policy,
    view,
)

_Code = result_codes.ResultCode

_RETRY_AFTER_MS = 300


class FinalAnswers:
    """Choose between retries, answers of servers and failures."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        policy: retry_policy.RetryPolicy,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._policy = policy

    def choose(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
    ) -> answers.FinalAnswer | None:
        """Return the answer to give, or None to retry."""
        if attempt.result is proxied_requests.AttemptResult.ANSWERED:
            return self.of_attempt(proxied, attempt)
        is_blocked = attempt.detail == attempt_runner.BLOCKED
        if not is_blocked and self._policy.should_retry(proxied, attempt):
            return None
        return self.of_attempt(proxied, attempt)

    def of_attempt(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
    ) -> answers.FinalAnswer:
        """Return the answer to give if there is no other attempt."""
        reply = attempt.reply
        if (
            attempt.result is proxied_requests.AttemptResult.ANSWERED
            and reply is not None
        ):
            return answers.forwarded(reply)
        if (
            attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
            and reply is not None
            and reply.status not in request_headers.NOT_RUN_STATUSES
        ):
            return answers.forwarded(reply)
        retry_after_ms = self.retry_after_ms(proxied)
        if proxied.key is not None:
            retry_after_ms = max(retry_after_ms, self.back_off_ms(attempt))
        return self.failure(proxied, attempt.detail, retry_after_ms)

    def blocked(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer:
        """Return the failure of a request that crashes its servers."""
        return self.failure(
            proxied, attempt_runner.BLOCKED, self.retry_after_ms(proxied)
        )

    def stopping(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer:
        """Return the failure of a request that the shutdown ends."""
        return self.failure(
            proxied, attempt_runner.STOPPING, self.retry_after_ms(proxied)
        )

    def failure(
        self,
        proxied: proxied_requests.ProxiedRequest,
        reason: str,
        retry_after_ms: int,
    ) -> answers.FinalAnswer:
        """Return an answer of this instance, and say truly whether it ran."""
        if not proxied.may_have_run:
            return _refusal(proxied, reason, retry_after_ms)
        now = self._view.clock.now()
        code = _Code.OUTCOME_UNKNOWN
        status = http.HTTPStatus.BAD_GATEWAY
        if now >= proxied.ends_at:
            code = _Code.ANSWER_TOO_LATE
            status = http.HTTPStatus.GATEWAY_TIMEOUT
        return answers.FinalAnswer(
            answers.instance_answer(status, code, reason), code, reason
        )

    def retry_after_ms(self, proxied: proxied_requests.ProxiedRequest) -> int:
        """Return when the caller of a request may try again."""
        blocked_ms = self._view.blocks.retry_after_ms(proxied.signature)
        return max(_RETRY_AFTER_MS, blocked_ms)

    def back_off_ms(self, attempt: proxied_requests.Attempt) -> int:
        """Return how long the server of an attempt wants no requests."""
        return self._loads.back_offs.remaining_ms(
            attempt.server.incarnation, self._view.clock.now()
        )


def _refusal(
    proxied: proxied_requests.ProxiedRequest, reason: str, retry_after_ms: int
) -> answers.FinalAnswer:
    """Return the refusal of a request that no server ran."""
    if reason == attempt_runner.STOPPING:
        return answers.leaving()
    code = _Code.OVERLOADED
    if reason == attempt_runner.BLOCKED:
        code = _Code.QUARANTINED
    elif proxied.key is not None and reason == 'key has no owner':
        code = _Code.NO_OWNER
    return answers.refusal(code, reason, retry_after_ms)
