"""Measure what many answers without end take of the memory of a process.

Each answer to an order could take 64 MB, and many came at once.
"""

import subprocess
import sys

import pytest

pytestmark = pytest.mark.processes

MEMORY_LIMIT_MB = 300
# Sends orders to servers whose answers have no end, beside a proper one.
_PROGRAM = r"""
import asyncio, pathlib, re, sys
import msgspec
from sycamoreferry_core import actions, ids
from sycamoreferry_ports import http_orders, wire
from sycamoreferry_standins import scripted_server

START = {
    'body': b'HTTP/1.1 200 OK\r\n\r\n',
    'headers': b'HTTP/1.1 200 OK\r\n',
    'interim heads': b'HTTP/1.1 102 Wait\r\n',
    'odd status': b'HTTP/1.1 000 Odd\r\n\r\n',
}[sys.argv[1]]
BLOCK = b'a:\r\n' * 16384
GREET = actions.Greet(ids.ServerId('s'), ids.Term(1), ids.OrderNumber(1))
SENDER = http_orders.SenderIdentity(
    ids.ServiceName('k'), ids.InstanceId('i'), ids.DataCentre('n')
)
GOOD = msgspec.json.encode(
    wire.OrderAnswer(accepted=True, term=ids.Term(1), stamp=1)
)

async def send_without_end(head, writer):
    writer.write(START)
    while not writer.is_closing():
        writer.write(BLOCK)
        await writer.drain()
        await asyncio.sleep(0)

async def answer(head, writer):
    writer.write(scripted_server.answer_bytes(head, GOOD))

async def main():
    async with (
        scripted_server.ScriptedServer(send_without_end) as faulty,
        scripted_server.ScriptedServer(answer) as good,
        http_orders.open_session() as session,
    ):
        client = http_orders.HttpOrderClient(session, SENDER)
        endless = [
            asyncio.create_task(client.send(GREET, faulty.listed, 3000))
            for _ in range(60)
        ]
        answered = 0
        while not all(task.done() for task in endless):
            answered += await client.send(GREET, good.listed, 3000) is not None
            await asyncio.sleep(0.1)
        assert answered
        assert {task.result() for task in endless} == {None}

asyncio.run(main())
status = pathlib.Path('/proc/self/status').read_text()
print(int(re.search(r'VmHWM:\s+(\d+) kB', status).group(1)) // 1024)
"""


@pytest.mark.parametrize(
    'kind', ['body', 'headers', 'interim heads', 'odd status']
)
def test_answers_to_orders_stay_within_the_memory(kind: str) -> None:
    ended = subprocess.run(
        (sys.executable, '-c', _PROGRAM, kind),
        capture_output=True,
        check=True,
        timeout=60,
    )
    assert int(ended.stdout) < MEMORY_LIMIT_MB
