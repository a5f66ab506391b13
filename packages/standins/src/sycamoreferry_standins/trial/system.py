"""Build a trial of one service and watch who holds each shard."""

import collections
import dataclasses
import random
import typing

from sycamoreferry_core import (
    coordination,
    fold,
    ids,
    profiles,
    records,
    state,
)
from sycamoreferry_ports import wire
from sycamoreferry_standins import grant_book
from sycamoreferry_standins.trial import member, network

SHARDS = 4
CLOCK_SPREAD_MS = 1_000_000
WATCH_MS = 20

LIMIT_WITHOUT_LOG_MS = 6000

TIMING = profiles.Timing(
    limit_without_log_ms=LIMIT_WITHOUT_LOG_MS,
    order_delay_bound_ms=network.LONGEST_DELAY_MS + network.USUAL_DELAY_MS,
)


@dataclasses.dataclass(frozen=True)
class Setup:
    """Set the size of a trial and its faults."""

    instances: int = 4
    servers: int = 3
    checks_fence: bool = True
    # What the instances are told; the truth, but in a test of its harm.
    told_checks_fence: bool | None = None
    timing: profiles.Timing = TIMING
    noise: network.Noise = network.Noise()
    clock_drift_share: float = TIMING.clock_drift_share
    rates: typing.Mapping[str, float] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True)
class TwoOwners:
    """Report a shard that two servers held at once."""

    at: int
    shard: int
    owners: tuple[str, ...]


class System:
    """Hold the parties of a trial and what was observed."""

    def __init__(self, setup: Setup, seed: int) -> None:
        self.setup = setup
        self.chance = random.Random(seed)
        self.world = network.World()
        self.net = network.Network(self.world, self.chance, setup.noise)
        self.log = member.TrialLog()
        self.violations: list[TwoOwners] = []
        self.wrong_fences: list[str] = []
        self.granted: set[tuple[int, int, str]] = set()
        self.unowned_ms: collections.Counter[int] = collections.Counter()
        self.clocks: dict[str, network.DriftClock] = {}
        self._highest: dict[int, tuple[int, str]] = {}
        self.shared = member.Shared(
            net=self.net,
            log=self.log,
            timing=setup.timing,
            books={},
            members={},
            listed={},
            on_obeyed=self._check,
        )
        for server in range(setup.servers):
            self.add_server(f's{server + 1}')
        for instance in range(setup.instances):
            self.add_instance(f'i{instance + 1}', f'dc{instance % 2}')
        self.world.at(0, self._watch)

    @property
    def coordinator(self) -> str:
        """Return the coordinator that the log names."""
        return self.term.coordinator

    @property
    def deputy(self) -> str:
        """Return the deputy that the log names."""
        return self.term.deputy

    @property
    def term(self) -> state.TermState:
        """Return the newest term in the log."""
        return self.folded().term_of(member.SERVICE)

    def released_term(self) -> ids.Term:
        """Return the newest term whose coordinator is lost, or the first."""
        lost = [
            claim.term
            for claim in self.term.unsettled
            if claim.coordinator not in self.shared.members
        ]
        return max(lost, default=ids.FIRST_TERM)

    def folded(self) -> state.LogState:
        """Return the state that the whole log gives."""
        return fold.fold_all(
            state.LogState(),
            [
                records.LoggedRecord(ids.Offset(offset), payload)
                for offset, payload in enumerate(self.log.payloads)
            ],
        )

    def add_server(self, name: str) -> None:
        """Start a backend server and list it."""
        self.shared.books[name] = grant_book.GrantBook(
            self._new_clock(name),
            checks_fence=self.setup.checks_fence,
        )
        self.list_server(ids.ServerId(name))

    def list_server(
        self,
        server: ids.ServerId,
        listed_as: coordination.MemberState = coordination.MemberState.LIVE,
    ) -> None:
        """List a backend server."""
        self.shared.listed[server] = listed_as

    def lose_server(self, name: str) -> None:
        """Lose a backend server; the list still names it."""
        self.shared.books.pop(name, None)

    def add_instance(self, name: str, data_centre: str) -> None:
        """Start an instance and let it join."""
        me = ids.InstanceId(name)
        self.log.append(
            records.InstanceJoined(
                record_id=ids.RecordId(f'join/{name}'),
                instance=me,
                data_centre=ids.DataCentre(data_centre),
                peer_host='127.0.0.1',
                peer_port=1,
                request_port=2,
            ),
        )
        initial = coordination.CoordinatorState(
            instance=me,
            service=member.SERVICE,
            shard_count=SHARDS,
            checks_fence=self._told_checks_fence,
        )
        self.shared.members[name] = member.Member(
            initial,
            self._new_clock(name),
            self.shared,
        )

    def lose_instance(self, name: str) -> None:
        """Lose an instance for good."""
        lost = self.shared.members.pop(name, None)
        if lost is not None:
            lost.is_gone = True

    def run_for(self, duration: int) -> None:
        """Let a time in milliseconds go by."""
        self.world.run_until(self.world.now + duration)

    def owners_of(self, shard: int) -> tuple[str, ...]:
        """Return the servers that hold a shard now, by their own clocks."""
        return tuple(
            name
            for name, book in self.shared.books.items()
            if book.fence_of(ids.ShardId(shard)) is not None
        )

    @property
    def _told_checks_fence(self) -> bool:
        told = self.setup.told_checks_fence
        return self.setup.checks_fence if told is None else told

    def _new_clock(self, name: str) -> network.DriftClock:
        half = (1 + self.setup.clock_drift_share) ** 0.5
        timer = network.DriftClock(
            self.world,
            rate=self.setup.rates.get(
                name,
                self.chance.choice((1 / half, 1, half)),
            ),
            start=self.chance.randint(0, CLOCK_SPREAD_MS),
        )
        self.clocks[name] = timer
        return timer

    def _check(self, server: str, order: wire.AnyOrder) -> None:
        for shard in range(SHARDS):
            owners = self.owners_of(shard)
            if len(owners) > 1:
                seen = TwoOwners(self.world.now, shard, owners)
                self.violations.append(seen)
        if isinstance(order, wire.GrantOrder):
            self._check_fences(server)

    def _check_fences(self, server: str) -> None:
        book = self.shared.books[server]
        for shard in range(SHARDS):
            fence = book.fence_of(ids.ShardId(shard))
            if fence is None:
                continue
            self.granted.add((shard, fence, server))
            highest, holder = self._highest.get(shard, (-1, ''))
            if fence < highest or (fence == highest and holder != server):
                self.wrong_fences.append(f'{shard} at {server}: {fence}')
            self._highest[shard] = max((fence, server), (highest, holder))

    def _watch(self) -> None:
        for shard in range(SHARDS):
            if not self.owners_of(shard):
                self.unowned_ms[shard] += WATCH_MS
        self.world.at(self.world.now + WATCH_MS, self._watch)
