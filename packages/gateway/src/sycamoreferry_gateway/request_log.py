"""Log how requests end, with what decided it."""

import typing

from sycamoreferry_adapter import request_headers, store_calls
from sycamoreferry_core import clock
from sycamoreferry_gateway import (
    answers,
    caller_messages,
    caller_output,
    event_log,
    open_requests,
    proxied_requests,
    telemetry,
    view,
)


class RequestLog:
    """Log and count the ends of requests."""

    def __init__(
        self,
        cluster_view: view.View,
        in_flight: open_requests.OpenRequests,
        log: event_log.EventLog,
        metrics: telemetry.Telemetry,
    ) -> None:
        self._view = cluster_view
        self._open_requests = in_flight
        self._log = log
        self._telemetry = metrics

    def log_unanswered(self) -> None:
        """Log each request in flight and the server that it was sent to."""
        now = self._view.clock.now()
        for proxied in self._open_requests.proxied:
            self._log.write(
                'request',
                'request is unanswered at the end of the shutdown',
                request=proxied.request_id,
                ms=now - proxied.arrived,
                sent_to=proxied.current_server,
                **self._log_fields(proxied),
            )

    def log_unsent(
        self, unsent_answers: typing.Iterable[caller_output.UnsentAnswer]
    ) -> None:
        """Log each answer that its caller has not received whole."""
        for unsent in unsent_answers:
            self._log.write(
                'request',
                'answer is unsent at the end of the shutdown',
                request=unsent.request_id,
                bytes_in_process=unsent.bytes_in_process,
                bytes_in_kernel=unsent.bytes_in_kernel,
            )

    def log_end(
        self,
        request: caller_messages.CallerRequest,
        proxied: proxied_requests.ProxiedRequest | None,
        arrived: clock.Millis,
        reason: str,
        final: answers.FinalAnswer | None,
    ) -> None:
        """Log and count an end; final is None if the caller left."""
        elapsed = self._view.clock.now() - arrived
        code = final.code if final else None
        self._telemetry.count_request(proxied, code, elapsed)
        fields: dict[str, typing.Any] = {
            'request': request.header(request_headers.REQUEST_ID),
            'status': final.answer.status if final else None,
            'code': int(code) if code else None,
            'reason': reason,
            'ms': elapsed,
        }
        if self._view.config is not None:
            fields['config'] = self._view.config.version
        if proxied is not None:
            fields.update(self._log_fields(proxied))
        self._log.write_rate_limited('request', 'request ended', **fields)

    def _log_fields(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> dict[str, typing.Any]:
        described: dict[str, typing.Any] = {
            'route': proxied.route.name,
            'service': proxied.service,
            'signature': proxied.signature,
            'waited_ms': proxied.waited_ms,
            'owners_offset': self._view.mirrors[store_calls.OWNERS_TOPIC].end,
            'stopping': self._open_requests.is_stopping,
            'tries': [
                [one.server.incarnation.server, one.result.value, one.detail]
                for one in proxied.attempts
            ],
        }
        if proxied.is_relayed:
            described['relayed'] = True
        if proxied.relays:
            described['relayed_to'] = proxied.relays
        if proxied.rejection_backlog is not None:
            described['ahead'] = proxied.rejection_backlog.ahead
            described['slots'] = proxied.rejection_backlog.slots
            described['expected_wait_ms'] = round(
                proxied.rejection_backlog.wait_ms
            )
        if proxied.key is not None:
            described['key'] = proxied.key
            described['term'] = self._view.assignment.term
            row = self._view.owner_of(proxied.service, proxied.key)
            if row is not None:
                described['owner'] = row.owner.server
                described['fence'] = row.fence
        return described
