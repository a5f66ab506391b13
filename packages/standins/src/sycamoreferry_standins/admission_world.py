"""Play the instances of one admission partition in simulated time."""

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
READ_WAIT_MS = 100
CLOCK_STEP_MS = 100_000

Work = typing.Callable[[], None]
AnswerTaker = typing.Callable[
    [ids.InstanceId, admission_actions.Answer],
    None,
]


@dataclasses.dataclass
class LogFaults:
    """Set what the log does wrong."""

    down: bool = False
    lose_answers: bool = False
    append_ms: int = LOG_MS
    gap_ms: int = 0


@dataclasses.dataclass
class Node:
    """Hold one instance and its faults."""

    state: admission_state.PartitionState
    clock_offset: int
    alive: bool = True
    paused: bool = False
    cut_from_log: bool = False
    held_up: list[Work] = dataclasses.field(default_factory=list)


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
        self._log_free_at = 0
        self.answers: list[AnswerTaker] = []
        self.cuts: set[frozenset[str]] = set()
        self.repeat_messages = False
        self.nodes: dict[ids.InstanceId, Node] = {}
        self._timing = timing
        self._order = itertools.count()
        self._due: list[tuple[int, int, Work]] = []
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
            self.feed(name, admission_events.MembersChanged(line))

    def advance(self, duration: int) -> None:
        """Play everything that is due within a duration in milliseconds."""
        end = self.now + duration
        while self._due and self._due[0][0] <= end:
            due = heapq.heappop(self._due)
            self.now = due[0]
            due[2]()
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
        begins = max(self.now, self._log_free_at)
        self._log_free_at = begins + self.faults.gap_ms
        self.later(
            begins - self.now + self.faults.append_ms,
            functools.partial(self._land, name, payload),
        )

    def send(
        self,
        sender: ids.InstanceId,
        target: ids.InstanceId,
        event: admission_events.Event,
    ) -> None:
        """Send an event to another instance, unless they are cut apart."""
        if target not in self.nodes or self.is_cut(sender, target):
            return
        deliver = functools.partial(
            self.at,
            target,
            functools.partial(self.feed, target, event),
        )
        delay = 0 if sender == target else NETWORK_MS
        self.later(delay, deliver)
        if self.repeat_messages:
            self.later(delay * 100 + 1, deliver)

    def is_cut(self, one: ids.InstanceId, other: ids.InstanceId) -> bool:
        """Tell whether two instances are cut apart."""
        return frozenset((one, other)) in self.cuts

    def at(self, name: ids.InstanceId, work: Work) -> None:
        """Do work at an instance, once it is not paused; never if it died."""
        node = self.nodes[name]
        if node.paused:
            node.held_up.append(work)
        elif node.alive:
            work()

    def later(self, delay: int, work: Work) -> None:
        """Do work after a delay in milliseconds."""
        heapq.heappush(
            self._due,
            (self.now + delay, next(self._order), work),
        )

    def _tick(self, name: ids.InstanceId) -> None:
        node = self.nodes[name]
        if node.alive and not node.paused:
            self.feed(name, admission_events.Ticked())
        self.later(TICK_MS, functools.partial(self._tick, name))

    def _read(self, name: ids.InstanceId) -> None:
        sent_at = clock.Millis(self.now + self.nodes[name].clock_offset)
        until = self.now + READ_WAIT_MS
        reached = functools.partial(self._read_at_log, name, sent_at, until)
        self.later(LOG_MS, reached)

    def _read_at_log(
        self,
        name: ids.InstanceId,
        sent_at: clock.Millis,
        until: int,
    ) -> None:
        node = self.nodes[name]
        start = node.state.journal.next_offset
        reached = not self.faults.down and not node.cut_from_log
        if reached and start >= len(self.payloads) and self.now < until:
            again = functools.partial(self._read_at_log, name, sent_at, until)
            self.later(LOG_MS, again)
            return
        event: admission_events.Event = admission_events.LogFailed()
        if reached:
            event = admission_events.StreamRead(
                tuple(
                    records.LoggedRecord(ids.Offset(start + place), payload)
                    for place, payload in enumerate(self.payloads[start:])
                ),
                caught_up=True,
                sent_at=sent_at,
            )
        take = functools.partial(self._take_read, name, event)
        self.later(LOG_MS, functools.partial(self.at, name, take))

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
            self.at(name, failed)
            return
        self.appends += 1
        self.payloads.append(payload)
        if self.faults.lose_answers:
            self.at(name, failed)


@functools.singledispatch
def _act(action: object, world: World, name: ids.InstanceId) -> None:
    raise TypeError(f'no work for the action {action!r}')


@_act.register
def _act_answer(
    action: admission_actions.Answer,
    world: World,
    name: ids.InstanceId,
) -> None:
    for take in world.answers:
        take(name, action)


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
    event = admission_events.CopyRequested(
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
    action: admission_actions.RequestYield,
    world: World,
    name: ids.InstanceId,
) -> None:
    for holder in action.holders:
        event = admission_events.YieldRequested(name, action.claim)
        world.send(name, holder, event)


@_act.register
def _act_answer_yield(
    action: admission_actions.ConfirmYield,
    world: World,
    name: ids.InstanceId,
) -> None:
    event = admission_events.YieldConfirmed(action.claim, action.admitted)
    world.send(name, action.claimant, event)


@_act.register
def _act_probe(
    action: admission_actions.Probe,
    world: World,
    name: ids.InstanceId,
) -> None:
    node = world.nodes.get(action.instance)
    if node is None or world.is_cut(name, action.instance):
        return
    if node.alive and not node.paused:
        heard = admission_events.PeerHeard(action.instance)
        world.send(name, name, heard)
