"""Tests of services with fewer servers than attempts of a request.

An attempt is cut, and a server left out, only if another one can take over.
"""

import anyio
import pytest

from chivejunction import clock
from chivejunction.protocol import messages
from tests import forward_rig
from tests import test_attempts
from tests.forward_rig import run_async

# Longer than a response may take while another server can take over.
SLOW_SECONDS = 0.3


def make_slow(seconds):
    """Returns a script that responds after some time."""

    async def respond(request, stream):
        await anyio.sleep(seconds)
        await stream.send(forward_rig.encode_response(request))

    return respond


def make_flawed(flaw):
    """Returns a script whose first response is flawed."""
    count = 0

    async def respond(request, stream):
        nonlocal count
        count += 1
        if count == 1:
            return await flaw(request, stream)
        return await forward_rig.respond_ok(request, stream)

    return respond


async def close(request, stream):
    """Closes the connection without a response."""
    return False


async def refuse(request, stream):
    """Refuses a request that was not run."""
    await stream.send(
        forward_rig.encode_response(
            request, b'full', 503, '', Not_Executed='1'
        )
    )


async def fail(request, stream):
    """Responds with an error."""
    await stream.send(forward_rig.encode_response(request, b'odd', 500))


class TestSlowServers:
    """Guards against attempts that are cut though nobody can take over."""

    @pytest.mark.parametrize('count', [1, 2, 3])
    def test_repeatable_request_is_served(self, count):
        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                for _ in range(count):
                    await rig.add_server(make_slow(SLOW_SECONDS))
                response = await rig.call('/safe/x')
                assert (response.status, response.body) == (200, b'ok')

        check(None)

    @run_async
    async def test_server_that_joins_takes_over(self):
        async with (
            forward_rig.start() as rig,
            anyio.create_task_group() as group,
        ):
            await rig.add_server(make_slow(2.5))
            started_at = clock.now()

            async def add_server():
                await anyio.sleep(0.5)
                await rig.add_server(forward_rig.respond_ok)

            group.start_soon(add_server)
            response = await rig.call('/safe/x')
            assert response.status == 200
            assert clock.now() - started_at < 1.5

    @run_async
    async def test_attempt_is_not_cut_without_retry_budget(self):
        async with forward_rig.start() as rig:
            for _ in range(2):
                await rig.add_server(make_slow(SLOW_SECONDS))
            budget = rig.gateway._chooser.get_retry_budget('desk')
            while budget.take():
                pass
            assert (await rig.call('/safe/x')).status == 200


class TestServerThatFailsOnce:
    """Guards against requests that fail though their server is back."""

    @pytest.mark.parametrize('flaw', [close, refuse, fail])
    @pytest.mark.parametrize('count', [1, 2])
    def test_request_is_sent_again(self, flaw, count):
        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                for _ in range(count):
                    await rig.add_server(make_flawed(flaw))
                response = await rig.call('/safe/x')
                assert (response.status, response.body) == (200, b'ok')

        check(None)

    @run_async
    async def test_request_that_may_have_run_is_not_sent_again(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(make_flawed(close))
            assert (await rig.call('/once/x')).status == 502
            assert len(server.received_requests) == 1

    @run_async
    async def test_attempts_stay_within_their_number(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(fail)
            response = await rig.call('/safe/x')
            assert (response.status, response.body) == (500, b'odd')
            assert len(server.received_requests) == 3

    @run_async
    async def test_request_is_given_up_at_once_without_a_server(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(close, instance='i-1')
            server.script = self._make_leaving(rig)
            started_at = clock.now()
            assert (await rig.call('/safe/x')).status == 502
            assert clock.now() - started_at < 0.3

    @staticmethod
    def _make_leaving(rig):
        async def respond(request, stream):
            rig.gateway.remove_backend('i-1', False)
            return False

        return respond


class TestAgents:
    """The same on the path through agents."""

    def test_silent_attempt_is_resolved_without_another_server(self):
        """Guards against a cut though nobody can take over."""
        peer = test_attempts.ScriptedPeer(test_attempts.send_nothing)
        dispatcher = test_attempts.make_dispatcher(peer)
        with pytest.raises(test_attempts.errors.RefusalError):
            test_attempts.run_call(dispatcher, test_attempts.make_call())
        starts = peer.count(messages.Start)
        assert peer.count(messages.Resolve) >= starts

    def test_call_is_sent_again_to_the_only_server(self):
        """Guards against calls that fail though their server is back."""

        def respond(peer, frame):
            if peer.count(messages.Start) == 1:
                return test_attempts.refuse_with('overloaded')(peer, frame)
            return test_attempts.send_full_response(peer, frame)

        peer = test_attempts.ScriptedPeer(respond)
        dispatcher = test_attempts.make_dispatcher(peer)
        body = test_attempts.run_call(dispatcher, test_attempts.make_call())
        assert body == b'hello world'
