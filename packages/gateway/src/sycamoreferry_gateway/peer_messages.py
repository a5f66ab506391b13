"""Define and encode the messages between instances.

Incarnations of servers and instances and signatures of requests have 64 bits;
they are compared and sent on, but not calculated with.
"""

import typing

import msgspec

from sycamoreferry_core import decoding
from sycamoreferry_core.keyspace import owners

Key = typing.Annotated[
    int, msgspec.Meta(ge=owners.FIRST_KEY, le=owners.LAST_KEY)
]


class LoadRow(msgspec.Struct, array_like=True):
    """Report one server's load, as counted by the sender or summed up."""

    server: str
    in_flight: decoding.Count
    waiting: decoding.Count
    duration_ms: decoding.Amount
    # The number of requests of which the duration is the mean; 0 if the sender
    # is of an earlier version.
    samples: decoding.Amount = 0
    # The slowdown that the server reported last, as a factor, and when by the
    # sender's clock; 0 if there is no recent report.
    slowdown: decoding.Amount = 0
    slowdown_at: decoding.WholeNumber = 0


class DemandRow(msgspec.Struct, array_like=True):
    """Count requests for a key since the last heartbeat."""

    service: str
    key: Key
    count: decoding.Count


class CrashRow(msgspec.Struct, array_like=True):
    """Report a request that crashed an incarnation of a server."""

    signature: int
    server: str
    born: int
    age_ms: decoding.WholeNumber = 0


class SuspectRow(msgspec.Struct, array_like=True):
    """Report a run at a server that cannot be reached since; ages in ms."""

    signature: int
    server: str
    born: int
    began_age_ms: decoding.WholeNumber
    ended_age_ms: decoding.WholeNumber


class SurvivalRow(msgspec.Struct, array_like=True):
    """Report that a server answered a request that has crashes."""

    signature: int
    age_ms: decoding.WholeNumber


class TrialRow(msgspec.Struct, array_like=True):
    """Report the trials of a blocked request; ages of the last and first."""

    signature: int
    count: decoding.WholeNumber
    age_ms: decoding.WholeNumber
    first_age_ms: decoding.WholeNumber


class RateLimitRow(msgspec.Struct, array_like=True):
    """Report the limit that a server named; None if it names none any more."""

    server: str
    born: int
    requests_per_s: decoding.Amount | None
    age_ms: decoding.WholeNumber


class WarmUpRow(msgspec.Struct, array_like=True):
    """Report an incarnation that is assumed to be cold for some ms more."""

    server: str
    born: int
    remaining_ms: decoding.WholeNumber


class CounterRow(msgspec.Struct, array_like=True):
    """Report the instance that the sender asks for a server's permits."""

    server: str
    instance: str


class LeavingRow(msgspec.Struct, array_like=True):
    """Report an incarnation of a server that is leaving."""

    server: str
    born: int


class Heartbeat(msgspec.Struct, array_like=True, tag='heartbeat'):
    """Report that the sender is alive, its read offsets, role and load."""

    instance: str
    incarnation: int
    is_leaving: bool
    store_age_ms: decoding.WholeNumber
    has_authority: bool
    # Instances with a higher weight are preferred for counting permits.
    counting_weight: decoding.Amount
    # The last term that the sender gave up, and the ms until its leases
    # expire.
    given_up_term: decoding.Count
    leases_ms: decoding.WholeNumber
    # The end offset of each topic, in the order of the view's mirrors.
    ends: list[decoding.WholeNumber]
    # None where the sender reports its load to the coordinator alone.
    loads: list[LoadRow] | None
    crashes: list[CrashRow]
    rate_limits: list[RateLimitRow] = []
    # Whether the sender reaches no backend server.
    is_cut_off: bool = False
    # The store's era to which the end offsets belong; 0 if it is not known.
    era: decoding.WholeNumber = 0
    leaving: list[LeavingRow] = []
    survivals: list[SurvivalRow] = []
    trials: list[TrialRow] = []
    suspects: list[SuspectRow] = []
    counters: list[CounterRow] = []
    # The sender's clock; 0 if it is of an earlier version.
    sent_at: decoding.WholeNumber = 0
    # Whether the sender sends the coordinator heartbeats at short intervals.
    reports_often: bool = False
    # The instances that the coordinator has not heard for `silent_ms`.
    silent: list[str] = []
    silent_ms: decoding.Count = 0
    warm_ups: list[WarmUpRow] = []


class Demand(msgspec.Struct, array_like=True, tag='demand'):
    """Report the number of requests for each key to the coordinator."""

    rows: list[DemandRow]


class LoadSummary(msgspec.Struct, array_like=True, tag='summary'):
    """Report the load of servers, summed over all instances."""

    coordinator: str
    rows: list[LoadRow]


class RecordRow(msgspec.Struct, array_like=True):
    """Forward a record of the store; content None marks a removed key."""

    key: str
    offset: decoding.WholeNumber
    content: bytes | None


class Records(msgspec.Struct, array_like=True, tag='records'):
    """Forward the newest records of a topic."""

    topic: str
    end: decoding.WholeNumber
    rows: list[RecordRow]
    # The store's era to which the offsets belong; 0 if it is not known.
    era: decoding.WholeNumber = 0


class RecordPatch(msgspec.Struct, array_like=True, tag='patch'):
    """Forward a changed record to instances that have the one before.

    Others, and those of an earlier version, request the record.
    """

    topic: str
    key: str
    # The offset of the record that the patch applies to.
    base: decoding.WholeNumber
    offset: decoding.WholeNumber
    end: decoding.WholeNumber
    # The store's era to which the offsets belong.
    era: decoding.WholeNumber
    patch: bytes


class RecordsRequest(msgspec.Struct, array_like=True, tag='wanted'):
    """Request the records of a topic from offset `end` on."""

    topic: str
    end: decoding.WholeNumber
    # The store's era to which the offset belongs; 0 if it is not known.
    era: decoding.WholeNumber = 0


class KeysMoving(msgspec.Struct, array_like=True, tag='moving'):
    """Announce that moves of keys have begun, or that they are over."""

    service: str
    first: Key
    last: Key
    is_over: bool
    # Further ranges as service, first and last key; earlier versions read the
    # first one only.
    others: list[tuple[str, Key, Key]] = []


class PermitRequest(msgspec.Struct, array_like=True, tag='permit-ask'):
    """Request a permit; times are in milliseconds from now."""

    instance: str
    number: decoding.WholeNumber
    line: str
    # Any server of the service's pool will do if no server is named.
    server: str
    service: str
    pool: decoding.Count
    slots: decoding.Count
    duration_ms: decoding.Amount
    priority: decoding.WholeNumber
    waited_ms: decoding.WholeNumber
    objective_in_ms: decoding.WholeNumber
    ends_in_ms: decoding.WholeNumber
    data_centre: str
    excluded: list[str]
    has_large_answer: bool
    # Set if the instance that asks stops before the request's deadline.
    answer_in_ms: decoding.WholeNumber | None = None
    # What is known of the rate limits of the servers that are asked for.
    rate_limits: list[RateLimitRow] = []
    # The sender's clock; 0 if it is of an earlier version.
    sent_at: decoding.WholeNumber = 0
    warm_ups: list[WarmUpRow] = []


class PermitAnswer(msgspec.Struct, array_like=True, tag='permit-answer'):
    """Report the verdict on a permit request."""

    number: decoding.WholeNumber
    verdict: str
    server: str
    # Earlier versions read whole numbers only.
    ahead: decoding.Amount
    slots: decoding.Amount
    duration_ms: decoding.Amount
    # What is to be added to the number ahead.
    ahead_rest: decoding.Number = 0


class PermitReturn(msgspec.Struct, array_like=True, tag='permit-return'):
    """Return a permit, or cancel a request that still waits."""

    instance: str
    number: decoding.WholeNumber
    line: str
    # The server that failed or answered the request, if one did.
    failed: str
    answered: str
    # What the server said last about its rate limit.
    rate_limits: list[RateLimitRow] = []
    # The sender's clock; 0 if it is of an earlier version.
    sent_at: decoding.WholeNumber = 0
    warm_ups: list[WarmUpRow] = []
    # The slowdown that the server reported last, as in a load row.
    slowdown: decoding.Amount = 0
    slowdown_at: decoding.WholeNumber = 0


class PermitReturned(msgspec.Struct, array_like=True, tag='permit-returned'):
    """Confirm that a permit return was received."""

    number: decoding.WholeNumber


PeerMessage = (
    Heartbeat
    | Demand
    | LoadSummary
    | Records
    | RecordPatch
    | RecordsRequest
    | KeysMoving
    | PermitRequest
    | PermitAnswer
    | PermitReturn
    | PermitReturned
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage,
)


def encode(message: PeerMessage) -> bytes:
    """Encode a message; the result may exceed the size of a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> PeerMessage:
    """Decode a message; raise MsgspecError if it is malformed."""
    return decoding.decode(_decoder, datagram)
