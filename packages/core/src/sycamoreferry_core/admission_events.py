"""Define the events that an admission partition handles."""

import dataclasses

from sycamoreferry_core import admission_records, clock, ids, records


@dataclasses.dataclass(frozen=True)
class Member:
    """Identify an instance that may own a partition."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre


@dataclasses.dataclass(frozen=True)
class Ticked:
    """Report a timer tick."""


@dataclasses.dataclass(frozen=True)
class MembersChanged:
    """Report the joined instances, ranked for the partition."""

    ranking: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class StreamRead:
    """Report records of the stream as of the time the read was sent."""

    logged: tuple[records.LoggedRecord, ...]
    caught_up: bool
    sent_at: clock.Millis


@dataclasses.dataclass(frozen=True)
class LogFailed:
    """Report that the log did not answer a read or an append."""


@dataclasses.dataclass(frozen=True)
class AdmissionRequested:
    """Request the admission of one attempt to run a request."""

    key: ids.AdmissionKey
    fingerprint: ids.Fingerprint
    attempt: ids.AttemptId
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class AttemptEnded:
    """Report how an admitted attempt ended."""

    concluded: admission_records.Concluded


@dataclasses.dataclass(frozen=True)
class CopyAnswered:
    """Report whether the deputy holds a copy; no answer counts as not."""

    claim: ids.Offset
    number: int
    held: bool


@dataclasses.dataclass(frozen=True)
class CopyRequested:
    """Request that the deputy of a claim store unjournaled admissions."""

    owner: ids.InstanceId
    claim: ids.Offset
    number: int
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class YieldRequested:
    """Request that a holder end the claims before an offset."""

    claimant: ids.InstanceId
    claim: ids.Offset


@dataclasses.dataclass(frozen=True)
class YieldConfirmed:
    """Report that the claims before an offset ended, and what they held."""

    claim: ids.Offset
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class PeerHeard:
    """Report that a message from an instance arrived."""

    instance: ids.InstanceId


Event = (
    Ticked
    | MembersChanged
    | StreamRead
    | LogFailed
    | AdmissionRequested
    | AttemptEnded
    | CopyAnswered
    | CopyRequested
    | YieldRequested
    | YieldConfirmed
    | PeerHeard
)
