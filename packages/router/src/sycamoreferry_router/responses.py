"""Send answers to callers with sanic."""

import asyncio
import typing

from sanic import compat, response
from sanic import request as sanic_request

from sycamoreferry_core import outcomes
from sycamoreferry_router.filters import answer


class ProxiedResponse(response.HTTPResponse):
    """Carry exactly the headers of an answer."""

    @property
    def processed_headers(self) -> typing.Iterator[tuple[bytes, bytes]]:
        """Return the headers as bytes, without any of sanic's own."""
        return (
            (name.encode('ascii'), str(text).encode(errors='surrogateescape'))
            for name, text in self.headers.items()
        )


def whole(rendered: answer.HttpAnswer) -> response.HTTPResponse:
    """Return a response whose body is in memory."""
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
    """Send a long answer at the pace of the caller."""
    started = await request.respond(
        ProxiedResponse(
            status=rendered.status, headers=compat.Header(rendered.headers)
        ),
    )
    async for chunk in download.chunks():
        await started.send(chunk)
    await started.eof()


def abort(request: sanic_request.Request) -> None:
    """Cut the connection of a caller."""
    typing.cast(asyncio.Transport, request.transport).abort()
