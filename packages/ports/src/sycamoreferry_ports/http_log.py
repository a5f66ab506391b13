"""Append to and read the platform's log over HTTP."""

import asyncio
import http

import aiohttp
import msgspec

from sycamoreferry_core import clock, decoding, ids, records
from sycamoreferry_ports import bounded_body, log_port, wire

READ_LIMIT = 500
TIMEOUT_MS = 1000

_tail_decoder = msgspec.json.Decoder(wire.LogTail)
_appended_decoder = msgspec.json.Decoder(wire.LogAppended)


class HttpLog:
    """Append to and read one stream of the log."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        stream: str,
    ) -> None:
        self._session = session
        self._url = f'{base_url}/streams/{stream}/records'

    async def append(self, payload: bytes) -> log_port.AppendOutcome:
        """Append a payload once; errors are returned as an outcome."""
        try:
            return await self._append(payload)
        except aiohttp.ClientConnectorError as error:
            return log_port.NotAppended(f'no connection to the log: {error}')
        except (aiohttp.ClientError, TimeoutError) as error:
            return log_port.AppendUnknown(f'no answer from the log: {error!r}')
        except msgspec.MsgspecError as error:
            return log_port.AppendUnknown(
                f'cannot decode the answer of the log: {error}'
            )

    async def read(
        self,
        start: ids.Offset,
        wait_ms: int,
    ) -> log_port.ReadOutcome:
        """Read records from an offset; wait up to wait_ms for the first."""
        try:
            async with asyncio.timeout(clock.seconds(TIMEOUT_MS + wait_ms)):
                return await self._read(start, wait_ms)
        except (
            aiohttp.ClientError,
            TimeoutError,
            msgspec.MsgspecError,
        ) as error:
            return log_port.ReadFailed(f'cannot read the log: {error!r}')

    async def _append(self, payload: bytes) -> log_port.AppendOutcome:
        timeout = aiohttp.ClientTimeout(total=clock.seconds(TIMEOUT_MS))
        async with self._session.post(
            self._url,
            data=payload,
            timeout=timeout,
        ) as answer:
            content = await bounded_body.read(answer)
            if answer.status == http.HTTPStatus.OK:
                appended = decoding.decode(_appended_decoder, content)
                return log_port.Appended(ids.Offset(appended.offset))
            return log_port.AppendUnknown(
                f'log answered with HTTP status {answer.status}'
            )

    async def _read(
        self,
        start: ids.Offset,
        wait_ms: int,
    ) -> log_port.ReadOutcome:
        query = {'from': start, 'limit': READ_LIMIT, 'wait_ms': wait_ms}
        async with self._session.get(self._url, params=query) as answer:
            content = await bounded_body.read(answer)
            if answer.status != http.HTTPStatus.OK:
                return log_port.ReadFailed(
                    f'log answered with HTTP status {answer.status}'
                )
        tail = decoding.decode(_tail_decoder, content)
        return log_port.Tail(
            first_offset=ids.Offset(tail.first_offset),
            end_offset=ids.Offset(tail.end_offset),
            logged=tuple(
                records.LoggedRecord(
                    ids.Offset(entry.offset),
                    entry.payload.encode(),
                )
                for entry in tail.entries
            ),
        )
