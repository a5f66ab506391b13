"""Limit how many requests an instance has at one target."""

import dataclasses

LOWEST_LIMIT = 1
START_LIMIT = 2
# Latency may grow to this multiple of its base before the limit shrinks.
TOLERANCE = 3.0
# What the instance itself and the links add is no sign of a loaded target.
SLACK_MS = 5
_BACKOFF = 0.9
_SHED_BACKOFF = 0.5
_RECENT_SHARE = 0.1
_BASE_DOWN_SHARE = 0.1
_BASE_UP_SHARE = 0.0002


@dataclasses.dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Hold a limit that follows what a target's latency allows."""

    limit: float = START_LIMIT
    recent_ms: float = 0

    def has_room(self, in_flight: int) -> bool:
        """Tell whether one more request may go out."""
        return in_flight < int(self.limit)


def after_answer(
    held: AdaptiveLimit,
    latency_ms: float,
    base_ms: float,
    in_flight: int,
    highest: int,
) -> AdaptiveLimit:
    """Return the limit after an answer; it grows only where it is used."""
    recent = held.recent_ms + _RECENT_SHARE * (latency_ms - held.recent_ms)
    limit = held.limit
    if recent > TOLERANCE * base_ms + SLACK_MS:
        limit -= limit * (1 - _BACKOFF) / max(1, in_flight)
    elif in_flight + 1 >= int(limit):
        limit += 1 / limit
    bounded = min(max(limit, LOWEST_LIMIT), highest)
    return AdaptiveLimit(bounded, recent)


def after_shed(held: AdaptiveLimit) -> AdaptiveLimit:
    """Return the limit after a target shed a request."""
    return dataclasses.replace(
        held,
        limit=max(LOWEST_LIMIT, held.limit * _SHED_BACKOFF),
    )


def share_of(total: int, instances: int) -> int:
    """Return an even share of a target's room, at least one."""
    return max(LOWEST_LIMIT, total // max(1, instances))


def follow_base(base_ms: float, latency_ms: float) -> float:
    """Return the latency that a service shows when it is not loaded."""
    if not base_ms:
        return latency_ms
    share = _BASE_UP_SHARE if latency_ms > base_ms else _BASE_DOWN_SHARE
    return base_ms + share * (latency_ms - base_ms)
