"""Type what an admission partition meets."""

import dataclasses

from sycamoreferry_core import admission_records, clock, ids, records


@dataclasses.dataclass(frozen=True)
class Member:
    """Name an instance that may own a partition."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre


@dataclasses.dataclass(frozen=True)
class Ticked:
    """Tell that time went by."""


@dataclasses.dataclass(frozen=True)
class MembersKnown:
    """Tell which instances are joined, in the partition's own order."""

    line: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class StreamRead:
    """Tell what the stream holds; counted from the sending of the read."""

    logged: tuple[records.LoggedRecord, ...]
    caught_up: bool
    sent_at: clock.Millis


@dataclasses.dataclass(frozen=True)
class LogFailed:
    """Tell that the log did not answer a read or an append."""


@dataclasses.dataclass(frozen=True)
class Asked:
    """Ask to admit one attempt to run a request."""

    key: ids.AdmissionKey
    fingerprint: ids.Fingerprint
    attempt: ids.AttemptId
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Ended:
    """Tell how an admitted attempt ended."""

    concluded: admission_records.Concluded


@dataclasses.dataclass(frozen=True)
class CopyAnswered:
    """Tell what the deputy said to a copy; not held covers silence."""

    claim: ids.Offset
    number: int
    held: bool


@dataclasses.dataclass(frozen=True)
class CopyAsked:
    """Ask the deputy of a claim to hold admissions that are not journaled."""

    owner: ids.InstanceId
    claim: ids.Offset
    number: int
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class YieldAsked:
    """Ask a holder to admit no more under the claims before an offset."""

    claimant: ids.InstanceId
    claim: ids.Offset


@dataclasses.dataclass(frozen=True)
class Yielded:
    """Tell that the claims before an offset are over, and what they held."""

    claim: ids.Offset
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class PeerHeard:
    """Tell that an instance answered or asked."""

    instance: ids.InstanceId


Event = (
    Ticked
    | MembersKnown
    | StreamRead
    | LogFailed
    | Asked
    | Ended
    | CopyAnswered
    | CopyAsked
    | YieldAsked
    | Yielded
    | PeerHeard
)
