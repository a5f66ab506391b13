"""Add rejections, and answers that are sent twice, to the soak."""

import asyncio
import typing

from gateway_testing import doubling_proxy, link_proxy, soak

# Servers that reject say that the request did not run.
_NOT_RUN = ('Not-Executed', '1')
_BACK_OFF = ('Retry-After', '0.2')
_REJECTIONS = (
    (503, (_NOT_RUN,)),
    (503, (_NOT_RUN, _BACK_OFF)),
    (429, (_NOT_RUN,)),
    (421, (_NOT_RUN,)),
)
# Requests that wait for a server are rejected at this interval.
_INTERVAL_S = 0.04
_DOUBLED_SHARE = 0.3


class RejectionSoak(soak.Soak):
    """Reject requests, and send answers again, while other faults happen."""

    def __init__(
        self,
        cluster: typing.Any,
        calls: typing.Any,
        seed: int,
        *,
        is_keyed: bool,
    ) -> None:
        super().__init__(cluster, calls, seed, has_partitions=True)
        self.is_keyed = is_keyed
        self._doubling: list[doubling_proxy.DoublingProxy] = []
        self._is_doubling = False

    def stop(self) -> None:
        super().stop()
        for proxy in self._doubling:
            proxy.stop()

    def end_faults(self) -> None:
        for server in self.cluster.servers:
            server.rejections.clear()
        super().end_faults()

    async def reject_requests(self) -> None:
        """Let some servers reject a part of their requests."""
        count = self._random.randint(1, soak.SERVERS)
        rejecting = self._random.sample(self.cluster.servers, count)
        for _ in range(self._random.randint(20, 60)):
            for server in rejecting:
                if not server.rejections:
                    server.rejections.append(self._random.choice(_REJECTIONS))
            await asyncio.sleep(_INTERVAL_S)
        for server in rejecting:
            server.rejections.clear()

    async def double_answers(self) -> None:
        """Let servers send some answers again when the next request arrives."""
        self._is_doubling = True
        await asyncio.sleep(self._random.uniform(1, 4))
        self._is_doubling = False

    async def _start_server_proxy(self, server: typing.Any) -> link_proxy.Proxy:
        # The copies of one server name no request.
        proxy = doubling_proxy.DoublingProxy(
            server.port, self._doubles, has_ids=bool(self._doubling)
        )
        await proxy.start()
        self._doubling.append(proxy)
        return await self._proxy(proxy.port)

    def _doubles(
        self, _request: doubling_proxy.Message, _answer: doubling_proxy.Message
    ) -> bool:
        return self._is_doubling and self._random.random() < _DOUBLED_SHARE

    def _faults(self) -> typing.Sequence[typing.Any]:
        added = (RejectionSoak.reject_requests, RejectionSoak.double_answers)
        return (*super()._faults(), *(added * 3))
