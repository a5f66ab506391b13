"""Encode the datagrams between instances."""

import msgspec


class LoadRow(msgspec.Struct, array_like=True):
    """Report one server's load as the sender sees it."""

    server: str
    in_flight: int
    waiting: int
    duration_ms: float


class DemandRow(msgspec.Struct, array_like=True):
    """Count requests for a key since the last heartbeat."""

    service: str
    key: int
    count: int


class CrashRow(msgspec.Struct, array_like=True):
    """Name a request that ended an incarnation of a server."""

    signature: int
    server: str
    born: int


class Heartbeat(msgspec.Struct, array_like=True, tag='heartbeat'):
    """Tell that the sender lives, what it has read and what it is doing."""

    instance: str
    incarnation: int
    is_leaving: bool
    store_age_ms: int
    has_authority: bool
    # The term that the sender gave up last, and how long its leases last.
    given_up_term: int
    leases_ms: int
    # The offsets up to which each topic was read, in the order of the view.
    ends: list[int]
    # None where the sender reports its load to the coordinator alone.
    loads: list[LoadRow] | None
    crashes: list[CrashRow]


class Demand(msgspec.Struct, array_like=True, tag='demand'):
    """Report requests by key to the coordinator."""

    rows: list[DemandRow]


class LoadSummary(msgspec.Struct, array_like=True, tag='summary'):
    """Tell the load of servers, summed over all instances."""

    coordinator: str
    rows: list[LoadRow]


class RecordRow(msgspec.Struct, array_like=True):
    """Hand on a record of the store."""

    key: str
    offset: int
    content: bytes | None


class Records(msgspec.Struct, array_like=True, tag='records'):
    """Hand on the newest records of a topic."""

    topic: str
    end: int
    rows: list[RecordRow]


class RecordsWanted(msgspec.Struct, array_like=True, tag='wanted'):
    """Ask for the records of a topic that are newer than an offset."""

    topic: str
    end: int


class KeysMoving(msgspec.Struct, array_like=True, tag='moving'):
    """Tell that keys are about to be released by their owner."""

    service: str
    first: int
    last: int
    is_over: bool


PeerMessage = (
    Heartbeat | Demand | LoadSummary | Records | RecordsWanted | KeysMoving
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    Heartbeat | Demand | LoadSummary | Records | RecordsWanted | KeysMoving,
)


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> PeerMessage:
    """Decode a datagram; raise MsgspecError if it is malformed."""
    return _decoder.decode(datagram)
