"""Serve the requests that other instances relay."""

import http
import typing

import msgspec

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import clock, http_messages, result_codes
from sycamoreferry_core.traffic import routes
from sycamoreferry_gateway import (
    answers,
    caller_budget,
    caller_messages,
    http_server,
    leaving_reports,
    relay_messages,
    view,
)

_HEADER_BYTES = 8_192
_READ_TIMEOUT_MS = 3_000
# Longer than the first instance keeps an idle connection.
_IDLE_TIMEOUT_MS = 10_000
# A relayed request is held twice while it is decoded, so it may take a part of
# the memory for callers only. The first instance runs a larger one itself.
_BODY_SHARE = 1 / 4

ServeRelayed = typing.Callable[
    [caller_messages.CallerRequest, relay_messages.RelayedRequest],
    typing.Coroutine[typing.Any, typing.Any, answers.FinalAnswer],
]


def build_server(
    serve_relayed: ServeRelayed,
    cluster_view: view.View,
    budget: caller_budget.CallerBudget,
    max_connections: int,
) -> http_server.HttpServer:
    """Return a server that answers relayed requests with a function."""
    service = RelayService(serve_relayed, cluster_view)
    server = http_server.HttpServer(
        service.serve,
        cluster_view.clock,
        budget=budget,
        max_connections=max_connections,
    )
    server.limits = routes.CallerLimits(
        header_bytes=_HEADER_BYTES,
        body_bytes=int(budget.memory.limit_bytes * _BODY_SHARE),
        header_timeout_ms=_READ_TIMEOUT_MS,
        idle_timeout_ms=_IDLE_TIMEOUT_MS,
    )
    return server


class RelayService:
    """Decode relayed requests and encode their answers."""

    def __init__(
        self, serve_relayed: ServeRelayed, cluster_view: view.View
    ) -> None:
        self._serve_relayed = serve_relayed
        self._view = cluster_view

    async def serve(
        self, envelope: caller_messages.CallerRequest
    ) -> caller_messages.CallerAnswer:
        """Answer a relayed request; reject a malformed one with 400."""
        if envelope.path != relay_messages.RELAY_PATH:
            return _empty(http.HTTPStatus.NOT_FOUND)
        try:
            relayed = relay_messages.decode_request(envelope.body)
        except msgspec.MsgspecError:
            return _empty(http.HTTPStatus.BAD_REQUEST)
        # The body is held once, as the decoded one.
        envelope.body = b''
        request = _request_of(relayed, envelope.received_at)
        request.on_forward = envelope.record_decoded_forward
        final = await self._serve_relayed(request, relayed)
        if final.code is result_codes.ResultCode.LEAVING:
            # The first instance relays it to another one.
            return caller_messages.CallerAnswer(
                int(http.HTTPStatus.SERVICE_UNAVAILABLE),
                _relay_id(envelope),
                b'',
            )
        answer = relay_messages.RelayedAnswer(
            final.answer.status,
            list(final.answer.headers),
            final.answer.body,
            int(final.code),
            final.reason,
            leaving_reports.build_rows(self._view),
        )
        return caller_messages.CallerAnswer(
            int(http.HTTPStatus.OK),
            _relay_id(envelope),
            relay_messages.encode(answer),
        )


def _request_of(
    relayed: relay_messages.RelayedRequest,
    received_at: clock.Millis,
) -> caller_messages.CallerRequest:
    return caller_messages.CallerRequest(
        relayed.method,
        relayed.target,
        relayed.headers,
        relayed.body,
        relayed.caller,
        keep_alive=True,
        received_at=received_at,
    )


def _relay_id(
    envelope: caller_messages.CallerRequest,
) -> http_messages.Headers:
    """Return the ID of a relayed request, for the header of its answer."""
    relay_id = envelope.header(request_headers.REQUEST_ID)
    if relay_id is None:
        return ()
    return ((request_headers.REQUEST_ID, relay_id),)


def _empty(status: http.HTTPStatus) -> caller_messages.CallerAnswer:
    return caller_messages.CallerAnswer(int(status), (), b'')
