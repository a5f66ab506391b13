"""A request that offers an upgrade has the next one answered with 400.

Callers send two safe requests on a connection before the first is answered.
The first offers HTTP/2, as HTTP clients with cleartext HTTP/2 do. Nothing is
disturbed.
"""

import asyncio
import pathlib
import secrets
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import world  # noqa: E402

SERVERS = 4
GATEWAYS = 2
CONNECTIONS = 40
# RULES.md, DENIED: more than 5 + one in 500 of all requests.
ALLOWED = 5 + 2 * CONNECTIONS / 500
OFFER = (
    'Connection: Upgrade, HTTP2-Settings\r\n'
    'Upgrade: h2c\r\n'
    'HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA\r\n'
)


async def play(scene):
    for number in range(SERVERS):
        server = world.Server(
            scene, f'gal-{number}', 'gal', is_keyed=False, work_s=0.12
        )
        server.slots = 4
        scene.servers.append(server)
    scene.configure(
        [{'Name': 'gal', 'MaxConns': 110, 'Sharded': False}],
        [world.path('view', 'safe', 'gal')],
    )
    await scene.start(gateways=GATEWAYS)
    await asyncio.sleep(4)
    denied = []
    for number in range(CONNECTIONS):
        gateway = scene.gateways[number % GATEWAYS]
        denied.extend(await _send_two(scene, gateway))
        await asyncio.sleep(0.05)
    if len(denied) > ALLOWED:
        scene.judge.report(
            'DENIED',
            f'{len(denied)} of {2 * CONNECTIONS} proper requests got a 400 of '
            f'the instances, {ALLOWED:.2f} are allowed; none of these ran: '
            f'{not any(scene.judge.ran[name] for name in denied)}',
        )


async def _send_two(scene, gateway):
    """Send two requests at once; return those that got a 4xx."""
    names = [secrets.token_hex(8) for _ in range(2)]
    first, second = [scene.encode(name, '/view/a') for name in names]
    if world.has_trouble():
        first = first.replace(b'\r\n\r\n', f'\r\n{OFFER}\r\n'.encode())
    denied = []
    reader, writer = await asyncio.open_connection(world.HOST, gateway.front)
    scene.record.add(f'caller sends {names} to {gateway.name}')
    writer.write(first + second)
    for name in names:
        reply = await asyncio.wait_for(world.read_message(reader), 3)
        scene.judge.answered(name, reply or 'a closed connection')
        if reply is not None and reply.status // 100 == 4:
            denied.append(name)
    writer.close()
    return denied


world.main(play, FOLDER)
