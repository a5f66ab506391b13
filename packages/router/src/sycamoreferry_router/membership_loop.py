"""Keep this instance joined, and remove instances that do not answer."""

import asyncio
import typing

from sycamoreferry_core import clock, ids, membership, records, state
from sycamoreferry_peer import client as peer_client
from sycamoreferry_peer.generated import peer_pb2
from sycamoreferry_ports import record_ids
from sycamoreferry_router import coordination_loop, logs, tail, view

CHECK_INTERVAL_MS = 1000

_log = logs.part_logger('membership')


class MembershipLoop:
    """Keep this instance joined; while it has authority, probe the others."""

    def __init__(
        self,
        own_state: state.InstanceState,
        instance_view: view.InstanceView,
        log_tail: tail.Tail,
        peers: peer_client.PeerClient,
        loops: typing.Collection[coordination_loop.CoordinationLoop],
        time_source: clock.Clock,
    ) -> None:
        self._own_state = own_state
        self._view = instance_view
        self._tail = log_tail
        self._peers = peers
        self._loops = loops
        self._clock = time_source
        self._probe_history = membership.ProbeHistory()

    async def run(self) -> None:
        """Join, then check the membership until cancelled."""
        await self._join()
        while True:
            await asyncio.sleep(clock.seconds(CHECK_INTERVAL_MS))
            if self._own_state.instance not in self._joined:
                _log.warning(
                    '{} was removed; joining again', self._own_state.instance
                )
                await self._join()
            if any(loop.has_authority for loop in self._loops):
                await self._probe_others()

    async def leave(self) -> None:
        """Hand its terms to the deputies and record that it leaves."""
        for loop in self._loops:
            await coordination_loop.hand_term_to_deputy(loop)
        await self._tail.publish(_leave_record(self._own_state.instance))

    @property
    def _joined(self) -> typing.Mapping[ids.InstanceId, state.InstanceState]:
        return self._view.log_state.instances

    async def _join(self) -> None:
        joined = records.InstanceJoined(
            record_id=record_ids.new_record_id('join'),
            instance=self._own_state.instance,
            data_centre=self._own_state.data_centre,
            peer_host=self._own_state.peer_host,
            peer_port=self._own_state.peer_port,
            request_port=self._own_state.request_port,
        )
        while await self._tail.publish(joined) is None:
            _log.warning(
                'the join record was not confirmed by the log; trying again'
            )
        _log.info('{} joined', self._own_state.instance)

    async def _probe_others(self) -> None:
        others = set(self._joined).difference((self._own_state.instance,))
        for instance in membership.choose_probed(self._probe_history, others):
            answered = await self._probe(instance)
            self._probe_history = membership.note_probe(
                self._probe_history,
                instance,
                answered=answered,
            )
        for lost in membership.find_lost(
            self._probe_history,
            others,
            self._term_holders(),
            self._clock.now(),
        ):
            await self._remove(lost)

    def _term_holders(self) -> frozenset[ids.InstanceId]:
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
        await self._tail.publish(_leave_record(instance))
        self._probe_history = membership.note_removal(
            self._probe_history,
            instance,
            self._clock.now(),
        )


def _leave_record(instance: ids.InstanceId) -> records.InstanceLeft:
    return records.InstanceLeft(
        record_id=record_ids.new_record_id('leave'),
        instance=instance,
    )
