"""Match requests to routes and routes to services."""

import collections
import dataclasses
import enum
import typing

from sycamoreferry_core import ids

RouteName = typing.NewType('RouteName', str)
HostName = typing.NewType('HostName', str)
ConfigVersion = typing.NewType('ConfigVersion', int)


@enum.unique
class RouteKind(enum.Enum):
    """Classify routes by whether their requests may run more than once."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def is_retryable(self) -> bool:
        """Return whether a request may run more than once."""
        return self is not RouteKind.UNSAFE


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Set the weight by which a service shares a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Define the operator's settings for a path prefix."""

    name: RouteName
    host: HostName
    prefix: str
    kind: RouteKind
    timeout_ms: int
    objective_ms: int
    priority: int
    max_attempts: int
    shares: tuple[ServiceShare, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Define the operator's settings for a service."""

    name: ids.ServiceName
    max_connections: int
    is_keyed: bool
    # How long a server is cold after it starts, and the requests a second that
    # it tolerates meanwhile; None if it names no limit.
    warmup_ms: int = 0
    warmup_requests_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit what a caller may send and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """Combine one version of the operator's routing settings."""

    version: ConfigVersion
    routes: tuple[Route, ...]
    services: typing.Mapping[ids.ServiceName, ServicePolicy]
    limits: CallerLimits


class RouteTable:
    """Find the route with the longest matching prefix of a host."""

    def __init__(self, config: RoutingConfig) -> None:
        self._routes: dict[tuple[str, str], Route] = {
            (route.host, route.prefix): route for route in config.routes
        }

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a path without its query, or None."""
        name = host_name(host)
        end = path.rfind('/')
        while end >= 0:
            found = self._routes.get((name, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


def host_name(host: str) -> str:
    """Return the name in a Host header, without its port."""
    return host.partition(':')[0].lower()


class WeightedRoundRobin:
    """Split a route's requests with smooth weighted round robin."""

    def __init__(self) -> None:
        self._credit: dict[RouteName, dict[ids.ServiceName, float]] = (
            collections.defaultdict(dict)
        )

    def choose(self, route: Route) -> ids.ServiceName:
        """Return the service that receives the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._credit[route.name]
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            earned = credit.get(share.service, 0) + share.weight
            credit[share.service] = earned
        chosen = max(
            (share.service for share in route.shares),
            key=lambda service: credit[service],
        )
        credit[chosen] -= total
        return chosen
