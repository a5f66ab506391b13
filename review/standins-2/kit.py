"""Small stand-ins for the store, targets, clients and the platform.

Everything runs on loopback addresses. The gateway is started with the command
of the deploy file, as a process of its own for each machine.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.87
ZONE = 'luzon-a'
PHRASES = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began = time.monotonic()

    def write(self, *words):
        at = time.monotonic() - self._began
        line = ' '.join(map(str, words))
        self._file.write(f'{at:8.3f} {line}\n')
        self._file.flush()

    def say(self, *words):
        self.write(*words)
        print(*words, flush=True)


class Message:
    """Hold a parsed request or response."""

    def __init__(self, start, headers, body, is_whole=True):
        self.start = start
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    def header(self, name):
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None

    @property
    def status(self):
        return int(self.start.split(' ')[1])


async def read_message(reader, is_response=False):
    """Read a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = [
        tuple(part.strip() for part in line.split(':', 1))
        for line in lines[1:]
        if line
    ]
    message = Message(lines[0], headers, b'')
    length = message.header('content-length')
    coding = (message.header('transfer-encoding') or '').lower()
    try:
        if 'chunked' in coding:
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                if size:
                    message.body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    continue
                while (await reader.readline()).strip():
                    pass
                break
        elif length is not None:
            message.body = await reader.readexactly(int(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_whole = False
    return message


def encode_answer(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} {PHRASES.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class _Server:
    """Accept connections and end them at the end."""

    def __init__(self, host, port):
        self.host = host
        self.port = port
        self._listener = None
        self.writers = set()

    async def listen(self):
        self._listener = await asyncio.start_server(
            self._accept, self.host, self.port, backlog=512
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def reset_all(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self._listener is not None:
            self._listener.close()
        self.reset_all()


class Store(_Server):
    """Keep the topics of the platform's store in memory."""

    def __init__(self, host='127.0.0.1', port=0):
        super().__init__(host, port)
        self.topics = {}
        self.era = 1
        self.news = asyncio.Event()
        # Called with a call and its caller; may return 'drop', 'hold' or a
        # status with which the call is refused.
        self.judge = lambda call, peer: None

    def rows(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        name = key.encode()
        self.rows(topic).append(bytes([len(name)]) + name + value)
        self._wake()

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    def _wake(self):
        self.news.set()
        self.news = asyncio.Event()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info('peername')[0]
        while True:
            call = await read_message(reader)
            if call is None or not call.is_whole:
                return
            verdict = self.judge(call, peer)
            if isinstance(verdict, int):
                answer = (verdict, b'')
            elif verdict == 'hold':
                await asyncio.sleep(3600)
            else:
                answer = await self._answer(call)
            if verdict == 'drop':
                await asyncio.sleep(3600)
            status, body = answer
            headers = (('Store-Era', self.era),)
            writer.write(encode_answer(status, headers, body))
            await writer.drain()

    async def _answer(self, call):
        target = call.start.split(' ')[1]
        path, _, text = target.partition('?')
        query = dict(part.split('=', 1) for part in text.split('&') if part)
        rows = self.rows(query.get('Topic', ''))
        if path == '/log-append':
            return self._append(rows, query, call.body)
        if path == '/log-newest':
            return 200, _newest(rows)
        if path == '/log-read':
            start = int(query['From'])
            wait_s = int(query.get('WaitMs', 0)) / 1000
            ends = time.monotonic() + wait_s
            while start >= len(rows) and time.monotonic() < ends:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self.news.wait(), ends - time.monotonic()
                    )
            if start > len(rows):
                return 410, json.dumps({'FirstOffset': 0}).encode()
            found = b''.join(
                struct.pack('>I', len(row)) + row for row in rows[start:]
            )
            return 200, struct.pack('>QQ', len(rows), 0) + found
        return 404, b''

    def _append(self, rows, query, body):
        if 'At' in query and int(query['At']) != len(rows):
            return 412, json.dumps({'EndOffset': len(rows)}).encode()
        first = len(rows)
        position = 0
        while position < len(body):
            (size,) = struct.unpack_from('>I', body, position)
            rows.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        self._wake()
        return 200, json.dumps(
            {'Offset': first, 'EndOffset': len(rows)}
        ).encode()


def _newest(rows):
    newest = {}
    for offset, row in enumerate(rows):
        size = row[0]
        key = row[1 : 1 + size].decode()
        value = row[1 + size :]
        if value:
            newest[key] = (offset, value)
        else:
            newest.pop(key, None)
    return json.dumps(
        {
            'items': [
                {
                    'Key': key,
                    'Value': base64.b64encode(value).decode(),
                    'Offset': offset,
                }
                for key, (offset, value) in sorted(newest.items())
            ],
            'HasMore': False,
            'EndOffset': len(rows),
        }
    ).encode()


class Target(_Server):
    """Run requests as a sound target does."""

    def __init__(
        self,
        store,
        service,
        record,
        work_s=0.01,
        is_sharded=False,
        slots=8,
    ):
        super().__init__('127.0.0.1', 0)
        self.store = store
        self.service = service
        self.record = record
        self.work_s = work_s
        self.is_sharded = is_sharded
        self.slots = slots
        self.id = f'i-{random.getrandbits(40):010x}'
        self.born = int(time.time() * 1000)
        self.runs = []
        self.seq = 0
        self.state = 'ready'
        self.leaving = False
        # Grants as first and last key, fence and end.
        self.grants = []
        self.fences = []

    async def start(self):
        await self.listen()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self):
        self.seq += 1
        entry = {
            'Service': self.service,
            'Address': f'{self.host}:{self.port}',
            'Zone': ZONE,
            'Version': 'v1',
            'Slots': self.slots,
            'State': self.state,
            'WarmupLeft': '0ms',
            'Seq': self.seq,
            'born': self.born,
        }
        self.store.put_json('keyed.servers', self.id, entry)

    def stop(self):
        self._beats.cancel()
        self.close()

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request is None or not request.is_whole:
                return
            answer = await self.answer(request, writer)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    async def answer(self, request, writer):
        """Return the bytes of an answer; None ends the connection."""
        method, path, _ = request.start.split(' ')
        if method == 'POST' and path in ('/grant', '/release'):
            return self._order(path, request)
        request_id = request.header('request-id')
        expected = request.header('expect-instance')
        if expected not in (None, self.id):
            return encode_answer(421, (('Instance-Id', self.id),))
        if path == '/health':
            return encode_answer(200, (('Instance-Id', self.id),))
        if request_id is None:
            return encode_answer(400, (('Not-Executed', '1'),))
        return await self.run(request, request_id, writer)

    async def run(self, request, request_id, writer):
        self.runs.append((request_id, request))
        self.record.write(
            'run', self.id, request_id, request.start, len(request.body)
        )
        await asyncio.sleep(self.work_s)
        return self.good_answer(request_id, b'done ' + request_id.encode())

    def good_answer(self, request_id, body, more=()):
        seal = f'{self.id[2:]}.{len(body):x}.{random.getrandbits(32):08x}'
        headers = [
            ('Request-Id', request_id),
            ('Response-Seal', seal),
            ('Server-Load', '1,0,8'),
            ('Keep-Alive', 'timeout=10'),
        ]
        return encode_answer(200, (*headers, *more), body)

    def holds(self, key):
        now = time.monotonic()
        return any(
            first <= key <= last and end > now
            for first, last, _, end in self.grants
        )

    def _order(self, path, request):
        order = json.loads(request.body)
        first, last, fence = order['From'], order['To'], order['fence']
        expected = request.header('expect-instance')
        if expected not in (None, self.id):
            return encode_answer(421, (('Instance-Id', self.id),))
        if path == '/release':
            self.grants = [
                part
                for grant in self.grants
                for part in _without(grant, first, last)
            ]
            return encode_answer(200, (('Handover', 'h'),))
        if any(
            f <= last and first <= t and fence < known
            for f, t, known in self.fences
        ):
            return encode_answer(409)
        self.fences.append((first, last, fence))
        hold_s = float(order['Hold'].removesuffix('ms')) / 1000
        self.grants = [
            part
            for grant in self.grants
            for part in _without(grant, first, last)
        ]
        self.grants.append((first, last, fence, time.monotonic() + hold_s))
        return encode_answer(200)


def _without(grant, first, last):
    f, t, fence, end = grant
    if f > last or t < first:
        return [grant]
    parts = []
    if f < first:
        parts.append((f, first - 1, fence, end))
    if t > last:
        parts.append((last + 1, t, fence, end))
    return parts


def settings_of(node, ip, store, memory_mb=300, is_first=True):
    return f"""Grants=invoke
Self.Node={node}
Self.Role=gateway
Self.MachineClass=front
Self.Serves=front
Self.Ip={ip}
Self.Zone={ZONE}
Self.Region=luzon
Self.CountsAsLoss=false
Self.Bootstrap={'true' if is_first else 'false'}
Self.Limits.CpuShare=0.86
Self.Limits.Cores=1
Self.Limits.MemoryMb={memory_mb}
Self.Limits.MaxFds=4100
Self.Limits.LinkMbps=1000.0
Self.Limits.DiskMb=0
Network.Listen.Front={ip}:8641
Network.Listen.ReadinessAddr={ip}:8640
Network.Listen.Control={ip}:8649
Network.InternalPortRange=7620,7635
Network.Seeds=
Network.Zones.{ZONE}=luzon
Platform.Discovery=platform
Platform.Entry=vip
Platform.Heartbeat=870ms
Platform.Platform.Address={store.host}:{store.port}
Platform.Platform.form=log
Platform.Platform.WritesPerS=400
Platform.Platform.ReadsPerS=2000
Platform.Platform.parts=12
Platform.Platform.Append=2ms
Platform.Platform.PartitionMbS=20.0
Platform.Platform.ReadMbS=80.0
Platform.Platform.RecordBytes=262144
Platform.Platform.CallBytes=2097152
Platform.Platform.keep=300s
Platform.Platform.PartitionMb=200
Platform.Platform.TtlMin=1000ms
Terms.Contracts=base,drain,config,cost,retry,recover,own,platform
Terms.FaultTolerance.Machines=2
Terms.FaultTolerance.Zones=0
Terms.FaultTolerance.Regions=0
Terms.Bounds.SeedLag=3s
Terms.Bounds.AddrReuse=2s
Terms.Bounds.StabilityWindow=3000ms
Terms.Bounds.Ack=4000ms
Terms.Bounds.CatchUp=4s
Terms.Bounds.Drain=2000ms
Terms.Bounds.Grace=6s
Terms.Bounds.LossSlack=200ms
Terms.Bounds.ConfigApply=2000ms
Terms.Bounds.RollbackSlack=250ms
Terms.Bounds.Outer=5000ms
Terms.Bounds.RetryBudgetRatio=0.2
Terms.Bounds.BudgetWindow=10s
Terms.Bounds.RetryBudgetExtra=58
Terms.Bounds.Recovery=15s
Terms.Bounds.HoldMax=10000ms
Terms.Bounds.ThawSlack=300ms
"""


def service(name, is_sharded=False):
    made = {
        'Name': name,
        'HealthPath': '/health',
        'MaxConns': 110,
        'Protocol': 'h1',
        'Tls': False,
    }
    if is_sharded:
        made |= {'Sharded': True, 'Warm': '5s', 'Grants': 'invoke'}
    return made


def route(name, kind, service_name, timeout_ms=2000, slo_ms=600):
    return {
        'Name': f'r-{name}',
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'Timeout': f'{timeout_ms}ms',
        'Slo': f'{slo_ms}ms',
        'Priority': 1,
        'Service': service_name,
        'MaxAttempts': 2,
    }


HOST = 'ferry.example'


def config(services, routes, version=7, idle_ms=15000):
    return {
        'Version': f'r{version}',
        'Services': services,
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeout': '3000ms',
            'IdleTimeout': f'{idle_ms}ms',
        },
        'BaseVersion': f'r{version - 1}',
        'VirtualHosts': [{'Host': HOST, 'Paths': routes}],
    }


class Gateway:
    """Start and signal one machine's process."""

    def __init__(self, folder, number, store, **settings):
        self.ip = f'127.0.{random.randint(20, 250)}.{10 + number}'
        self.node = f'front-{ZONE}-{number}'
        self._folder = folder
        self._store = store
        self._settings = settings
        self._process = None
        self.log_path = folder / f'{self.node}.log'

    async def start(self, is_first=True):
        path = self._folder / f'{self.node}.conf'
        path.write_text(
            settings_of(
                self.node,
                self.ip,
                self._store,
                is_first=is_first,
                **self._settings,
            )
        )
        self._log = open(self.log_path, 'ab')
        self._process = await asyncio.create_subprocess_exec(
            'python3',
            '-m',
            'sycamoreferry_gateway',
            cwd=ROOT,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                'SYCAMOREFERRY_CONFIG': str(path),
                'SYCAMOREFERRY_METRICS_PORT': '9464',
            },
            stdout=self._log,
            stderr=self._log,
        )

    @property
    def pid(self):
        return self._process.pid

    @property
    def status(self):
        return self._process.returncode

    def send_signal(self, number):
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self):
        return await self._process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8640)
        except OSError:
            return False
        try:
            writer.write(b'GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            answer = await read_message(reader)
            return answer is not None and answer.status == 200
        except ConnectionError:
            return False
        finally:
            writer.close()

    async def end(self):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
            self._log.close()


class CannotRun(Exception):
    """Report that a case could not be set up."""


async def wait_for(condition, limit_s, what):
    ends = time.monotonic() + limit_s
    while time.monotonic() < ends:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f'not in {limit_s} s: {what}')


def new_id():
    return f'{random.getrandbits(64):016x}'


def encode_request(
    method, path, request_id, headers=(), body=None, deadline_ms=2000
):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Request-Id: {request_id}',
        f'Deadline-Ms: {deadline_ms}',
    ]
    lines += [f'{name}: {value}' for name, value in headers]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + (body or b'')


class Caller:
    """Send requests on one connection."""

    def __init__(self, ip, port=8641):
        self._address = (ip, port)
        self.reader = None
        self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self._address), 1
        )

    async def ask(self, payload, limit_s=5):
        """Send a request; return the answer, or None without a whole one."""
        if self.writer is None:
            await self.open()
        self.writer.write(payload)
        try:
            answer = await asyncio.wait_for(read_message(self.reader), limit_s)
        except TimeoutError:
            return None
        return answer if answer is not None and answer.is_whole else None

    def close(self):
        if self.writer is not None:
            self.writer.close()


def run_case(play):
    """Run a case; end with 1 if it reports a broken rule, 2 if it can't run."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix='sycamoreferry-review-'))
    case = pathlib.Path(sys.argv[1]).resolve()
    record = Record(case / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    gateways = []

    async def main():
        random.seed()
        store = Store()
        await store.listen()
        try:
            async with asyncio.timeout(110):
                return await play(
                    store, folder, record, gateways, has_trouble
                )
        finally:
            for gateway in gateways:
                await gateway.end()
            store.close()

    status = 2
    try:
        is_broken = asyncio.run(main())
        status = 1 if is_broken else 0
    except (CannotRun, TimeoutError, OSError) as error:
        record.say('could not run:', repr(error))
    finally:
        if os.environ.get('KEEP'):
            print('logs in', folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record.say('trouble' if has_trouble else 'no trouble', 'status', status)
    sys.exit(status)
