"""Define the records of the configuration log and their encoding."""

import enum
import typing

import msgspec

from sycamoreferry_core import clock, decoding, ids, quarantine


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Identify a record by the id that its writer chose."""

    record_id: ids.RecordId


class TermClaimed(Record, frozen=True, tag=True):
    """Claim the next term of a service."""

    service: ids.ServiceName
    term: ids.Term
    follows: ids.Term
    coordinator: ids.InstanceId
    deputy: ids.InstanceId


class TermSettled(Record, frozen=True, tag=True):
    """Record that every term before this one is over."""

    service: ids.ServiceName
    term: ids.Term


class HoldersReleased(Record, frozen=True, tag=True):
    """Record an operator's statement that holders up to a term are gone."""

    service: ids.ServiceName
    term: ids.Term


class Ownership(msgspec.Struct, frozen=True):
    """Assign shards to a server."""

    server: ids.ServerId
    shards: tuple[ids.ShardId, ...]


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

    service: ids.ServiceName
    term: ids.Term
    shard_count: int
    changes: tuple[Ownership, ...]
    cause: MoveCause = MoveCause.LOSS
    decided_at: clock.UnixMillis = clock.UNIX_EPOCH


class DrainRequested(Record, frozen=True, tag=True):
    """Start or cancel the drain of a backend server."""

    service: ids.ServiceName
    server: ids.ServerId
    drain: bool = True


class ShardPinned(Record, frozen=True, tag=True):
    """Pin a shard to a server; a server of None removes the pin."""

    service: ids.ServiceName
    shard: ids.ShardId
    server: ids.ServerId | None


class StateSnapshot(Record, frozen=True, tag=True):
    """Carry one part of a snapshot of the state before an offset."""

    snapshot: ids.SnapshotId
    covers: ids.Offset
    part: int
    parts: int
    content: bytes


class ProfilePublished(Record, frozen=True, tag=True):
    """Publish a profile that replaces the revision `revises`."""

    name: ids.ProfileName
    revises: ids.ProfileNumber
    body: str


class InstanceJoined(Record, frozen=True, tag=True):
    """Announce a new routing instance."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    peer_host: str
    peer_port: int
    request_port: int


class InstanceLeft(Record, frozen=True, tag=True):
    """Announce that a routing instance has left."""

    instance: ids.InstanceId


class ServerCrashed(Record, frozen=True, tag=True):
    """Record the crash of a backend server and what it was running."""

    crash: quarantine.Crash


class SuspicionCleared(Record, frozen=True, tag=True):
    """Remove a request from all crashes, which ends its quarantine."""

    digest: ids.RequestDigest


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
