"""Exchange records and state with peers while the log is unavailable."""

import random
import typing

from sycamoreferry_core import (
    fold,
    ids,
    records,
    snapshots,
    state,
    state_encoding,
)
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_router import logs, recent_records, view

# A starting instance polls more peers, since any of them may lag.
PEERS_POLLED_AT_START = 10
PEERS_POLLED_PER_ROUND = 2
MAX_RECORDS_PER_CALL = 256

_log = logs.part_logger('relay')


class PeerSync:
    """Fetch state from the most advanced peer polled, and serve peers."""

    def __init__(
        self,
        instance_view: view.InstanceView,
        peers: peer_client.PeerClient,
        seeds: tuple[peer_client.PeerAddress, ...],
        rng: random.Random,
    ) -> None:
        self.recent = recent_records.RecentRecords()
        self._view = instance_view
        self._peers = peers
        self._seeds = seeds
        self._rng = rng

    async def catch_up(self) -> None:
        """Fetch newer records, or else the state, from the best peer polled."""
        most_advanced = await self._find_most_advanced()
        if most_advanced is None:
            return
        if not await self._fetch_records(most_advanced):
            await self._fetch_state(most_advanced)
        started = self._next_offset > ids.FIRST_OFFSET
        self._view.started_from_peer = started

    def read_recent(self, start: ids.Offset) -> peer_pb2.TailReply:
        """Return the reply to a peer that requests records from `start`."""
        held = self.recent.read(start, MAX_RECORDS_PER_CALL)
        return peer_pb2.TailReply(
            first_offset=held[0].offset if held else self._next_offset,
            end_offset=self._next_offset,
            entries=[
                peer_pb2.TailEntry(offset=entry.offset, payload=entry.payload)
                for entry in held
            ],
        )

    def encode_state_parts(self) -> typing.Iterator[peer_pb2.StateReply]:
        """Yield the encoded state in parts for a peer that requests it."""
        covers = self._next_offset
        pieces = snapshots.split(
            state_encoding.encode_state(self._view.log_state)
        )
        for part, piece in enumerate(pieces):
            yield peer_pb2.StateReply(
                covers=covers,
                part=part,
                parts=len(pieces),
                content=piece,
            )

    @property
    def _next_offset(self) -> ids.Offset:
        return self._view.log_state.next_offset

    def _addresses(self) -> list[peer_client.PeerAddress]:
        joined = self._view.log_state.instances.values()
        known = {
            peer_client.PeerAddress(found.peer_host, found.peer_port)
            for found in joined
        }
        addresses = sorted(
            known.union(self._seeds),
            key=lambda address: (address.host, address.port),
        )
        starting = self._next_offset == ids.FIRST_OFFSET
        poll_count = (
            PEERS_POLLED_AT_START if starting else PEERS_POLLED_PER_ROUND
        )
        return self._rng.sample(addresses, min(poll_count, len(addresses)))

    async def _find_most_advanced(self) -> peer_client.PeerAddress | None:
        most_advanced = None
        highest = int(self._next_offset)
        for address in self._addresses():
            status = await self._peers.status(address)
            if status is not None and status.next_offset > highest:
                most_advanced = address
                highest = status.next_offset
        return most_advanced

    async def _fetch_records(self, address: peer_client.PeerAddress) -> bool:
        reply = await self._peers.read_tail(
            address,
            peer_pb2.TailRequest(start=self._next_offset),
        )
        if reply is None or not reply.entries:
            return False
        if reply.first_offset > self._next_offset:
            return False
        logged = tuple(
            records.LoggedRecord(ids.Offset(entry.offset), entry.payload)
            for entry in reply.entries
        )
        try:
            folded = fold.fold_all(self._view.log_state, logged)
        except fold.OffsetGapError:
            return False
        self.recent.add(logged)
        await self._view.advance(folded)
        return True

    async def _fetch_state(self, address: peer_client.PeerAddress) -> None:
        offered = _assemble(await self._peers.read_state(address))
        if offered is None:
            return
        _log.info(
            'fetched state from a peer; it covers the log before {}',
            offered.next_offset,
        )
        await self._view.advance(offered)


def _assemble(
    replies: typing.Sequence[peer_pb2.StateReply],
) -> state.LogState | None:
    in_order = sorted(replies, key=lambda reply: reply.part)
    is_complete = bool(in_order) and len(in_order) == in_order[0].parts
    is_consistent = len({reply.covers for reply in in_order}) == 1
    if not is_complete or not is_consistent:
        return None
    try:
        return state_encoding.decode_state(
            b''.join(part.content for part in in_order)
        )
    except state_encoding.StateDecodeError:
        return None
