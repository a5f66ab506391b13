"""Run background tasks and log those that fail."""

import asyncio
import typing

from sycamoreferry_gateway import event_log


class BackgroundTasks:
    """Hold background tasks that are cancelled together."""

    def __init__(self, part: str, log: event_log.EventLog) -> None:
        self._part = part
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        """Start a task; an exception in it is logged, not raised."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    def cancel_all(self) -> None:
        """Cancel the tasks that are still running."""
        for task in self._tasks:
            task.cancel()

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._log.write(self._part, 'task failed', reason=repr(error))
