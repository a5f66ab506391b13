"""Match callers' requests to routes and count the demand for keys."""

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, ids, result_codes
from sycamoreferry_core.keyspace import owners
from sycamoreferry_core.traffic import retry_budget, routes
from sycamoreferry_gateway import (
    answers,
    caller_messages,
    proxied_requests,
    relay_messages,
    request_signatures,
    view,
)

_Code = result_codes.ResultCode
_STARTING_RETRY_AFTER_MS = 500

Prepared = proxied_requests.ProxiedRequest | answers.FinalAnswer


class RequestPreparer:
    """Decide the service, key and time of each request."""

    def __init__(
        self,
        cluster_view: view.View,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self._view = cluster_view
        self._budget = budget
        self._route_splits = routes.WeightedRoundRobin()
        self._demand: dict[tuple[ids.ServiceName, owners.Key], int] = {}

    def drain_demand(self) -> dict[tuple[ids.ServiceName, owners.Key], int]:
        """Return the request counts by key since the last call, and reset."""
        demand = self._demand
        self._demand = {}
        return demand

    def prepare(
        self,
        request: caller_messages.CallerRequest,
        arrived: clock.Millis,
        relayed: relay_messages.RelayedRequest | None = None,
    ) -> Prepared:
        """Return a request with its route, or a refusal.

        A relayed request keeps the service that its first instance chose, and
        was counted there.
        """
        config = self._view.config
        table = self._view.route_table
        if config is None or table is None:
            return _starting('no configuration known')
        if relayed is not None and config.version < relayed.config_version:
            return _starting('configuration is older than the first instance')
        route = table.match(request.header('host') or '', request.path)
        if route is None:
            return answers.refusal(_Code.UNKNOWN_SERVICE, 'no route matches')
        service = self._choose_service(route, relayed)
        is_keyed = config.services[service].is_keyed
        key = None
        if is_keyed:
            key = request_headers.parse_key(request.header(request_headers.KEY))
            if key is None:
                return answers.refusal(
                    _Code.KEY_REQUIRED, 'key is missing or malformed'
                )
        if relayed is None:
            self._count(service, key)
        caller_timeout_ms = request_headers.parse_deadline(
            request.header(request_headers.DEADLINE),
        )
        allowed_ms = route.timeout_ms
        if caller_timeout_ms is not None:
            allowed_ms = min(allowed_ms, caller_timeout_ms)
        return proxied_requests.ProxiedRequest(
            request=request,
            request_id=request.header(request_headers.REQUEST_ID) or '',
            arrived=arrived,
            ends_at=clock.later(arrived, allowed_ms),
            answer_by=clock.later(arrived, allowed_ms),
            route=route,
            service=service,
            key=key,
            signature=request_signatures.sign(request),
            is_relayed=relayed is not None,
            earlier_runs=0 if relayed is None else relayed.earlier_runs,
        )

    def _choose_service(
        self,
        route: routes.Route,
        relayed: relay_messages.RelayedRequest | None,
    ) -> ids.ServiceName:
        if relayed is not None:
            for share in route.shares:
                if share.service == relayed.service:
                    return share.service
        return self._route_splits.choose(route)

    def _count(
        self,
        service: ids.ServiceName,
        key: owners.Key | None,
    ) -> None:
        self._budget.count_request(service, self._view.clock.now())
        if key is not None:
            counted = self._demand.get((service, key), 0)
            self._demand[service, key] = counted + 1


def _starting(reason: str) -> answers.FinalAnswer:
    return answers.refusal(_Code.STARTING, reason, _STARTING_RETRY_AFTER_MS)
