"""A second rejection is taken for the answer to the next try of a request.

A server of a keyed service sheds part of its requests (503 with Not-Executed).
Some servers, it among them, send 3 in 100 of their answers twice, the second at
the point where the next answer on the connection is expected.

With SHORT_QUEUE=1 no server sheds. They have a queue of two instead and reject
requests while it is full.
"""

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import world  # noqa: E402

# The dose of `garble`, `extra late` in the site file: 0.6 of the servers of a
# service send a second answer to 0.03 of what they answer, for 5 s.
IS_QUEUE_SHORT = os.environ.get('SHORT_QUEUE') == '1'
SERVERS = 5 if IS_QUEUE_SHORT else 10
FAULTY = SERVERS * 6 // 10
DOSE = 0.03
WINDOW_S = 5
WINDOWS = 6
PAUSE_S = 3

GATEWAYS = 4
WORK_S = 0.084
REQUESTS_PER_S = 95 if IS_QUEUE_SHORT else 150
SLOTS = 2 if IS_QUEUE_SHORT else 4
QUEUE = 2 if IS_QUEUE_SHORT else 16
# `srv_grey`, `shed` in the site file: 0.14 of the servers fail 0.45 of their
# requests for up to 6.5 s. Here it is one server.
SHED_SHARE = 0.0 if IS_QUEUE_SHORT else 0.45


class DoublingServer(world.Server):
    """Send some answers twice, the second where the next is expected."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_faulty = False
        self.answered_before = 0
        self.doubled = 0
        self.slots = SLOTS
        self.queue = QUEUE
        self.shed_share = 0.0
        self._draw = random.Random(2)

    def begin_window(self):
        """Begin to send some answers twice."""
        self.is_faulty = True
        self.answered_before = self.answers
        self.doubled = 0

    async def _serve_request(self, request):
        if self._draw.random() < self.shed_share:
            return self.answer(request, 503, {'Not-Executed': '1'})
        return await super()._serve_request(request)

    def doubles(self, request, status):
        """Double rejections, up to the dose of the window."""
        allowed = int(DOSE * (self.answers - self.answered_before))
        is_due = self.is_faulty and status == 503 and self.doubled < allowed
        self.doubled += is_due
        return is_due


async def play(scene):
    for number in range(SERVERS):
        server = DoublingServer(
            scene, f'keys-{number}', 'keys', is_keyed=True, work_s=WORK_S
        )
        scene.servers.append(server)
    scene.configure(
        [{'Name': 'keys', 'MaxConns': 110, 'Sharded': True}],
        [world.path('payout', 'unsafe', 'keys')],
    )
    await scene.start(gateways=GATEWAYS)
    load = asyncio.create_task(_load(scene))
    await asyncio.sleep(4)
    for _ in range(WINDOWS):
        if world.has_trouble():
            for server in scene.servers[:FAULTY]:
                server.begin_window()
            scene.servers[0].shed_share = SHED_SHARE
        await asyncio.sleep(WINDOW_S)
        for server in scene.servers[:FAULTY]:
            server.is_faulty = False
        scene.servers[0].shed_share = 0.0
        await asyncio.sleep(PAUSE_S)
    load.cancel()
    await asyncio.sleep(2)


async def _load(scene):
    draw = random.Random(1)
    while True:
        scene.call(
            draw.choice(scene.gateways),
            '/payout/a',
            method='PUT',
            key=draw.randrange(world.KEYS),
            is_unsafe=True,
            body=b'x' * 1_200,
        )
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))


world.main(play, FOLDER)
