"""An entry of another writer ends an instance at its planned stop.

The entry names a service that no configuration names. Its `born` is a whole
number above 64 bits. Six seconds later an instance gets SIGTERM.
"""

import asyncio
import json
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import world  # noqa: E402

SERVERS = 4
GATEWAYS = 3
WORK_S = 0.4
REQUESTS_PER_S = 20
# Twice the StabilityWindow.
CALM_S = 6
GRACE_S = 6
ENTRY = {
    'Service': 'legacy-cache',
    'Address': '127.0.0.1:9',
    'Zone': 'zone-a',
    'Version': 'v1',
    'Slots': 2,
    'State': 'draining',
    'WarmupLeft': '0ms',
    'Seq': 1,
    'born': 10**20,
}


async def play(scene):
    for number in range(SERVERS):
        server = world.Server(
            scene, f'pay-{number}', 'pay', is_keyed=False, work_s=WORK_S
        )
        server.slots = 4
        scene.servers.append(server)
    scene.configure(
        [{'Name': 'pay', 'MaxConns': 110, 'Sharded': False}],
        [world.path('payout', 'unsafe', 'pay')],
    )
    await scene.start(gateways=GATEWAYS)
    open_to_callers = list(scene.gateways)
    taken_by = {}
    load = asyncio.create_task(_load(scene, open_to_callers, taken_by))
    await asyncio.sleep(2)
    if world.has_trouble():
        scene.record.add(f'another writer writes {ENTRY}')
        content = json.dumps(ENTRY).encode()
        scene.store.put('keyed.servers', 'legacy-1', content)
    await asyncio.sleep(CALM_S)
    stopped = scene.gateways[0]
    # Callers send no more to it, so only requests in progress matter.
    open_to_callers.remove(stopped)
    began = world.now()
    stopped.send_signal(signal.SIGTERM)
    await asyncio.wait_for(stopped.process.wait(), GRACE_S + 1)
    scene.record.add(
        f'{stopped.name} has ended {world.now() - began:.2f} s after SIGTERM '
        f'with status {stopped.process.returncode}'
    )
    await asyncio.sleep(2)
    load.cancel()
    if stopped.process.returncode != 0:
        for line in stopped.log[-3:]:
            scene.record.add(f'{stopped.name} wrote: {line}')
    for name, text in scene.judge.cut.items():
        if taken_by[name] is stopped and scene.judge.ran[name]:
            scene.judge.report(
                'LOST',
                f'{name} was at work at {scene.judge.ran[name]} as '
                f'{stopped.name} stopped; its caller got {text}',
            )


async def _load(scene, open_to_callers, taken_by):
    draw = random.Random(1)
    while True:
        gateway = draw.choice(open_to_callers)
        name = scene.call(
            gateway, '/payout/a', method='POST', is_unsafe=True, body=b'x' * 400
        )
        taken_by[name] = gateway
        await asyncio.sleep(draw.expovariate(REQUESTS_PER_S))


world.main(play, FOLDER)
