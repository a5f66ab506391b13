"""Define the settings that describe an instance and its deployment."""

import dataclasses

from sycamoreferry_core import ids

# Applies if the settings don't name the memory of the machine.
DEFAULT_MEMORY_MB = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Identify a socket by IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Format the address as host:port."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limit draining, retries and key leases; times are in milliseconds."""

    drain_ms: int
    grace_ms: int
    retry_ratio: float
    retry_window_ms: int
    retry_extra: int
    longest_hold_ms: int
    # The time within which requests to an evacuated data centre end; None if
    # the deployment has no evacuations.
    evacuate_ms: int | None = None
    # What all instances send a cold server in a second is bounded by the rate
    # that it tolerates times the overage, plus the slack; None for no bound.
    warmup_overage: float | None = None
    warmup_slack: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Describe the identity, addresses and limits of an instance."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    host: str
    request_address: Address
    readiness_address: Address
    peer_port: int
    metrics_port: int
    store_address: Address
    heartbeat_ms: int
    max_descriptors: int
    cores: float
    link_mbps: float
    bounds: Bounds
    # Whether the whole system starts for the first time.
    is_first_start: bool = True
    memory_mb: int = DEFAULT_MEMORY_MB

    @property
    def counting_weight(self) -> float:
        """Return the weight for sharing the counting of requests."""
        return self.cores * self.link_mbps
