"""Tests of backend servers that misbehave after a connection is open.

The faults are those that operators of similar systems have reported, and
bytes without end, which a server in trouble sends until its caller closes.
"""

import contextlib

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import liveness
from chivejunction.platform import headers as platform_headers
from chivejunction.transport import sockets
from tests import forward_rig
from tests.forward_rig import run_async

# Upper bound of what a server can send before the gateway closes: the largest
# response that is accepted plus the socket buffers on loopback.
MAX_SENT_BYTES = 16 * 1024 * 1024
BLOCK = b'x' * 65536
HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
# Name of the case, bytes at the start of the response, bytes repeated.
ENDLESS = {
    'header line': (HEAD + b'A: ', BLOCK),
    'headers': (HEAD, b'A: b\r\n' * 4096),
    'no HTTP': (b'', b'\x00' * 65536),
    'informational': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1024),
    'body': (HEAD + b'\r\n', BLOCK),
    'chunks': (CHUNKED, b'1000\r\n%s\r\n' % (b'x' * 4096)),
    'chunk size': (CHUNKED, b'0' * 4096),
    'trailer': (CHUNKED + b'0\r\n', b'A: b\r\n' * 1024),
    'other answers': (
        b'',
        b'HTTP/1.1 200 OK\r\nRequest-Id: old\r\nContent-Length: 2\r\n\r\nok'
        * 1024,
    ),
    'body of another answer': (
        b'HTTP/1.1 200 OK\r\nRequest-Id: old\r\n\r\n',
        BLOCK,
    ),
}


class EndlessScript:
    """Script of a server that sends bytes until its caller closes.

    Attributes:
        sent_bytes: Number of bytes that the gateway took.
    """

    def __init__(self, start: bytes, block: bytes):
        self._start = start
        self._block = block
        self.sent_bytes = 0

    async def __call__(self, request, stream):
        await stream.send(self._start)
        while True:
            await stream.send(self._block)
            self.sent_bytes += len(self._block)
            await anyio.sleep(0)


class TestEndlessBytes:
    """Guards against a server that fills a gateway's memory."""

    @pytest.mark.parametrize('case', ENDLESS)
    def test_plain_response(self, case):
        @run_async
        async def check(_):
            script = EndlessScript(*ENDLESS[case])
            async with forward_rig.start() as rig:
                server = await rig.add_server(script)
                started_at = clock.now()
                response = await rig.call('/once/x', Deadline_Ms='3000')
                # The route's limit is 3 s; the failure is known before.
                assert clock.now() - started_at < 2.5
                assert (response.status, response.is_complete) == (502, True)
                assert script.sent_bytes < MAX_SENT_BYTES
                with anyio.fail_after(1):
                    while not server.closed:
                        await anyio.sleep(0.01)

        check(None)

    @pytest.mark.parametrize('case', ['body', 'chunks', 'chunk size'])
    def test_stream_without_events_moves_on(self, case):
        @run_async
        async def check(_):
            script = EndlessScript(*ENDLESS[case])
            async with forward_rig.start() as rig:
                await rig.add_server(script, 'pool')
                await rig.add_server(
                    forward_rig.make_event_stream(3), 'pool', region='cnx'
                )
                response = await rig.call('/stream/x', b'p')
                assert response.is_complete
                assert response.body.count(b'id: ') == 3
                assert script.sent_bytes < MAX_SENT_BYTES

        check(None)

    @run_async
    async def test_endless_response_counts_against_its_server(self):
        script = EndlessScript(*ENDLESS['body'])
        async with forward_rig.start() as rig:
            await rig.add_server(script, instance='i-endless')
            await rig.call('/once/x')
            backend = rig.gateway.backends.get('i-endless')
            assert backend.error_share > 0


def make_trickle(pause, data=b'x'):
    """Returns a script that sends one event, then data at intervals."""

    async def trickle(request, stream):
        await stream.send(
            forward_rig.encode_stream_head(request)
            + forward_rig.encode_event(1)
            + forward_rig.encode_chunk(b'id: 2\ndata: ')
        )
        while True:
            await stream.send(forward_rig.encode_chunk(data))
            await anyio.sleep(pause)

    return trickle


class TestStalledStreams:
    @staticmethod
    def make_patient_config():
        """Returns a configuration whose streams may last for 8 s."""
        config = forward_rig.make_config()
        for route in config['routes']:
            route['timeout_ms'] = 8000
        return config

    @pytest.mark.parametrize('data', [b'x', b'\n\n', b': busy\n\n'])
    def test_bytes_without_events_do_not_keep_a_stalled_stream(self, data):
        """Progress is measured in events, not in bytes."""

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                first = await rig.add_server(make_trickle(0.05, data), 'pool')
                await rig.add_server(
                    forward_rig.make_event_stream(3), 'pool', region='cnx'
                )
                gaps = LoopGaps()
                rig._group.start_soon(gaps.run)
                started_at = clock.now()
                response = await rig.call('/stream/x', b'p')
                assert response.is_complete
                assert response.body.count(b'id: ') == 3
                # Twice the longest gap of the route, 0.4 s, and some slack.
                assert clock.now() - started_at < 1.5, gaps
                with anyio.fail_after(1):
                    while not first.closed:
                        await anyio.sleep(0.01)

        check(self)

    @run_async
    async def test_slow_stream_is_kept_if_no_other_server_is_left(self):
        """A pause beyond all limits is better than a broken stream."""
        async with forward_rig.start(self.make_patient_config()) as rig:
            server = await rig.add_server(
                forward_rig.make_event_stream(3, pause=0.95), 'pool'
            )
            response = await rig.call('/stream/x', b'p', Deadline_Ms='8000')
            assert response.is_complete
            assert response.body.count(b'id: ') == 3
            assert len(server.received_requests) == 1

    @run_async
    async def test_slow_stream_is_kept_if_the_retry_budget_is_empty(self):
        async with forward_rig.start(self.make_patient_config()) as rig:
            server = await rig.add_server(
                forward_rig.make_event_stream(3, pause=0.95), 'pool'
            )
            other = await rig.add_server(
                forward_rig.make_event_stream(3), 'pool', region='cnx'
            )
            budget = rig.gateway._chooser.get_retry_budget('pool')
            while budget.take():
                pass
            response = await rig.call('/stream/x', b'p', Deadline_Ms='8000')
            assert response.is_complete
            assert response.body.count(b'id: ') == 3
            assert len(server.received_requests) == 1
            assert not other.received_requests


class TestBrokenAnswers:
    """An answer that breaks off never becomes a complete success."""

    @pytest.mark.parametrize(
        'data',
        [
            HEAD + b'Content-Length: 9\r\n\r\nhalf',
            CHUNKED + b'4\r\nhalf\r\n',
            CHUNKED + b'9\r\nhalf',
            CHUNKED + b'4\r\nhalf\r\n0\r\n',
            HEAD + b'Content-Length: 9',
        ],
        ids=['length', 'last chunk', 'in a chunk', 'trailer', 'head'],
    )
    def test_plain_response(self, data):
        async def send_part(request, stream):
            await stream.send(data)
            return False

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                await rig.add_server(send_part)
                response = await rig.call('/once/x')
                assert (response.status, response.is_complete) == (502, True)

        check(None)

    @pytest.mark.parametrize('end', [b'', b'3\r\nid:', b'0\r\n'])
    def test_stream(self, end):
        async def send_part(request, stream):
            await stream.send(
                forward_rig.encode_stream_head(request)
                + forward_rig.encode_event(1)
                + end
            )
            return False

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                await rig.add_server(send_part, 'pool')
                response = await rig.call('/stream/x', b'p')
                assert not response.is_complete

        check(None)


class TestSecondAnswers:
    """A second copy of an answer never reaches another request."""

    @pytest.mark.parametrize('pause', [0.0, 0.05, 0.15])
    def test_copy_at_different_moments(self, pause):
        """The copy comes before, with or after the next request."""

        async def answer_twice(request, stream):
            answer = forward_rig.encode_response(request, request.id.encode())
            await stream.send(answer)
            await anyio.sleep(pause)
            await stream.send(answer)

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                await rig.add_server(answer_twice)
                for number in range(6):
                    response = await rig.call(
                        '/safe/x', Request_Id=f'r-{number}'
                    )
                    assert response.body == b'r-%d' % number
                    await anyio.sleep(0.1)

        check(None)

    STRAY_ERROR = (
        b'HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold'
    )

    @run_async
    async def test_copy_of_an_error_without_an_id_is_not_passed_on(self):
        """An error that names no request may belong to an earlier one."""

        async def add_error(request, stream):
            if request.id == 'r-1':
                await stream.send(
                    forward_rig.encode_response(request, b'first')
                )
            else:
                await stream.send(self.STRAY_ERROR)

        async with forward_rig.start() as rig:
            server = await rig.add_server(add_error)
            for path, status in (('/safe/x', 200), ('/once/x', 502)):
                server.received_requests.clear()
                await rig.call(path, Request_Id='r-1')
                other = None
                if status == 200:
                    other = await rig.add_server(
                        forward_rig.respond_ok, region='cnx'
                    )
                response = await rig.call(path, Request_Id='r-2')
                assert response.status == status
                first, second = server.received_requests
                assert first.connection == second.connection
                if other is not None:
                    rig.gateway.backends.remove(f'i-{other.port}')

    @pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
    def test_error_that_came_before_the_request_is_not_passed_on(self, path):
        """The connection is not used again once the error has arrived."""

        @run_async
        async def check(_):
            async def add_error(request, stream):
                await stream.send(
                    forward_rig.encode_response(request, b'whole')
                    + self.STRAY_ERROR * (request.id == 'r-1')
                )

            async with forward_rig.start() as rig:
                server = await rig.add_server(add_error)
                await rig.call(path, Request_Id='r-1')
                response = await rig.call(path, Request_Id='r-2')
                assert (response.status, response.body) == (200, b'whole')
                first, second = server.received_requests
                assert first.connection != second.connection

        check(None)


class TestReplayedRefusals:
    """A refusal that is sent once more says nothing of the next request.

    Otherwise callers would be told that a request has not run which has, or
    it would run at a second server.
    """

    @pytest.mark.parametrize('status', [408, 421, 429, 503])
    @pytest.mark.parametrize('has_id', [True, False])
    @pytest.mark.parametrize('is_answered', [True, False])
    def test_refusal_of_an_earlier_request(self, status, has_id, is_answered):
        lines = [f'HTTP/1.1 {status} X', 'Not-Executed: 1']
        if has_id:
            lines.append('Request-Id: r-0')
        refusal = '\r\n'.join([*lines, 'Content-Length: 0', '', ''])

        async def refuse_once_more(request, stream):
            if request.id == 'r-2':
                await stream.send(refusal.encode())
                await anyio.sleep(0.05)
                if not is_answered:
                    return False
            await stream.send(forward_rig.encode_response(request, b'ran'))
            return None

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                server = await rig.add_server(refuse_once_more)
                await rig.call('/once/x', Request_Id='r-1')
                other = await rig.add_server(
                    forward_rig.respond_ok, region='cnx'
                )
                response = await rig.call('/once/x', Request_Id='r-2')
                # Both requests came on one connection.
                assert [r.connection for r in server.received_requests] == [
                    1,
                    1,
                ]
                # Without an id it cannot be told which request is meant.
                is_served = is_answered and has_id
                assert response.status == (200 if is_served else 502)
                assert not other.received_requests

        check(None)

    @run_async
    async def test_connection_is_not_used_again_after_a_refusal(self):
        async def refuse(request, stream):
            await stream.send(
                forward_rig.encode_response(
                    request, b'', 503, '', Not_Executed='1'
                )
            )

        async with forward_rig.start() as rig:
            server = await rig.add_server(refuse, instance='i-1')
            for number in range(3):
                rig.gateway.backends.get('i-1').paused_until = 0.0
                await rig.call('/once/x', Request_Id=f'r-{number}')
            assert [r.connection for r in server.received_requests] == [
                1,
                2,
                3,
            ]


async def send_one_event(request, stream):
    """Begins a stream and breaks it off after its first event."""
    await stream.send(
        forward_rig.encode_stream_head(request) + forward_rig.encode_event(1)
    )
    return False


class TestErrorsAfterABrokenStream:
    """The error of a second server never becomes a part of the stream."""

    @pytest.mark.parametrize(
        ('status', 'seal', 'body', 'headers'),
        [
            (500, forward_rig.SEAL, b'failed\n\n', {}),
            (500, '', b'failed\n\n', {}),
            (404, forward_rig.SEAL, b'none\n\n', {}),
            (503, '', b'full\n\n', {'Not_Executed': '1'}),
            (421, '', b'other\n\n', {}),
            (302, forward_rig.SEAL, b'moved\n\n', {}),
            (200, '', b'id: 2\ndata: w2\n\n', {}),
            (200, forward_rig.SEAL, b'error: overloaded\n\n', {}),
            (200, forward_rig.SEAL, b'', {}),
        ],
    )
    def test_error_of_the_next_server(self, status, seal, body, headers):
        async def respond(request, stream):
            await stream.send(
                forward_rig.encode_response(
                    request, body, status, seal, **headers
                )
            )

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                await rig.add_server(send_one_event, 'pool')
                other = await rig.add_server(respond, 'pool', region='cnx')
                response = await rig.call('/stream/x', b'p')
                assert other.received_requests
                assert response.status == 200
                assert response.body == b'id: 1\ndata: w1\n\n'
                assert not response.is_complete

        check(None)

    @run_async
    async def test_refusal_of_the_gateway_itself(self):
        """No server is left, and the deadline passes."""
        async with forward_rig.start() as rig:
            await rig.add_server(send_one_event, 'pool')
            response = await rig.call('/stream/x', b'p', Deadline_Ms='600')
            assert response.body == b'id: 1\ndata: w1\n\n'
            assert not response.is_complete


class TestProofOfSuccess:
    @run_async
    async def test_server_that_breaks_its_streams_is_not_cleared_by_events(
        self,
    ):
        """Guards against a first event that counts as a success."""
        async with forward_rig.start() as rig:
            server = await rig.add_server(
                forward_rig.make_event_stream(3, last=1), 'pool', 'i-1'
            )
            for _ in range(4):
                await rig.call('/stream/x', b'p')
            backend = rig.gateway.backends.get('i-1')
            assert backend.failures == len(server.received_requests) >= 4


# A chunk of one byte, many times.
TINY_CHUNKS = forward_rig.encode_chunk(b'a') * 10_000
# Longest time in which the event loop may serve nobody: the users allow half
# a second beyond a time limit.
MAX_TURN_SECONDS = 0.5


class LoopGaps:
    """Measures for how long the event loop serves nobody.

    Attributes:
        longest: Longest time between two turns in seconds.
    """

    def __init__(self):
        self.longest = 0.0

    def __repr__(self):
        return f'longest gap of the event loop: {self.longest:.3f} s'

    async def run(self):
        """Measures until cancelled."""
        turned_at = clock.now()
        while True:
            await anyio.sleep(0.005)
            now = clock.now()
            self.longest = max(self.longest, now - turned_at)
            turned_at = now


class TestTinyPieces:
    """Guards against an event loop that a server's tiny chunks block."""

    # Bytes at the start of the response, status of the request, target.
    CASES = {
        'stream': (CHUNKED, 502, '/stream/x'),
        'body': (CHUNKED, 502, '/once/x'),
        'error': (CHUNKED.replace(b'200 OK', b'500 X'), 502, '/once/x'),
        'other answer': (CHUNKED.replace(b'r-1', b'old'), 502, '/once/x'),
    }

    @pytest.mark.parametrize('case', CASES)
    def test_endless_tiny_chunks_block_nobody(self, case):
        @run_async
        async def check(_):
            start, status, target = self.CASES[case]
            script = EndlessScript(start, TINY_CHUNKS)
            gaps = LoopGaps()
            async with (
                forward_rig.start() as rig,
                anyio.create_task_group() as group,
            ):
                service = 'pool' if case == 'stream' else 'desk'
                server = await rig.add_server(script, service)
                group.start_soon(gaps.run)
                started_at = clock.now()
                response = await rig.call(target, b'p')
                # The time limit of the route, and half a second.
                assert clock.now() - started_at < 3.5
                assert (response.status, response.is_complete) == (
                    status,
                    True,
                )
                with anyio.fail_after(1):
                    while len(server.closed) < len(server.received_requests):
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            assert gaps.longest < MAX_TURN_SECONDS

        check(None)

    @run_async
    async def test_empty_lines_without_end_block_nobody(self):
        """Separators in large chunks are many pieces too."""
        block = forward_rig.encode_chunk(b'\n' * 60_000)
        gaps = LoopGaps()
        async with (
            forward_rig.start() as rig,
            anyio.create_task_group() as group,
        ):
            await rig.add_server(EndlessScript(CHUNKED, block), 'pool')
            group.start_soon(gaps.run)
            response = await rig.call('/stream/x', b'p')
            group.cancel_scope.cancel()
        assert response.status in (502, 504)
        assert gaps.longest < MAX_TURN_SECONDS

    @run_async
    async def test_sound_stream_of_many_small_chunks_is_complete(self):
        """Guards against a bound that cuts events sent in small chunks."""
        count = 6000

        async def script(request, stream):
            await stream.send(forward_rig.encode_stream_head(request))
            event = b''.join(
                forward_rig.encode_chunk(part)
                for part in (b'data:', b' x', b'y', b'\n', b'\n')
            )
            for _ in range(count // 100):
                await stream.send(event * 100)
            await stream.send(forward_rig.END)

        async with forward_rig.start() as rig:
            await rig.add_server(script, 'pool')
            response = await rig.call('/stream/x', b'p')
        assert response.is_complete
        assert response.body == b'data: xy\n\n' * count

    @run_async
    async def test_body_in_tiny_chunks_of_a_caller_blocks_nobody(self):
        gaps = LoopGaps()
        async with (
            forward_rig.start() as rig,
            anyio.create_task_group() as group,
        ):
            await rig.add_server(forward_rig.respond_ok)
            group.start_soon(gaps.run)
            async with await rig.connect() as stream:
                head = rig.write_request('/safe/x').replace(b'GET', b'POST', 1)
                await stream.send(
                    head[:-2] + b'Transfer-Encoding: chunked\r\n\r\n'
                )
                group.start_soon(send_endlessly, stream)
                response = await forward_rig.read_response(stream)
            group.cancel_scope.cancel()
        assert response.status == 400
        assert gaps.longest < MAX_TURN_SECONDS

    @run_async
    async def test_probe_of_a_server_with_tiny_chunks_blocks_nobody(self):
        """Guards against probes that read without a bound."""
        async with anyio.create_task_group() as group:
            server = forward_rig.Server(None)
            server._handle_requests = answer_probe_endlessly
            await group.start(server.run)
            rig = forward_rig.Rig(group)
            rig.register_server(server, 'pool', 'i-1')
            gaps = LoopGaps()
            group.start_soon(gaps.run)
            monitor = liveness.LivenessMonitor(
                rig.gateway._pool, platform_headers.PlatformFormat()
            )
            backend = rig.gateway.backends.get('i-1')
            assert not await monitor._probe(backend)
            group.cancel_scope.cancel()
        assert gaps.longest < MAX_TURN_SECONDS


async def send_endlessly(stream):
    """Sends tiny chunks until the connection is closed."""
    with contextlib.suppress(*sockets.DISCONNECT_ERRORS):
        while True:
            await stream.send(TINY_CHUNKS)


async def answer_probe_endlessly(stream, number):
    """Sends a head and tiny chunks until the connection is closed."""
    await stream.send(CHUNKED)
    await send_endlessly(stream)


class TestCutHeads:
    """Guards against a head that stops in its middle and counts as whole.

    The server closes, or resets, the connection then.
    """

    FRAMINGS = {
        'length': b'Content-Length: 5\r\n',
        'chunks': b'Transfer-Encoding: chunked\r\n',
        'neither': b'',
    }

    @pytest.mark.parametrize('is_reset', [False, True])
    @pytest.mark.parametrize('version', [b'1.1', b'1.0'])
    @pytest.mark.parametrize('framing', FRAMINGS)
    def test_no_part_of_a_head_is_a_response(self, framing, version, is_reset):
        @run_async
        async def check(_):
            head = (
                b'HTTP/'
                + version
                + b' 200 OK\r\nRequest-Id: r-1\r\nResponse-Seal: s\r\n'
                + self.FRAMINGS[framing]
                + b'Connection: close\r\n\r\n'
            )
            sizes = iter(range(len(head)))

            async def respond(request, stream):
                await stream.send(head[: next(sizes)])
                if is_reset:
                    sockets.reset_on_close(stream)
                return False

            async with forward_rig.start() as rig:
                rig._group.start_soon(rig.keep_config_fresh)
                await rig.add_server(respond)
                for size in range(len(head)):
                    response = await rig.call('/once/x')
                    assert (response.status, response.is_complete) == (
                        502,
                        True,
                    ), head[:size]

        check(None)

    @pytest.mark.parametrize('framing', FRAMINGS)
    def test_stream_goes_on_at_another_server(self, framing):
        @run_async
        async def check(_):
            head = HEAD + self.FRAMINGS[framing]

            async def respond(request, stream):
                await stream.send(head)
                return False

            async with forward_rig.start() as rig:
                await rig.add_server(respond, 'pool')
                await rig.add_server(
                    forward_rig.make_event_stream(3), 'pool', region='cnx'
                )
                response = await rig.call('/stream/x', b'p')
                assert response.is_complete
                assert response.body.count(b'id: ') == 3

        check(None)

    @run_async
    async def test_second_head_on_a_kept_connection(self):
        count = 0

        async def respond(request, stream):
            nonlocal count
            count += 1
            data = forward_rig.encode_response(request)
            if count == 1:
                await stream.send(data)
                return True
            await stream.send(data[: data.index(b'Response-Seal')])
            return False

        async with forward_rig.start() as rig:
            server = await rig.add_server(respond)
            assert (await rig.call('/once/x')).status == 200
            assert (await rig.call('/once/x')).status == 502
            assert [r.connection for r in server.received_requests] == [1, 1]

    @pytest.mark.parametrize(
        'end', [b'', b'0\r\n', b'0\r\nTrailer: x', b'0\r\nTrailer: x\r\n']
    )
    def test_cut_trailer_is_no_end(self, end):
        @run_async
        async def check(_):
            async def respond(request, stream):
                await stream.send(
                    CHUNKED + forward_rig.encode_chunk(b'ok') + end
                )
                return False

            async with forward_rig.start() as rig:
                await rig.add_server(respond)
                response = await rig.call('/once/x')
                assert (response.status, response.is_complete) == (502, True)

        check(None)
