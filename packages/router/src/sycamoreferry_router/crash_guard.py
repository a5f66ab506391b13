"""Quarantine requests that crash backend servers."""

import asyncio
import collections
import dataclasses
import functools
import typing

from sycamoreferry_core import (
    admission_routing,
    clock,
    ids,
    outcomes,
    quarantine,
    records,
    result_codes,
)
from sycamoreferry_ports import http_forward, http_probe, record_ids, wire
from sycamoreferry_router import logs, messages, settings, view

PUBLISH_RETRY_DELAY_MS = 1000
MAX_UNPUBLISHED_CRASHES = 16
RETRY_AFTER_MS = 1000
# A server may crash this long after an attempt ended without it.
LATE_CRASH_MS = 1000
MAX_CACHED_QUARANTINES = 64

_QuarantineEnds = dict[ids.RequestDigest, int]

_log = logs.part_logger('quarantine')


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Hold the collaborators of a crash guard."""

    instance_view: view.InstanceView
    publish: typing.Callable[
        [records.AnyRecord],
        typing.Awaitable[result_codes.ResultCode | None],
    ]
    probe: typing.Callable[
        [wire.ListedServer],
        typing.Awaitable[http_probe.ProbeResult],
    ]
    wall_clock: clock.Clock


class CrashGuard:
    """Record server crashes and reject quarantined requests."""

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies
        self._unpublished: tuple[quarantine.Crash, ...] = ()
        self._built_from: tuple[
            quarantine.CrashHistory,
            tuple[quarantine.Crash, ...],
        ] = (quarantine.CrashHistory(), ())
        self._book = quarantine.CrashHistory()
        self._suspects = self._book.suspects()
        self._quarantine_cache: dict[tuple[str, int], _QuarantineEnds] = {}
        self._answered_at: dict[ids.ServerId, clock.Millis] = {}
        self._trials_in_flight: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._cut_off_digests: dict[ids.ServerId, set[ids.RequestDigest]] = {}
        self._probes: dict[ids.ServerId, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def crash_book(self) -> quarantine.CrashHistory:
        """Return the crashes in the log and those not yet published."""
        logged = self._dependencies.instance_view.log_state.crash_book
        if self._built_from != (logged, self._unpublished):
            self._built_from = (logged, self._unpublished)
            self._book = functools.reduce(
                quarantine.CrashHistory.add_crash,
                self._unpublished,
                logged,
            )
            self._suspects = self._book.suspects()
            self._quarantine_cache.clear()
        return self._book

    def refuse(self, selected: messages.Selected) -> outcomes.NotRun | None:
        """Return NotRun if the request must not be sent to its server now."""
        book = self.crash_book
        if not book.crashes:
            return None
        digest = digest_of(selected)
        now = self._dependencies.wall_clock.now()
        ends = self._quarantine_ends(selected.identified.service, now)
        end = ends.get(digest)
        if end is not None:
            return outcomes.NotRun(
                result_codes.ResultCode.QUARANTINED,
                end - now,
                selected.way,
            )
        if (
            digest in self._suspects
            and self._trials_in_flight[selected.server.server]
        ):
            return outcomes.NotRun(
                result_codes.ResultCode.NO_TARGET,
                RETRY_AFTER_MS,
                selected.way,
            )
        return None

    async def forward(
        self,
        selected: messages.Selected,
        sending: typing.Awaitable[http_forward.ForwardOutcome],
    ) -> http_forward.ForwardOutcome:
        """Send a request, and record a crash if its server went down."""
        try:
            return await self._forward(selected, sending)
        except asyncio.CancelledError:
            # The caller left; its request may still crash the server.
            self._start_task(self._check_later(selected))
            raise

    async def _forward(
        self,
        selected: messages.Selected,
        sending: typing.Awaitable[http_forward.ForwardOutcome],
    ) -> http_forward.ForwardOutcome:
        digest = digest_of(selected) if self.crash_book.crashes else None
        if digest is None or digest not in self._suspects:
            return await self._record_result(selected, await sending)
        # A server runs one suspect request at a time, so that a second crash
        # identifies the request that caused it.
        server = selected.server.server
        self._trials_in_flight[server] += 1
        try:
            outcome = await self._record_result(selected, await sending)
        finally:
            self._trials_in_flight[server] -= 1
        if isinstance(outcome, http_forward.Received):
            self._start_task(self._clear_suspicion(digest))
        return outcome

    def _quarantine_ends(
        self, service: settings.Service, now: clock.Millis
    ) -> _QuarantineEnds:
        second = now // clock.MILLIS_PER_SECOND
        quarantine_ends = self._quarantine_cache.get((service.name, second))
        if quarantine_ends is None:
            if len(self._quarantine_cache) >= MAX_CACHED_QUARANTINES:
                self._quarantine_cache.clear()
            quarantine_ends = quarantine.quarantine_ends(
                self._book,
                service.service_name,
                self._dependencies.instance_view.profile(
                    service.profile
                ).quarantine,
                now,
            )
            self._quarantine_cache[(service.name, second)] = quarantine_ends
        return quarantine_ends

    async def _record_result(
        self,
        selected: messages.Selected,
        outcome: http_forward.ForwardOutcome,
    ) -> http_forward.ForwardOutcome:
        if isinstance(outcome, http_forward.Received):
            server = selected.server.server
            self._answered_at[server] = self._dependencies.wall_clock.now()
        elif isinstance(outcome, http_forward.IncompleteAnswer):
            await self._check_for_crash(selected)
        elif isinstance(outcome, http_forward.TimedOut):
            self._start_task(self._check_later(selected))
        return outcome

    async def _check_later(self, selected: messages.Selected) -> None:
        await asyncio.sleep(clock.seconds(LATE_CRASH_MS))
        await self._check_for_crash(selected)

    async def _check_for_crash(self, selected: messages.Selected) -> None:
        server = selected.server.server
        self._cut_off_digests.setdefault(server, set()).add(digest_of(selected))
        probe_task = self._probes.get(server)
        if probe_task is None:
            probe_task = asyncio.get_running_loop().create_task(
                self._probe(selected),
            )
            self._probes[server] = probe_task
        await asyncio.shield(probe_task)

    async def _probe(self, selected: messages.Selected) -> None:
        probed = await self._dependencies.probe(selected.server)
        server = selected.server.server
        self._probes.pop(server)
        digests = sorted(self._cut_off_digests.pop(server))
        if (
            probed is not http_probe.ProbeResult.CONNECTION_FAILED
            or self._is_still_down(server)
        ):
            return
        _log.warning(
            'server {} crashed; it cut off {} requests, now suspects',
            server,
            len(digests),
        )
        crash = quarantine.Crash(
            service=selected.identified.service.service_name,
            server=server,
            at_ms=self._dependencies.wall_clock.now(),
            digests=tuple(digests[: quarantine.MAX_DIGESTS_PER_CRASH]),
        )
        unpublished = (*self._unpublished, crash)
        self._unpublished = unpublished[-MAX_UNPUBLISHED_CRASHES:]
        self._start_task(self._publish(crash))

    def _is_still_down(self, server: ids.ServerId) -> bool:
        """Return True if the server has not answered since its last crash."""
        crashed_at = [
            crash.at_ms
            for crash in self.crash_book.crashes
            if crash.server == server
        ]
        if not crashed_at:
            return False
        latest = crashed_at[-1]
        if (
            self._dependencies.wall_clock.now()
            < latest + quarantine.SAME_CRASH_MS
        ):
            return False
        return self._answered_at.get(server, 0) <= latest

    async def _publish(self, crash: quarantine.Crash) -> None:
        record = records.ServerCrashed(
            record_id=record_ids.new_record_id('crash'),
            crash=crash,
        )
        while True:
            if await self._dependencies.publish(record) is not None:
                break
            await asyncio.sleep(clock.seconds(PUBLISH_RETRY_DELAY_MS))
        self._unpublished = tuple(
            known for known in self._unpublished if known != crash
        )

    async def _clear_suspicion(self, digest: ids.RequestDigest) -> None:
        await self._dependencies.publish(
            records.SuspicionCleared(
                record_id=record_ids.new_record_id('clear'),
                digest=digest,
            ),
        )

    def _start_task(
        self, work: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def digest_of(selected: messages.Selected) -> ids.RequestDigest:
    """Return the digest of a request's content, without its ids."""
    identified = selected.identified
    incoming = identified.incoming
    return ids.RequestDigest(
        admission_routing.digest(
            identified.service.name,
            incoming.method,
            incoming.target,
            identified.key or '',
            incoming.body,
        ),
    )
