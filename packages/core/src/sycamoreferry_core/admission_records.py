"""Define the records of a partition's admission stream."""

import enum
import typing

import msgspec

from sycamoreferry_core import decoding, ids, record_fields


@enum.unique
class Ending(enum.Enum):
    """List the ways in which an admitted request ends."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Order(typing.NamedTuple):
    """Order the admissions of a partition by claim, then by serial."""

    claim: record_fields.Offset
    serial: decoding.Count


class Admitted(msgspec.Struct, frozen=True, array_like=True):
    """Record the admission of one attempt to run a request."""

    key: ids.AdmissionKey
    fingerprint: ids.Fingerprint
    attempt: ids.AttemptId
    deadline_ms: record_fields.TimeLeft
    order: Order


class Concluded(msgspec.Struct, frozen=True, array_like=True):
    """Record how an admitted attempt ended."""

    key: ids.AdmissionKey
    attempt: ids.AttemptId
    ending: Ending


class AdmissionClaimed(msgspec.Struct, frozen=True, tag=True):
    """Claim a partition; only the last claim in the stream is valid."""

    owner: record_fields.InstanceId
    deputy: record_fields.InstanceId


class AdmissionBatch(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Record admissions and endings under the claim at an offset."""

    claim: record_fields.Offset
    number: decoding.Count
    owner: record_fields.InstanceId
    deputy: record_fields.InstanceId
    stamp: decoding.WholeNumber
    admitted: tuple[Admitted, ...] = ()
    concluded: tuple[Concluded, ...] = ()
    settles: bool = True


AnyAdmissionRecord = AdmissionClaimed | AdmissionBatch

_decoder: msgspec.json.Decoder[AnyAdmissionRecord] = msgspec.json.Decoder(
    AnyAdmissionRecord,
)


def encode_record(record: AnyAdmissionRecord) -> bytes:
    """Encode a record as JSON."""
    return msgspec.json.encode(record)


def decode_record(payload: bytes) -> AnyAdmissionRecord | None:
    """Decode a record; return None for anything else."""
    try:
        return decoding.decode(_decoder, payload)
    except msgspec.MsgspecError:
        return None
