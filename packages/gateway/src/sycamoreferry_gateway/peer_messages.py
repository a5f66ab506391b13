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
    # How much counting for others the sender can bear.
    counting_weight: float
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


class PermitAsk(msgspec.Struct, array_like=True, tag='permit-ask'):
    """Ask for room; times are in milliseconds from now."""

    instance: str
    number: int
    line: str
    # Any server of the service's pool will do if no server is named.
    server: str
    service: str
    pool: int
    slots: int
    duration_ms: float
    priority: int
    waited_ms: int
    objective_in_ms: int
    ends_in_ms: int
    data_centre: str
    excluded: list[str]
    has_large_answer: bool


class PermitAnswer(msgspec.Struct, array_like=True, tag='permit-answer'):
    """Tell what becomes of a request for room."""

    number: int
    verdict: str
    server: str
    ahead: int
    slots: float
    duration_ms: float


class PermitReturn(msgspec.Struct, array_like=True, tag='permit-return'):
    """Give back room, or stop waiting for it."""

    instance: str
    number: int
    line: str
    # The server that failed or answered the request, if one did.
    failed: str
    answered: str


class PermitReturned(msgspec.Struct, array_like=True, tag='permit-returned'):
    """Confirm that room was given back."""

    number: int


PeerMessage = (
    Heartbeat
    | Demand
    | LoadSummary
    | Records
    | RecordsWanted
    | KeysMoving
    | PermitAsk
    | PermitAnswer
    | PermitReturn
    | PermitReturned
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage,
)


def encode(message: PeerMessage) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> PeerMessage:
    """Decode a datagram; raise MsgspecError if it is malformed."""
    return _decoder.decode(datagram)
