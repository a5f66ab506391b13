"""Send a coordinator's orders to backend servers over HTTP."""

import dataclasses
import functools

import aiohttp
import msgspec

from sycamoreferry_core import actions, clock, decoding, events, ids
from sycamoreferry_ports import bounded_body, headers, wire

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(wire.OrderAnswer)


@dataclasses.dataclass(frozen=True)
class SenderIdentity:
    """Identify the coordinator that sends orders, and its service."""

    service: ids.ServiceName
    instance: ids.InstanceId
    data_centre: ids.DataCentre


@functools.singledispatch
def to_wire(order: object, sender: SenderIdentity) -> wire.AnyOrder:
    """Return the wire form of an order; raise TypeError if unsupported."""
    raise TypeError(f'order type without a wire encoding: {order!r}')


@to_wire.register
def _greet_to_wire(
    order: actions.Greet, sender: SenderIdentity
) -> wire.AnyOrder:
    return wire.GreetOrder(
        service=sender.service,
        sender=sender.instance,
        term=order.term,
        number=order.number,
    )


@to_wire.register
def _grant_to_wire(
    order: actions.Grant, sender: SenderIdentity
) -> wire.AnyOrder:
    return wire.GrantOrder(
        service=sender.service,
        sender=sender.instance,
        term=order.term,
        number=order.number,
        stamp=order.stamp,
        lease_ms=order.lease_ms,
        groups=tuple(
            wire.FencedShards(group.fence, group.shards)
            for group in order.groups
        ),
    )


@to_wire.register
def _renew_to_wire(
    order: actions.Renew, sender: SenderIdentity
) -> wire.AnyOrder:
    return wire.RenewOrder(
        service=sender.service,
        sender=sender.instance,
        term=order.term,
        number=order.number,
        stamp=order.stamp,
        lease_ms=order.lease_ms,
        digest=order.digest,
    )


@to_wire.register
def _revoke_to_wire(
    order: actions.Revoke, sender: SenderIdentity
) -> wire.AnyOrder:
    return wire.RevokeOrder(
        service=sender.service,
        sender=sender.instance,
        term=order.term,
        number=order.number,
        shards=order.shards,
        grace_ms=order.grace_ms,
    )


def _held_shards(
    answer: wire.OrderAnswer,
) -> frozenset[ids.ShardId] | None:
    if answer.groups is None:
        return None
    return frozenset(shard for group in answer.groups for shard in group.shards)


def to_event(
    order: actions.Order,
    answer: wire.OrderAnswer | None,
    now: clock.Millis,
) -> events.Event:
    """Convert the answer to an order, or its absence, to an event."""
    if answer is None:
        return events.ServerFailed(order.server, order.term, order.number)
    if answer.term > order.term:
        return events.ServerRefused(
            server=order.server,
            term=order.term,
            number=order.number,
            followed_term=answer.term,
        )
    return events.ServerAnswered(
        server=order.server,
        term=order.term,
        number=order.number,
        stamp=answer.stamp,
        received_at=now,
        held_shards=_held_shards(answer),
        lapsed_fences={
            shard: group.fence
            for group in answer.lapsed
            for shard in group.shards
        },
    )


def open_session() -> aiohttp.ClientSession:
    """Open a session that sends each order on a connection of its own.

    Answers name no order, so on a reused connection a late second answer would
    count as that to the next order.
    """
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True)
    )


class HttpOrderClient:
    """Send orders to the backend servers of one service.

    The session must not reuse connections, see open_session.
    """

    def __init__(
        self, session: aiohttp.ClientSession, sender: SenderIdentity
    ) -> None:
        self._session = session
        self._sender = sender

    async def send(
        self,
        order: actions.Order,
        server: wire.ListedServer,
        timeout_ms: int,
    ) -> wire.OrderAnswer | None:
        """Send an order; return the answer, or None if none was received."""
        timeout = aiohttp.ClientTimeout(total=clock.seconds(timeout_ms))
        url = f'http://{server.host}:{server.port}/ferry/orders'
        try:
            async with self._session.post(
                url,
                data=_encoder.encode(to_wire(order, self._sender)),
                headers={
                    headers.INSTANCE: self._sender.instance,
                    headers.DATA_CENTRE: self._sender.data_centre,
                },
                timeout=timeout,
            ) as answer:
                body = await bounded_body.read(
                    answer, bounded_body.MAX_ORDER_BYTES
                )
                return decoding.decode(_decoder, body)
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            return None
