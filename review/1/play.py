"""A second rejection is taken for the answer to the next try of a request.

Servers of a keyed service reject requests while their queues are full (503
with Not-Executed). Some of them send 3 in 100 of their answers twice, the
second at the point where the next answer on the connection is expected.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import world  # noqa: E402

# The dose of `garble`, `extra late` in the site file: 0.6 of the servers of a
# service send a second answer to 0.03 of what they answer, for 5 s.
FAULTY = 3
SERVERS = 5
DOSE = 0.03
WINDOW_S = 5
WINDOWS = 3
PAUSE_S = 3

GATEWAYS = 4
WORK_S = 0.084
# Four fifths of what the servers can run.
REQUESTS_PER_S = 95


class DoublingServer(world.Server):
    """Send some answers twice, the second where the next is expected."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.is_faulty = False
        self.answered_before = 0
        self.doubled = 0
        self.queue = 2

    def begin_window(self):
        """Begin to send some answers twice."""
        self.is_faulty = True
        self.answered_before = self.answers
        self.doubled = 0

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
        await asyncio.sleep(WINDOW_S)
        for server in scene.servers[:FAULTY]:
            server.is_faulty = False
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
