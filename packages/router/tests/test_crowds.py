"""Send crowds of connections to an instance that has little memory."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import re
import socket
import typing

import hpack
import pytest
from hyperframe import frame

from sycamoreferry_core import ids
from sycamoreferry_ports import headers
from sycamoreferry_standins import cluster, workloads

MEMORY_MB = 160
CONNECTIONS = 256
# Connections to backend servers, peers and the platform, and files.
OTHER_DESCRIPTORS = 64
BODY_BYTES = 1_000_000
LARGEST_BYTES = 16_000_000
ANSWER_BYTES = 4_000_000
SEND_S = 5
HOLD_S = 1
SERVED_MS = 10_000
BYTES_PER_MB = 1_000_000
CROWDED = workloads.Workload(
    name='crowded',
    data_centres=(ids.DataCentre('north'),),
    link_ms=1,
    services=(
        workloads.ServiceSize(ids.ServiceName('plain'), 1, 8, 40),
        workloads.ServiceSize(
            ids.ServiceName('busy'), 1, 1, 40, work_ms=20_000
        ),
        workloads.ServiceSize(
            ids.ServiceName('documents'), 1, 8, 40, answer_bytes=ANSWER_BYTES
        ),
    ),
)


class _Cluster(cluster.Cluster):
    """Give the only instance little memory and few connections."""

    def __init__(self, directory: pathlib.Path, bounds: dict[str, int]) -> None:
        super().__init__(CROWDED, directory, entries=1)
        self._bounds = bounds

    def settings_of(self, entry: cluster.Entry) -> dict[str, object]:
        bounds = {
            'memory_mb': MEMORY_MB,
            'connections': CONNECTIONS,
            'body_bytes': BODY_BYTES,
            **self._bounds,
        }
        return {**super().settings_of(entry), 'bounds': bounds}


def _head(*lines: str, service: str = 'plain', method: str = 'PUT') -> bytes:
    start = (f'{method} /{service}/a HTTP/1.1', 'Host: a')
    return '\r\n'.join((*start, *lines, '', '')).encode()


_LENGTH = f'Content-Length: {BODY_BYTES}'
_CHUNKED = 'Transfer-Encoding: chunked'
_PATIENT = f'{headers.DEADLINE_MS}: 40000'
_BODY = bytes(BODY_BYTES)


def _call(message_bytes: int) -> bytes:
    """Return a call of another instance that ends in its message."""
    settings, head = frame.SettingsFrame(), frame.HeadersFrame(1)
    # The instance sends its settings twice; the second has its long window.
    taken = frame.SettingsFrame(flags=['ACK']).serialize() * 2
    head.data = hpack.Encoder().encode(
        [
            (':method', 'POST'),
            (':scheme', 'http'),
            (':path', '/sycamoreferry.peer.Peer/Status'),
            (':authority', 'a'),
            ('te', 'trailers'),
            ('content-type', 'application/grpc'),
        ]
    )
    head.flags.add('END_HEADERS')
    part = frame.DataFrame(1, b'.' * 10_000).serialize()
    length = frame.DataFrame(1, message_bytes.to_bytes(5)).serialize()
    return b''.join(
        (
            b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
            settings.serialize() + taken,
            head.serialize(),
            length,
            part * (message_bytes // 10_000),
        )
    )


@dataclasses.dataclass(frozen=True)
class _Crowd:
    """Describe what each connection of a crowd sends before it waits."""

    sent: bytes
    size: int = 200
    is_peer: bool = False


CROWDS = {
    'one-byte-short': _Crowd(_head(_LENGTH) + _BODY[1:]),
    'chunks-one-byte-short': _Crowd(
        _head(_CHUNKED) + b'%x\r\n%b' % (BODY_BYTES, _BODY[1:])
    ),
    'one-byte-chunks': _Crowd(
        _head(_CHUNKED) + b'1\r\n.\r\n' * 10_000 + b'1\r\n', size=50
    ),
    'no-data-after-100': _Crowd(
        _head(_LENGTH, 'Expect: 100-continue'), size=600
    ),
    'head-without-end': _Crowd(_head('a:' + 'b' * 12_000)[:-2], size=600),
    'short-header-lines': _Crowd(
        _head(_LENGTH, *['a:'] * 3_000) + _BODY[1:8_000]
    ),
    'busy-server': _Crowd(
        _head(_LENGTH, _PATIENT, service='busy') + _BODY,
    ),
    'unread-answers': _Crowd(
        _head(_PATIENT, service='documents', method='GET') * 10, size=100
    ),
    'silent': _Crowd(b'', size=600),
    'silent-peers': _Crowd(b'', size=600, is_peer=True),
    'long-messages-of-peers': _Crowd(_call(4_000_001), size=48, is_peer=True),
}


@pytest.mark.crowds
@pytest.mark.parametrize('name', CROWDS)
async def test_crowd_stays_within_memory_and_descriptors(
    name: str,
    tmp_path: pathlib.Path,
) -> None:
    """Guard against total use without a bound, though each request has one."""
    bounds = {'whole_answer_bytes': 2 * ANSWER_BYTES}
    async with _Cluster(tmp_path, bounds) as system:
        entry = system.entries[0]
        process = system.started[entry.name]
        crowd = CROWDS[name]
        port = entry.peer_port if crowd.is_peer else entry.request_port
        async with _sent_by_crowd(port, crowd):
            descriptors = _descriptors(process.process.pid)
            await cluster.wait_for(
                lambda: system.control.answers(f'{entry.url}/plain/a'),
                'an ordinary request to be answered',
                SERVED_MS,
            )
        process.check_running()
        peak_mb = _peak_mb(process.process.pid)
    assert peak_mb < MEMORY_MB, f'{descriptors} descriptors'
    assert descriptors < CONNECTIONS + OTHER_DESCRIPTORS, f'{peak_mb} MB'


@pytest.mark.crowds
async def test_largest_body_is_served(tmp_path: pathlib.Path) -> None:
    """Guard against a bound that refuses what the settings permit."""
    async with _Cluster(tmp_path, {'body_bytes': LARGEST_BYTES}) as system:
        entry = system.entries[0]
        async with system.session.put(
            f'{entry.url}/plain/a',
            data=bytes(LARGEST_BYTES),
            headers={headers.DEADLINE_MS: '20000'},
        ) as answer:
            await answer.read()
            assert answer.status == 200
        pid = system.started[entry.name].process.pid
        assert _peak_mb(pid) < MEMORY_MB


@contextlib.asynccontextmanager
async def _sent_by_crowd(
    port: int, crowd: _Crowd
) -> typing.AsyncIterator[None]:
    """Send what the crowd sends, as far as it is taken; keep it connected."""
    connected = [_open_socket() for _ in range(crowd.size)]
    try:
        tasks = [
            asyncio.create_task(_send(one, port, crowd.sent))
            for one in connected
        ]
        _, unsent = await asyncio.wait(tasks, timeout=SEND_S)
        for task in unsent:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(HOLD_S)
        yield
    finally:
        for one in connected:
            one.close()


def _open_socket() -> socket.socket:
    client = socket.socket()
    # Keeps most of an unread answer on the side of the instance.
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    client.setblocking(False)
    return client


async def _send(client: socket.socket, port: int, sent: bytes) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(client, ('127.0.0.1', port))
        await loop.sock_sendall(client, sent)


def _descriptors(pid: int) -> int:
    return len(os.listdir(f'/proc/{pid}/fd'))


def _peak_mb(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'VmHWM:\s+(\d+) kB', status)
    assert found is not None
    return int(found.group(1)) * 1_024 / BYTES_PER_MB
