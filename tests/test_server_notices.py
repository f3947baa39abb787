"""Tests of what servers ask for in their responses."""

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import bulletins
from chivejunction.coordination import server_notices
from chivejunction.protocol import forwarding
from chivejunction.state import backends
from tests import forward_rig
from tests import test_bulletins
from tests.forward_rig import run_async


def make_server(started_at_ms=0, is_leaving=False):
    """Returns a server as an entry of the store names it."""
    return backends.Backend(
        'i-1',
        'pool',
        '127.0.0.1',
        1,
        'bkk-a',
        'bkk',
        'v1',
        started_at_ms=started_at_ms,
        is_leaving=is_leaving,
    )


async def say_leaving(request, stream):
    """Responds and says that the server is leaving."""
    await stream.send(forward_rig.encode_response(request, Server_Leaving='1'))


class TestLeavingServer:
    @run_async
    async def test_server_that_says_it_leaves_gets_no_new_work(self):
        """Its entry in the store does not show it, perhaps never."""
        async with forward_rig.start() as rig:
            leaving = await rig.add_server(say_leaving, instance='i-1')
            await rig.add_server(forward_rig.respond_ok, region='cnx')
            for _ in range(5):
                response = await rig.call('/safe/x')
                assert response.status == 200
            assert len(leaving.received_requests) == 1
            # Its entry is written again, or gone and back.
            for _ in range(2):
                rig.register_server(leaving, 'desk', 'i-1')
                await rig.call('/safe/x')
                rig.gateway.remove_backend('i-1', False)
            assert len(leaving.received_requests) == 1
            # A new process under the same id has not said so.
            rig.register_server(leaving, 'desk', 'i-1', started_at_ms=7)
            await rig.call('/safe/x')
            assert len(leaving.received_requests) == 2

    @pytest.fixture
    def virtual_time(self, monkeypatch):
        return test_bulletins.VirtualTime(monkeypatch)

    def test_all_gateways_heed_it(self, virtual_time):
        """Hundreds of gateways, a third of the datagrams lost."""
        fleet = test_bulletins.Fleet(200, 0.35)
        tables, notices = [], []
        for board, _ in fleet.boards.values():
            tables.append(backends.BackendTable())
            tables[-1].update(make_server())
            notices.append(server_notices.ServerNotices(board, tables[-1]))
        head = forwarding.ResponseHead(200, [], 'r', True, False)
        head.is_leaving = True
        notices[9].read_response(tables[9].get('i-1'), head, clock.now())
        for _ in range(int(3 / bulletins.ROUND_SECONDS)):
            fleet.play_round()
            virtual_time.now += bulletins.ROUND_SECONDS
        assert all(table.get('i-1').is_leaving for table in tables)
        # The store's entry is older than the statement.
        table = tables[0]
        table.update(make_server())
        assert table.get('i-1').is_leaving


def make_refusal(retry_after):
    """Returns a script that refuses with Retry-After."""

    async def refuse(request, stream):
        await stream.send(
            forward_rig.encode_response(
                request,
                b'',
                503,
                '',
                Not_Executed='1',
                Retry_After=retry_after,
            )
        )

    return refuse


class TestServerThatAsksForTime:
    @run_async
    async def test_it_gets_nothing_for_so_long(self):
        async with forward_rig.start() as rig:
            busy = await rig.add_server(make_refusal('1.2'), instance='i-1')
            other = await rig.add_server(forward_rig.respond_ok, region='cnx')
            started_at = clock.now()
            while clock.now() < started_at + 1.1:
                response = await rig.call('/safe/x')
                assert response.status == 200
                await anyio.sleep(0.05)
                # Its entry may be gone and back meanwhile.
                rig.gateway.remove_backend('i-1', False)
                rig.register_server(busy, 'desk', 'i-1')
            assert len(busy.received_requests) == 1
            assert len(other.received_requests) > 5
            busy.script = forward_rig.respond_ok
            with anyio.fail_after(3):
                while len(busy.received_requests) == 1:
                    await rig.call('/safe/x')
                    await anyio.sleep(0.05)

    @run_async
    async def test_request_is_refused_at_once_if_all_servers_ask(self):
        """The caller is told when one of them takes requests again."""
        async with forward_rig.start() as rig:
            servers = [
                await rig.add_server(make_refusal(seconds))
                for seconds in ('30', '20')
            ]
            response = await rig.call('/safe/x', Deadline_Ms='60000')
            assert response.status == 503
            started_at = clock.now()
            response = await rig.call('/safe/x', Deadline_Ms='60000')
            # An eighth of the objective is the usual wait for a server.
            assert clock.now() - started_at < 0.04
            assert response.status == 503
            assert float(response.headers['retry-after']) > 8
            assert sum(len(s.received_requests) for s in servers) == 2

    @pytest.mark.parametrize('text', ['', '-1', 'soon', '1e999', '9' * 40])
    def test_value_that_is_no_number_is_ignored(self, text):
        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                server = await rig.add_server(make_refusal(text))
                await rig.call('/safe/x')
                server.script = forward_rig.respond_ok
                # The pause after any refusal for lack of capacity.
                await anyio.sleep(backends.REFUSAL_PAUSE_SECONDS)
                assert (await rig.call('/safe/x')).status == 200

        check(None)
