"""Define the HTTP bodies of the platform and of backend servers."""

import typing

import msgspec

from sycamoreferry_core import decoding, ids, record_fields

_Signed = msgspec.Meta(ge=0, le=decoding.MAX_SIGNED)


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one record of a log stream."""

    offset: decoding.Count
    payload: str


class LogTail(msgspec.Struct, frozen=True):
    """Hold consecutive records, and the offsets that bound the stream."""

    first_offset: decoding.Count
    end_offset: decoding.Count
    entries: tuple[LogEntry, ...]


class LogAppended(msgspec.Struct, frozen=True):
    """Hold the offset of the record that was appended."""

    offset: decoding.Count


class ListedServer(msgspec.Struct, frozen=True):
    """Hold the entry of the instance list for one backend server."""

    server: record_fields.ServerId
    service: record_fields.ServiceName
    data_centre: record_fields.DataCentre
    host: record_fields.Host
    port: record_fields.Port
    state: decoding.Label


class InstanceList(msgspec.Struct, frozen=True):
    """Hold all backend servers that are live or leaving."""

    servers: tuple[ListedServer, ...]


class FencedShards(msgspec.Struct, frozen=True):
    """Group shards that share a fencing token."""

    fence: typing.Annotated[ids.Fence, _Signed]
    shards: tuple[ids.ShardId, ...]


class Order(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Hold what every order carries: its sender, term and number."""

    service: ids.ServiceName
    sender: ids.InstanceId
    term: ids.Term
    number: ids.OrderNumber


class GreetOrder(Order, frozen=True, tag=True):
    """Ask a server to follow a term and to report the shards it holds."""


class GrantOrder(Order, frozen=True, tag=True):
    """Grant shards for a lease that starts at a stamp of the server."""

    stamp: int
    lease_ms: int
    groups: tuple[FencedShards, ...]


class RenewOrder(Order, frozen=True, tag=True):
    """Renew the lease on the set of shards that has this digest."""

    stamp: int
    lease_ms: int
    digest: int


class RevokeOrder(Order, frozen=True, tag=True):
    """Revoke shards, each once its in-flight requests have ended.

    The server starts no new request for these shards, and reports a shard as
    held until its requests have ended or the grace period is over.
    """

    shards: tuple[ids.ShardId, ...]
    grace_ms: int = 0


AnyOrder = GreetOrder | GrantOrder | RenewOrder | RevokeOrder


class OrderAnswer(msgspec.Struct, frozen=True):
    """Report the shards that a server holds; None if the digest matched."""

    accepted: bool
    term: typing.Annotated[ids.Term, _Signed]
    stamp: typing.Annotated[int, _Signed]
    groups: tuple[FencedShards, ...] | None = None
    lapsed: tuple[FencedShards, ...] = ()


class LoadReport(msgspec.Struct, frozen=True):
    """Report the load of a server, as the server itself sees it."""

    running: decoding.Count
    waiting: decoding.Count
    slots: decoding.Count
    healthy: bool
