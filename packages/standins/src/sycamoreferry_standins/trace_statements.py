"""State what must hold after a trace was replayed."""

import pathlib
import typing

import pydantic
import yaml

_Positive = typing.Annotated[int, pydantic.Field(gt=0)]
_Share = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


class _Stated(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class WholeAnswers(_Stated):
    """Every answer is whole and belongs to its own request."""

    kind: typing.Literal['whole-answers']


class AnsweredShare(_Stated):
    """At least this share of the requests is answered in the end."""

    kind: typing.Literal['answered-share']
    at_least: _Share


class AtMostOnce(_Stated):
    """No non-idempotent request runs twice."""

    kind: typing.Literal['at-most-once']


class NotRunNeverRan(_Stated):
    """No request that was answered not run has run."""

    kind: typing.Literal['not-run-never-ran']


class SingleOwner(_Stated):
    """No two servers run requests of one shard at the same time."""

    kind: typing.Literal['single-owner']


class UnavailableTime(_Stated):
    """No key goes without an answer for longer than this."""

    kind: typing.Literal['unavailable-time']
    at_most_ms: _Positive


class LeavingServers(_Stated):
    """A leaving server receives no new request after this time."""

    kind: typing.Literal['leaving-servers']
    after_ms: _Positive


class GracefulStop(_Stated):
    """A planned stop cuts off no request in flight."""

    kind: typing.Literal['graceful-stop']


class RetryLoad(_Stated):
    """Retries add at most this share to the requests."""

    kind: typing.Literal['retry-load']
    at_most_share: _Share


class ProfileInForce(_Stated):
    """A published profile is in force at every instance within this time."""

    kind: typing.Literal['profile-in-force']
    within_ms: _Positive


AnyStated = typing.Annotated[
    WholeAnswers
    | AnsweredShare
    | AtMostOnce
    | NotRunNeverRan
    | SingleOwner
    | UnavailableTime
    | LeavingServers
    | GracefulStop
    | RetryLoad
    | ProfileInForce,
    pydantic.Field(discriminator='kind'),
]


class Statement(_Stated):
    """Name the system that a trace needs and the outcomes it must have."""

    title: str
    workload: typing.Literal['bantay-daan', 'dyfed']
    entries: _Positive = 3
    profile: dict[str, object] = {}
    outcomes: typing.Annotated[
        tuple[AnyStated, ...],
        pydantic.Field(min_length=1),
    ]


def read_statement(path: pathlib.Path) -> Statement:
    """Read stated outcomes; raise pydantic.ValidationError or OSError."""
    return Statement.model_validate(yaml.safe_load(path.read_text()))
