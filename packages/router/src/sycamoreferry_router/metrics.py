"""Collect the metrics of the instance and render them for Prometheus."""

import collections

from aioprometheus import collectors as prometheus
from aioprometheus import renderer

from sycamoreferry_core import outcomes, result_codes, state
from sycamoreferry_router import connection_limits

_OutcomeKey = tuple[str, result_codes.ResultCode]


class Metrics:
    """Hold the metrics of one instance."""

    def __init__(self) -> None:
        self.registry = prometheus.Registry()
        self.requests = self._counter(
            'ferry_requests_total',
            'Requests by service and result code.',
        )
        # The library checks labels at each increment, which is too slow for
        # the request path; render() copies these counts.
        self._outcome_counts: collections.Counter[_OutcomeKey] = (
            collections.Counter()
        )
        self.retries = self._counter(
            'ferry_retries_total',
            'Requests that were sent on again, by service.',
        )
        self.orders = self._counter(
            'ferry_orders_total',
            'Orders to backend servers, by service and kind.',
        )
        self.in_flight = self._gauge(
            'ferry_requests_in_flight',
            'Requests that are being served.',
        )
        self.next_offset = self._gauge(
            'ferry_log_next_offset',
            'Offset up to which the log was folded.',
        )
        self.has_authority = self._gauge(
            'ferry_coordinator_authority',
            'Whether this instance may give orders, by service.',
        )
        self.held_bytes = self._gauge(
            'ferry_connection_bytes',
            'Bytes that connections hold, by port (callers or peers).',
        )
        self.evictions = self._counter(
            'ferry_connections_evicted_total',
            'Connections refused or closed at a limit, by port and reason.',
        )
        self._limits: list[connection_limits.ConnectionLimits] = []
        self.profile_number = self._gauge(
            'ferry_profile_number',
            'Number of the profile in force, by name.',
        )

    def count_outcome(self, service: str, outcome: outcomes.Outcome) -> None:
        """Count how a request ended."""
        self._outcome_counts[service, outcome.code] += 1

    def watch(self, limits: connection_limits.ConnectionLimits) -> None:
        """Render what the connections of a port hold from now on."""
        self._limits.append(limits)

    def set_gauges(self, log_state: state.LogState, in_flight: int) -> None:
        """Set the gauges whose values are read at a scrape."""
        self.in_flight.set({}, in_flight)
        self.next_offset.set({}, log_state.next_offset)
        for name, published in log_state.profiles.items():
            self.profile_number.set({'profile': name}, published.number)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in an accepted format, and response headers."""
        for (service, code), count in self._outcome_counts.items():
            labels = {'service': service, 'code': str(int(code))}
            self.requests.set(labels, count)
        for limits in self._limits:
            port = {'port': limits.port}
            self.held_bytes.set(port, limits.held_bytes)
            for reason, evicted in limits.evicted.items():
                self.evictions.set({**port, 'reason': reason}, evicted)
        content, headers = renderer.render(self.registry, [accept])
        return content, dict(headers)

    def _counter(self, name: str, help_text: str) -> prometheus.Counter:
        return prometheus.Counter(name, help_text, registry=self.registry)

    def _gauge(self, name: str, help_text: str) -> prometheus.Gauge:
        return prometheus.Gauge(name, help_text, registry=self.registry)
