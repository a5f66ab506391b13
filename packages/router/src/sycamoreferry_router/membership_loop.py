"""Join, stay joined, and remove instances that are gone."""

import asyncio
import typing

from sycamoreferry_core import clock, ids, membership, records, state
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_ports import record_ids
from sycamoreferry_router import coordination_loop, logs, tail, view

ROUND_MS = 1000

_log = logs.part_logger('membership')


class MembershipLoop:
    """Keep this instance joined; as a coordinator, watch the others."""

    def __init__(
        self,
        me: state.InstanceState,
        seen: view.InstanceView,
        following: tail.Tail,
        peers: peer_client.PeerClients,
        loops: typing.Collection[coordination_loop.CoordinationLoop],
        timer: clock.Clock,
    ) -> None:
        self._me = me
        self._view = seen
        self._tail = following
        self._peers = peers
        self._loops = loops
        self._clock = timer
        self._watch = membership.Watch()

    async def run(self) -> None:
        """Join, then watch until cancelled."""
        await self._join()
        while True:
            await asyncio.sleep(clock.seconds(ROUND_MS))
            if self._me.instance not in self._joined:
                _log.warning('{} was removed; joining again', self._me.instance)
                await self._join()
            if any(loop.has_authority for loop in self._loops):
                await self._watch_others()

    async def leave(self) -> None:
        """Hand over what this instance leads, and tell the log."""
        for loop in self._loops:
            await coordination_loop.hand_over(loop)
        await self._tail.publish(_left(self._me.instance))

    @property
    def _joined(self) -> typing.Mapping[ids.InstanceId, state.InstanceState]:
        return self._view.log_state.instances

    async def _join(self) -> None:
        joined = records.InstanceJoined(
            record_id=record_ids.new_record_id('join'),
            instance=self._me.instance,
            data_centre=self._me.data_centre,
            peer_host=self._me.peer_host,
            peer_port=self._me.peer_port,
            request_port=self._me.request_port,
        )
        while await self._tail.publish(joined) is None:
            _log.warning('the log took no join record; trying again')
        _log.info('{} joined', self._me.instance)

    async def _watch_others(self) -> None:
        others = set(self._joined).difference((self._me.instance,))
        for instance in membership.choose_asked(self._watch, others):
            answered = await self._probe(instance)
            self._watch = membership.note_probe(
                self._watch,
                instance,
                answered=answered,
            )
        for lost in membership.find_lost(
            self._watch,
            others,
            self._holders(),
            self._clock.now(),
        ):
            await self._remove(lost)

    def _holders(self) -> frozenset[ids.InstanceId]:
        terms = self._view.log_state.terms.values()
        holders = {term.coordinator for term in terms}
        return frozenset(holders.union(term.deputy for term in terms))

    async def _probe(self, instance: ids.InstanceId) -> bool:
        found = self._joined.get(instance)
        if found is None:
            return True
        reply = await self._peers.probe(
            peer_client.PeerAddress(found.peer_host, found.peer_port),
            peer_pb2.ProbeRequest(instance=instance),
        )
        return reply is not None and reply.instance == instance

    async def _remove(self, instance: ids.InstanceId) -> None:
        _log.warning('{} does not answer; removing it', instance)
        await self._tail.publish(_left(instance))
        self._watch = membership.note_removal(
            self._watch,
            instance,
            self._clock.now(),
        )


def _left(instance: ids.InstanceId) -> records.InstanceLeft:
    return records.InstanceLeft(
        record_id=record_ids.new_record_id('leave'),
        instance=instance,
    )
