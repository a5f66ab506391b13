"""Admit a non-idempotent request at most once across instances."""

import asyncio
import dataclasses
import itertools
import typing

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    admission_routing,
    clock,
    ids,
    outcomes,
    result_codes,
)
from sycamoreferry_ports import headers
from sycamoreferry_router import admission_ring, messages

MOST_HOPS = 4
CONCLUDE_TRIES = 4
CONCLUDE_PAUSE_MS = 500
RETRY_AFTER_MS = 1000
ASK_LIMIT_MS = 1500

_Code = result_codes.ResultCode
_Ending = admission_records.Ending
_Verdict = admission_actions.Verdict

_ENDINGS = {
    outcomes.Kind.ANSWERED: _Ending.ANSWERED,
    outcomes.Kind.NOT_RUN: _Ending.NOT_RUN,
    outcomes.Kind.UNKNOWN: _Ending.UNKNOWN,
}

_REFUSALS: dict[admission_actions.Verdict, outcomes.Outcome] = {
    _Verdict.RUNNING: outcomes.Unknown(_Code.ALREADY_RUNNING, RETRY_AFTER_MS),
    _Verdict.ANSWERED: outcomes.Unknown(_Code.ALREADY_ANSWERED),
    _Verdict.UNKNOWN: outcomes.Unknown(_Code.OUTCOME_UNKNOWN),
    _Verdict.REUSED: outcomes.NotRun(_Code.IDEMPOTENCY_KEY_REUSED),
}
_UNAVAILABLE = outcomes.NotRun(_Code.ADMISSION_UNAVAILABLE, RETRY_AFTER_MS)


@dataclasses.dataclass(frozen=True)
class _Pass:
    """Hold an attempt that was admitted, and the owner that admitted it."""

    attempt: ids.AttemptId
    owner: ids.InstanceId
    until: clock.Millis


class AdmissionGate:
    """Ask the owner of a request's partition before the request runs."""

    def __init__(
        self,
        ring: admission_ring.AdmissionRing,
        timer: clock.Clock,
    ) -> None:
        self._ring = ring
        self._clock = timer
        self._numbers = itertools.count(1)
        self._passes: dict[ids.AdmissionKey, _Pass] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def enter(
        self,
        identified: messages.Identified,
    ) -> messages.Identified | outcomes.Outcome:
        """Return the request if it is admitted, or what is known of it."""
        if identified.idempotent:
            return identified
        key = _key_of(identified)
        line = self._ring.line_of(key)
        tried: set[ids.InstanceId] = set()
        ends_at = min(
            identified.deadline,
            clock.later(self._clock.now(), ASK_LIMIT_MS),
        )
        while line and len(tried) < MOST_HOPS and self._clock.now() < ends_at:
            target = line[0]
            tried.add(target)
            asked = self._new_ask(identified, key)
            answered = await self._ring.ask(target, asked)
            if answered is None:
                self._conclude(key, asked.attempt, target, _Ending.NOT_RUN)
            elif answered.verdict is not _Verdict.NOT_OWNER:
                return self._judge(identified, asked, target, answered)
            line = _next_line(line, answered, tried)
        return _UNAVAILABLE

    async def leave(
        self,
        identified: messages.Identified,
        outcome: outcomes.Outcome,
    ) -> None:
        """Tell the owner how the request ended, and do not wait for it."""
        if identified.idempotent:
            return
        key = _key_of(identified)
        passed = self._passes.pop(key, None)
        if passed is not None:
            ending = _ENDINGS[outcome.kind]
            self._conclude(key, passed.attempt, passed.owner, ending)

    def _new_ask(
        self,
        identified: messages.Identified,
        key: ids.AdmissionKey,
    ) -> admission_events.Asked:
        attempt = f'{self._ring.me}/{next(self._numbers)}'
        return admission_events.Asked(
            key=key,
            fingerprint=_fingerprint_of(identified),
            attempt=ids.AttemptId(attempt),
            deadline_ms=max(0, identified.deadline - self._clock.now()),
        )

    def _judge(
        self,
        identified: messages.Identified,
        asked: admission_events.Asked,
        owner: ids.InstanceId,
        answered: admission_actions.Answer,
    ) -> messages.Identified | outcomes.Outcome:
        if answered.verdict is not _Verdict.ADMITTED:
            return _REFUSALS.get(answered.verdict, _UNAVAILABLE)
        self._forget_old_passes()
        self._passes[asked.key] = _Pass(
            asked.attempt,
            owner,
            identified.deadline,
        )
        return identified

    def _forget_old_passes(self) -> None:
        """Drop passes of requests that were cancelled, oldest first."""
        now = self._clock.now()
        for key, passed in tuple(self._passes.items())[:2]:
            if passed.until < now:
                self._passes.pop(key)

    def _conclude(
        self,
        key: ids.AdmissionKey,
        attempt: ids.AttemptId,
        owner: ids.InstanceId,
        ending: admission_records.Ending,
    ) -> None:
        concluded = admission_records.Concluded(key, attempt, ending)
        task = asyncio.get_running_loop().create_task(
            self._tell(concluded, owner),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(
        self,
        concluded: admission_records.Concluded,
        owner: ids.InstanceId,
    ) -> None:
        for _ in range(CONCLUDE_TRIES):
            for target in (owner, *self._ring.line_of(concluded.key)):
                if await self._ring.conclude(target, concluded):
                    return
            await asyncio.sleep(clock.seconds(CONCLUDE_PAUSE_MS))


def _next_line(
    line: typing.Sequence[ids.InstanceId],
    answered: admission_actions.Answer | None,
    tried: set[ids.InstanceId],
) -> list[ids.InstanceId]:
    hint = answered.hint if answered else ''
    hinted = [ids.InstanceId(hint)] if hint else []
    return [name for name in (*hinted, *line) if name not in tried]


def _key_of(identified: messages.Identified) -> ids.AdmissionKey:
    incoming = identified.incoming
    return ids.AdmissionKey(
        admission_routing.digest(
            identified.service.name,
            incoming.headers.get(headers.CALLER, ''),
            identified.idempotency_key or '',
        ),
    )


def _fingerprint_of(identified: messages.Identified) -> ids.Fingerprint:
    incoming = identified.incoming
    return ids.Fingerprint(
        admission_routing.digest(
            incoming.method,
            incoming.target,
            identified.key or '',
            incoming.body,
        ),
    )
