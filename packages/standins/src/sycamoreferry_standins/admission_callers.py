"""Send requests through simulated instances, and witness their runs."""

import dataclasses
import functools

from sycamoreferry_core import (
    admission_actions,
    admission_events,
    admission_records,
    ids,
)
from sycamoreferry_standins import admission_world

GATE_PATIENCE_MS = 1000
MOST_HOPS = 3

_Verdict = admission_actions.Verdict


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


class Callers:
    """Make requests as callers and their instances' gates do."""

    def __init__(self, world: admission_world.World) -> None:
        self.runs: list[Run] = []
        self.requests: list[Request] = []
        self._by_attempt: dict[ids.AttemptId, Request] = {}
        self._world = world
        world.answers.append(self.take_answer)

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
            asked_at=self._world.now,
            deadline_ms=deadline_ms,
        )
        self.requests.append(made)
        self._by_attempt[made.attempt] = made
        first = self.owner_at(name)
        self._world.at(name, functools.partial(self._ask, made, first or name))
        self._world.later(
            GATE_PATIENCE_MS,
            functools.partial(
                self._world.at,
                name,
                functools.partial(self._give_up, made),
            ),
        )
        return made

    def doubled_runs(self, window_ms: int) -> list[Run]:
        """Return the runs that followed another of the same key."""
        newest: dict[ids.AdmissionKey, Run] = {}
        doubled = []
        for run in self.runs:
            earlier = newest.get(run.key)
            if earlier and run.at - earlier.at < window_ms:
                doubled.append(run)
            newest[run.key] = run
        return doubled

    def owner_at(self, name: ids.InstanceId) -> ids.InstanceId:
        """Return the owner that an instance knows."""
        known = self._world.nodes[name].state
        return known.journal.claim.owner

    def take_answer(
        self,
        name: ids.InstanceId,
        answered: admission_actions.Answer,
    ) -> None:
        """Bring an answer back to the instance that asked."""
        made = self._by_attempt.get(answered.attempt)
        if made is None or self._world.is_cut(name, made.node):
            return
        take = functools.partial(self._take, made, answered)
        self._world.later(
            admission_world.NETWORK_MS,
            functools.partial(self._world.at, made.node, take),
        )

    def _ask(self, made: Request, target: ids.InstanceId) -> None:
        made.hops += 1
        made.asked = target
        self._world.send(
            made.node,
            target,
            admission_events.AdmissionRequested(
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
        made.answered_at = self._world.now
        if answered.verdict is _Verdict.ADMITTED:
            self._run(made)

    def _give_up(self, made: Request) -> None:
        if made.verdict is None:
            made.verdict = _Verdict.UNAVAILABLE
            made.answered_at = self._world.now
            self._conclude(made, admission_records.Ending.NOT_RUN)

    def _run(self, made: Request) -> None:
        if self._world.now > made.asked_at + made.deadline_ms:
            self._conclude(made, admission_records.Ending.NOT_RUN)
            return
        if made.ending is not admission_records.Ending.NOT_RUN:
            self.runs.append(Run(made.key, self._world.now))
        concluding = functools.partial(self._conclude, made, made.ending)
        self._world.later(
            made.run_ms,
            functools.partial(self._world.at, made.node, concluding),
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
        owner = self.owner_at(made.node)
        for target in dict.fromkeys((made.asked, owner)):
            self._world.send(
                made.node, target, admission_events.AttemptEnded(concluded)
            )
