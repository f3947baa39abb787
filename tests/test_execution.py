"""Runs of the agent's executor against a misbehaving server."""

import json

import anyio
import pytest

from chivejunction.coordination import execution
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from tests import rig as rigs

pytestmark = pytest.mark.anyio

SHORT = execution.Limits(
    first_token=0.3, next_token=0.3, answer=0.3, gateway_gone=0.3
)
MAY = int(verdicts.Verdict.MAY_HAVE_RUN)
RAN = int(verdicts.Verdict.RAN)
PLAIN = (
    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
    b'connection: close\r\n%s\r\n'
)


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def write(*parts, then=None):
    """Returns an engine script that writes parts and then may wait."""

    async def script(stream, attempt):
        for part in parts:
            await stream.send(part % attempt if b'%s' in part else part)
        if then is not None:
            await anyio.sleep(then)

    return script


class TestSilence:
    """Guards against attempts that wait for a dead connection."""

    @pytest.mark.parametrize(
        'parts', [(), (rigs.HEAD,), (rigs.HEAD, rigs.TOKEN)]
    )
    async def test_silent_engine_is_given_up(self, parts):
        async with rigs.open_rig(SHORT) as rig:
            rig.engine.script = write(*parts, then=30)
            rig.start('one')
            end = await rig.peer.wait_end('one')
            assert (end.verdict, end.error) == (MAY, 'server_silent')
            await rig.wait_until(lambda: rig.engine.active == 0)
            assert rig.admission.running == 0

    async def test_slow_steady_stream_is_not_given_up(self):
        async def script(stream, attempt):
            await stream.send(rigs.HEAD % attempt)
            for _ in range(5):
                await anyio.sleep(0.15)
                await stream.send(rigs.TOKEN)
            await stream.send(rigs.DONE)

        async with rigs.open_rig(SHORT) as rig:
            rig.engine.script = script
            rig.start('one')
            assert (await rig.peer.wait_end('one')).verdict == RAN

    async def test_refused_connection_is_not_run(self):
        async with rigs.open_rig() as rig:
            rig.executor._url = 'http://127.0.0.1:1'
            rig.start('one')
            end = await rig.peer.wait_end('one')
            assert (type(end), end.error) == (
                messages.Refused,
                'server_unreachable',
            )


class TestWholeAnswer:
    """Guards against a cut or foreign answer passed on as complete."""

    @pytest.mark.parametrize(
        ('parts', 'error'),
        [
            ((rigs.HEAD, rigs.TOKEN), 'incomplete_answer'),
            ((rigs.HEAD % b'another', rigs.DONE), 'crossed_answer'),
            ((PLAIN % b'content-length: 9\r\n', b'{}'), 'server_failed'),
        ],
    )
    async def test_fault_is_reported(self, parts, error):
        async with rigs.open_rig() as rig:
            rig.engine.script = write(*parts)
            rig.start('one')
            end = await rig.peer.wait_end('one')
            assert (end.verdict, end.error) == (MAY, error)

    async def test_busy_engine_has_not_run(self):
        async with rigs.open_rig() as rig:
            rig.engine.script = write(
                b'HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'
            )
            rig.start('one')
            end = await rig.peer.wait_end('one')
            assert (type(end), end.error) == (messages.Refused, 'server_busy')

    async def test_usage_is_asked_for_and_kept_from_the_caller(self):
        counts = b'data: {"choices": [], "usage": {"completion_tokens": 1}}'
        async with rigs.open_rig() as rig:
            rig.engine.script = write(
                rigs.HEAD, rigs.TOKEN, counts + b'\n\n', rigs.DONE
            )
            rig.start('one')
            end = await rig.peer.wait_end('one')
            asked = json.loads(rig.engine.bodies[0])
            assert asked['stream_options'] == {'include_usage': True}
            assert end.usage == {'completion_tokens': 1}
            assert rig.peer.body('one') == rigs.TOKEN + rigs.DONE
            assert end.length == len(rigs.TOKEN + rigs.DONE)


class TestCancel:
    """Guards against work that goes on for nobody."""

    async def test_cancel_frees_the_engine(self):
        async with rigs.open_rig() as rig:
            rig.engine.script = write(rigs.HEAD, rigs.TOKEN, then=30)
            rig.start('one')
            await rig.peer.wait_for('one', messages.Data)
            rig.handle(messages.Cancel('one'))
            await rig.wait_until(lambda: rig.engine.active == 0)
            assert rig.admission.running == 0

    @pytest.mark.parametrize('idempotent', [True, False])
    async def test_gone_gateway(self, idempotent):
        async def script(stream, attempt):
            await stream.send(rigs.HEAD % attempt)
            for _ in range(30):
                await anyio.sleep(0.1)
                await stream.send(rigs.TOKEN)
            await stream.send(rigs.DONE)

        async with rigs.open_rig(SHORT) as rig:
            rig.engine.script = script
            rig.start('one', idempotent=idempotent)
            await rig.peer.wait_for('one', messages.Data)
            rig.peer.closed = True
            await rig.wait_until(lambda: rig.engine.active == 0, 8)
            found = rig.table.get('one')
            await rig.wait_until(lambda: found.ended)
            assert found.error == ('cancelled' if idempotent else '')

    async def test_gateway_that_returns_in_time_keeps_its_attempt(self):
        limits = execution.Limits(gateway_gone=1.0)
        async with rigs.open_rig(limits) as rig:
            more = anyio.Event()

            async def script(stream, attempt):
                await stream.send(rigs.HEAD % attempt + rigs.TOKEN)
                await more.wait()
                await stream.send(rigs.TOKEN + rigs.DONE)

            rig.engine.script = script
            rig.start('one')
            first = await rig.peer.wait_for('one', messages.Data)
            rig.peer.closed = True
            await rig.wait_until(lambda: not rig.executor._pumps)
            again = rigs.StubPeer()
            rig.handle(
                messages.Resolve('one', 'agent-1', len(first.payload)), again
            )
            await anyio.sleep(1.0 + 2 * execution.WATCH_SECONDS)
            more.set()
            assert (await again.wait_end('one')).verdict == RAN
            whole = first.payload + again.body('one')
            assert whole == 2 * rigs.TOKEN + rigs.DONE
            assert rig.engine.runs == ['one']


class TestBuffers:
    """Guards against memory that grows with the answers."""

    async def test_oldest_finished_answers_are_dropped_first(self):
        size = 4000
        filler = b'data: ' + b'x' * size + b'\n\n'
        async with rigs.open_rig(buffer_bytes=3 * size) as rig:
            rig.engine.script = write(rigs.HEAD, filler, rigs.DONE)
            for name in ('a', 'b', 'c', 'd'):
                rig.start(name)
                await rig.peer.wait_end(name)
            assert rig.table.buffered_bytes <= 3 * size
            again = rigs.StubPeer()
            for name in ('a', 'd'):
                rig.handle(messages.Resolve(name, 'agent-1', 0), again)
            lost = await again.wait_end('a')
            assert (lost.verdict, lost.error) == (RAN, 'answer_dropped')
            assert (await again.wait_end('d')).error == ''
            assert again.body('d') == filler + rigs.DONE

    async def test_slow_caller_holds_the_engine_back(self):
        chunk = b'data: ' + b'x' * 65528 + b'\n\n'

        async def script(stream, attempt):
            await stream.send(rigs.HEAD % attempt)
            for _ in range(400):
                await stream.send(chunk)
            await stream.send(rigs.DONE)

        async with rigs.open_rig() as rig:
            rig.engine.script = script
            rig.start('one')
            await anyio.sleep(0.5)
            assert rig.table.buffered_bytes < 3 * execution.REPLAY_BYTES
            received = 0
            while not rig.peer.find('one', messages.End):
                received = len(rig.peer.body('one'))
                rig.handle(messages.Credit('one', received))
                await anyio.sleep(0.005)
                assert rig.table.buffered_bytes < 3 * execution.REPLAY_BYTES
            end = rig.peer.find('one', messages.End)[0]
            assert end.verdict == RAN
            assert rig.peer.body('one') == 400 * chunk + rigs.DONE


class TestOddRequests:
    """Guards against a caller's request that ends the agent."""

    @pytest.mark.parametrize(
        'fields',
        [
            {'headers': {'x-name': 'caf\xe9'}},
            {'path': '/v1/รายการ?q=a b'},
            {'body': b'\xff\xfe'},
        ],
    )
    async def test_text_outside_ascii_is_passed_on(self, fields):
        async with rigs.open_rig() as rig:
            rig.start('one', **fields)
            assert (await rig.peer.wait_end('one')).verdict == RAN

    async def test_broken_header_fails_only_its_own_attempt(self):
        async with rigs.open_rig() as rig:
            rig.configure(2, warm_window=8)
            rig.window._size = 8
            rig.start('one', headers={'x-name': 'a\nb'})
            end = await rig.peer.wait_end('one')
            assert (end.verdict, end.error) == (MAY, 'server_failed')
            assert rig.admission.window == 8
            assert rig.engine.runs == []

    async def test_unforeseen_error_fails_only_its_own_attempt(self):
        async with rigs.open_rig() as rig:
            rig.start('one', headers={'x-name': None})
            end = await rig.peer.wait_end('one')
            assert (end.verdict, end.error) == (MAY, 'internal')
            rig.start('two')
            assert (await rig.peer.wait_end('two')).verdict == RAN
            assert rig.admission.running == 0
