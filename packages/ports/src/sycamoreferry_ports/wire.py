"""Define the bodies exchanged with the platform and backend servers."""

import msgspec

from sycamoreferry_core import ids


class LogEntry(msgspec.Struct, frozen=True):
    """Hold one record of a stream."""

    offset: int
    payload: str


class LogTail(msgspec.Struct, frozen=True):
    """Hold a run of records, and the bounds of the stream."""

    first_offset: int
    end_offset: int
    entries: tuple[LogEntry, ...]


class LogAppended(msgspec.Struct, frozen=True):
    """Hold the offset that an append was given."""

    offset: int


class ListedServer(msgspec.Struct, frozen=True):
    """Hold a backend server as the instance list names it."""

    server: ids.ServerId
    service: ids.ServiceName
    data_centre: ids.DataCentre
    host: str
    port: int
    state: str


class InstanceList(msgspec.Struct, frozen=True):
    """Hold all backend servers that are live or leaving."""

    servers: tuple[ListedServer, ...]


class FencedShards(msgspec.Struct, frozen=True):
    """Group shards that share a fence."""

    fence: ids.Fence
    shards: tuple[ids.ShardId, ...]


class Order(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Carry who orders, under which term."""

    service: ids.ServiceName
    sender: ids.InstanceId
    term: ids.Term
    number: ids.OrderNumber


class GreetOrder(Order, frozen=True, tag=True):
    """Ask a server to follow a term and to say what it holds."""


class GrantOrder(Order, frozen=True, tag=True):
    """Grant shards for a lease that runs from a stamp of the server."""

    stamp: int
    lease_ms: int
    groups: tuple[FencedShards, ...]


class RenewOrder(Order, frozen=True, tag=True):
    """Renew the lease on a set of shards known by its digest."""

    stamp: int
    lease_ms: int
    digest: int


class RevokeOrder(Order, frozen=True, tag=True):
    """Take shards back, each when its requests in flight have ended.

    The server runs no new request for these shards, and answers that it holds
    a shard until its requests have ended or the grace is over.
    """

    shards: tuple[ids.ShardId, ...]
    grace_ms: int = 0


AnyOrder = GreetOrder | GrantOrder | RenewOrder | RevokeOrder


class OrderAnswer(msgspec.Struct, frozen=True):
    """Say what a server holds; no groups where the digest was right."""

    accepted: bool
    term: ids.Term
    stamp: int
    groups: tuple[FencedShards, ...] | None = None
    lapsed: tuple[FencedShards, ...] = ()


class LoadReport(msgspec.Struct, frozen=True):
    """Say how busy a server believes that it is."""

    running: int
    waiting: int
    slots: int
    healthy: bool
