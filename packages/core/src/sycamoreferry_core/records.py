"""Define the records of the configuration log."""

import enum
import typing

import msgspec

from sycamoreferry_core import clock, ids, quarantine


class Record(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Carry the identity that its writer chose."""

    record_id: ids.RecordId


class TermClaimed(Record, frozen=True, tag=True):
    """Claim the next term of a service."""

    service: ids.ServiceName
    term: ids.Term
    follows: ids.Term
    coordinator: ids.InstanceId
    deputy: ids.InstanceId


class TermSettled(Record, frozen=True, tag=True):
    """State that every earlier term is over."""

    service: ids.ServiceName
    term: ids.Term


class HoldersReleased(Record, frozen=True, tag=True):
    """Carry the operator's word that the holders up to a term are gone."""

    service: ids.ServiceName
    term: ids.Term


class Ownership(msgspec.Struct, frozen=True):
    """Name the shards that a server is to own."""

    server: ids.ServerId
    shards: tuple[ids.ShardId, ...]


@enum.unique
class MoveCause(enum.Enum):
    """Name why shards change owner."""

    LOSS = 'loss'
    DRAIN = 'drain'
    PIN = 'pin'
    ARRIVAL = 'arrival'
    LOAD = 'load'

    @property
    def is_voluntary(self) -> bool:
        """Tell whether the move could wait and counts as churn."""
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
    """Ask that a backend server be emptied, or end that wish."""

    service: ids.ServiceName
    server: ids.ServerId
    drain: bool = True


class ShardPinned(Record, frozen=True, tag=True):
    """Give a shard a server of its own; no server ends that."""

    service: ids.ServiceName
    shard: ids.ShardId
    server: ids.ServerId | None


class StateSnapshot(Record, frozen=True, tag=True):
    """Carry one part of the state before an offset."""

    snapshot: ids.SnapshotId
    covers: ids.Offset
    part: int
    parts: int
    content: bytes


class ProfilePublished(Record, frozen=True, tag=True):
    """Publish a profile that revises a number."""

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
    """Announce that a routing instance is gone."""

    instance: ids.InstanceId


class ServerCrashed(Record, frozen=True, tag=True):
    """Note that a backend server crashed, and what it was running."""

    crash: quarantine.Crash


class SuspicionCleared(Record, frozen=True, tag=True):
    """Forget that a request ran in crashes; this ends its quarantine."""

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
    """Report bytes that are no record."""


def encode_record(record: AnyRecord) -> bytes:
    """Write a record as bytes."""
    return _encoder.encode(record)


def decode_record(payload: bytes) -> AnyRecord:
    """Read a record from bytes; raise BadRecordError."""
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise BadRecordError(f'not a record: {error}') from error


class LoggedRecord(typing.NamedTuple):
    """Pair a payload with its place in the log."""

    offset: ids.Offset
    payload: bytes
