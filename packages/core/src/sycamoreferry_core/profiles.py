"""Define and validate the policy profiles that operators publish."""

import math
import typing
import zoneinfo

import pydantic

# Time to append a claim, read it back and greet every server.
CLAIM_AND_GREETING_MS = 300
# A coordinator may be lost just before a renewal, so a take-over has what is
# left of a lease after one renewal interval.
RENEWALS_PER_LEASE = 6

_Positive = typing.Annotated[int, pydantic.Field(gt=0)]
_Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


class _ProfileSection(pydantic.BaseModel):
    """Reject unknown fields and forbid changes after creation."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Timing(_ProfileSection):
    """Set the times of leases and terms, in milliseconds."""

    authority_ms: _Positive = 500
    lease_ms: _Positive = 1500
    detection_ms: _Positive = 600
    limit_without_log_ms: _Positive = 900_000
    clock_drift_share: _Ratio = 0.01
    order_delay_bound_ms: _Positive = 1000
    drain_ms: _Positive = 2000


class Retries(_ProfileSection):
    """Set the retry budget and the delays between attempts."""

    budget_share: _Ratio = 0.2
    budget_floor: _Positive = 20
    first_delay_ms: _Positive = 10
    longest_delay_ms: _Positive = 500

    @pydantic.model_validator(mode='after')
    def check_delays(self) -> typing.Self:
        """Reject a first delay above the longest."""
        if self.first_delay_ms > self.longest_delay_ms:
            raise ValueError('first_delay_ms must not exceed longest_delay_ms')
        return self


class Limits(_ProfileSection):
    """Bound the deadlines, queues and connections of a service."""

    default_deadline_ms: _Positive = 2000
    longest_deadline_ms: _Positive = 60000
    queue_length: _Positive = 200
    slots_per_target: _Positive = 2
    connections_per_target: _Positive = 100

    @pydantic.model_validator(mode='after')
    def check_deadlines(self) -> typing.Self:
        """Reject a default deadline above the longest."""
        if self.default_deadline_ms > self.longest_deadline_ms:
            raise ValueError(
                'default_deadline_ms must not exceed longest_deadline_ms',
            )
        return self


class PeakWindow(_ProfileSection):
    """Define a daily window, in local time, without voluntary moves."""

    zone: str
    start: str = pydantic.Field(pattern=r'^([01]\d|2[0-3]):[0-5]\d$')
    end: str = pydantic.Field(pattern=r'^([01]\d|2[0-3]):[0-5]\d$')

    @pydantic.field_validator('zone')
    @classmethod
    def check_zone(cls, zone: str) -> str:
        """Reject a zone name that the time zone database lacks."""
        try:
            zoneinfo.ZoneInfo(zone)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError) as error:
            raise ValueError(
                f'unknown zone {zone!r}; use a name such as Asia/Manila',
            ) from error
        return zone

    @pydantic.model_validator(mode='after')
    def check_length(self) -> typing.Self:
        """Reject a window of zero length."""
        if self.start == self.end:
            raise ValueError(
                'start and end are the same; a window may end a minute before'
                ' it starts, on the next day',
            )
        return self


class Moves(_ProfileSection):
    """Set when and how many shards move to balance load."""

    imbalance_threshold: typing.Annotated[float, pydantic.Field(gt=1)] = 1.3
    churn_budget_per_hour: _Positive = 64
    batch_size: _Positive = 64
    rest_after_move_ms: _Positive = 60000
    peak_windows: tuple[PeakWindow, ...] = ()


class Weights(_ProfileSection):
    """Weigh unavailable time against churn."""

    unavailable_time: _Ratio = 0.5
    churn: _Ratio = 0.5


class Quarantine(_ProfileSection):
    """Set how long a request that crashes servers is blocked."""

    duration_ms: _Positive = 600_000
    burst_ms: _Positive = 2000


class Profile(_ProfileSection):
    """Hold the complete policy of the services that use the profile."""

    timing: Timing = Timing()
    retries: Retries = Retries()
    limits: Limits = Limits()
    moves: Moves = Moves()
    weights: Weights = Weights()
    quarantine: Quarantine = Quarantine()

    @pydantic.model_validator(mode='after')
    def check_take_over(self) -> typing.Self:
        """Reject a lease that is shorter than a take-over takes."""
        timing = self.timing
        authority_bound_ms = timing.authority_ms * (
            1 + timing.clock_drift_share
        )
        claim_delay_ms = max(timing.detection_ms, math.ceil(authority_bound_ms))
        interval_ms = timing.lease_ms // RENEWALS_PER_LEASE
        needed_ms = interval_ms + claim_delay_ms + CLAIM_AND_GREETING_MS
        if timing.lease_ms < needed_ms:
            raise ValueError(
                f'timing.lease_ms must be at least {needed_ms}:'
                f' {interval_ms} between renewals,'
                f' {claim_delay_ms} without contact before a claim'
                ' (detection_ms, or authority_ms with clock drift), and'
                f' {CLAIM_AND_GREETING_MS} to claim and greet all servers',
            )
        return self


def parse_profile(text: str) -> Profile:
    """Parse a profile from JSON; raise pydantic.ValidationError."""
    return Profile.model_validate_json(text)


def format_profile(profile: Profile) -> str:
    """Serialise a profile as JSON."""
    return profile.model_dump_json()
