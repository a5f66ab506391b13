"""Read and check the settings of an instance."""

import math
import pathlib
import typing

import pydantic
import yaml

from sycamoreferry_core import ids, record_fields

MAX_PORT = 65_535
MAX_SHARDS = record_fields.MAX_SHARDS
# The id of an instance and the records about it hold its name and more.
MAX_NAME_LENGTH = 128
MAX_PARTITIONS = 256
MAX_CONNECTIONS = 1_000_000

_BYTES_PER_MB = 1_000_000
# Measured: an instance takes 70 MB before it has callers.
_OWN_BYTES = 80_000_000
# The rest is left to copies that are in use for a moment, and to memory that
# the allocator keeps.
_CALLER_SHARE = 0.5
_DEFAULT_CALLER_BYTES = 512_000_000
_DEFAULT_LARGEST_REQUESTS = 16
# The head and what is read ahead of a request.
_BESIDE_BODY_BYTES = 1_000_000
# Small requests have an eighth of the memory for themselves.
_LARGE_SHARE = 0.875

_Port = typing.Annotated[int, pydantic.Field(gt=0, le=MAX_PORT)]
_Positive = typing.Annotated[int, pydantic.Field(gt=0)]
_Name = typing.Annotated[
    str,
    pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]*$', max_length=MAX_NAME_LENGTH),
]
_Url = typing.Annotated[str, pydantic.Field(pattern=r'^https?://[^/]+$')]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Identity(_Section):
    """Name the instance and the data centre that it runs in."""

    name: _Name
    data_centre: _Name


class Listen(_Section):
    """Set where callers and peers reach the instance."""

    host: pydantic.IPvAnyAddress
    request_port: _Port
    peer_port: _Port


class Platform(_Section):
    """Set where the platform's services are."""

    log_url: _Url
    stream: _Name = 'ferry'
    instance_list_url: _Url
    list_interval_ms: _Positive = 500
    tail_wait_ms: _Positive = 5000
    snapshot_records: _Positive = 2000
    snapshot_interval_ms: _Positive = 900_000
    snapshot_patience_ms: _Positive = 30_000


class Peer(_Section):
    """Set where another instance listens for its peers."""

    host: pydantic.IPvAnyAddress
    port: _Port


class Service(_Section):
    """Describe a service of backend servers."""

    name: _Name
    shards: typing.Annotated[int, pydantic.Field(ge=0, le=MAX_SHARDS)] = 0
    checks_fence: bool = True
    profile: _Name = 'default'

    @property
    def service_name(self) -> ids.ServiceName:
        """Return the name with the type of a service name."""
        return ids.ServiceName(self.name)

    @property
    def is_keyed(self) -> bool:
        """Tell whether requests are routed by key to the owner of a shard."""
        return self.shards > 0


class RequestBounds(_Section):
    """Bound what callers may send."""

    body_bytes: _Positive = 1_000_000
    # Longer answers are streamed instead of held in memory.
    whole_answer_bytes: _Positive = 262_144
    header_bytes: _Positive = 8192
    key_bytes: _Positive = 256
    # Connections of callers that are open at once.
    connections: typing.Annotated[
        int, pydantic.Field(gt=0, le=MAX_CONNECTIONS)
    ] = 8192
    # Memory of the process; by default enough for many of the longest bodies.
    memory_mb: typing.Annotated[int | None, pydantic.Field(gt=0)] = None

    @property
    def caller_bytes(self) -> int:
        """Return the memory in bytes for the connections of callers."""
        if self.memory_mb is None:
            return max(
                _DEFAULT_CALLER_BYTES,
                _DEFAULT_LARGEST_REQUESTS * self._largest_bytes,
            )
        return int(
            (self.memory_mb * _BYTES_PER_MB - _OWN_BYTES) * _CALLER_SHARE
        )

    @pydantic.model_validator(mode='after')
    def check_memory(self) -> typing.Self:
        """Raise ValueError if the longest body does not fit the memory."""
        if self.caller_bytes >= self._largest_bytes:
            return self
        needed = _OWN_BYTES + self._largest_bytes / _CALLER_SHARE
        raise ValueError(
            'memory_mb is too small for body_bytes;'
            f' set it to {math.ceil(needed / _BYTES_PER_MB)} or more'
        )

    @property
    def _largest_bytes(self) -> int:
        return int((self.body_bytes + _BESIDE_BODY_BYTES) / _LARGE_SHARE)


class Admission(_Section):
    """Set how repeats of non-idempotent requests are recognised.

    Every instance must have the same values.
    """

    partitions: typing.Annotated[
        int, pydantic.Field(gt=0, le=MAX_PARTITIONS)
    ] = 8
    window_ms: _Positive = 600_000
    limit_without_log_ms: _Positive = 900_000
    detection_ms: _Positive = 1000
    batch_ms: _Positive = 50


class Logging(_Section):
    """Set how much is logged."""

    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'


class Tracing(_Section):
    """Set where spans go."""

    export: typing.Literal['none', 'log'] = 'none'


class Settings(_Section):
    """Hold all settings of an instance."""

    instance: Identity
    listen: Listen
    platform: Platform
    services: typing.Annotated[
        tuple[Service, ...],
        pydantic.Field(min_length=1),
    ]
    peers: tuple[Peer, ...] = ()
    bounds: RequestBounds = RequestBounds()
    admission: Admission = Admission()
    logging: Logging = Logging()
    tracing: Tracing = Tracing()
    shutdown_ms: _Positive = 10_000

    @pydantic.field_validator('services')
    @classmethod
    def check_names(
        cls,
        services: tuple[Service, ...],
    ) -> tuple[Service, ...]:
        """Raise ValueError if two services have the same name."""
        names = [service.name for service in services]
        if len(set(names)) < len(names):
            raise ValueError('two services have the same name; rename one')
        return services


class SettingsError(Exception):
    """Report every error of a settings file."""

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__('\n'.join(problems))
        self.problems = problems


def load_settings(path: pathlib.Path) -> Settings:
    """Read settings from a YAML file; raise SettingsError."""
    try:
        content = yaml.safe_load(path.read_text())
    except OSError as error:
        raise SettingsError((f'{path}: cannot be read: {error}',)) from error
    except yaml.YAMLError as error:
        raise SettingsError((f'{path}: is not YAML: {error}',)) from error
    return check_settings(content)


def check_settings(content: object) -> Settings:
    """Check the content of a settings file; raise SettingsError."""
    try:
        return Settings.model_validate(content)
    except pydantic.ValidationError as error:
        raise SettingsError(describe_errors(error)) from error


def describe_errors(error: pydantic.ValidationError) -> tuple[str, ...]:
    """Return a line for each error: its path and what to do."""
    lines = []
    for problem in error.errors():
        path = '.'.join(str(part) for part in problem['loc']) or '(top)'
        lines.append(f'{path}: {_advice(problem["type"], problem["msg"])}')
    return tuple(lines)


def _advice(kind: str, message: str) -> str:
    if kind == 'extra_forbidden':
        return 'unknown field; remove it or correct its name'
    if kind == 'missing':
        return 'missing; add it'
    return message
