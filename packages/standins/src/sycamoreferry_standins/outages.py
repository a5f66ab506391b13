"""Watch how long keys cannot be reached while processes fail."""

import asyncio
import contextlib
import functools
import http
import itertools
import typing

import aiohttp

from sycamoreferry_core import clock, fold, ids, state
from sycamoreferry_ports import boot_clock, headers, http_log, log_port
from sycamoreferry_standins import backend_server, cluster

STREAM = 'ferry'
CALL_INTERVAL_MS = 50
DEADLINE_MS = 1000


class KeyWatch:
    """Call for some keys without pause, and note when each was answered."""

    def __init__(
        self,
        system: cluster.Cluster,
        url: str,
        keys: typing.Sequence[str],
    ) -> None:
        self._system = system
        self._url = url
        self._timer = boot_clock.BootClock()
        self._answered: dict[str, list[clock.Millis]] = {
            key: [] for key in keys
        }

    async def __aenter__(self) -> typing.Self:
        """Start to call."""
        self._calls = asyncio.get_running_loop().create_task(self._run())
        return self

    async def __aexit__(self, *error: object) -> None:
        """End the calls."""
        self._calls.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._calls

    async def wait_until_answered(self, times: int = 3) -> None:
        """Wait until each key was answered some more times."""
        before = self._counts()

        async def answered() -> bool:  # noqa: WPS430
            return all(
                count >= before[key] + times
                for key, count in self._counts().items()
            )

        await cluster.wait_for(answered, 'every key to be answered')

    def longest_gap_ms(self) -> int:
        """Return the longest time between two answers for one key."""
        return max(
            later - earlier
            for answered in self._answered.values()
            for earlier, later in itertools.pairwise(answered)
        )

    def _counts(self) -> dict[str, int]:
        return {key: len(noted) for key, noted in self._answered.items()}

    async def _run(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                for key in self._answered:
                    group.create_task(self._call(key))
                await asyncio.sleep(clock.seconds(CALL_INTERVAL_MS))

    async def _call(self, key: str) -> None:
        named = {headers.KEY: key, headers.DEADLINE_MS: str(DEADLINE_MS)}
        with contextlib.suppress(aiohttp.ClientError):
            async with self._system.session.get(
                self._url,
                headers=named,
            ) as answer:
                await answer.read()
                if answer.status == http.HTTPStatus.OK:
                    self._answered[key].append(self._timer.now())


async def read_state(system: cluster.Cluster) -> state.LogState:
    """Fold the whole log, which must be up."""
    log = http_log.HttpLog(system.session, system.platform_url, STREAM)
    folded = state.LogState()
    while True:
        outcome = await log.read(folded.next_offset, 0)
        if isinstance(outcome, log_port.ReadFailed):
            raise cluster.NotReadyError(outcome.reason)
        folded = fold.fold_all(folded, outcome.logged)
        if folded.next_offset >= outcome.end_offset:
            return folded


async def holders(
    system: cluster.Cluster,
    service: ids.ServiceName,
) -> tuple[str, str]:
    """Return the entries that are coordinator and deputy of a service."""
    term = (await read_state(system)).term_of(service)
    return (_entry_of(term.coordinator), _entry_of(term.deputy))


def _entry_of(instance: ids.InstanceId) -> str:
    return instance.rpartition('.')[0]


async def wait_for_term(
    system: cluster.Cluster,
    service: ids.ServiceName,
    lost: typing.Collection[str],
) -> None:
    """Wait until the log names a coordinator that is not lost."""

    async def is_taken_over() -> bool:  # noqa: WPS430
        coordinator, _ = await holders(system, service)
        return coordinator not in lost

    await cluster.wait_for(is_taken_over, 'another coordinator')


async def wait_for_owner(
    system: cluster.Cluster,
    service: ids.ServiceName,
    server: ids.ServerId,
) -> None:
    """Wait until a server is to own shards."""

    async def owns() -> bool:  # noqa: WPS430
        assigned = (await read_state(system)).assignment_of(service)
        return server in assigned.owners

    await cluster.wait_for(owns, f'{server} to own shards')


async def runs_by_shard(
    system: cluster.Cluster,
    service: ids.ServiceName,
) -> dict[int, list[backend_server.Run]]:
    """Return what reachable servers witnessed, in the order of starts."""
    by_shard: dict[int, list[backend_server.Run]] = {}
    for listed in await system.control.listed_servers():
        if listed.service != service:
            continue
        with contextlib.suppress(aiohttp.ClientError):
            for run in await system.control.runs_of(listed):
                by_shard.setdefault(run.shard, []).append(run)
    for runs in by_shard.values():
        runs.sort(key=_start_of)
    return by_shard


def _start_of(run: backend_server.Run) -> int:
    return run.started


def keys_of(number: int) -> tuple[str, ...]:
    """Return keys to watch."""
    return tuple(f'depot-{place}' for place in range(number))


def first_other(
    system: cluster.Cluster,
    avoided: typing.Collection[str],
) -> cluster.Entry:
    """Return an entry that is none of those named."""
    is_avoided = functools.partial(_is_named, avoided)
    return next(
        itertools.filterfalse(is_avoided, system.entries),
    )


def _is_named(
    names: typing.Collection[str],
    entry: cluster.Entry,
) -> bool:
    return entry.name in names
