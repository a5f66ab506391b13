"""Define the actions that a coordinator can decide on."""

import dataclasses

from sycamoreferry_core import coordination, ids, records


@dataclasses.dataclass(frozen=True)
class ReadTail:
    """Ask the log for its tail."""


@dataclasses.dataclass(frozen=True)
class AskDeputy:
    """Ask the deputy for its promise."""

    deputy: ids.InstanceId
    term: ids.Term


@dataclasses.dataclass(frozen=True)
class AskRelease:
    """Ask a holder of earlier terms whether it has stopped acting."""

    holder: ids.InstanceId
    term: ids.Term


@dataclasses.dataclass(frozen=True)
class ProbeHolders:
    """Ask the coordinator and the deputy to answer a probe."""

    holders: tuple[ids.InstanceId, ...]


@dataclasses.dataclass(frozen=True)
class AppendRecord:
    """Append a record to the log."""

    record: records.AnyRecord


@dataclasses.dataclass(frozen=True)
class FencedShards:
    """Group shards that are granted under one fence."""

    fence: ids.Fence
    shards: tuple[ids.ShardId, ...]


@dataclasses.dataclass(frozen=True)
class Greet:
    """Ask a backend server to follow a term and to list its shards."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber


@dataclasses.dataclass(frozen=True)
class Grant:
    """Grant shards to a backend server until its lease lapses."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber
    stamp: int
    lease_ms: int
    groups: tuple[FencedShards, ...]


@dataclasses.dataclass(frozen=True)
class Renew:
    """Renew the lease of a backend server."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber
    stamp: int
    lease_ms: int
    digest: int


@dataclasses.dataclass(frozen=True)
class Revoke:
    """Revoke shards, each once its in-flight requests have ended."""

    server: ids.ServerId
    term: ids.Term
    number: ids.OrderNumber
    shards: tuple[ids.ShardId, ...]
    grace_ms: int


Order = Greet | Grant | Renew | Revoke
Action = ReadTail | AskDeputy | AskRelease | ProbeHolders | AppendRecord | Order


@dataclasses.dataclass(frozen=True)
class Decision:
    """Hold the next state and the actions to carry out."""

    state: coordination.CoordinatorState
    actions: tuple[Action, ...] = ()
