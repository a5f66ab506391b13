"""Check the named policy that operators publish."""

import math
import typing
import zoneinfo

import pydantic

# A claim is appended and read back, and every server is greeted.
CLAIM_AND_GREETING_MS = 300
# A lease is renewed this often, so the rest of it is what a loss leaves.
RENEWALS_PER_LEASE = 6

_Positive = typing.Annotated[int, pydantic.Field(gt=0)]
_Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


class _Part(pydantic.BaseModel):
    """Refuse unknown fields and changes."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Timing(_Part):
    """Set the times of leases and terms, in milliseconds."""

    authority_ms: _Positive = 500
    lease_ms: _Positive = 1500
    detection_ms: _Positive = 600
    limit_without_log_ms: _Positive = 900_000
    clock_drift_share: _Share = 0.01
    order_delay_bound_ms: _Positive = 1000
    drain_ms: _Positive = 2000

    @pydantic.model_validator(mode='after')
    def check_take_over(self) -> typing.Self:
        """Refuse a lease that a take-over would outlast."""
        promise_ms = self.authority_ms * (1 + self.clock_drift_share)
        silence_ms = max(self.detection_ms, math.ceil(promise_ms))
        interval_ms = self.lease_ms // RENEWALS_PER_LEASE
        needed_ms = interval_ms + silence_ms + CLAIM_AND_GREETING_MS
        if self.lease_ms < needed_ms:
            raise ValueError(
                f'lease_ms must be at least {needed_ms}: {interval_ms} from'
                f' one renewal to the next, {silence_ms} of silence before a'
                ' claim (detection_ms, or a promise of authority_ms), and'
                f' {CLAIM_AND_GREETING_MS} to claim and greet',
            )
        return self


class Retries(_Part):
    """Set how requests are sent on again."""

    budget_share: _Share = 0.2
    budget_floor: _Positive = 20
    first_delay_ms: _Positive = 10
    longest_delay_ms: _Positive = 500

    @pydantic.model_validator(mode='after')
    def check_delays(self) -> typing.Self:
        """Refuse a first delay above the longest."""
        if self.first_delay_ms > self.longest_delay_ms:
            raise ValueError('first_delay_ms must not exceed longest_delay_ms')
        return self


class Limits(_Part):
    """Bound what a service holds at once."""

    default_deadline_ms: _Positive = 2000
    longest_deadline_ms: _Positive = 60000
    queue_length: _Positive = 200
    slots_per_target: _Positive = 2
    connections_per_target: _Positive = 100

    @pydantic.model_validator(mode='after')
    def check_deadlines(self) -> typing.Self:
        """Refuse a default deadline above the longest."""
        if self.default_deadline_ms > self.longest_deadline_ms:
            raise ValueError(
                'default_deadline_ms must not exceed longest_deadline_ms',
            )
        return self


class PeakWindow(_Part):
    """Name a daily window in local time without voluntary moves."""

    zone: str
    start: str = pydantic.Field(pattern=r'^([01]\d|2[0-3]):[0-5]\d$')
    end: str = pydantic.Field(pattern=r'^([01]\d|2[0-3]):[0-5]\d$')

    @pydantic.field_validator('zone')
    @classmethod
    def check_zone(cls, zone: str) -> str:
        """Refuse a zone name that the time zone database lacks."""
        try:
            zoneinfo.ZoneInfo(zone)
        except (zoneinfo.ZoneInfoNotFoundError, ValueError) as error:
            raise ValueError(
                f'unknown zone {zone!r}; use a name such as Asia/Manila',
            ) from error
        return zone

    @pydantic.model_validator(mode='after')
    def check_length(self) -> typing.Self:
        """Refuse a window without a length."""
        if self.start == self.end:
            raise ValueError(
                'start and end are the same; a window may end a minute before'
                ' it starts, on the next day',
            )
        return self


class Moves(_Part):
    """Set when shards move for load."""

    imbalance_threshold: typing.Annotated[float, pydantic.Field(gt=1)] = 1.3
    churn_budget_per_hour: _Positive = 64
    batch_size: _Positive = 64
    rest_after_move_ms: _Positive = 60000
    peak_windows: tuple[PeakWindow, ...] = ()


class Weights(_Part):
    """Weigh unavailable time against churn."""

    unavailable_time: _Share = 0.5
    churn: _Share = 0.5


class Quarantine(_Part):
    """Set how long a request that crashes servers is kept from them."""

    duration_ms: _Positive = 600_000
    burst_ms: _Positive = 2000


class Profile(_Part):
    """Hold the whole policy of the services that pick it."""

    timing: Timing = Timing()
    retries: Retries = Retries()
    limits: Limits = Limits()
    moves: Moves = Moves()
    weights: Weights = Weights()
    quarantine: Quarantine = Quarantine()


def parse_profile(text: str) -> Profile:
    """Read a profile from JSON; raise pydantic.ValidationError."""
    return Profile.model_validate_json(text)


def format_profile(profile: Profile) -> str:
    """Write a profile as JSON."""
    return profile.model_dump_json()
