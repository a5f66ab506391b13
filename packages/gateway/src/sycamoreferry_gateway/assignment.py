"""Encode the ownership of all keys as one record of the store."""

import dataclasses
import typing

import msgspec

from sycamoreferry_core import decoding, ids
from sycamoreferry_core.fleet import servers, store_records
from sycamoreferry_core.keyspace import owners
from sycamoreferry_gateway import peer_messages

ASSIGNMENT_KEY = store_records.RecordKey('assignment')


class _Row(msgspec.Struct, array_like=True):
    first: peer_messages.Key
    last: peer_messages.Key
    server: str
    born: int
    fence: decoding.WholeNumber
    handover: str


class _Record(msgspec.Struct, array_like=True):
    term: decoding.Count
    coordinator: str
    # Unique id of this write, by which the coordinator recognises its own
    # record after the reply was lost.
    write: str
    services: dict[str, list[_Row]]


_decoder = msgspec.msgpack.Decoder(_Record)
_Tables = typing.Mapping[ids.ServiceName, owners.OwnerTable]


@dataclasses.dataclass(frozen=True)
class Assignment:
    """Hold the coordinator, its term and the owners of all keys."""

    term: ids.Term
    coordinator: ids.InstanceId | None
    write: str
    tables: _Tables

    @property
    def highest_fence(self) -> ids.Fence:
        """Return the highest fence of all owners."""
        return max(
            (table.highest_fence for table in self.tables.values()),
            default=ids.NO_FENCE,
        )

    def table(self, service: ids.ServiceName) -> owners.OwnerTable:
        """Return the owners of keys, an empty table for an unknown service."""
        return self.tables.get(service, _EMPTY)


_EMPTY = owners.OwnerTable()
NO_ASSIGNMENT = Assignment(ids.NO_TERM, None, '', {})


def encode_assignment(assignment: Assignment) -> bytes:
    """Encode an assignment as the content of a store record."""
    services = {
        str(service): [_encode_row(row) for row in table.rows]
        for service, table in assignment.tables.items()
    }
    return msgspec.msgpack.encode(
        _Record(
            assignment.term,
            assignment.coordinator or '',
            assignment.write,
            services,
        ),
    )


def decode_assignment(content: bytes) -> Assignment:
    """Decode an assignment; raise MsgspecError if it is malformed."""
    record = decoding.decode(_decoder, content)
    tables = {
        ids.ServiceName(service): _decode_table(rows)
        for service, rows in record.services.items()
    }
    return Assignment(
        ids.Term(record.term),
        ids.InstanceId(record.coordinator),
        record.write,
        tables,
    )


def _encode_row(row: owners.Ownership) -> _Row:
    return _Row(
        row.keys.first,
        row.keys.last,
        row.owner.server,
        row.owner.born,
        row.fence,
        row.handover,
    )


def _decode_table(rows: list[_Row]) -> owners.OwnerTable:
    table = owners.OwnerTable(map(_decode_row, rows))
    next_key: int = owners.FIRST_KEY
    for row in table.rows:
        if not next_key <= row.keys.first <= row.keys.last:
            raise msgspec.ValidationError(
                f'keys {row.keys.first} to {row.keys.last} have two owners, '
                'or are in the wrong order'
            )
        next_key = row.keys.last + 1
    return table


def _decode_row(row: _Row) -> owners.Ownership:
    keys = owners.KeyRange(owners.Key(row.first), owners.Key(row.last))
    life = servers.ServerIncarnation(
        ids.ServerId(row.server),
        servers.IncarnationNumber(row.born),
    )
    return owners.Ownership(keys, life, ids.Fence(row.fence), row.handover)
