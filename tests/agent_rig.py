"""Test rig: an agent's admission and executor with a scripted engine.

All run in the event loop of the test.
"""

import contextlib

import anyio

from chivejunction.coordination import admission
from chivejunction.coordination import execution
from chivejunction.protocol import messages
from chivejunction.protocol import resources
from chivejunction.state import attempts
from chivejunction.state import views
from chivejunction.state import windows
from chivejunction.transport import http_client

HEAD = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'connection: close\r\nx-request-id: %s\r\n\r\n'
)
TOKEN = b'data: {"choices": [{"delta": {"content": "w"}}]}\n\n'
DONE = b'data: [DONE]\n\n'


def make_document(
    revision, weights=None, state='active', domain='open', **pool
):
    """Returns a configuration document with one pool and two versions.

    Args:
        revision: Revision of the document.
        weights: Weight of each organisation; one organisation by default.
        state: State of the model versions.
        domain: State of the failure domain.
        **pool: Fields of the pool.
    """
    weights = weights or {'temple': 1.0}
    pool = {'cold_window': 1, 'warm_window': 1, **pool}
    return resources.Document(
        revision=revision,
        resources={
            'failuredomain': {
                'bkk-a': {'name': 'bkk-a', 'region': 'bkk', 'state': domain}
            },
            'pool': {'lm-pool': {'name': 'lm-pool', **pool}},
            'model': {'small': {'name': 'small'}},
            'modelversion': {
                f'small-{n}': {
                    'name': f'small-{n}',
                    'model': 'small',
                    'pool': 'lm-pool',
                    'state': state,
                }
                for n in (1, 2)
            },
            'organisation': {
                name: {'name': name, 'models': ['small'], 'weight': weight}
                for name, weight in weights.items()
            },
        },
    )


def make_start(attempt, organisation='temple', seconds=30.0, **fields):
    """Returns a message that starts an attempt.

    The time budget is given in seconds.
    """
    values = {
        'attempt': attempt,
        'request': attempt,
        'organisation': organisation,
        'target': 'lm-pool',
        'version': 'small-1',
        'session': '',
        'idempotent': True,
        'budget_ms': int(1000 * seconds),
        'revision': 1,
        'priority': 4,
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': {},
        'body': b'{"stream": true}',
    }
    return messages.Start(**{**values, **fields})


class StubPeer:
    """Gateway's end of a link; records all frames sent to it."""

    def __init__(self, gateway='gw-1'):
        self.gateway = gateway
        self.incarnation = 'a'
        self.frames = []
        self.closed = False

    def send(self, frame):
        self.frames.append(frame)

    def find_frames(self, attempt, *kinds):
        return [
            f
            for f in self.frames
            if isinstance(f, kinds) and f.attempt == attempt
        ]

    async def wait_for(self, attempt, *kinds, seconds=5.0):
        with anyio.fail_after(seconds):
            while not self.find_frames(attempt, *kinds):
                await anyio.sleep(0.005)
        return self.find_frames(attempt, *kinds)[-1]

    async def wait_for_end(self, attempt):
        return await self.wait_for(attempt, messages.End, messages.Refused)

    def body(self, attempt):
        return b''.join(
            f.payload for f in self.find_frames(attempt, messages.Data)
        )


class ScriptedEngine:
    """Backend server that sends the raw bytes which a test scripts.

    Attributes:
        runs: Ids of the attempts, in the order of their requests.
        bodies: Bodies of the requests.
        active: Number of requests that are being served.
        script: Sends the response, given the stream and the attempt id.
    """

    def __init__(self):
        self.runs = []
        self.bodies = []
        self.active = 0
        self.script = self.send_response

    async def send_response(self, stream, attempt):
        await stream.send(HEAD % attempt + TOKEN + DONE)

    async def serve_connection(self, stream):
        with contextlib.suppress(anyio.EndOfStream):
            await self.serve_request(stream)

    async def serve_request(self, stream):
        async with stream:
            request = b''
            while b'\r\n\r\n' not in request:
                request += await stream.receive()
            head, _, body = request.partition(b'\r\n\r\n')
            fields = dict(
                line.lower().split(b': ', 1)
                for line in head.split(b'\r\n')[1:]
            )
            while len(body) < int(fields.get(b'content-length', 0)):
                body += await stream.receive()
            self.runs.append(fields[b'x-request-id'].decode())
            self.bodies.append(body)
            self.active += 1
            try:
                await self._run_script(stream, fields[b'x-request-id'])
            finally:
                self.active -= 1

    async def _run_script(self, stream, attempt):
        async def cancel_on_close():
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.EndOfStream
            ):
                await stream.receive()
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(cancel_on_close)
            await self.script(stream, attempt)
            group.cancel_scope.cancel()


class Rig:
    """Admission controller and executor connected to a scripted engine."""

    def __init__(self, group, port, timeouts, buffer_bytes):
        self.group = group
        self.engine = ScriptedEngine()
        self.peer = StubPeer()
        self.view = views.ConfigView()
        self.table = attempts.AttemptTable(buffer_bytes)
        self.window = windows.SlowStartWindow(1.0, self._get_window_limits)
        self.admission = admission.AdmissionController(
            self.view, 'lm-pool', 'bkk-a', self.window, 0.2
        )
        self.admission.versions = frozenset({'small-1'})
        self.executed_attempts = []
        self.executor = execution.Executor(
            f'http://127.0.0.1:{port}',
            'agent-1',
            self.table,
            self.admission,
            self.window,
            http_client.Client(),
            True,
            timeouts,
            lambda attempt, start: self.executed_attempts.append(attempt.id),
        )

    def _get_window_limits(self):
        pool = self.view.pools['lm-pool']
        return pool.cold_window, pool.warm_window

    def configure(self, revision=1, **options):
        self.view.apply(make_document(revision, **options))

    def start(self, attempt, organisation='temple', seconds=30.0, **fields):
        frame = make_start(attempt, organisation, seconds, **fields)
        self.handle(frame)

    def handle(self, frame, peer=None):
        self.executor.handle(self.group, peer or self.peer, frame)

    async def wait_until(self, condition, seconds=5.0):
        with anyio.fail_after(seconds):
            while not condition():
                await anyio.sleep(0.005)


@contextlib.asynccontextmanager
async def open_rig(timeouts=None, buffer_bytes=10_000_000):
    """Yields a rig with a scripted engine on a free port."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        rig = Rig(
            group, port, timeouts or execution.AttemptTimeouts(), buffer_bytes
        )
        rig.configure()
        group.start_soon(listener.serve, rig.engine.serve_connection)
        group.start_soon(rig.admission.run, 0.05)
        group.start_soon(rig.executor.run)
        yield rig
        # Attempts are stopped first: asyncio logs an error for a connection
        # that arrives while the listener is being cancelled.
        for attempt in rig.table:
            rig.executor._stop(attempt)
        await rig.wait_until(lambda: not rig.executor.active_count)
        group.cancel_scope.cancel()
    await listener.aclose()
