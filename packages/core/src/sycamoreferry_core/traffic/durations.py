"""Estimate how long requests take at each server and at those of a service.

Load pattern: of hundreds of instances, each sends few requests to any server,
and durations vary widely from one request to the next. So the samples of all
instances count together, and where they are few, the estimate stays near the
mean of the service.
"""

import dataclasses
import math
import typing

from sycamoreferry_core import clock, ids
from sycamoreferry_core.fleet import servers
from sycamoreferry_core.traffic import peer_loads

# Servers turn slow, or fast once they are warm, within seconds.
_TIME_CONSTANT_MS = 10_000
_DEFAULT_DURATION_MS = 100.0
# The mean of the service counts like this many samples of each server.
_PRIOR_SAMPLES = 8
# Weight of one request in the mean of a service at this instance.
_SERVICE_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class DecayingMean:
    """Hold a mean in which samples count less the older they are."""

    sum_ms: float = 0
    samples: float = 0
    at: clock.Millis = clock.LONG_AGO

    @property
    def duration_ms(self) -> float:
        """Return the mean; 0 without samples."""
        return self.sum_ms / self.samples if self.samples else 0

    def decay(self, now: clock.Millis) -> None:
        """Reduce the weight of the samples by the time since the last call."""
        factor = math.exp((self.at - now) / _TIME_CONSTANT_MS)
        self.sum_ms *= factor
        self.samples *= factor
        self.at = now

    def add(self, duration_ms: float, now: clock.Millis) -> None:
        """Add a sample."""
        self.decay(now)
        self.sum_ms += duration_ms
        self.samples += 1


class ServerDurations:
    """Combine own samples with those that other instances report."""

    def __init__(self, peers: peer_loads.PeerLoads) -> None:
        self._peers = peers
        self._own: dict[ids.ServerId, DecayingMean] = {}
        # Means of the requests of this instance, and of all instances.
        self._own_service_ms: dict[ids.ServiceName, float] = {}
        self._service_ms: dict[ids.ServiceName, float] = {}

    def record(
        self,
        server: servers.BackendServer,
        duration_ms: float,
        now: clock.Millis,
    ) -> None:
        """Update the means with a request that did not queue at its server."""
        self._own.setdefault(server.incarnation.server, DecayingMean()).add(
            duration_ms, now
        )
        mean = self._own_service_ms.get(server.service, duration_ms)
        mean += _SERVICE_WEIGHT * (duration_ms - mean)
        self._own_service_ms[server.service] = mean

    def own(self, server: ids.ServerId) -> DecayingMean:
        """Return the mean of this instance's requests at a server."""
        return self._own.get(server) or DecayingMean()

    def sample_count(self, server: ids.ServerId) -> float:
        """Return how many samples the estimate of a server rests on."""
        return self.own(server).samples + self._peers.totals(server).samples

    def of_service(self, service: ids.ServiceName) -> float:
        """Return the mean duration of a service's requests in ms."""
        own = self._own_service_ms.get(service, _DEFAULT_DURATION_MS)
        return self._service_ms.get(service, own)

    def of_server(self, server: servers.BackendServer) -> float:
        """Return the expected duration at a server in ms."""
        server_id = server.incarnation.server
        prior = self.of_service(server.service)
        count = self.sample_count(server_id)
        total = count * self._sampled_ms(server_id)
        return (total + _PRIOR_SAMPLES * prior) / (count + _PRIOR_SAMPLES)

    def update_services(
        self,
        known: typing.Collection[servers.BackendServer],
        now: clock.Millis,
    ) -> None:
        """Let old samples count less, and update the means of the services.

        The harmonic mean goes by what the servers run in a time, so that slow
        ones, which get few requests, count little.
        """
        for mean in self._own.values():
            mean.decay(now)
        counts: dict[ids.ServiceName, float] = {}
        rates: dict[ids.ServiceName, float] = {}
        for server in known:
            duration_ms = self._sampled_ms(server.incarnation.server)
            if duration_ms <= 0:
                continue
            service = server.service
            count = self.sample_count(server.incarnation.server)
            counts[service] = counts.get(service, 0) + count
            rates[service] = rates.get(service, 0) + count / duration_ms
        self._service_ms.update(
            (service, counts[service] / rate) for service, rate in rates.items()
        )

    def keep_only(self, known: typing.Container[ids.ServerId]) -> None:
        """Drop the means of servers that are not known."""
        self._own = {
            server: mean
            for server, mean in self._own.items()
            if server in known
        }

    def _sampled_ms(self, server: ids.ServerId) -> float:
        """Return the mean of all samples at a server; 0 if there is none."""
        count = self.sample_count(server)
        if count <= 0:
            return 0
        total_ms = self.own(server).sum_ms
        total_ms += self._peers.totals(server).duration_sum_ms
        return total_ms / count
