"""Send responses to callers with sanic."""

import asyncio
import typing

from sanic import compat, response
from sanic import request as sanic_request
from sanic.http import http1

from sycamoreferry_core import outcomes
from sycamoreferry_router.filters import answer


class ProxiedResponse(response.HTTPResponse):
    """Send exactly the given headers, with no sanic defaults."""

    @property
    def processed_headers(self) -> typing.Iterator[tuple[bytes, bytes]]:
        """Return the given headers as bytes, without sanic's additions."""
        return (
            (name.encode('ascii'), str(text).encode(errors='surrogateescape'))
            for name, text in self.headers.items()
        )


def buffered_response(rendered: answer.HttpAnswer) -> response.HTTPResponse:
    """Return a response for an answer whose body is held in memory."""
    return ProxiedResponse(
        rendered.body,
        status=rendered.status,
        headers=compat.Header(rendered.headers),
    )


async def send_download(
    request: sanic_request.Request,
    rendered: answer.HttpAnswer,
    download: outcomes.Download,
) -> None:
    """Stream a response, with backpressure from the caller."""
    stream = await request.respond(
        ProxiedResponse(
            status=rendered.status, headers=compat.Header(rendered.headers)
        ),
    )
    async for chunk in download.chunks():
        await stream.send(chunk)
    await stream.eof()


def close_after_answer(request: sanic_request.Request) -> None:
    """Close the connection to the caller once the response is sent."""
    typing.cast(http1.Http, request.stream).keep_alive = False


def abort(request: sanic_request.Request) -> None:
    """Abort the connection to the caller without a clean close."""
    typing.cast(asyncio.Transport, request.transport).abort()
