import dataclasses
import datetime
import json
import pathlib
import typing

import pytest

from sycamoreferry_core import (
    actions,
    clock,
    coordination,
    events,
    fold,
    ids,
    moves,
    profiles,
    records,
    revisions,
    shard_loads,
    state,
)

TRACES = sorted((pathlib.Path(__file__).parent / 'traces').glob('*.jsonl'))
SERVICE = ids.ServiceName('manifest-svc')
ME = ids.InstanceId('one')
SHARDS = 24
STEP_MS = 50
# Time from a revision to the grants that carry it out.
GRANT_DELAY_MS = 200

Line = dict[str, typing.Any]


class Replay:
    """Replay a trace through the move decisions on a manual clock."""

    def __init__(self) -> None:
        self.clock = clock.ManualClock(clock.Millis(1000))
        self.unix = 0
        self.log_state = self._append_claim()
        self.policy = profiles.Moves()
        self.loads = shard_loads.ShardLoads()
        self.silent: frozenset[str] = frozenset()
        self.moved = 0
        self.batches: list[int] = []
        self.overlapping = 0
        self.last_revision = clock.LONG_AGO
        self.current = coordination.CoordinatorState(
            instance=ME,
            service=SERVICE,
            shard_count=SHARDS,
            term=self.log_state.term_of(SERVICE),
            authority_until=clock.Millis(1 << 60),
        )

    def play(self, line: Line) -> None:
        """Apply one line of a trace."""
        event = line['event']
        if event not in {'run', 'expect'}:
            self._reset_counters()
        getattr(self, f'_play_{event}')(line)

    def _reset_counters(self) -> None:
        self.moved = 0
        self.batches = []
        self.overlapping = 0

    def _append_claim(self) -> state.LogState:
        claim = records.TermClaimed(
            record_id=ids.RecordId('claim'),
            service=SERVICE,
            term=ids.Term(1),
            follows=ids.NO_TERM,
            coordinator=ME,
            deputy=ids.InstanceId('two'),
        )
        return self._fold(state.LogState(), claim)

    def _fold(
        self,
        before: state.LogState,
        record: records.AnyRecord,
    ) -> state.LogState:
        entry = records.LoggedRecord(
            before.next_offset,
            records.encode_record(record),
        )
        return fold.fold_one(before, entry)

    def _play_policy(self, line: Line) -> None:
        settings = {
            name: value for name, value in line.items() if name != 'event'
        }
        self.policy = profiles.Moves.model_validate(settings)

    def _play_listed(self, line: Line) -> None:
        links = {}
        for member in coordination.MemberState:
            for server in line.get(member.value, ()):
                known = self.current.links.get(server)
                link = known or coordination.ServerLink(server, greeted=True)
                links[server] = dataclasses.replace(link, member_state=member)
        self.current = dataclasses.replace(self.current, links=links)

    def _play_silent(self, line: Line) -> None:
        self.silent = frozenset(line['servers'])

    def _play_loads(self, line: Line) -> None:
        rates = {int(shard): rate for shard, rate in line['rates'].items()}
        self.loads = shard_loads.ShardLoads(
            typing.cast(shard_loads.Rates, rates)
        )

    def _play_pin(self, line: Line) -> None:
        pin = records.ShardPinned(
            record_id=ids.RecordId('pin'),
            service=SERVICE,
            shard=ids.ShardId(line['shard']),
            server=ids.ServerId(line['server']),
        )
        self.log_state = self._fold(self.log_state, pin)

    def _play_run(self, line: Line) -> None:
        start = datetime.datetime.fromisoformat(line['at'])
        self.unix = int(start.timestamp()) * clock.MILLIS_PER_SECOND
        for _ in range(line['seconds'] * clock.MILLIS_PER_SECOND // STEP_MS):
            self._step()

    def _step(self) -> None:
        now = self.clock.advance(STEP_MS)
        self.unix += STEP_MS
        self._answer_orders(now)
        self._apply(revisions.revise_assignment(self.current, now))
        event = events.MoveCheckDue(
            at=clock.UnixMillis(self.unix),
            policy=self.policy,
            loads=self.loads,
            wishes=self.log_state.placement_constraints_of(SERVICE),
            recent_moves=self.log_state.recent_moves.get(SERVICE, ()),
        )
        self._apply(moves.consider_moves(event, self.current, now))

    def _answer_orders(self, now: clock.Millis) -> None:
        owned = self.current.assignment.shards_by_owner
        settled = now >= self.last_revision + GRANT_DELAY_MS
        links = {
            server: dataclasses.replace(
                link,
                stamp_received_at=link.stamp_received_at
                if server in self.silent
                else now,
                first_unanswered_at=now if server in self.silent else None,
                held_shards=owned.get(server, frozenset())
                if settled
                else link.held_shards,
            )
            for server, link in self.current.links.items()
        }
        self.current = dataclasses.replace(self.current, links=links)

    def _apply(self, decision: actions.Decision) -> None:
        self.current = decision.state
        for action in decision.actions:
            assert isinstance(action, actions.AppendRecord)
            self._append(action.record)

    def _append(self, record: records.AnyRecord) -> None:
        assert isinstance(record, records.AssignmentRevised)
        before = self.current.assignment
        self.log_state = self._fold(self.log_state, record)
        assert self.log_state.verdict_of(record.record_id) == 1000
        after = self.log_state.assignment_of(SERVICE)
        changed = sum(
            before.owner_of(ids.ShardId(shard)) != owner
            for shard, owner in enumerate(after.owners)
        )
        waited = self.clock.now() - self.last_revision
        if record.cause is records.MoveCause.DRAIN and waited < GRANT_DELAY_MS:
            self.overlapping += 1
        self.moved += changed
        self.batches.append(changed)
        self.last_revision = self.clock.now()
        self.current = dataclasses.replace(
            self.current,
            assignment=after,
            pending=None,
        )

    def _play_expect(self, line: Line) -> None:
        owned = self.current.assignment.shards_by_owner
        for server, count in line.get('owned', {}).items():
            assert len(owned.get(server, ())) == count, (line, server)
        for shard, owner in line.get('owner_of', {}).items():
            assert self.current.assignment.owners[int(shard)] == owner
        assert self.moved == line.get('moved', self.moved), line
        largest = max(self.batches, default=0)
        assert largest <= line.get('largest_batch', largest), line
        overlapping = line.get('overlapping', self.overlapping)
        assert self.overlapping == overlapping, line
        imbalance = self._imbalance()
        assert imbalance <= line.get('imbalance_below', imbalance), line
        self._reset_counters()

    def _imbalance(self) -> float:
        owned = self.current.assignment.shards_by_owner
        server_loads = [
            self.loads.of_shards(owned.get(server, frozenset()))
            for server in self.current.links
        ]
        return max(server_loads) * len(server_loads) / sum(server_loads)


@pytest.mark.parametrize('path', TRACES, ids=lambda path: path.stem)
def test_trace_ends_as_stated(path: pathlib.Path) -> None:
    replay = Replay()
    for line in path.read_text().splitlines():
        replay.play(json.loads(line))
