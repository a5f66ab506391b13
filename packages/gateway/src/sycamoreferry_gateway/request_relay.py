"""Relay requests to other instances while this one reaches no server."""

import enum
import http
import random
import typing
import uuid

import msgspec

from sycamoreferry_adapter import request_headers
from sycamoreferry_core import ids, result_codes
from sycamoreferry_core.fleet import deployment
from sycamoreferry_core.traffic import server_load
from sycamoreferry_gateway import (
    answers,
    caller_messages,
    http_client,
    leaving_reports,
    proxied_requests,
    relay_messages,
    request_identity,
    retry_policy,
    view,
)

# Instances that are asked for one request.
_MAX_RELAYS = 3


@enum.unique
class RelayFailure(enum.Enum):
    """Tell whether a request that was not answered may have run."""

    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class RequestRelay:
    """Send requests to instances that reach the servers."""

    def __init__(
        self,
        cluster_view: view.View,
        loads: server_load.ServerLoads,
        policy: retry_policy.RetryPolicy,
    ) -> None:
        self._view = cluster_view
        self._loads = loads
        self._policy = policy
        self._random = random.Random()
        self.pool = http_client.ConnectionPool(
            cluster_view.clock, cluster_view.deployment.memory_mb
        )
        # Whether callers leave room for a copy of some bytes.
        self.has_room: typing.Callable[[int], bool] = _always

    def is_needed(self, proxied: proxied_requests.ProxiedRequest) -> bool:
        """Tell whether another instance is to run a request, and may."""
        if not self._loads.reachability.is_cut_off or proxied.is_relayed:
            return False
        if self._view.clock.now() >= proxied.answer_by:
            return False
        request = proxied.request
        if request.is_refused or not self.has_room(len(request.body)):
            return False
        if proxied.may_have_run and not self._policy.may_rerun(proxied):
            return False
        return len(proxied.relays) < _MAX_RELAYS and bool(self._peers(proxied))

    async def forward(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> answers.FinalAnswer | RelayFailure:
        """Return the answer that another instance gives to a request."""
        peer = self._random.choice(self._peers(proxied))
        identity = request_identity.RequestIdentity(
            request_headers.REQUEST_ID, uuid.uuid4().hex
        )
        payload = self._encode(proxied, identity.request_id)
        proxied.request.record_forward(len(proxied.request.body))
        proxied.relays.append(peer)
        proxied.earlier_runs += 1
        outcome = await self.pool.exchange(
            deployment.Address(*self._view.peer_addresses[peer]),
            payload,
            max(0, proxied.answer_by - self._view.clock.now()),
            identity,
        )
        if isinstance(outcome, http_client.FailedExchange):
            if outcome.was_sent:
                return RelayFailure.UNKNOWN
        elif outcome.status == http.HTTPStatus.OK:
            try:
                answer = relay_messages.decode_answer(outcome.body)
            except msgspec.MsgspecError:
                return RelayFailure.UNKNOWN
            proxied.earlier_runs -= 1
            leaving_reports.merge_rows(self._view, answer.leaving, peer)
            return _final(answer)
        proxied.earlier_runs -= 1
        return RelayFailure.NOT_RUN

    def _peers(
        self, proxied: proxied_requests.ProxiedRequest
    ) -> list[ids.InstanceId]:
        reaching = self._view.peers.reaching_servers(self._view.clock.now())
        return [
            peer.instance
            for peer in reaching
            if peer.instance in self._view.peer_addresses
            and peer.instance not in proxied.relays
        ]

    def _encode(
        self, proxied: proxied_requests.ProxiedRequest, relay_id: str
    ) -> http_client.Payload:
        request = proxied.request
        config = self._view.config
        message = relay_messages.RelayedRequest(
            method=request.method,
            target=request.target,
            headers=request.end_to_end_headers(),
            body=request.body,
            caller=request.caller,
            elapsed_ms=self._view.clock.now() - proxied.arrived,
            service=proxied.service,
            earlier_runs=proxied.run_count,
            config_version=0 if config is None else config.version,
        )
        return http_client.encode_parts(
            'POST',
            relay_messages.RELAY_PATH,
            (
                ('Host', self._view.deployment.instance),
                (request_headers.REQUEST_ID, relay_id),
            ),
            relay_messages.encode(message),
        )


def _final(answer: relay_messages.RelayedAnswer) -> answers.FinalAnswer:
    return answers.FinalAnswer(
        caller_messages.CallerAnswer(
            answer.status, tuple(answer.headers), answer.body
        ),
        _code_of(answer),
        answer.reason,
    )


def _code_of(answer: relay_messages.RelayedAnswer) -> result_codes.ResultCode:
    """Return the result code, unless a later version has defined it."""
    try:
        return result_codes.ResultCode(answer.code)
    except ValueError:
        return result_codes.ResultCode.OUTCOME_UNKNOWN


def _always(_size: int) -> bool:
    return True
