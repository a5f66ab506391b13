"""Callers that nobody controls ask for long paths; are others answered?"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).parent
sys.path.insert(0, str(HERE.parents[1] / 'standins-2'))
import kit  # noqa: E402

CONNECTIONS = 40
SECONDS = 20
BOOKINGS = 90
INTERVAL_S = 0.2
TIMEOUT_S = 2.0
LATEST_S = 2.5
# Of fewer late answers nothing is concluded.
LEAST = 8


async def book(gateway, record, times):
    request_id = kit.new_id()
    caller = kit.Caller(gateway.ip)
    record.write('sent', request_id)
    began = time.monotonic()
    answer = None
    try:
        answer = await caller.ask(
            kit.encode_request(
                'POST', '/book/1', request_id, (), b'z' * 100, 4000
            ),
            4,
        )
    except (OSError, TimeoutError) as error:
        record.write('error', request_id, repr(error))
    took = time.monotonic() - began if answer else None
    status = answer.status if answer else 'no answer'
    record.write('answered', request_id, status, took and round(took, 3))
    times.append(took)
    caller.close()


async def play(store, folder, record, gateways, has_trouble):
    store.put_json(
        'keyed.op',
        'config',
        kit.config(
            [kit.service('bookings')], [kit.route('book', 'unsafe', 'bookings')]
        ),
    )
    targets = [kit.Target(store, 'bookings', record) for _ in range(4)]
    for target in targets:
        await target.start()
    gateway = kit.Gateway(folder, 1, store)
    gateways.append(gateway)
    await gateway.start()
    await kit.wait_for(gateway.is_ready, 20, 'ready')
    await asyncio.sleep(4)
    crowd = await asyncio.create_subprocess_exec(
        'python3',
        str(HERE / 'uncontrolled.py'),
        gateway.ip,
        str(CONNECTIONS),
        str(SECONDS),
        kit.HOST,
        '/' if has_trouble else 'a',
        stdout=asyncio.subprocess.PIPE,
    )
    times = []
    tasks = []
    try:
        for _ in range(BOOKINGS):
            tasks.append(asyncio.create_task(book(gateway, record, times)))
            await asyncio.sleep(INTERVAL_S)
        said, _ = await crowd.communicate()
        await asyncio.gather(*tasks)
    finally:
        if crowd.returncode is None:
            crowd.kill()
    for target in targets:
        target.stop()
    late = [took for took in times if took is None or took > TIMEOUT_S]
    later = [took for took in late if took is None or took > LATEST_S]
    record.say('the crowd:', said.decode().strip())
    record.say(
        f'{len(times)} bookings, {len(late)} unanswered after {TIMEOUT_S} s, '
        f'{len(later)} after {LATEST_S} s, '
        f'{times.count(None)} without an answer until their deadline'
    )
    return len(later) >= LEAST and len(later) > len(late) / 2


kit.run_case(play)
