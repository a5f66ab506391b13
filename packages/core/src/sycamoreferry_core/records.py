"""Define the records of the configuration log and their encoding."""

import enum
import typing

import msgspec

from sycamoreferry_core import (
    clock,
    decoding,
    ids,
    quarantine,
    record_fields,
)


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Identify a record by the id that its writer chose."""

    record_id: record_fields.RecordId


class TermClaimed(Record, frozen=True, tag=True):
    """Claim the next term of a service."""

    service: record_fields.ServiceName
    term: record_fields.Term
    follows: record_fields.Term
    coordinator: record_fields.InstanceId
    deputy: record_fields.InstanceId


class TermSettled(Record, frozen=True, tag=True):
    """Record that every term before this one is over."""

    service: record_fields.ServiceName
    term: record_fields.Term


class HoldersReleased(Record, frozen=True, tag=True):
    """Record an operator's statement that holders up to a term are gone."""

    service: record_fields.ServiceName
    term: record_fields.Term


class Ownership(msgspec.Struct, frozen=True):
    """Assign shards to a server."""

    server: record_fields.ServerId
    shards: tuple[record_fields.ShardId, ...]


@enum.unique
class MoveCause(enum.Enum):
    """List the reasons for which shards change owner."""

    LOSS = 'loss'
    DRAIN = 'drain'
    PIN = 'pin'
    ARRIVAL = 'arrival'
    LOAD = 'load'

    @property
    def is_voluntary(self) -> bool:
        """Tell whether the move can be postponed and counts as churn."""
        return self in {MoveCause.ARRIVAL, MoveCause.LOAD}


class AssignmentRevised(Record, frozen=True, tag=True):
    """Change the owners of some shards under a term."""

    service: record_fields.ServiceName
    term: record_fields.Term
    shard_count: record_fields.ShardCount
    changes: tuple[Ownership, ...]
    cause: MoveCause = MoveCause.LOSS
    decided_at: record_fields.UnixMillis = clock.UNIX_EPOCH


class DrainRequested(Record, frozen=True, tag=True):
    """Start or cancel the drain of a backend server."""

    service: record_fields.ServiceName
    server: record_fields.ServerId
    drain: bool = True


class ShardPinned(Record, frozen=True, tag=True):
    """Pin a shard to a server; a server of None removes the pin."""

    service: record_fields.ServiceName
    shard: record_fields.ShardId
    server: record_fields.ServerId | None


class StateSnapshot(Record, frozen=True, tag=True):
    """Carry one part of a snapshot of the state before an offset."""

    snapshot: record_fields.SnapshotId
    covers: record_fields.Offset
    part: record_fields.SnapshotPart
    parts: record_fields.SnapshotPart
    content: bytes


class ProfilePublished(Record, frozen=True, tag=True):
    """Publish a profile that replaces the revision `revises`."""

    name: record_fields.ProfileName
    revises: record_fields.ProfileNumber
    body: str


class InstanceJoined(Record, frozen=True, tag=True):
    """Announce a new routing instance."""

    instance: record_fields.InstanceId
    data_centre: record_fields.DataCentre
    peer_host: record_fields.PeerHost
    peer_port: record_fields.Port
    request_port: record_fields.Port


class InstanceLeft(Record, frozen=True, tag=True):
    """Announce that a routing instance has left."""

    instance: record_fields.InstanceId


class ServerCrashed(Record, frozen=True, tag=True):
    """Record the crash of a backend server and what it was running."""

    crash: quarantine.Crash


class SuspicionCleared(Record, frozen=True, tag=True):
    """Remove a request from all crashes, which ends its quarantine."""

    digest: record_fields.RequestDigest


AnyRecord = (
    TermClaimed
    | TermSettled
    | HoldersReleased
    | AssignmentRevised
    | DrainRequested
    | ShardPinned
    | StateSnapshot
    | ProfilePublished
    | InstanceJoined
    | InstanceLeft
    | ServerCrashed
    | SuspicionCleared
)

_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[AnyRecord] = msgspec.json.Decoder(AnyRecord)


class BadRecordError(ValueError):
    """Report bytes that do not decode to a record."""


def encode_record(record: AnyRecord) -> bytes:
    """Encode a record as JSON."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> AnyRecord:
    """Decode a record; raise BadRecordError for invalid bytes."""
    try:
        return decoding.decode(_decoder, payload)
    except msgspec.MsgspecError as error:
        raise BadRecordError(f'cannot decode the record: {error}') from error


class LoggedRecord(typing.NamedTuple):
    """Pair an encoded record with its offset in the log."""

    offset: ids.Offset
    payload: bytes
