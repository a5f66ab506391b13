"""Drive the decisions of one instance over the trial's network."""

import dataclasses
import functools
import typing

from sycamoreferry_core import (
    actions,
    authority,
    clock,
    coordination,
    coordinator,
    events,
    fold,
    ids,
    profiles,
    records,
    state,
)
from sycamoreferry_ports import http_orders, wire
from sycamoreferry_standins import grant_book
from sycamoreferry_standins.trial import network

SERVICE = ids.ServiceName('manifest-svc')
LOG = 'log'
TICK_MS = 50
FOLLOW_MS = 150
LOG_TIMEOUT_MS = 1000


@dataclasses.dataclass
class TrialLog:
    """Hold the records of the log, and what it does wrong."""

    payloads: list[bytes] = dataclasses.field(default_factory=list)
    delay_ms: int = 0
    # Where a reader sees an old end of the log, against what is assumed.
    old_ends: dict[str, int] = dataclasses.field(default_factory=dict)

    def append(self, record: records.AnyRecord) -> None:
        """Append a record."""
        self.payloads.append(records.encode_record(record))

    def read(self, start: int, reader: str) -> list[records.LoggedRecord]:
        """Return the records from an offset on."""
        shown = self.old_ends.get(reader, len(self.payloads))
        return [
            records.LoggedRecord(ids.Offset(offset), self.payloads[offset])
            for offset in range(start, shown)
        ]


@dataclasses.dataclass
class Shared:
    """Hold what the parties of a trial reach each other by."""

    net: network.Network
    log: TrialLog
    timing: profiles.Timing
    books: dict[str, grant_book.GrantBook]
    members: 'dict[str, Member]'
    listed: dict[ids.ServerId, coordination.MemberState]
    on_obeyed: typing.Callable[[str, wire.AnyOrder], None]


class Member:
    """Feed events to the decisions and carry out the actions."""

    def __init__(
        self,
        initial: coordination.CoordinatorState,
        timer: clock.Clock,
        shared: Shared,
    ) -> None:
        self.state = initial
        self.log_state = state.LogState()
        self.is_gone = False
        self.clock = timer
        self._shared = shared
        self._net = shared.net
        self._net.after(1, self.state.instance, self._tick)
        self._net.after(1, self.state.instance, self._follow)

    def feed(self, event: events.Event) -> None:
        """Decide on an event and start its actions."""
        if self.is_gone:
            return
        decision = coordinator.decide(event, self.state, self.clock.now())
        self.state = decision.state
        for action in decision.actions:
            carry_out(action, self)

    def read(self) -> None:
        """Read the tail as proof of the term."""
        sent_at = self.clock.now()
        unanswered = [sent_at]
        take = functools.partial(self._take_read, unanswered)
        read_log(self, self._shared, take)
        self._net.after(
            LOG_TIMEOUT_MS,
            self.state.instance,
            functools.partial(self._take_read, unanswered, None),
        )

    def ask_deputy(self, action: actions.AskDeputy) -> None:
        """Ask the deputy for its promise."""
        sent_at = self.clock.now()
        self._call(
            action.deputy,
            lambda other: other.promise(action.term, self.state.instance),
            lambda: events.DeputyPromised(sent_at, action.term),
        )

    def ask_release(self, action: actions.AskRelease) -> None:
        """Ask a holder of earlier terms to act no more."""
        self._call(
            action.holder,
            lambda other: other.release(action.term),
            lambda: events.HolderReleased(action.term, action.holder),
        )

    def probe(self, action: actions.ProbeHolders) -> None:
        """Ask the holders whether they act."""
        for holder in action.holders:
            self._call(holder, _is_acting, events.HolderAnswered)

    def append(self, record: records.AnyRecord) -> None:
        """Append a record; it is read back with the tail."""
        log = self._shared.log
        self._net.send(
            self.state.instance,
            LOG,
            functools.partial(log.append, record),
            log.delay_ms,
        )

    def order(self, order: actions.Order) -> None:
        """Give an order, if it may still be given."""
        me = self.state.instance
        is_current = order.term == self.state.term.term
        if is_current and self.state.has_authority(self.clock.now()):
            sender = http_orders.SenderIdentity(SERVICE, me, ids.DataCentre(''))
            self._net.send(
                me,
                order.server,
                functools.partial(
                    self._reach_server,
                    order,
                    http_orders.to_wire(order, sender),
                ),
            )
        self._net.after(
            self.state.timing.detection_ms // 2,
            me,
            functools.partial(self._take_answer, order, None),
        )

    def promise(self, term: ids.Term, holder: ids.InstanceId) -> bool:
        """Promise to claim nothing for a while; tell whether it did."""
        before = self.state.promised_until
        self.feed(events.DeputyAsked(term, holder))
        return self.state.promised_until > before

    def release(self, term: ids.Term) -> bool:
        """Act under no term before this one; tell whether none is left."""
        self.feed(events.ReleaseAsked(term))
        return authority.has_released(self.state, term, self.clock.now())

    def _tick(self) -> None:
        if self.is_gone:
            return
        self._feed_view()
        self.feed(events.ServersListed(tuple(self._shared.listed.items())))
        self.feed(events.Ticked())
        self._net.after(TICK_MS, self.state.instance, self._tick)

    def _follow(self) -> None:
        if self.is_gone:
            return
        read_log(self, self._shared, self._fold)
        self._net.after(FOLLOW_MS, self.state.instance, self._follow)

    def _take_read(
        self,
        unanswered: list[clock.Millis],
        logged: list[records.LoggedRecord] | None,
    ) -> None:
        if logged is not None:
            self._fold(logged)
            self._feed_view()
        if not unanswered:
            return
        sent_at = unanswered.pop()
        if logged is None:
            self.feed(events.TailReadFailed())
        else:
            term = self.log_state.term_of(SERVICE).term
            self.feed(events.TailRead(sent_at, term))

    def _fold(self, logged: list[records.LoggedRecord]) -> None:
        if logged and logged[0].offset <= self.log_state.next_offset:
            self.log_state = fold.fold_all(self.log_state, logged)

    def _feed_view(self) -> None:
        log_state = self.log_state
        pending = self.state.pending
        verdict = pending and log_state.verdict_of(pending.record_id)
        self.feed(
            events.StateFolded(
                term=log_state.term_of(SERVICE),
                assignment=log_state.assignment_of(SERVICE),
                candidates=tuple(
                    coordination.Candidate(known.instance, known.data_centre)
                    for known in log_state.instances.values()
                ),
                timing=self._shared.timing,
                pending_folded=verdict is not None,
                longest_deadline_ms=LOG_TIMEOUT_MS,
            ),
        )

    def _call(
        self,
        callee: ids.InstanceId,
        ask: 'typing.Callable[[Member], bool]',
        event: typing.Callable[[], events.Event],
    ) -> None:
        def reach() -> None:  # noqa: WPS430
            other = self._shared.members.get(callee)
            if other is None or other.is_gone or not ask(other):
                return
            self._net.send(
                callee, self.state.instance, lambda: self.feed(event())
            )

        self._net.send(self.state.instance, callee, reach)

    def _reach_server(
        self,
        order: actions.Order,
        body: wire.AnyOrder,
    ) -> None:
        book = self._shared.books.get(order.server)
        if book is None:
            return
        answer = book.obey(body)
        self._shared.on_obeyed(order.server, body)
        self._net.send(
            order.server,
            self.state.instance,
            functools.partial(self._take_answer, order, answer),
        )

    def _take_answer(
        self,
        order: actions.Order,
        answer: wire.OrderAnswer | None,
    ) -> None:
        self.feed(http_orders.to_event(order, answer, self.clock.now()))


def read_log(
    reader: Member,
    shared: Shared,
    take: typing.Callable[[list[records.LoggedRecord]], None],
) -> None:
    """Have a member take the records that it has not folded yet."""
    me = reader.state.instance
    start = reader.log_state.next_offset

    def answer() -> None:  # noqa: WPS430
        logged = shared.log.read(start, me)
        shared.net.send(LOG, me, functools.partial(take, logged))

    shared.net.send(me, LOG, answer, shared.log.delay_ms)


def _is_acting(asked: Member) -> bool:
    return asked.state.is_acting(asked.clock.now())


@functools.singledispatch
def carry_out(action: object, member: Member) -> None:
    """Carry out an action."""
    raise TypeError(f'no work for the action {action!r}')


@carry_out.register(actions.Greet)
@carry_out.register(actions.Grant)
@carry_out.register(actions.Renew)
@carry_out.register(actions.Revoke)
def _carry_out_order(action: actions.Order, member: Member) -> None:
    member.order(action)


@carry_out.register
def _carry_out_read(action: actions.ReadTail, member: Member) -> None:
    member.read()


@carry_out.register
def _carry_out_ask(action: actions.AskDeputy, member: Member) -> None:
    member.ask_deputy(action)


@carry_out.register
def _carry_out_release(action: actions.AskRelease, member: Member) -> None:
    member.ask_release(action)


@carry_out.register
def _carry_out_probe(action: actions.ProbeHolders, member: Member) -> None:
    member.probe(action)


@carry_out.register
def _carry_out_append(action: actions.AppendRecord, member: Member) -> None:
    member.append(action.record)
