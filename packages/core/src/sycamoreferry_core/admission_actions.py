"""Type what an admission partition does."""

import dataclasses
import enum

from sycamoreferry_core import admission_records, ids


@enum.unique
class Verdict(enum.Enum):
    """Name the answers to an ask."""

    ADMITTED = 'admitted'
    RUNNING = 'running'
    ANSWERED = 'answered'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'
    NOT_OWNER = 'not-owner'


@dataclasses.dataclass(frozen=True)
class Answer:
    """Answer an ask; a hint names the owner where another is."""

    attempt: ids.AttemptId
    verdict: Verdict
    hint: ids.InstanceId = ids.InstanceId('')


@dataclasses.dataclass(frozen=True)
class Append:
    """Append a record to the partition's stream."""

    record: admission_records.AnyAdmissionRecord


@dataclasses.dataclass(frozen=True)
class SendCopy:
    """Send the deputy what is admitted and not journaled."""

    deputy: ids.InstanceId
    claim: ids.Offset
    number: int
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class AnswerCopy:
    """Tell the owner whether its copy is held."""

    owner: ids.InstanceId
    claim: ids.Offset
    number: int
    held: bool


@dataclasses.dataclass(frozen=True)
class AskYield:
    """Ask the holders of an older claim to admit no more under it."""

    holders: tuple[ids.InstanceId, ...]
    claim: ids.Offset


@dataclasses.dataclass(frozen=True)
class AnswerYield:
    """Tell a claimant that older claims are over, and what they held."""

    claimant: ids.InstanceId
    claim: ids.Offset
    admitted: tuple[admission_records.Admitted, ...]


@dataclasses.dataclass(frozen=True)
class Probe:
    """Ask an instance whether it is there."""

    instance: ids.InstanceId


Action = (
    Answer | Append | SendCopy | AnswerCopy | AskYield | AnswerYield | Probe
)
