"""Read answers that a proper program may send, within the memory for them."""

import http

import aiohttp

# A read of the log returns up to 500 records.
MAX_BYTES = 67_108_864
# An answer to an order names the shards of a server.
MAX_ORDER_BYTES = 4_194_304
MAX_PROBE_BYTES = 65_536
# All answers together that are being read.
MAX_KEPT_BYTES = 100_663_296
_LAST_STATUS = 599
# The statuses of answers that end an exchange.
FINAL_STATUSES = range(http.HTTPStatus.OK, _LAST_STATUS + 1)


class OddStatusError(aiohttp.ClientPayloadError):
    """Report an answer whose status no proper program sends."""


class _Kept:
    """Count the bytes of all bodies that are being read."""

    def __init__(self) -> None:
        self._total = 0
        self._readers = 0

    def start(self) -> None:
        self._readers += 1

    def end(self, size: int) -> None:
        self._readers -= 1
        self._total -= size

    def add(self, more: int, size: int) -> None:
        """Count more of a body; raise ClientPayloadError if none fits."""
        self._total += more
        is_long = size * self._readers >= self._total
        if is_long and self._total > MAX_KEPT_BYTES:
            raise aiohttp.ClientPayloadError(
                f'body of over {size} bytes beside {self._readers - 1} others'
            )


_kept = _Kept()


async def read(
    answer: aiohttp.ClientResponse, max_bytes: int = MAX_BYTES
) -> bytes:
    """Return the whole body; raise ClientPayloadError if it is unusable."""
    if answer.status not in FINAL_STATUSES:
        answer.close()
        raise OddStatusError(f'status {answer.status}')
    received = bytearray()
    _kept.start()
    try:
        await _read_into(received, answer, max_bytes)
    except aiohttp.ClientPayloadError:
        answer.close()
        raise
    finally:
        _kept.end(len(received))
    return bytes(received)


async def _read_into(
    received: bytearray, answer: aiohttp.ClientResponse, max_bytes: int
) -> None:
    async for part in answer.content.iter_any():
        received.extend(part)
        _kept.add(len(part), len(received))
        if len(received) > max_bytes:
            raise aiohttp.ClientPayloadError(f'body of over {max_bytes} bytes')
