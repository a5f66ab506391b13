"""Run tasks beside a loop and tell of those that fail."""

import asyncio
import typing

from sycamoreferry_gateway import event_log


class BackgroundTasks:
    """Start tasks that can be cancelled together."""

    def __init__(self, part: str, log: event_log.EventLog) -> None:
        self._part = part
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: typing.Coroutine[None, None, None]) -> None:
        """Start a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def cancel_all(self) -> None:
        """Cancel what still runs."""
        for task in self._tasks:
            task.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.write(self._part, 'task failed', reason=repr(error))
