"""Judge what servers and callers see, less what disruptions excuse."""

import asyncio
import collections
import typing

from gateway_testing import intervals, link_proxy, promise_checks

# The platform's ThawSlack.
THAW_SLACK_S = 0.3


class PromiseWatch:
    """Record violated promises towards servers.

    A sender is one process of an instance, so a restart excuses by itself.
    """

    def __init__(
        self,
        violations: list[str],
        sent_at: typing.Mapping[str, float],
    ) -> None:
        # Pauses of senders, and the links of servers and to the store.
        self.pauses: dict[str, intervals.Intervals] = collections.defaultdict(
            intervals.Intervals
        )
        self.server_links: dict[str, link_proxy.Proxy] = {}
        self.store_links: dict[str, link_proxy.Proxy] = {}
        # The servers that were leaving when they answered a request.
        self._leaving: dict[str, promise_checks.ServerLife] = {}
        self._violations = violations
        # Each sender is reported once for each server, or grant.
        self._reported: set[tuple[object, ...]] = set()
        # When each request was sent by its caller.
        self._sent_at = sent_at
        self._began_at = 0.0
        self._fences = promise_checks.FenceCheck()
        self._drains = promise_checks.DrainCheck()
        self._back_offs = promise_checks.BackOffCheck()

    def begin(self) -> None:
        """Count the times of reports from now."""
        self._began_at = _now()

    def accept_grant(self, sender: str, grant: promise_checks.Grant) -> None:
        """Check the fence of a grant that a server accepted just now.

        Grants of senders that were paused or cut off just before don't count.
        """
        now = _now()
        since = now - THAW_SLACK_S
        disruptions = (
            self.pauses[sender],
            self.server_links[grant.server].faults,
            self._store_faults(sender),
        )
        if any(row.ended_within(since, now) for row in disruptions):
            return
        known = self._fences.accept(grant)
        if known is not None:
            self._report_once(
                ('fence', sender, grant),
                f'{grant} of {sender} is not above {known}',
            )

    def arrive(
        self, sender: str, life: promise_checks.ServerLife, name: str
    ) -> None:
        """Record that a request reached a server."""
        now = _now()
        self._back_offs.arrive(sender, life, now)
        sent_at = self._sent_at[name]
        told_at = self._drains.told_at(sender, life, sent_at)
        if told_at is None or self.pauses[sender].overlap(told_at, now):
            return
        after_s = sent_at - told_at
        self._report_once(
            ('leaving', sender, life),
            f'{name} was sent {after_s:.3f} s after {sender} passed on that '
            f'{life} leaves',
        )

    def answer_leaving(
        self, life: promise_checks.ServerLife, name: str
    ) -> None:
        """Record that a request was answered by a leaving server."""
        self._leaving[name] = life

    def pass_on(self, sender: str, name: str) -> None:
        """Record that a caller got a server's answer from a sender."""
        life = self._leaving.get(name)
        if life is not None:
            self._drains.tell(sender, life, _now())

    def ask_to_back_off(
        self, sender: str, life: promise_checks.ServerLife, back_off_s: float
    ) -> None:
        """Record that a server turned a request away and asked to back off."""
        self._back_offs.ask(sender, life, _now(), back_off_s)

    def check_back_offs(self) -> None:
        """Report back-offs that were broken without an excuse."""
        for back_off in self._back_offs.broken():
            span = (back_off.asked_at, back_off.ends_at)
            disruptions = (
                self.pauses[back_off.sender],
                self.server_links[back_off.life.server].faults,
                self._store_faults(back_off.sender),
            )
            if not any(row.overlap(*span) for row in disruptions):
                asked_at = back_off.asked_at - self._began_at
                back_off_s = back_off.ends_at - back_off.asked_at
                self._report_once(
                    ('back-off', back_off.sender, back_off.life),
                    f'{len(back_off.arrivals)} requests of {back_off.sender} '
                    f'reached {back_off.life}, which at {asked_at:.3f} s asked '
                    f'for {back_off_s:.0f} s',
                )

    def _store_faults(self, sender: str) -> intervals.Intervals:
        return self.store_links[sender.partition('/')[0]].faults

    def _report_once(self, subject: tuple[object, ...], text: str) -> None:
        if subject not in self._reported:
            self._reported.add(subject)
            at = _now() - self._began_at
            self._violations.append(f'{subject[0]}: {text} ({at:.3f} s)')


def _now() -> float:
    return asyncio.get_running_loop().time()
