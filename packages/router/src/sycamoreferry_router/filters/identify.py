"""Determine the service, key, deadline and id of a request."""

import dataclasses
import typing

from sycamoreferry_core import (
    clock,
    ids,
    keys,
    outcomes,
    profiles,
    result_codes,
)
from sycamoreferry_ports import headers
from sycamoreferry_router import messages, settings, view

_Code = result_codes.ResultCode


@dataclasses.dataclass(frozen=True)
class IdentifyContext:
    """Hold the services, limits and profiles that requests refer to."""

    services: typing.Mapping[str, settings.Service]
    bounds: settings.RequestBounds
    instance_view: view.InstanceView


def identify(
    incoming: messages.Incoming,
    context: IdentifyContext,
    new_id: typing.Callable[[], ids.RequestId],
) -> messages.Identified | outcomes.NotRun:
    """Return the request with validated parts, or NotRun if one is bad."""
    service = context.services.get(incoming.service)
    if service is None:
        return outcomes.NotRun(_Code.UNKNOWN_SERVICE)
    problem = _find_problem(incoming, service, context.bounds)
    if problem is not None:
        return outcomes.NotRun(problem)
    deadline = _deadline(
        incoming, context.instance_view.profile(service.profile).limits
    )
    if isinstance(deadline, outcomes.NotRun):
        return deadline
    key = incoming.headers.get(headers.KEY)
    idempotency_key = incoming.headers.get(headers.IDEMPOTENCY_KEY)
    return messages.Identified(
        incoming=incoming,
        request_id=ids.RequestId(
            incoming.headers.get(headers.REQUEST_ID) or new_id(),
        ),
        service=service,
        key=key,
        shard=keys.shard_of(key, service.shards) if key else None,
        deadline=deadline,
        idempotency_key=(
            ids.IdempotencyKey(idempotency_key) if idempotency_key else None
        ),
    )


def _find_problem(
    incoming: messages.Incoming,
    service: settings.Service,
    bounds: settings.RequestBounds,
) -> result_codes.ResultCode | None:
    key = incoming.headers.get(headers.KEY)
    if service.is_keyed and key is None:
        return _Code.KEY_REQUIRED
    if key is not None and not service.is_keyed:
        return _Code.KEY_NOT_EXPECTED
    for name in (headers.KEY, headers.IDEMPOTENCY_KEY, headers.REQUEST_ID):
        if not _has_valid_length(incoming.headers.get(name), bounds):
            return _Code.BAD_KEY
    idempotent = incoming.method in messages.IDEMPOTENT_METHODS
    if not idempotent and headers.IDEMPOTENCY_KEY not in incoming.headers:
        return _Code.IDEMPOTENCY_KEY_REQUIRED
    return None


def _has_valid_length(
    text: str | None,
    bounds: settings.RequestBounds,
) -> bool:
    if text is None:
        return True
    return _is_text(text) and 0 < len(text.encode()) <= bounds.key_bytes


def _is_text(text: str) -> bool:
    """Tell whether a header was sent in UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _deadline(
    incoming: messages.Incoming,
    limits: profiles.Limits,
) -> clock.Millis | outcomes.NotRun:
    text = incoming.headers.get(headers.DEADLINE_MS)
    if text is None:
        remaining = limits.default_deadline_ms
    else:
        try:
            remaining = int(text)
        except ValueError:
            return outcomes.NotRun(_Code.BAD_DEADLINE)
    if remaining <= 0:
        return outcomes.NotRun(_Code.DEADLINE_PASSED)
    return clock.later(
        incoming.received_at,
        min(remaining, limits.longest_deadline_ms),
    )
