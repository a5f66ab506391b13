"""Run the parts of an instance, so that one that raises stops no other."""

import asyncio
import typing

from sycamoreferry_core import clock
from sycamoreferry_gateway import event_log

_RESTART_DELAY_MS = 500
_PART = 'instance'

Work = typing.Callable[[], typing.Coroutine[None, None, None]]


class PartRunner:
    """Log why a part has raised, and go on."""

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log

    async def run_restarting(self, work: Work) -> None:
        """Run a part; restart it after a delay when it raises, and log why."""
        while True:
            try:
                await work()
            except Exception as error:
                self._log.write(
                    _PART,
                    'part failed; restarting it',
                    work=work.__name__,
                    reason=repr(error),
                )
                await asyncio.sleep(clock.seconds(_RESTART_DELAY_MS))
            else:
                return

    def run_step(self, name: str, step: typing.Callable[[], object]) -> None:
        """Run a step of a part; if it raises, log why."""
        try:
            step()
        except Exception as error:
            self._log.write_rate_limited(
                _PART, 'step failed', step=name, reason=repr(error)
            )

    def log_unhandled(
        self,
        _loop: asyncio.AbstractEventLoop,
        context: dict[str, typing.Any],
    ) -> None:
        """Log an error of a callback; called by the event loop."""
        self._log.write_rate_limited(
            _PART,
            'unhandled error',
            reason=repr(context.get('exception')),
            detail=context.get('message'),
        )
