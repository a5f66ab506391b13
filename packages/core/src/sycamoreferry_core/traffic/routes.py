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
    """Tell what may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    DOWNLOAD = 'download'

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self is not RouteKind.UNSAFE


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Give a service its part of a route's requests."""

    service: ids.ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Hold what an operator declared for a path prefix."""

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
    """Hold what an operator declared for a service."""

    name: ids.ServiceName
    max_connections: int
    is_keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send and how long it may stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """Hold one version of the operator's declarations."""

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
        """Return the route of a path without its query, if there is one."""
        name = host.partition(':')[0].lower()
        end = path.rfind('/')
        while end >= 0:
            found = self._routes.get((name, path[: end + 1]))
            if found is not None:
                return found
            end = path.rfind('/', 0, end)
        return None


class SplitTurns:
    """Share a route's requests by weight with smooth round robin."""

    def __init__(self) -> None:
        self._credit: dict[RouteName, dict[ids.ServiceName, float]] = (
            collections.defaultdict(dict)
        )

    def choose(self, route: Route) -> ids.ServiceName:
        """Return the service whose turn it is."""
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
