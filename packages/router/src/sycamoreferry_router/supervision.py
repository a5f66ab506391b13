"""Run the parts of an instance, so that one that raises stops no other."""

import asyncio
import typing

from sycamoreferry_core import clock, decoding
from sycamoreferry_router import logs

RESTART_DELAY_MS = 500

Work = typing.Callable[[], typing.Coroutine[typing.Any, typing.Any, None]]

_log = logs.part_logger('instance')


async def run_restarting(work: Work) -> None:
    """Run a part; restart it after a delay when it raises, and log why."""
    while True:
        try:
            return await work()
        except Exception as error:
            _log.error(
                '{} failed: {}; restarting it',
                work.__qualname__,
                decoding.quote(repr(error)),
            )
            await asyncio.sleep(clock.seconds(RESTART_DELAY_MS))
