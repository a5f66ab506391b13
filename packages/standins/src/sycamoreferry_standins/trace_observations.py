"""Hold what was observed while a trace was replayed."""

import dataclasses

from sycamoreferry_core import clock, ids, outcomes
from sycamoreferry_standins import backend_server, trace


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Hold one sending of a request, and how it ended."""

    line: trace.RequestSent
    request_id: ids.RequestId
    sent_at: clock.Millis
    ended_at: clock.Millis
    kind: outcomes.Kind
    code: int
    server: ids.ServerId = ids.ServerId('')
    whole: bool = True

    @property
    def key(self) -> str:
        """Return the key, or the service where it has no keys."""
        return f'{self.line.service}/{self.line.key}'


@dataclasses.dataclass(frozen=True)
class Departure:
    """Hold when a backend server was listed as leaving."""

    server: ids.ServerId
    at: clock.Millis


@dataclasses.dataclass(frozen=True)
class Publication:
    """Hold how long a profile took until every instance had it."""

    name: ids.ProfileName
    number: ids.ProfileNumber
    took_ms: int
    missing: tuple[ids.InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True)
class Observed:
    """Hold all that was observed during a replay."""

    attempts: tuple[Attempt, ...] = ()
    runs: tuple[backend_server.Run, ...] = ()
    departures: tuple[Departure, ...] = ()
    publications: tuple[Publication, ...] = ()
    retries: int = 0
