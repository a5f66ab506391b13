"""Let another program write odd entries and datagrams during the soak."""

import asyncio
import json
import socket
import typing

from gateway_testing import soak

_SERVERS_TOPIC = 'keyed.servers'
_INSTANCES_TOPIC = 'keyed.ferry-instances'
_DEPTH = 20_000
_HUGE = 10**30
_NESTED = b'[' * _DEPTH + b']' * _DEPTH
_GOOD: dict[str, typing.Any] = {
    'Service': 'keys',
    'Address': '127.0.0.1:9',
    'Zone': 'here',
    'Version': 'v1',
    'Slots': 2,
    'State': 'ready',
    'WarmupLeft': '0ms',
    'Seq': 1,
    'born': 1,
}
# None names a server that may be used, so that none is sent requests.
_ODD_FIELDS: tuple[dict[str, object], ...] = (
    {'born': _HUGE},
    {'born': -1},
    {'born': 1.5},
    {'Seq': _HUGE},
    {'Slots': _HUGE},
    {'Slots': -1},
    {'Address': '127.0.0.1:65536'},
    {'Address': '127.0.0.1:0'},
    {'Address': 'no such host:80'},
    {'Address': 5},
    {'WarmupLeft': '1e300ms'},
    {'WarmupLeft': '-5ms'},
    {'State': 'unheard-of'},
    {'Service': 'v' * 10_000},
    {'Service': 'unheard-of', 'born': _HUGE},
    {'Zone': ['here']},
)
_ODD_BYTES = (
    _NESTED,
    b'{"Zone": ' + _NESTED + b'}',
    b'{"born": ' + b'9' * 5_000 + b'}',
    bytes((255, 254)),
    b'null',
)
_ODD_ADDRESSES = (
    b'127.0.0.1:70000',
    b'127.0.0.1:' + b'9' * 5_000,
    b'no such host:80',
    _NESTED,
    bytes((255, 254)),
)
# Marks of plain and compressed messages, and one that no message has.
_ODD_DATAGRAMS = tuple(
    mark + content
    for mark in (b'p', b'z', b'?')
    for content in (b'', bytes((0x91,)) * _DEPTH, bytes((0xCF,)) * 9)
)


class OddEntrySoak(soak.Soak):
    """Write what no decoder should take while other faults happen.

    Instances may not end by themselves meanwhile.
    """

    def end_faults(self) -> None:
        for instance in self.cluster.processes:
            if not instance.is_running:
                self.calls.violations.append(
                    f'instance {instance.deployment.instance} ended by itself'
                )
        super().end_faults()

    async def write_odd_entries(self) -> None:
        """Leave several entries of servers and instances that don't exist."""
        for number in range(self._random.randint(3, 12)):
            self._put(_SERVERS_TOPIC, f'odd-{number}', self._odd_entry())
            address = self._random.choice(_ODD_ADDRESSES)
            self._put(_INSTANCES_TOPIC, f'odd-{number}', address)
            await asyncio.sleep(self._random.uniform(0, 0.1))

    async def replace_entry(self) -> None:
        """Replace the entry of a server until it writes its own again."""
        number = self._random.choice(self._steady_servers())
        name = self.cluster.servers[number].name
        self._put(_SERVERS_TOPIC, name, self._odd_entry())
        await asyncio.sleep(self._random.uniform(0.1, 2))
        self._register(number)

    async def send_odd_datagrams(self) -> None:
        """Send to the address on which an instance hears the others."""
        instance = self._random.choice(self.cluster.processes)
        settings = instance.deployment
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sending:
            for _ in range(self._random.randint(1, 20)):
                sending.sendto(
                    self._random.choice(_ODD_DATAGRAMS),
                    (settings.host, settings.peer_port),
                )

    def _odd_entry(self) -> bytes:
        if self._random.choice((True, False)):
            return self._random.choice(_ODD_BYTES)
        odd = self._random.choice(_ODD_FIELDS)
        return json.dumps({**_GOOD, **odd}).encode()

    def _put(self, topic: str, key: str, content: bytes) -> None:
        self.cluster.store.put(topic, key, content)

    def _faults(self) -> typing.Sequence[typing.Any]:
        added = (
            OddEntrySoak.write_odd_entries,
            OddEntrySoak.replace_entry,
            OddEntrySoak.send_odd_datagrams,
        )
        return (*super()._faults(), *(added * 2))
