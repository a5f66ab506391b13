"""Decide whether a request is sent again after an attempt that failed."""

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import retry_budget, server_load
from sycamoreferry_gateway import proxied_requests, view

# A request is sent at most this often, including sends that a server rejects.
_MAX_SENDS = 3


class RetryPolicy:
    """Allow retries that are safe, in time and within the shared budget."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._budget = budget

    def has_time(
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

    def has_attempts_left(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> bool:
        """Tell whether the route allows one more attempt after this one."""
        if not proxied.route.kind.is_retryable:
            return False
        attempts = proxied.earlier_runs + len(proxied.attempts)
        return attempts + 1 < proxied.route.max_attempts

    def should_retry(
        self,
        proxied: proxied_requests.ProxiedRequest,
        attempt: proxied_requests.Attempt,
    ) -> bool:
        """Tell whether to send again; a retry uses the budget."""
        now = self._view.clock.now()
        sends = sum(
            1
            for one in proxied.attempts
            if one.result is not proxied_requests.AttemptResult.NOT_SENT
        )
        has_time = self.has_time(proxied, attempt.server, now)
        if len(proxied.attempts) > _MAX_SENDS or not has_time:
            return False
        if attempt.result is proxied_requests.AttemptResult.NOT_SENT:
            return not proxied.may_have_run or self.may_rerun(proxied)
        if attempt.result is not proxied_requests.AttemptResult.NOT_RUN:
            if not self.may_rerun(proxied):
                return False
            if (
                attempt.result is proxied_requests.AttemptResult.SERVER_ERROR
                and proxied.key is not None
            ):
                return False
        if sends >= max(proxied.route.max_attempts, _MAX_SENDS):
            return False
        return self._budget.spend(
            proxied.service,
            self._view.peers.member_count(now),
            now,
        )

    def may_relay_again(self, proxied: proxied_requests.ProxiedRequest) -> bool:
        """Tell whether to go on after a relay whose outcome is unknown."""
        now = self._view.clock.now()
        if now >= proxied.answer_by or not self.may_rerun(proxied):
            return False
        return self._budget.spend(
            proxied.service, self._view.peers.member_count(now), now
        )

    def may_rerun(self, proxied: proxied_requests.ProxiedRequest) -> bool:
        """Tell whether a request that may have run may run once more."""
        route = proxied.route
        return (
            route.kind.is_retryable and proxied.run_count < route.max_attempts
        )
