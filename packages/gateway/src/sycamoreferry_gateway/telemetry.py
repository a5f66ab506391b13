"""Count requests and render the metrics of an instance for a scraper."""

import collections
import typing

from sycamoreferry_core import ids, result_codes

# Upper bounds of the latency buckets in milliseconds.
_BUCKETS_MS = (5, 10, 25, 50, 100, 200, 400, 800, 1_600, 3_200)

_PREFIX = 'ferry_gateway_'
_COUNTERS = {
    'requests_total': 'Requests by service, route kind and result code.',
    'duration_ms_bucket': 'Requests that ended within a time, by service.',
    'duration_ms_sum': 'Milliseconds of all requests, by service.',
}

if typing.TYPE_CHECKING:
    from sycamoreferry_gateway import proxied_requests


_Row = tuple[str, dict[str, str], int]


class Telemetry:
    """Hold counts by label; the metrics library renders them at a scrape."""

    def __init__(self) -> None:
        self._ended: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._buckets: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._sums: collections.Counter[str] = collections.Counter()

    def count_request(
        self,
        proxied: 'proxied_requests.ProxiedRequest | None',
        code: result_codes.ResultCode | None,
        elapsed_ms: int,
    ) -> None:
        """Count an ended request; code is None if the caller disconnected."""
        service = proxied.service if proxied else ids.ServiceName('')
        kind = proxied.route.kind.value if proxied else ''
        label = str(int(code)) if code else 'caller left'
        self._ended[service, kind, label] += 1
        self._sums[service] += elapsed_ms
        for bound in _BUCKETS_MS:
            if elapsed_ms <= bound:
                self._buckets[service, str(bound)] += 1
        self._buckets[service, '+Inf'] += 1

    def render(self, gauges: typing.Mapping[str, float]) -> bytes:
        """Return counters and given gauges in the Prometheus text format."""
        # Imported at the first scrape to save memory: most instances are
        # never scraped.
        from aioprometheus import collectors, renderer

        registry = collectors.Registry()
        counters = {
            name: collectors.Counter(
                f'{_PREFIX}{name}', help_text, registry=registry
            )
            for name, help_text in _COUNTERS.items()
        }
        for name, labels, count in self._rows():
            counters[name].set(labels, count)
        for name, reading in gauges.items():
            gauge = collectors.Gauge(
                f'{_PREFIX}{name}',
                name.replace('_', ' '),
                registry=registry,
            )
            gauge.set({}, reading)
        return bytes(renderer.render(registry, ['text/plain'])[0])

    def _rows(self) -> list[_Row]:
        rows: list[_Row] = [
            (
                'requests_total',
                {'service': service, 'kind': kind, 'code': code},
                count,
            )
            for (service, kind, code), count in self._ended.items()
        ]
        rows.extend(
            ('duration_ms_bucket', {'service': service, 'le': bound}, count)
            for (service, bound), count in self._buckets.items()
        )
        rows.extend(
            ('duration_ms_sum', {'service': service}, total)
            for service, total in self._sums.items()
        )
        return rows
