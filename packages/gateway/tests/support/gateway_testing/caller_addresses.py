"""Call from several loopback addresses, as callers behind a balancer do."""

import asyncio
import random
import typing

from sycamoreferry_core import clock
from sycamoreferry_core.fleet import deployment
from sycamoreferry_gateway import http_client
from sycamoreferry_ports import boot_clock

_ADDRESS_COUNT = 20


class CallerPools:
    """Hold a pool of connections for each address of a caller."""

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._pools = [
            _AddressPool(boot_clock.BootClock(), f'127.0.0.{number + 2}')
            for number in range(_ADDRESS_COUNT)
        ]

    def choose(self) -> http_client.ConnectionPool:
        """Return the pool of an address that is chosen at random."""
        return self._random.choice(self._pools)


class _AddressPool(http_client.ConnectionPool):
    """Open connections from one address."""

    def __init__(self, time_source: clock.Clock, own_address: str) -> None:
        super().__init__(time_source)
        self._own_address = own_address

    async def _open(
        self, address: deployment.Address, timeout_ms: float
    ) -> typing.Any:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_ms / clock.MILLIS_PER_SECOND):
                _, connection = await loop.create_connection(
                    lambda: http_client.Connection(self._clock, self._budget),
                    address.host,
                    address.port,
                    local_addr=(self._own_address, 0),
                )
        except (OSError, TimeoutError):
            return http_client.FailedExchange(
                http_client.ExchangeFailure.CONNECT, was_sent=False
            )
        return connection
