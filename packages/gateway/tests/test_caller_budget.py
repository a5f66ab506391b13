"""Check what happens to requests when the memory for callers is used up."""

import asyncio
import typing

import pytest

from sycamoreferry_core.traffic import caller_memory
from sycamoreferry_gateway import caller_budget, caller_messages, http_server
from sycamoreferry_ports import boot_clock

LIMIT = 1_000_000
BODY = b'a' * 500_000
HEAD = b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n'


class _Gate:
    """Answer requests when the test says so; send them on before or not."""

    def __init__(self, *, is_sending: bool, max_connections: int = 9) -> None:
        self.requests: list[caller_messages.CallerRequest] = []
        self.may_answer = asyncio.Event()
        # A writer that nothing refers to closes its connection.
        self._writers: list[asyncio.StreamWriter] = []
        self._is_sending = is_sending
        source = boot_clock.BootClock()
        self.budget = caller_budget.CallerBudget(LIMIT, source)
        self.server = http_server.HttpServer(
            self._handle,
            source,
            budget=self.budget,
            max_connections=max_connections,
        )

    async def connect(
        self, payload: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, send bytes and let the server take them."""
        if self.server._listener is None:
            await self.server.listen('127.0.0.1', 0)
        listener = self.server._listener
        assert listener is not None
        port = listener.sockets[0].getsockname()[1]
        opened = await asyncio.open_connection('127.0.0.1', port)
        self._writers.append(opened[1])
        opened[1].write(payload)
        await asyncio.sleep(0.1)
        return opened

    async def _handle(
        self, request: caller_messages.CallerRequest
    ) -> caller_messages.CallerAnswer:
        self.requests.append(request)
        if self._is_sending:
            request.record_forward()
        await self.may_answer.wait()
        return caller_messages.CallerAnswer(200, (), b'ok')


@pytest.fixture
async def make_gate() -> typing.AsyncIterator[typing.Callable[..., _Gate]]:
    made: list[_Gate] = []

    def make(**options: typing.Any) -> _Gate:
        made.append(_Gate(**options))
        return made[-1]

    yield make
    for gate in made:
        gate.server.stop_listening()
        gate.server.close_connections()


async def test_request_that_was_not_sent_on_is_refused_as_not_run(
    make_gate: typing.Callable[..., _Gate],
) -> None:
    gate = make_gate(is_sending=False)
    reader, _ = await gate.connect(HEAD + b'\r\n' + BODY)
    await gate.connect(HEAD + b'\r\n' + BODY)
    refused = await asyncio.wait_for(reader.read(), 2)
    assert b' 503 ' in refused
    assert b'Retry-After: 1.000' in refused
    # Its task is stopped; if it went on, it could not send the request.
    assert gate.requests[0].is_refused
    assert not gate.requests[1].is_refused


async def test_request_that_was_sent_on_is_answered(
    make_gate: typing.Callable[..., _Gate],
) -> None:
    gate = make_gate(is_sending=True)
    reader, _ = await gate.connect(HEAD + b'\r\n' + BODY)
    later_reader, _ = await gate.connect(HEAD + b'\r\n' + BODY[:-1])
    assert b' 503 ' in await asyncio.wait_for(later_reader.read(), 2)
    gate.may_answer.set()
    assert b' 200 ' in await asyncio.wait_for(reader.readline(), 2)


async def test_continue_is_held_back_while_there_is_no_room(
    make_gate: typing.Callable[..., _Gate],
) -> None:
    gate = make_gate(is_sending=True)
    gate.budget.update(
        'other', LIMIT * 7 // 8, caller_memory.HolderState.FORWARDED
    )
    reader, _ = await gate.connect(HEAD + b'Expect: 100-continue\r\n\r\n')
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readline(), 0.1)
    gate.budget.memory.release('other')
    sweeping = asyncio.create_task(gate.server.sweep_forever())
    assert b' 100 ' in await asyncio.wait_for(reader.readline(), 2)
    sweeping.cancel()


async def test_idle_connection_is_closed_for_a_new_one(
    make_gate: typing.Callable[..., _Gate],
) -> None:
    gate = make_gate(is_sending=True, max_connections=1)
    reader, _ = await gate.connect(b'')
    await gate.connect(b'')
    assert await asyncio.wait_for(reader.read(), 2) == b''
    assert len(gate.server.connections) == 1
    assert gate.budget.counts['callers_closed_surplus'] == 1


def test_memory_is_returned_until_the_last_holder_has_left() -> None:
    """Guard against memory that is kept as its last part is freed late.

    It was returned once, when most was freed. What was freed after that was
    less than returning starts with, and a process kept 22 MB.
    """
    budget = caller_budget.CallerBudget(40_000_000, boot_clock.BootClock())
    state = caller_memory.HolderState.INCOMPLETE
    has_shrunk = []
    for held in (27_000_000, 7_000_000, 6_900_000, 0, 0, 0):
        budget.update('caller', held, state)
        has_shrunk.append(budget.has_shrunk())
    assert has_shrunk == [False, True, False, True, True, False]
