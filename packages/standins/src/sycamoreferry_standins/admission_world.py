"""Play the instances of one admission partition in simulated time."""

import collections
import dataclasses
import functools
import heapq
import itertools
import typing

from sycamoreferry_core import (
    admission,
    admission_actions,
    admission_events,
    admission_records,
    admission_state,
    clock,
    ids,
    records,
)

TICK_MS = 25
NETWORK_MS = 5
LOG_MS = 3
GATE_PATIENCE_MS = 1000
MOST_HOPS = 3
CLOCK_STEP_MS = 100_000

_Verdict = admission_actions.Verdict
_Work = typing.Callable[[], None]


@dataclasses.dataclass
class LogFaults:
    """Set what the log does wrong."""

    down: bool = False
    lose_answers: bool = False
    append_ms: int = LOG_MS


@dataclasses.dataclass
class Node:
    """Hold one instance and its faults."""

    state: admission_state.PartitionState
    clock_offset: int
    alive: bool = True
    paused: bool = False
    cut_from_log: bool = False
    held_up: list[_Work] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Request:
    """Follow one call of a caller; the ending is what its server does."""

    key: ids.AdmissionKey
    node: ids.InstanceId
    attempt: ids.AttemptId
    ending: admission_records.Ending
    run_ms: int
    asked_at: int
    deadline_ms: int
    hops: int = 0
    verdict: admission_actions.Verdict | None = None
    answered_at: int = 0
    asked: ids.InstanceId = ids.InstanceId('')


@dataclasses.dataclass(frozen=True)
class Run:
    """Witness one run at a server."""

    key: ids.AdmissionKey
    at: int


class World:
    """Connect instances, a log and callers; every run is the same."""

    def __init__(
        self,
        names: typing.Sequence[str],
        timing: admission_state.Timing,
    ) -> None:
        self.now = 0
        self.faults = LogFaults()
        self.payloads: list[bytes] = []
        self.appends = 0
        self.runs: list[Run] = []
        self.requests: list[Request] = []
        self.cuts: set[frozenset[str]] = set()
        self.repeat_messages = False
        self.nodes: dict[ids.InstanceId, Node] = {}
        self._timing = timing
        self._order = itertools.count()
        self._due: list[tuple[int, int, _Work]] = []
        for name in names:
            self.add_node(ids.InstanceId(name))

    def add_node(self, name: ids.InstanceId) -> None:
        """Start an instance under a name that was never used."""
        offset = len(self.nodes) * CLOCK_STEP_MS
        started = clock.Millis(self.now + offset)
        self.nodes[name] = Node(
            admission_state.start(name, self._timing, started),
            offset,
        )
        self.tell_members()
        self._tick(name)
        self._read(name)

    def tell_members(self) -> None:
        """Tell every instance who is joined; who is dead stays listed."""
        line = tuple(
            admission_events.Member(
                name,
                ids.DataCentre(str(place % 2)),
            )
            for place, name in enumerate(self.nodes)
        )
        for name in self.nodes:
            self.feed(name, admission_events.MembersKnown(line))

    def advance(self, duration: int) -> None:
        """Play everything that is due within a duration in milliseconds."""
        end = self.now + duration
        while self._due and self._due[0][0] <= end:
            self.now, _, work = heapq.heappop(self._due)
            work()
        self.now = end

    def kill(self, name: ids.InstanceId) -> None:
        """End an instance for good."""
        self.nodes[name].alive = False

    def pause(self, name: ids.InstanceId) -> None:
        """Stop an instance in the middle of what it does."""
        self.nodes[name].paused = True

    def resume(self, name: ids.InstanceId) -> None:
        """Let an instance go on as if nothing had happened."""
        node = self.nodes[name]
        node.paused = False
        held_up = node.held_up
        node.held_up = []
        for work in held_up:
            work()

    def request(
        self,
        key: str,
        name: ids.InstanceId,
        ending: admission_records.Ending,
        run_ms: int = 20,
        deadline_ms: int = 2000,
    ) -> Request:
        """Send a request through an instance."""
        made = Request(
            key=ids.AdmissionKey(key),
            node=name,
            attempt=ids.AttemptId(f'attempt-{len(self.requests)}'),
            ending=ending,
            run_ms=run_ms,
            asked_at=self.now,
            deadline_ms=deadline_ms,
        )
        self.requests.append(made)
        first = self.nodes[name].state.journal.claim.owner
        self._at(name, functools.partial(self._ask, made, first or name))
        self._later(
            GATE_PATIENCE_MS,
            functools.partial(
                self._at,
                name,
                functools.partial(self._give_up, made),
            ),
        )
        return made

    def doubled_runs(self, window_ms: int) -> list[Run]:
        """Return the runs that followed another of the same key."""
        by_key = collections.defaultdict(list)
        doubled = []
        for run in self.runs:
            earlier = by_key[run.key]
            if earlier and run.at - earlier[-1].at < window_ms:
                doubled.append(run)
            earlier.append(run)
        return doubled

    def feed(
        self,
        name: ids.InstanceId,
        event: admission_events.Event,
    ) -> None:
        """Let an instance decide on an event, and act."""
        node = self.nodes[name]
        now = clock.Millis(self.now + node.clock_offset)
        decision = admission.decide(event, node.state, now)
        node.state = decision.state
        for action in decision.actions:
            _act(action, self, name)

    def append(
        self,
        name: ids.InstanceId,
        record: admission_records.AnyAdmissionRecord,
    ) -> None:
        """Append a record on behalf of an instance."""
        payload = admission_records.encode_record(record)
        self._later(
            self.faults.append_ms,
            functools.partial(self._land, name, payload),
        )

    def send(
        self,
        sender: ids.InstanceId,
        target: ids.InstanceId,
        event: admission_events.Event,
    ) -> None:
        """Send an event to another instance, unless they are cut apart."""
        if target not in self.nodes or frozenset((sender, target)) in self.cuts:
            return
        deliver = functools.partial(
            self._at,
            target,
            functools.partial(self.feed, target, event),
        )
        delay = NETWORK_MS if sender != target else 0
        self._later(delay, deliver)
        if self.repeat_messages:
            self._later(delay * 100 + 1, deliver)

    def answer(
        self,
        name: ids.InstanceId,
        answered: admission_actions.Answer,
    ) -> None:
        """Bring an answer from an instance back to the one that asked."""
        for made in self.requests:
            if made.attempt == answered.attempt:
                apart = frozenset((name, made.node)) in self.cuts
                if not apart:
                    take = functools.partial(self._take, made, answered)
                    self._later(
                        NETWORK_MS,
                        functools.partial(self._at, made.node, take),
                    )

    def _at(self, name: ids.InstanceId, work: _Work) -> None:
        node = self.nodes[name]
        if node.paused:
            node.held_up.append(work)
        elif node.alive:
            work()

    def _later(self, delay: int, work: _Work) -> None:
        heapq.heappush(
            self._due,
            (self.now + delay, next(self._order), work),
        )

    def _tick(self, name: ids.InstanceId) -> None:
        node = self.nodes[name]
        if node.alive and not node.paused:
            self.feed(name, admission_events.Ticked())
        self._later(TICK_MS, functools.partial(self._tick, name))

    def _read(self, name: ids.InstanceId) -> None:
        sent_at = clock.Millis(self.now + self.nodes[name].clock_offset)
        reached = functools.partial(self._read_at_log, name, sent_at)
        self._later(LOG_MS, reached)

    def _read_at_log(self, name: ids.InstanceId, sent_at: clock.Millis) -> None:
        node = self.nodes[name]
        event: admission_events.Event = admission_events.LogFailed()
        if not self.faults.down and not node.cut_from_log:
            start = node.state.journal.next_offset
            event = admission_events.StreamRead(
                tuple(
                    records.LoggedRecord(ids.Offset(offset), payload)
                    for offset, payload in enumerate(self.payloads)
                    if offset >= start
                ),
                caught_up=True,
                sent_at=sent_at,
            )
        self._later(
            LOG_MS,
            functools.partial(
                self._at, name, lambda: self._take_read(name, event)
            ),
        )

    def _take_read(
        self,
        name: ids.InstanceId,
        event: admission_events.Event,
    ) -> None:
        self.feed(name, event)
        self._read(name)

    def _land(self, name: ids.InstanceId, payload: bytes) -> None:
        failed = functools.partial(
            self.feed, name, admission_events.LogFailed()
        )
        if self.faults.down or self.nodes[name].cut_from_log:
            self._at(name, failed)
            return
        self.appends += 1
        self.payloads.append(payload)
        if self.faults.lose_answers:
            self._at(name, failed)

    def _ask(self, made: Request, target: ids.InstanceId) -> None:
        made.hops += 1
        made.asked = target
        self.send(
            made.node,
            target,
            admission_events.Asked(
                key=made.key,
                fingerprint=ids.Fingerprint('same'),
                attempt=made.attempt,
                deadline_ms=made.deadline_ms,
            ),
        )

    def _take(
        self,
        made: Request,
        answered: admission_actions.Answer,
    ) -> None:
        if made.verdict is not None:
            return
        hops_left = made.hops < MOST_HOPS
        if answered.verdict is _Verdict.NOT_OWNER and hops_left:
            if answered.hint:
                self._ask(made, answered.hint)
                return
        made.verdict = answered.verdict
        made.answered_at = self.now
        if answered.verdict is _Verdict.ADMITTED:
            self._run(made)

    def _give_up(self, made: Request) -> None:
        if made.verdict is None:
            made.verdict = _Verdict.UNAVAILABLE
            made.answered_at = self.now
            self._conclude(made, admission_records.Ending.NOT_RUN)

    def _run(self, made: Request) -> None:
        if self.now > made.asked_at + made.deadline_ms:
            self._conclude(made, admission_records.Ending.NOT_RUN)
            return
        if made.ending is not admission_records.Ending.NOT_RUN:
            self.runs.append(Run(made.key, self.now))
        concluding = functools.partial(self._conclude, made, made.ending)
        self._later(
            made.run_ms,
            functools.partial(self._at, made.node, concluding),
        )

    def _conclude(
        self,
        made: Request,
        ending: admission_records.Ending,
    ) -> None:
        concluded = admission_records.Concluded(
            made.key,
            made.attempt,
            ending,
        )
        owner = self.nodes[made.node].state.journal.claim.owner
        for target in {made.asked, owner}:
            self.send(made.node, target, admission_events.Ended(concluded))


@functools.singledispatch
def _act(action: object, world: World, name: ids.InstanceId) -> None:
    raise TypeError(f'no work for the action {action!r}')


@_act.register
def _act_answer(
    action: admission_actions.Answer,
    world: World,
    name: ids.InstanceId,
) -> None:
    world.answer(name, action)


@_act.register
def _act_append(
    action: admission_actions.Append,
    world: World,
    name: ids.InstanceId,
) -> None:
    world.append(name, action.record)


@_act.register
def _act_send_copy(
    action: admission_actions.SendCopy,
    world: World,
    name: ids.InstanceId,
) -> None:
    event = admission_events.CopyAsked(
        name,
        action.claim,
        action.number,
        action.admitted,
    )
    world.send(name, action.deputy, event)


@_act.register
def _act_answer_copy(
    action: admission_actions.AnswerCopy,
    world: World,
    name: ids.InstanceId,
) -> None:
    event = admission_events.CopyAnswered(
        action.claim,
        action.number,
        action.held,
    )
    world.send(name, action.owner, event)


@_act.register
def _act_ask_yield(
    action: admission_actions.AskYield,
    world: World,
    name: ids.InstanceId,
) -> None:
    for holder in action.holders:
        event = admission_events.YieldAsked(name, action.claim)
        world.send(name, holder, event)


@_act.register
def _act_answer_yield(
    action: admission_actions.AnswerYield,
    world: World,
    name: ids.InstanceId,
) -> None:
    event = admission_events.Yielded(action.claim, action.admitted)
    world.send(name, action.claimant, event)


@_act.register
def _act_probe(
    action: admission_actions.Probe,
    world: World,
    name: ids.InstanceId,
) -> None:
    node = world.nodes.get(action.instance)
    if node is not None and node.alive and not node.paused:
        event = admission_events.PeerHeard(action.instance)
        if frozenset((name, action.instance)) not in world.cuts:
            world.send(name, name, event)
