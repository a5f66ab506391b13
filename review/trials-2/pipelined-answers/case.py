"""Callers that nobody controls ask for sixteen answers at once."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / 'standins-2'))
import kit  # noqa: E402

MACHINES = 2
MEMORY_MB = 300
CALLERS = 6
# An instance takes up to 16 requests of a connection.
REQUESTS = 16
ANSWER_BYTES = 5_000_000
TIMEOUT_MS = 2_500
# The first answer takes longest, within the route's timeout.
FIRST_S = 1.8
ENDS = 3
LONGEST_S = 60
RESTART_S = 0.5


class Plans(kit.Target):
    """Send large answers, and a late one to the first request."""

    async def run(self, request, request_id, writer):
        self.record.write('run', self.id, request_id, request.start)
        if request.start.startswith('GET /plans/first '):
            await asyncio.sleep(FIRST_S)
            return self.good_answer(request_id, b'first')
        await asyncio.sleep(random.random() * 0.8)
        return self.good_answer(request_id, b'x' * ANSWER_BYTES)


class Machine:
    """Keep a gateway running, and end it if it exceeds its memory."""

    def __init__(self, gateway, record):
        self.gateway = gateway
        self.ends = 0
        self.most_mb = 0
        self._record = record

    def memory_mb(self):
        path = pathlib.Path(f'/proc/{self.gateway.pid}/status')
        for line in path.read_text().splitlines():
            if line.startswith('RssAnon:'):
                return int(line.split()[1]) // 1024
        return 0

    async def watch(self):
        while True:
            await asyncio.sleep(0.02)
            if self.gateway.status is not None:
                self._record.write(self.gateway.node, 'ended by itself')
            else:
                held = self.memory_mb()
                self.most_mb = max(self.most_mb, held)
                if held <= MEMORY_MB:
                    continue
                self._record.write(self.gateway.node, 'holds', held, 'MB')
                self.gateway.send_signal(signal.SIGKILL)
                await self.gateway.wait()
            self.ends += 1
            await asyncio.sleep(RESTART_S)
            await self.gateway.start(is_first=False)

    async def send_wave(self, has_trouble):
        statuses = await asyncio.gather(
            *(self._ask(has_trouble) for _ in range(CALLERS))
        )
        self._record.write(
            self.gateway.node, 'answers', statuses,
            'most so far', self.most_mb, 'MB',
        )  # fmt: skip

    async def _ask(self, has_trouble):
        caller = kit.Caller(self.gateway.ip)
        paths = ['/plans/first'] + ['/plans/more'] * (REQUESTS - 1)
        requests = []
        for path in paths:
            request_id = kit.new_id()
            self._record.write('sent', request_id, path)
            requests.append(kit.encode_request('GET', path, request_id))
        statuses = []
        try:
            async with asyncio.timeout(12):
                if has_trouble:
                    await caller.open()
                    caller.writer.write(b''.join(requests))
                for request in requests:
                    if has_trouble:
                        answer = await kit.read_message(caller.reader)
                    else:
                        answer = await caller.ask(request)
                    if answer is None or not answer.is_whole:
                        break
                    statuses.append(answer.status)
        except (OSError, TimeoutError) as error:
            statuses.append(type(error).__name__)
        caller.close()
        return statuses


async def play(store, folder, record, gateways, has_trouble):
    store.put_json(
        'keyed.op',
        'config',
        kit.config(
            [kit.service('plans')],
            [kit.route('plans', 'download', 'plans', TIMEOUT_MS)],
        ),
    )
    targets = [Plans(store, 'plans', record, slots=6) for _ in range(12)]
    for target in targets:
        await target.start()
    machines = []
    for number in range(MACHINES):
        gateway = kit.Gateway(folder, number + 1, store, memory_mb=MEMORY_MB)
        gateways.append(gateway)
        machines.append(Machine(gateway, record))
        await gateway.start()
    for gateway in gateways:
        await kit.wait_for(gateway.is_ready, 20, 'ready')
    watches = [asyncio.create_task(machine.watch()) for machine in machines]

    async def load(machine):
        ends_at = time.monotonic() + LONGEST_S
        while time.monotonic() < ends_at and machine.ends < ENDS:
            if await machine.gateway.is_ready():
                await machine.send_wave(has_trouble)
            await asyncio.sleep(0.3)

    await asyncio.gather(*(load(machine) for machine in machines))
    for watch in watches:
        watch.cancel()
    for target in targets:
        target.stop()
    for machine in machines:
        record.say(
            machine.gateway.node, 'exceeded its memory', machine.ends,
            'times, held at most', machine.most_mb, 'MB of', MEMORY_MB,
        )  # fmt: skip
    return all(machine.ends >= ENDS for machine in machines)


kit.run_case(play)
