"""Define the actions that admission decisions ask the caller to run."""

import dataclasses
import enum

from sycamoreferry_core import admission_records, ids


@enum.unique
class Verdict(enum.Enum):
    """List the possible answers to a request for admission."""

    ADMITTED = 'admitted'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'
    NOT_OWNER = 'not-owner'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer an admission request; the hint names a different owner."""

    attempt: ids.AttemptId
    verdict: Verdict
    hint: ids.InstanceId = ids.InstanceId('')


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record to the partition's admission stream."""

    record: admission_records.AnyAdmissionRecord


@dataclasses.dataclass(frozen=True)
class SendCopy:
    """Send the deputy admissions that are not yet in the stream."""

    deputy: ids.InstanceId
    claim: ids.Offset
    number: int
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class AnswerCopy:
    """Tell the owner whether this deputy stored its copy."""

    owner: ids.InstanceId
    claim: ids.Offset
    number: int
    held: bool


@dataclasses.dataclass(frozen=True)
class RequestYield:
    """Ask the holders of older claims to stop admitting under them."""

    holders: tuple[ids.InstanceId, ...]
    claim: ids.Offset


@dataclasses.dataclass(frozen=True)
class ConfirmYield:
    """Tell the claimant that older claims ended, and what they admitted."""

    claimant: ids.InstanceId
    claim: ids.Offset
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class Probe:
    """Check whether an instance responds."""

    instance: ids.InstanceId


Action = (
    Answer
    | Append
    | SendCopy
    | AnswerCopy
    | RequestYield
    | ConfirmYield
    | Probe
)
