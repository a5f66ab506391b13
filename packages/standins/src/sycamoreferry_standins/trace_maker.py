"""Make the shipped traces from seeds."""

import dataclasses
import datetime
import pathlib
import random
import typing
import zoneinfo

import msgspec

from sycamoreferry_core import ids
from sycamoreferry_standins import backend_server, log_service, trace

SEED = 2026

READ_DEADLINE_MS = 1000
WRITE_DEADLINE_MS = 2000
DOCUMENT_DEADLINE_MS = 3000
PATIENT_DEADLINE_MS = 8000
TRIES = 8

_FROZEN = backend_server.ServerFaults(frozen=True)
_STOPPED = backend_server.ServerFaults(crashed=True)
_SOUND = backend_server.ServerFaults()


@dataclasses.dataclass(frozen=True)
class Mix:
    """Describe what one user's callers ask for, and how often."""

    keyed: ids.ServiceName
    booking: ids.ServiceName
    documents: tuple[ids.ServiceName, ...]
    caller: str
    hot_keys: tuple[str, ...]
    other_keys: tuple[str, ...]
    hot_share: float = 0.8
    write_share: float = 0.2
    document_share: float = 0.15


PROCESSION = Mix(
    keyed=ids.ServiceName('imbentaryo'),
    booking=ids.ServiceName('reserba'),
    documents=(ids.ServiceName('dokumento'), ids.ServiceName('plano')),
    caller='phone',
    hot_keys=tuple(f'route-quiapo-{number}' for number in range(12)),
    other_keys=tuple(f'depot-{number}' for number in range(60)),
)

MANIFEST = Mix(
    keyed=ids.ServiceName('manifest-svc'),
    booking=ids.ServiceName('booking-svc'),
    documents=(ids.ServiceName('docs-svc'), ids.ServiceName('windows-svc')),
    caller='team',
    hot_keys=('manifest-spring-7',),
    other_keys=tuple(f'manifest-{number}' for number in range(40)),
    hot_share=0.7,
)


@dataclasses.dataclass(frozen=True)
class Day:
    """Describe the peak of a day in local time, and its compression."""

    zone: str
    first: datetime.date
    days: int
    peak_hour: int
    peak_hours: int
    requests: int
    peak_share: float
    day_ms: int


CLOCK_CHANGE = Day(
    zone='Europe/London',
    first=datetime.date(2026, 10, 18),
    days=14,
    peak_hour=18,
    peak_hours=4,
    requests=60,
    peak_share=0.75,
    day_ms=1440,
)

_DAY = datetime.timedelta(days=1)


class RequestMaker:
    """Make the requests of one user's callers."""

    def __init__(self, mix: Mix, name: str, chance: random.Random) -> None:
        self._mix = mix
        self._name = name
        self._chance = chance
        self._made = 0

    def make(self, at_ms: int) -> trace.RequestSent:
        """Return the next request, sent at a time."""
        self._made += 1
        drawn = self._chance.random()
        if drawn < self._mix.write_share:
            return self._write(at_ms)
        if drawn < self._mix.write_share + self._mix.document_share:
            return self._download(at_ms)
        return self._read(at_ms)

    def spread(
        self,
        count: int,
        start_ms: int,
        end_ms: int,
    ) -> list[trace.RequestSent]:
        """Return a number of requests between two times."""
        times = sorted(
            self._chance.randrange(start_ms, end_ms) for _ in range(count)
        )
        return [self.make(at_ms) for at_ms in times]

    def wait_for(self, at_ms: int, key: str) -> trace.RequestSent:
        """Return a booking whose caller outwaits a frozen server."""
        self._made += 1
        return msgspec.structs.replace(
            self._write(at_ms),
            service=self._mix.keyed,
            key=key,
            target='/bookings',
            deadline_ms=PATIENT_DEADLINE_MS,
        )

    def _read(self, at_ms: int) -> trace.RequestSent:
        return trace.RequestSent(
            at_ms=at_ms,
            request_id=self._request_id(),
            caller=self._caller(),
            service=self._mix.keyed,
            key=self._key(),
            target='/availability',
            deadline_ms=READ_DEADLINE_MS,
            tries=TRIES,
        )

    def _write(self, at_ms: int) -> trace.RequestSent:
        keyed = self._chance.random() < 1 / 2
        request_id = self._request_id()
        return trace.RequestSent(
            at_ms=at_ms,
            request_id=request_id,
            caller=self._caller(),
            service=self._mix.keyed if keyed else self._mix.booking,
            key=self._key() if keyed else '',
            method='POST',
            target='/bookings' if keyed else '/deposits',
            body=f'order {self._made}',
            deadline_ms=WRITE_DEADLINE_MS,
            idempotency_key=ids.IdempotencyKey(f'pay-{request_id}'),
            tries=TRIES,
        )

    def _download(self, at_ms: int) -> trace.RequestSent:
        return trace.RequestSent(
            at_ms=at_ms,
            request_id=self._request_id(),
            caller=self._caller(),
            service=self._chance.choice(self._mix.documents),
            target=f'/files/{self._chance.randrange(20)}',
            deadline_ms=DOCUMENT_DEADLINE_MS,
            tries=TRIES,
        )

    def _request_id(self) -> ids.RequestId:
        return ids.RequestId(f'{self._name}-{self._made}')

    def _caller(self) -> ids.CallerId:
        number = self._chance.randrange(30)
        return ids.CallerId(f'{self._mix.caller}-{number}')

    def _key(self) -> str:
        if self._chance.random() < self._mix.hot_share:
            return self._chance.choice(self._mix.hot_keys)
        return self._chance.choice(self._mix.other_keys)


def make_procession() -> list[trace.Line]:
    """Return a night before a procession: a server freezes, the log goes."""
    maker = RequestMaker(PROCESSION, 'night', random.Random(SEED))
    hot = trace.OwnedKey(PROCESSION.keyed, PROCESSION.hot_keys[0])
    lines: list[trace.Line] = [
        trace.ServerFaultsSet(at_ms=4000, owner_of=hot, faults=_FROZEN),
        trace.ServerFaultsSet(at_ms=9000, owner_of=hot, faults=_SOUND),
        trace.LogFaultsSet(
            at_ms=13_000,
            faults=log_service.LogFaults(down=True),
        ),
        trace.LogFaultsSet(at_ms=18_000, faults=log_service.LogFaults()),
    ]
    lines.extend(maker.spread(count=800, start_ms=0, end_ms=24_000))
    lines.extend(
        maker.wait_for(at_ms, PROCESSION.hot_keys[0])
        for at_ms in (4020, 4040, 4060)
    )
    return lines


def make_launch() -> list[trace.Line]:
    """Return a launch manifest release with planned stops."""
    maker = RequestMaker(MANIFEST, 'launch', random.Random(SEED + 1))
    lines: list[trace.Line] = [
        trace.ProfilePublished(
            at_ms=2000,
            name=ids.ProfileName('default'),
            body='retries: {longest_delay_ms: 400}\n',
        ),
    ]
    hot = trace.OwnedKey(MANIFEST.keyed, MANIFEST.hot_keys[0])
    lines.extend(
        (
            trace.ServerLeaving(at_ms=5000, owner_of=hot),
            trace.ServerFaultsSet(
                at_ms=10_000,
                owner_of=hot,
                faults=_STOPPED,
            ),
        ),
    )
    leaving = ids.ServerId('booking-svc-2')
    lines.extend(
        (
            trace.ServerLeaving(at_ms=8000, server=leaving),
            trace.ServerFaultsSet(
                at_ms=13_000,
                server=leaving,
                faults=_STOPPED,
            ),
        ),
    )
    lines.extend(maker.spread(count=300, start_ms=0, end_ms=8000))
    lines.extend(maker.spread(count=500, start_ms=8000, end_ms=20_000))
    return lines


def make_clock_change(day: Day = CLOCK_CHANGE) -> list[trace.Line]:
    """Return a week before and after a change of clocks, compressed."""
    chance = random.Random(SEED + 2)
    maker = RequestMaker(MANIFEST, 'week', chance)
    lines: list[trace.Line] = []
    for number in range(day.days):
        lines.extend(_requests_of_day(day, number, maker))
    peak_after = peak_of_day(day, day.days // 2)
    hot = trace.OwnedKey(MANIFEST.keyed, MANIFEST.hot_keys[0])
    lines.extend(
        (
            trace.ServerFaultsSet(
                at_ms=peak_after[0],
                owner_of=hot,
                faults=_FROZEN,
            ),
            trace.ServerFaultsSet(
                at_ms=peak_after[0] + 4000,
                owner_of=hot,
                faults=_SOUND,
            ),
        ),
    )
    return lines


def make_instance_loss() -> list[trace.Line]:
    """Return a night in which instances are paused, killed and replaced."""
    maker = RequestMaker(PROCESSION, 'loss', random.Random(SEED + 3))
    lines: list[trace.Line] = [
        trace.ProcessPaused(at_ms=3000, process='entry-1'),
        trace.ProcessContinued(at_ms=7000, process='entry-1'),
        trace.ProcessKilled(at_ms=12_000, process='entry-2'),
        trace.ProcessStarted(at_ms=16_000, process='entry-2'),
    ]
    lines.extend(maker.spread(count=600, start_ms=0, end_ms=20_000))
    return lines


def peak_of_day(day: Day, number: int) -> tuple[int, int]:
    """Return start and end of a day's peak in the time of the trace."""
    date = day.first + number * _DAY
    start = datetime.datetime.combine(
        date,
        datetime.time(day.peak_hour),
        zoneinfo.ZoneInfo(day.zone),
    )
    begin = trace_time(day, start)
    return begin, begin + day.peak_hours * day.day_ms // 24


def trace_time(day: Day, moment: datetime.datetime) -> int:
    """Return the time of the trace at which a moment falls."""
    start = datetime.datetime.combine(
        day.first,
        datetime.time(),
        datetime.UTC,
    )
    return int((moment - start) * day.day_ms / _DAY)


def _requests_of_day(
    day: Day,
    number: int,
    maker: RequestMaker,
) -> list[trace.RequestSent]:
    peak = int(day.requests * day.peak_share)
    begin, end = peak_of_day(day, number)
    start = number * day.day_ms
    return [
        *maker.spread(peak, begin, end),
        *maker.spread(day.requests - peak, start, start + day.day_ms),
    ]


_Maker = typing.Callable[[], list[trace.Line]]

MAKERS: dict[str, _Maker] = {
    'procession': make_procession,
    'launch': make_launch,
    'clock-change': make_clock_change,
    'instance-loss': make_instance_loss,
}


def write_traces(directory: pathlib.Path) -> None:
    """Write every shipped trace."""
    for name, make in MAKERS.items():
        path = directory / f'{name}.jsonl'
        path.write_bytes(trace.format_trace(make()))


if __name__ == '__main__':
    write_traces(pathlib.Path('traces'))
