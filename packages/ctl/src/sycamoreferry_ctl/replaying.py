"""Replay a recorded trace against a running system."""

import asyncio
import dataclasses
import functools
import re
import secrets
import typing

import aiohttp
import msgspec
import yaml

from sycamoreferry_core import clock, ids, keys, profiles, state
from sycamoreferry_ctl import log_access, publishing, statuses, trace_caller
from sycamoreferry_ports import boot_clock, http_log, wire
from sycamoreferry_standins import (
    control,
    trace,
    trace_observations,
    workloads,
)

PROFILE_LIMIT_MS = 20_000
START_PAUSE_MS = 200
REPLAY_ID_BYTES = 3
_LIVE = 'live'
_LEAVING = 'leaving'
_RETRIES = re.compile(r'^ferry_retries_total(?:\{.*\})? (\S+)$', re.MULTILINE)


class ReplayError(Exception):
    """Report a system on which a trace cannot be replayed."""


class Runner(typing.Protocol):
    """Act on the processes of a system that was started for the replay."""

    async def act(self, line: trace.ProcessLine) -> None:
        """Pause, continue, kill or start a process."""


@dataclasses.dataclass(frozen=True)
class Target:
    """Name the system that a trace is replayed against."""

    platform_url: str
    stream: str
    workload: workloads.Workload
    runner: Runner | None = None


def require_runner(
    lines: typing.Iterable[trace.AnyLine],
    runner: Runner | None,
) -> None:
    """Raise ReplayError where processes must be stopped and none can be."""
    if runner is not None:
        return
    if any(isinstance(line, trace.ProcessLine) for line in lines):
        raise ReplayError(
            'the trace stops processes; replay it with scripts/replay,'
            ' which starts a system of its own',
        )


def rename_requests(
    lines: typing.Iterable[trace.AnyLine],
) -> tuple[trace.AnyLine, ...]:
    """Give requests ids that no earlier replay on the system used."""
    replay_id = secrets.token_hex(REPLAY_ID_BYTES)
    return tuple(
        _rename(line, replay_id)
        if isinstance(line, trace.RequestSent)
        else line
        for line in lines
    )


def _rename(line: trace.RequestSent, replay_id: str) -> trace.RequestSent:
    named = line.idempotency_key
    return msgspec.structs.replace(
        line,
        request_id=ids.RequestId(f'{replay_id}-{line.request_id}'),
        idempotency_key=ids.IdempotencyKey(
            f'{replay_id}-{named}' if named else '',
        ),
    )


class Player:
    """Carry out the lines of a trace at their times."""

    def __init__(self, session: aiohttp.ClientSession, target: Target) -> None:
        self._session = session
        self._target = target
        self._clock = boot_clock.BootClock()
        self._log = http_log.HttpLog(
            session,
            target.platform_url,
            target.stream,
        )
        self._servers: dict[ids.ServerId, wire.ListedServer] = {}
        self._begun = state.LogState()
        self._departures: list[trace_observations.Departure] = []
        self._publications: list[trace_observations.Publication] = []
        self._caller: trace_caller.TraceCaller | None = None
        self.control = control.Control(session, target.platform_url)

    @property
    def caller(self) -> trace_caller.TraceCaller:
        """Return what sends the requests."""
        if self._caller is None:
            raise RuntimeError('replay before sending requests')
        return self._caller

    async def replay(
        self,
        lines: typing.Sequence[trace.AnyLine],
        report: typing.Callable[[int], None],
    ) -> trace_observations.Observed:
        """Replay every line and return what was observed."""
        require_runner(lines, self._target.runner)
        urls = await self._find_system()
        self._caller = trace_caller.TraceCaller(
            self._session,
            urls,
            self._target.workload,
            self._clock,
        )
        retries_before = await self._count_retries(urls)
        started_at = self._clock.now()
        await self._play(rename_requests(lines), report)
        runs = await asyncio.gather(
            *map(self.control.runs_of, self._servers.values()),
        )
        return trace_observations.Observed(
            attempts=tuple(self._caller.attempts),
            runs=tuple(
                run
                for witnessed in runs
                for run in witnessed
                if run.started >= started_at
            ),
            departures=tuple(self._departures),
            publications=tuple(self._publications),
            retries=max(0, await self._count_retries(urls) - retries_before),
        )

    async def act_on_process(self, line: trace.ProcessLine) -> None:
        """Act on a process through the runner."""
        if self._target.runner is not None:
            await self._target.runner.act(line)

    async def change_server(
        self,
        line: trace.ServerLine,
        listed_state: str,
    ) -> wire.ListedServer:
        """List a server under another state."""
        listed = msgspec.structs.replace(
            self.find_server(line),
            state=listed_state,
        )
        await self.control.list_server(listed)
        return listed

    async def announce_departure(self, line: trace.ServerLeaving) -> None:
        """List a server as leaving, and note when."""
        listed = await self.change_server(line, _LEAVING)
        self._departures.append(
            trace_observations.Departure(listed.server, self._clock.now()),
        )

    async def publish(self, line: trace.ProfilePublished) -> None:
        """Publish a profile and note how long it took to be in force."""
        folded = await self._read_state()
        held = folded.profiles.get(line.name)
        outcome = await publishing.publish_profile(
            self._log,
            line.name,
            profiles.Profile.model_validate(yaml.safe_load(line.body)),
            held.number if held else ids.NO_PROFILE_NUMBER,
        )
        if isinstance(outcome, publishing.PublishRefused):
            raise ReplayError(f'profile {line.name} refused: {outcome.code}')
        accepted_at = self._clock.now()
        missing = await statuses.wait_for_profile(
            folded,
            line.name,
            outcome.number,
            PROFILE_LIMIT_MS,
        )
        self._publications.append(
            trace_observations.Publication(
                line.name,
                outcome.number,
                self._clock.now() - accepted_at,
                missing,
            ),
        )

    def find_server(self, line: trace.ServerLine) -> wire.ListedServer:
        """Return where a server is; raise ReplayError where none is."""
        server = line.server
        if line.owner_of is not None:
            server = self._owner_of(line.owner_of)
        listed = self._servers.get(server)
        if listed is None:
            raise ReplayError(
                f'the system has no server {server or line.owner_of};'
                ' start the system that the trace names',
            )
        return listed

    def _owner_of(self, owned: trace.OwnedKey) -> ids.ServerId:
        assigned = self._begun.assignment_of(owned.service)
        shard = keys.shard_of(owned.key, max(1, len(assigned.owners)))
        return assigned.owner_of(shard) or ids.ServerId('')

    async def _find_system(self) -> list[str]:
        self._begun = await self._read_state()
        listed = await self.control.listed_servers()
        self._servers = {entry.server: entry for entry in listed}
        if not self._begun.instances:
            raise ReplayError(
                'no routing instance has joined; start the system first',
            )
        return [
            f'http://{joined.peer_host}:{joined.request_port}'
            for joined in self._begun.instances.values()
        ]

    async def _read_state(self) -> state.LogState:
        return await log_access.read_state(self._log)

    async def _play(
        self,
        lines: typing.Sequence[trace.AnyLine],
        report: typing.Callable[[int], None],
    ) -> None:
        start = clock.later(self._clock.now(), START_PAUSE_MS)
        async with asyncio.TaskGroup() as tasks:
            for number, line in enumerate(lines):
                due = clock.later(start, line.at_ms)
                wait_ms = max(0, due - self._clock.now())
                await asyncio.sleep(clock.seconds(wait_ms))
                tasks.create_task(_carry_out(line, self))
                report(number + 1)

    async def _count_retries(self, urls: typing.Iterable[str]) -> int:
        counts = await asyncio.gather(*map(self._retries_of, urls))
        return sum(counts)

    async def _retries_of(self, url: str) -> int:
        """Return the retries of an instance; none where it has gone."""
        try:
            async with self._session.get(f'{url}/metrics') as answer:
                exposed = await answer.text()
        except aiohttp.ClientError:
            return 0
        return sum(int(float(count)) for count in _RETRIES.findall(exposed))


@functools.singledispatch
async def _carry_out(line: object, player: Player) -> None:
    raise TypeError(f'no rule for the line {line!r}')


@_carry_out.register
async def _send_request(line: trace.RequestSent, player: Player) -> None:
    await player.caller.call(line)


@_carry_out.register
async def _set_log_faults(line: trace.LogFaultsSet, player: Player) -> None:
    await player.control.set_log_faults(line.faults)


@_carry_out.register
async def _set_list_faults(line: trace.ListFaultsSet, player: Player) -> None:
    await player.control.set_list_faults(line.faults)


@_carry_out.register
async def _set_server_faults(
    line: trace.ServerFaultsSet,
    player: Player,
) -> None:
    listed = player.find_server(line)
    await player.control.set_server_faults(listed, line.faults)


@_carry_out.register
async def _announce_departure(
    line: trace.ServerLeaving,
    player: Player,
) -> None:
    await player.announce_departure(line)


@_carry_out.register
async def _announce_arrival(line: trace.ServerArriving, player: Player) -> None:
    await player.change_server(line, _LIVE)


@_carry_out.register
async def _publish_profile(
    line: trace.ProfilePublished,
    player: Player,
) -> None:
    await player.publish(line)


@_carry_out.register
async def _act_on_process(line: trace.ProcessLine, player: Player) -> None:
    await player.act_on_process(line)
