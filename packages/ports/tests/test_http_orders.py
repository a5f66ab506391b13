"""Check that an answer to an order is no answer to the next one.

A late second answer said that a server held no shards which it had just been
granted, so the coordinator could grant them to another server.
"""

import asyncio
import typing

import msgspec
import pytest

from sycamoreferry_core import actions, ids
from sycamoreferry_ports import http_orders, wire
from sycamoreferry_standins import scripted_server

TIMEOUT_MS = 2_000
SENDER = http_orders.SenderIdentity(
    ids.ServiceName('keyed'), ids.InstanceId('i'), ids.DataCentre('north')
)
SERVER = ids.ServerId('scripted-1')
TERM = ids.Term(1)
SHARD = ids.ShardId(7)


def _grant(number: int) -> actions.Order:
    group = actions.FencedShards(ids.Fence(5), (SHARD,))
    return actions.Grant(
        SERVER, TERM, ids.OrderNumber(number), 1, 1_000, (group,)
    )


def _renew(number: int) -> actions.Order:
    return actions.Renew(SERVER, TERM, ids.OrderNumber(number), 1, 1_000, 0)


def _revoke(number: int) -> actions.Order:
    return actions.Revoke(SERVER, TERM, ids.OrderNumber(number), (SHARD,), 0)


class _Repeating:
    """Answer each order; send the answer again when the next one arrives."""

    def __init__(self, *stamps: int) -> None:
        self._stamps = list(stamps)
        self._last: dict[int, bytes] = {}

    async def answer(
        self, head: scripted_server.Head, writer: asyncio.StreamWriter
    ) -> None:
        late = self._last.get(head.connection, b'')
        body = msgspec.json.encode(
            wire.OrderAnswer(
                accepted=True, term=TERM, stamp=self._stamps.pop(0)
            )
        )
        self._last[head.connection] = scripted_server.answer_bytes(head, body)
        writer.write(late + self._last[head.connection])


@pytest.mark.parametrize('build', [_grant, _renew, _revoke])
async def test_late_second_answer_is_no_answer_to_the_next_order(
    build: typing.Callable[[int], actions.Order],
) -> None:
    script = _Repeating(11, 12, 13)
    greet = actions.Greet(SERVER, TERM, ids.OrderNumber(1))
    orders = (greet, build(2), build(3))
    async with (
        scripted_server.ScriptedServer(script.answer) as server,
        http_orders.open_session() as session,
    ):
        client = http_orders.HttpOrderClient(session, SENDER)
        answers = [
            await client.send(order, server.listed, TIMEOUT_MS)
            for order in orders
        ]
        used = {head.connection for head in server.heads}
    stamps = [answer.stamp for answer in answers if answer is not None]
    assert stamps == [11, 12, 13]
    assert len(used) == len(orders)
