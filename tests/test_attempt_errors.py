"""Tests of unexpected errors in one request, which must not cut or lie."""

import asyncio
import contextlib
import errno
import gc
import os
import resource

import anyio
import pytest

from chivejunction import containment
from chivejunction.coordination import attempt_choice
from chivejunction.platform import headers as platform_headers
from chivejunction.scheduling import backend_selection
from chivejunction.transport import backend_connections
from tests import forward_rig
from tests.forward_rig import run_async

ERRORS = [
    KeyError('x'),
    OverflowError('x'),
    UnicodeDecodeError('utf-8', b'x', 0, 1, 'x'),
    ExceptionGroup('x', [ValueError('x')]),
    OSError('x'),
    asyncio.CancelledError(),
]


def fail_first_calls(monkeypatch, target, name, error, count=1000):
    """Makes the first calls of a method raise an error."""
    original = getattr(target, name)
    failures = []

    def fail(*args, **kwargs):
        if len(failures) < count:
            failures.append(error)
            raise error
        return original(*args, **kwargs)

    monkeypatch.setattr(target, name, fail)
    return failures


@pytest.fixture(autouse=True)
def clear_reports():
    """Clears the errors that readiness reports."""
    containment._reported_until.clear()
    yield
    containment._reported_until.clear()


async def stay_silent(request, stream):
    """Reads a request and sends no response."""
    await anyio.sleep_forever()


def check_released(rig):
    """Checks that no attempt holds a connection or counts as load."""
    for backend in rig.gateway.backends.list_backends('desk'):
        assert backend.running == 0
        assert rig.gateway._pool.count_open(backend.instance) == 0


class TestErrorsAfterTheRun:
    """Guards against cut answers, and against 503 for what has run."""

    @pytest.mark.parametrize('error', ERRORS, ids=repr)
    def test_non_repeatable_request_gets_an_honest_answer(
        self, monkeypatch, error
    ):
        fail_first_calls(
            monkeypatch,
            platform_headers.PlatformFormat,
            'decode_response_head',
            error,
        )

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                server = await rig.add_server(forward_rig.respond_ok)
                response = await rig.call('/once/a')
                assert response.status == 502
                assert response.is_complete
                assert len(server.received_requests) == 1
                assert 'attempt' in containment.list_recent_errors()
                check_released(rig)

        play()

    @pytest.mark.parametrize('error', ERRORS, ids=repr)
    def test_repeatable_request_is_sent_to_another_server(
        self, monkeypatch, error
    ):
        fail_first_calls(
            monkeypatch,
            platform_headers.PlatformFormat,
            'decode_response_head',
            error,
            1,
        )

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                for _ in range(2):
                    await rig.add_server(forward_rig.respond_ok)
                response = await rig.call('/safe/a')
                assert response.status == 200

        play()


class TestErrorsBeforeTheRun:
    """Guards against 502 or a cut for what no server has seen."""

    @pytest.mark.parametrize('error', ERRORS, ids=repr)
    def test_failing_choice_is_refused_as_not_run(self, monkeypatch, error):
        fail_first_calls(
            monkeypatch, backend_selection.BackendSelector, 'choose', error
        )

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                server = await rig.add_server(forward_rig.respond_ok)
                response = await rig.call('/once/a')
                assert response.status == 503
                assert not server.received_requests
                assert 'request' in containment.list_recent_errors()

        play()

    @pytest.mark.parametrize('error', ERRORS, ids=repr)
    def test_failing_start_of_work_is_released(self, monkeypatch, error):
        fail_first_calls(
            monkeypatch, attempt_choice.AttemptChooser, 'start_work', error
        )

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                await rig.add_server(forward_rig.respond_ok)
                response = await rig.call('/once/a')
                assert response.status == 503
                check_released(rig)

        play()

    @run_async
    async def test_wait_without_time_is_refused(self):
        """A route with an objective of 0 allows no wait."""
        routes = [
            forward_rig.make_route(
                'once', '/once/', 'non_idempotent', max_attempts=1
            )
        ]
        async with forward_rig.start(
            forward_rig.make_config(routes=routes)
        ) as rig:
            for rows in rig.gateway.route_table.routes.values():
                for route in rows:
                    object.__setattr__(route, 'objective', 0.0)
            response = await rig.call('/once/a')
            assert response.status == 503
            assert not containment.list_recent_errors()


class TestRequestsWithoutTime:
    """Guards against refusals that the time limit itself cancels."""

    # A server may respond within a millisecond, so the one that gets a
    # request with that limit stays silent.
    @pytest.mark.parametrize(
        ('deadline', 'respond'),
        [
            ('0', forward_rig.respond_ok),
            ('0.001', forward_rig.respond_ok),
            ('1', stay_silent),
        ],
        ids=['0', '0.001', '1'],
    )
    @pytest.mark.parametrize('path', ['/once/a', '/safe/a', '/stream/a'])
    def test_request_without_time_is_refused_and_no_error(
        self, deadline, respond, path
    ):
        @run_async
        async def play():
            async with forward_rig.start() as rig:
                for service in ('desk', 'pool'):
                    await rig.add_server(respond, service)
                response = await rig.call(
                    path,
                    Deadline_Ms=deadline,
                    Model='m',
                    Token_Count='10,10',
                )
                assert response.status in (503, 504)
                assert not containment.list_recent_errors()

        play()


class TestErrorsOfLogs:
    """Guards against a log line that replaces a response."""

    @pytest.mark.parametrize('line', ['attempt', 'request'])
    def test_failing_line_cuts_nothing(self, monkeypatch, line):
        from chivejunction import logs

        original = logs.log_decision

        def fail(name, **fields):
            if name == line:
                raise ValueError('x')
            original(name, **fields)

        monkeypatch.setattr(logs, 'log_decision', fail)

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                await rig.add_server(forward_rig.respond_ok)
                async with await rig.connect() as stream:
                    for _ in range(2):
                        response = await rig.exchange(stream, '/once/a')
                        assert response.status == 200
                assert containment.list_recent_errors()

        play()


class TestHeadRequests:
    """Guards against a body in the response to HEAD, which h11 rejects."""

    @pytest.mark.parametrize('script', ['none', 'ok', 'error', 'silent'])
    def test_head_request_gets_an_answer(self, script):
        async def respond_error(request, stream):
            await stream.send(forward_rig.encode_response(request, b'', 500))

        async def respond_head(request, stream):
            await stream.send(forward_rig.encode_response(request, b''))

        async def close(request, stream):
            return False

        scripts = {'ok': respond_head, 'error': respond_error, 'silent': close}

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                if script in scripts:
                    await rig.add_server(scripts[script])
                async with await rig.connect() as stream:
                    data = rig.write_request('/once/a')
                    await stream.send(data.replace(b'GET', b'HEAD', 1))
                    received = await stream.receive()
                assert received.startswith(b'HTTP/1.1 ')

        play()


class TestConnectRequests:
    """Guards against a tunnel, of which a response would be the start."""

    @run_async
    async def test_connect_is_refused_and_not_passed_on(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(forward_rig.respond_ok)
            async with await rig.connect() as stream:
                data = rig.write_request('/once/a')
                await stream.send(data.replace(b'GET', b'CONNECT', 1))
                received = await stream.receive()
            assert received.startswith(b'HTTP/1.1 405 ')
            assert not server.received_requests


class TestDescriptorLimit:
    """Guards against servers that pause for a fault of this process."""

    @run_async
    async def test_lack_of_descriptors_is_reported_as_such(self):
        pool = backend_connections.ConnectionPool()
        with (
            no_descriptors_left(),
            pytest.raises(backend_connections.NoDescriptorError),
        ):
            await pool.acquire('i-1', '127.0.0.1', 1, 9, 1e12)
        assert pool.count_open('i-1') == 0

    def test_lack_of_descriptors_is_no_fault_of_the_server(self, monkeypatch):
        async def fail(*args, **kwargs):
            raise OSError('failed') from OSError(errno.EMFILE, 'too many')

        @run_async
        async def play():
            async with forward_rig.start() as rig:
                await rig.add_server(forward_rig.respond_ok)
                (backend,) = rig.gateway.backends.list_backends('desk')
                async with await rig.connect() as stream:
                    with monkeypatch.context() as patch:
                        patch.setattr(anyio, 'connect_tcp', fail)
                        response = await rig.exchange(stream, '/once/a')
                    assert response.status == 503
                    assert backend.failures == 0
                    response = await rig.exchange(stream, '/once/b')
                    assert response.status == 200

        play()


@contextlib.contextmanager
def no_descriptors_left():
    """Runs its body at this process's limit of descriptors."""
    # Sockets of earlier tests must not be freed meanwhile.
    gc.collect()
    gc.disable()
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    last = os.open('/dev/null', os.O_RDONLY)
    descriptors = [last]
    resource.setrlimit(resource.RLIMIT_NOFILE, (last + 1, limits[1]))
    try:
        with contextlib.suppress(OSError):
            while True:
                descriptors.append(os.dup(last))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for descriptor in descriptors:
            os.close(descriptor)
        gc.enable()
