"""Start and end the processes of a test system."""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import signal
import sys
import typing

END_SECONDS = 12
LAST_LINES = 20


class ProcessEndedError(Exception):
    """Report a process that ended while it was needed."""


@dataclasses.dataclass
class Started:
    """Hold a process that this module started."""

    name: str
    process: asyncio.subprocess.Process
    log_path: pathlib.Path

    @property
    def is_running(self) -> bool:
        """Tell whether the process has not ended."""
        return self.process.returncode is None

    def check_running(self) -> None:
        """Raise ProcessEndedError with the last log lines if it has ended."""
        if self.is_running:
            return
        with self.log_path.open(errors='replace') as lines:
            last_lines = ''.join(collections.deque(lines, LAST_LINES))
        raise ProcessEndedError(
            f'{self.name} ended with status {self.process.returncode};'
            f' the last lines of {self.log_path}:\n{last_lines}',
        )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self) -> int:
        """Ask the process to end, kill it if it does not; return its status."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), END_SECONDS)
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Kill the process at once; return its status."""
        self.send(signal.SIGKILL)
        return await self.process.wait()


async def start(
    name: str,
    arguments: typing.Sequence[str],
    directory: pathlib.Path,
) -> Started:
    """Start a Python module as a process that logs to a file."""
    log_path = directory / f'{name}.log'
    with log_path.open('ab') as log_file:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log_file,
            stderr=log_file,
        )
    return Started(name, process, log_path)


async def await_while_running(
    work: typing.Coroutine[typing.Any, typing.Any, None],
    needed: typing.Sequence[Started],
) -> None:
    """Await work; raise ProcessEndedError once a needed process has ended."""
    doing = asyncio.create_task(work)
    ends = [asyncio.create_task(one.process.wait()) for one in needed]
    tasks = (doing, *ends)
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for one in needed:
            one.check_running()
        await doing
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
