"""Forward a request to the selected backend server."""

import dataclasses

import multidict

from sycamoreferry_core import clock, ids, outcomes, result_codes, retries
from sycamoreferry_ports import headers, hop_headers, http_forward
from sycamoreferry_router import crash_guard, messages, traces


@dataclasses.dataclass(frozen=True)
class Origin:
    """Identify the forwarding instance and its data centre."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre


async def forward(
    selected: messages.Selected,
    forwarder: http_forward.HttpForwarder,
    origin: Origin,
    guard: crash_guard.CrashGuard,
    now: clock.Millis,
) -> messages.Forwarded | outcomes.NotRun:
    """Send the request to its server, unless quarantined or expired."""
    refusal = guard.refuse(selected)
    if refusal is not None:
        return refusal
    remaining = selected.identified.deadline - now
    if remaining <= 0:
        return outcomes.NotRun(
            result_codes.ResultCode.DEADLINE_PASSED,
            destination=selected.way,
        )
    incoming = selected.identified.incoming
    request = http_forward.ForwardedRequest(
        method=incoming.method,
        target=incoming.target,
        headers=_request_headers(selected, origin, remaining),
        body=incoming.body,
        timeout_ms=retries.attempt_timeout(
            remaining,
            can_run_elsewhere=selected.can_run_elsewhere,
        ),
        remaining_ms=remaining,
        request_id=selected.identified.request_id,
        is_repeated=selected.is_repeated,
        may_hold=incoming.holder.may_hold,
    )
    outcome = await guard.forward(
        selected,
        forwarder.forward(request, selected.server),
    )
    return messages.Forwarded(selected, outcome)


def _request_headers(
    selected: messages.Selected,
    origin: Origin,
    remaining: int,
) -> multidict.CIMultiDict[str]:
    identified = selected.identified
    request_headers = hop_headers.filter_request_headers(
        identified.incoming.headers.items()
    )
    request_headers[headers.REQUEST_ID] = identified.request_id
    request_headers[headers.DEADLINE_MS] = str(remaining)
    request_headers[headers.INSTANCE] = origin.instance
    request_headers[headers.DATA_CENTRE] = origin.data_centre
    if identified.shard is not None:
        request_headers[headers.SHARD] = str(identified.shard)
        request_headers[headers.FENCE] = str(selected.way.fence)
    traces.inject_context(request_headers)
    return request_headers
