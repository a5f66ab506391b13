"""Describe the services of the users at their sizes of today."""

import dataclasses

from sycamoreferry_core import ids


@dataclasses.dataclass(frozen=True)
class ServiceSize:
    """Describe the targets of one service."""

    name: ids.ServiceName
    targets: int
    slots: int
    connections: int
    shards: int = 0
    work_ms: int = 2
    answer_bytes: int = 64

    @property
    def is_keyed(self) -> bool:
        """Tell whether the service is divided by key."""
        return self.shards > 0


@dataclasses.dataclass(frozen=True)
class Workload:
    """Describe the services and data centres of one user."""

    name: str
    data_centres: tuple[ids.DataCentre, ...]
    link_ms: int
    services: tuple[ServiceSize, ...]


_SHARDS = 1024
_DOCUMENT_BYTES = 20_000


def _data_centres(region: str) -> tuple[ids.DataCentre, ...]:
    return tuple(ids.DataCentre(f'{region}-{number}') for number in (1, 2, 3))


BANTAY_DAAN = Workload(
    name='bantay-daan',
    data_centres=_data_centres('luzon'),
    link_ms=3,
    services=(
        ServiceSize(ids.ServiceName('imbentaryo'), 15, 2, 110, shards=_SHARDS),
        ServiceSize(ids.ServiceName('reserba'), 8, 2, 110),
        ServiceSize(
            ids.ServiceName('dokumento'),
            6,
            2,
            110,
            answer_bytes=_DOCUMENT_BYTES,
        ),
        ServiceSize(
            ids.ServiceName('plano'),
            6,
            2,
            110,
            answer_bytes=_DOCUMENT_BYTES,
        ),
    ),
)

DYFED = Workload(
    name='dyfed',
    data_centres=_data_centres('cymru-west'),
    link_ms=5,
    services=(
        ServiceSize(
            ids.ServiceName('manifest-svc'),
            17,
            6,
            120,
            shards=_SHARDS,
        ),
        ServiceSize(ids.ServiceName('booking-svc'), 9, 6, 120),
        ServiceSize(
            ids.ServiceName('docs-svc'),
            6,
            6,
            120,
            answer_bytes=_DOCUMENT_BYTES,
        ),
        ServiceSize(ids.ServiceName('windows-svc'), 6, 6, 120),
    ),
)

WORKLOADS = {workload.name: workload for workload in (BANTAY_DAAN, DYFED)}
