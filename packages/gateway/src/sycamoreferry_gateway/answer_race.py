"""Wait for the first good answer of several sources.

Load pattern: a server is slow or silent, and a request that may be repeated is
sent to another one. That one may be full, or as slow, and the first may answer
after all.
"""

import asyncio
import http
import typing

from sycamoreferry_core import result_codes
from sycamoreferry_gateway import answers

_Source = typing.Coroutine[typing.Any, typing.Any, answers.FinalAnswer]


async def wait_for_answer(*sources: _Source) -> list[answers.FinalAnswer]:
    """Return a good answer alone, or the failures in the order of sources."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(source) for source in sources]
    waiting = set(tasks)
    try:
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if _is_good(task.result()):
                    return [task.result()]
    finally:
        for task in waiting:
            task.cancel()
        if waiting:
            await asyncio.wait(waiting)
    return [task.result() for task in tasks]


def _is_good(final: answers.FinalAnswer) -> bool:
    is_server_answer = final.code is result_codes.ResultCode.ANSWERED
    status = final.answer.status
    return is_server_answer and status < http.HTTPStatus.INTERNAL_SERVER_ERROR
