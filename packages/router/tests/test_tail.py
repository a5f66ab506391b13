import dataclasses
import random
import typing
import zlib

import pytest

from sycamoreferry_core import fold, ids, records, snapshots, state
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_ports import log_port
from sycamoreferry_router import peer_sync, recent_records, tail, view

WAIT_MS = 10
# A field that no state has, and that nests deeply.
NESTED_FIELD = bytes((0x82, 0xA1, 0x78)) + bytes((0x91,)) * 100_000
SEEDS = tuple(peer_client.PeerAddress('127.0.0.1', port) for port in (1, 2, 3))


class FakeLog:
    """Hold a stream in memory; simulate outages, retention and stale reads."""

    def __init__(self) -> None:
        self.payloads: list[bytes] = []
        self.first_offset = 0
        self.visible_end: int | None = None
        self.down = False
        self.read_limit = 5

    async def append(self, payload: bytes) -> log_port.AppendOutcome:
        self.payloads.append(payload)
        return log_port.Appended(ids.Offset(len(self.payloads) - 1))

    async def read(
        self,
        start: ids.Offset,
        wait_ms: int,
    ) -> log_port.ReadOutcome:
        if self.down:
            return log_port.ReadFailed('down')
        end = (
            len(self.payloads) if self.visible_end is None else self.visible_end
        )
        begin = max(start, self.first_offset)
        return log_port.Tail(
            first_offset=ids.Offset(self.first_offset),
            end_offset=ids.Offset(end),
            logged=tuple(
                records.LoggedRecord(ids.Offset(offset), self.payloads[offset])
                for offset in range(begin, min(end, begin + self.read_limit))
            ),
        )

    def add(self, *added: records.AnyRecord) -> None:
        self.payloads.extend(records.encode_record(record) for record in added)

    def folded(self) -> state.LogState:
        return fold.fold_all(
            state.LogState(),
            (
                records.LoggedRecord(ids.Offset(offset), payload)
                for offset, payload in enumerate(self.payloads)
            ),
        )


class FakePeers:
    """Answer for other instances from their relays."""

    def __init__(
        self, relays: typing.Sequence[peer_sync.PeerSync | None]
    ) -> None:
        self._relays = dict(zip(SEEDS, relays, strict=False))
        self.states_read = 0

    async def status(
        self,
        address: peer_client.PeerAddress,
    ) -> peer_pb2.StatusReply | None:
        answering = self._relays.get(address)
        if answering is None:
            return None
        end = answering.read_recent(ids.FIRST_OFFSET).end_offset
        return peer_pb2.StatusReply(next_offset=end)

    async def read_tail(
        self,
        address: peer_client.PeerAddress,
        request: peer_pb2.TailRequest,
    ) -> peer_pb2.TailReply | None:
        answering = self._relays[address]
        assert answering is not None
        return answering.read_recent(ids.Offset(request.start))

    async def read_state(
        self,
        address: peer_client.PeerAddress,
    ) -> list[peer_pb2.StateReply]:
        answering = self._relays[address]
        assert answering is not None
        self.states_read += 1
        return list(answering.encode_state_parts())


@dataclasses.dataclass
class Follower:
    instance_view: view.InstanceView
    relay: peer_sync.PeerSync
    tail: tail.Tail


def _follower(
    log: FakeLog,
    peers: FakePeers | None = None,
) -> Follower:
    instance_view = view.InstanceView()
    relaying = peer_sync.PeerSync(
        instance_view,
        typing.cast(peer_client.PeerClient, peers or FakePeers(())),
        SEEDS if peers else (),
        random.Random(0),
    )
    return Follower(
        instance_view,
        relaying,
        tail.Tail(log, instance_view, relaying, WAIT_MS),
    )


def _joined(name: str) -> records.AnyRecord:
    return records.InstanceJoined(
        record_id=ids.RecordId(f'join/{name}'),
        instance=ids.InstanceId(name),
        data_centre=ids.DataCentre('north'),
        peer_host='127.0.0.1',
        peer_port=9,
        request_port=10,
    )


def _log_with(count: int) -> FakeLog:
    log = FakeLog()
    log.add(*(_joined(str(number)) for number in range(count)))
    return log


async def test_start_past_retention_uses_the_newest_snapshot() -> None:
    log = _log_with(12)
    log.add(*snapshots.build_parts(log.folded(), ids.InstanceId('1')))
    log.add(_joined('late'))
    log.first_offset = 7
    follower = _follower(log)
    assert await follower.tail.read_now()
    assert follower.instance_view.log_state == log.folded()


async def test_start_without_any_snapshot_reads_nothing() -> None:
    log = _log_with(12)
    log.first_offset = 7
    follower = _follower(log)
    assert not await follower.tail.read_now()
    assert follower.instance_view.log_state == state.LogState()


async def test_follower_overtaken_by_retention_catches_up() -> None:
    log = _log_with(4)
    follower = _follower(log)
    assert await follower.tail.read_now()
    log.add(*(_joined(f'more-{number}') for number in range(20)))
    log.add(*snapshots.build_parts(log.folded(), ids.InstanceId('1')))
    log.first_offset = 15
    assert await follower.tail.read_now()
    assert follower.instance_view.log_state == log.folded()


async def test_stale_read_does_not_roll_back_the_state() -> None:
    log = _log_with(8)
    follower = _follower(log)
    assert await follower.tail.read_now()
    log.visible_end = 3
    assert await follower.tail.read_now()
    assert follower.instance_view.log_state == log.folded()


@pytest.mark.parametrize('order', [(3, 9, 6), (9, 6, 3), (6, 3, 9)])
async def test_start_from_the_most_advanced_peer(
    order: tuple[int, ...],
) -> None:
    log = _log_with(9)
    others = []
    for visible_end in order:
        log.visible_end = visible_end
        other = _follower(log)
        assert await other.tail.read_now()
        others.append(other.relay)
    log.down = True
    follower = _follower(log, FakePeers(others))
    assert not await follower.tail.read_now()
    await follower.relay.catch_up()
    assert follower.instance_view.log_state == log.folded()
    assert follower.instance_view.started_from_peer


async def test_peer_behind_does_not_roll_back_the_state() -> None:
    log = _log_with(9)
    log.visible_end = 4
    behind = _follower(log)
    assert await behind.tail.read_now()
    log.visible_end = None
    follower = _follower(log, FakePeers((behind.relay, None, None)))
    assert await follower.tail.read_now()
    log.down = True
    await follower.relay.catch_up()
    assert follower.instance_view.log_state == log.folded()
    await follower.instance_view.advance(behind.instance_view.log_state)
    assert follower.instance_view.log_state == log.folded()


async def test_state_is_read_where_a_peer_has_dropped_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(recent_records, 'KEPT_RECORDS', 2)
    monkeypatch.setattr(snapshots, 'PART_BYTES', 100)
    log = _log_with(9)
    other = _follower(log)
    assert await other.tail.read_now()
    peers = FakePeers((other.relay,))
    follower = _follower(log, peers)
    await follower.relay.catch_up()
    assert follower.instance_view.log_state == log.folded()
    assert peers.states_read == 1
    log.add(_joined('late'))
    assert await other.tail.read_now()
    # A round asks two peers at random, so it may miss the one that answers.
    for _ in range(10):
        await follower.relay.catch_up()
    assert follower.instance_view.log_state == log.folded()
    assert peers.states_read == 1


async def test_instance_is_not_ready_when_no_peer_answers() -> None:
    follower = _follower(FakeLog(), FakePeers((None, None, None)))
    await follower.relay.catch_up()
    assert not follower.instance_view.started_from_peer
    assert not follower.instance_view.ready


def _without_second(
    logged: tuple[records.LoggedRecord, ...],
) -> tuple[records.LoggedRecord, ...]:
    return (*logged[:1], *logged[2:])


async def test_page_with_a_gap_is_read_again() -> None:
    """A missing record ended the task that follows the log."""
    log = _log_with(9)
    read = log.read

    async def read_with_gap(
        start: ids.Offset, wait_ms: int
    ) -> log_port.ReadOutcome:
        page = await read(start, wait_ms)
        assert isinstance(page, log_port.Tail)
        return dataclasses.replace(page, logged=_without_second(page.logged))

    follower = _follower(log)
    log.read = read_with_gap  # type: ignore[method-assign]
    assert not await follower.tail.read_now()
    log.read = read  # type: ignore[method-assign]
    assert await follower.tail.read_now()
    assert follower.instance_view.log_state == log.folded()


async def test_records_of_a_peer_with_a_gap_are_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They ended the task that asks peers while the log is down."""
    log = _log_with(9)
    other = _follower(log)
    assert await other.tail.read_now()
    held = other.relay.recent.read

    def read_with_gap(
        start: ids.Offset, limit: int
    ) -> tuple[records.LoggedRecord, ...]:
        return _without_second(held(start, limit))

    monkeypatch.setattr(other.relay.recent, 'read', read_with_gap)
    follower = _follower(log, FakePeers((other.relay,) * 3))
    await follower.relay.catch_up()
    assert follower.instance_view.log_state == log.folded()


@pytest.mark.parametrize('content', [b'', b'{}', zlib.compress(NESTED_FIELD)])
async def test_odd_state_of_a_peer_is_not_used(
    content: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One that nests deeply ended the task that asks peers."""
    log = _log_with(9)
    other = _follower(log)
    assert await other.tail.read_now()
    peers = FakePeers((other.relay,) * 3)

    async def read_state(
        address: peer_client.PeerAddress,
    ) -> list[peer_pb2.StateReply]:
        return [peer_pb2.StateReply(covers=9, parts=1, content=content)]

    monkeypatch.setattr(recent_records, 'KEPT_RECORDS', 2)
    monkeypatch.setattr(peers, 'read_state', read_state)
    other.relay.recent.add(
        [records.LoggedRecord(ids.Offset(20), b'')],
    )
    follower = _follower(log, peers)
    await follower.relay.catch_up()
    assert follower.instance_view.log_state == state.LogState()


async def test_odd_parts_of_a_snapshot_are_passed_over() -> None:
    """A snapshot of another writer kept instances from starting."""
    log = _log_with(9)
    good = snapshots.build_parts(log.folded(), ids.InstanceId('i'))
    odd = records.StateSnapshot(
        record_id=ids.RecordId('odd'),
        snapshot=ids.SnapshotId('odd'),
        covers=ids.Offset(9),
        part=0,
        parts=1,
        content=zlib.compress(NESTED_FIELD),
    )
    log.add(*good, odd)
    log.first_offset = 9
    follower = _follower(log)
    assert await follower.tail.read_now()
    assert follower.instance_view.log_state.instances == log.folded().instances
