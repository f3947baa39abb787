"""Tests of servers that name how many requests a second they take."""

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import server_notices
from chivejunction.protocol import forwarding
from chivejunction.scheduling import server_limits
from chivejunction.state import backends
from chivejunction.transport import stores
from tests import forward_rig
from tests import test_bulletins
from tests import test_hints
from tests.forward_rig import run_async

WINDOW_SECONDS = 4.0


def allow(rate):
    """Returns the requests that a server may get within the window.

    The users accept one and a half times the limit and five requests.
    """
    return 1.5 * rate * WINDOW_SECONDS + 5


def count_busiest_window(times):
    """Returns the largest number of times within the window."""
    return max(
        (
            sum(start <= at < start + WINDOW_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


class LimitedServer:
    """Script of a server that names a limit.

    Attributes:
        limit: Requests per second that it names; None for none.
        times: Arrival times of the requests.
    """

    def __init__(self, limit):
        self.limit = limit
        self.times = []

    async def __call__(self, request, stream):
        self.times.append(clock.now())
        headers = {} if self.limit is None else {'Server_Limit': self.limit}
        await stream.send(forward_rig.encode_response(request, **headers))


class TestServerLimit:
    @run_async
    async def test_server_gets_no_more_than_it_named(self):
        """Another server is free, so that no request is refused either."""
        async with forward_rig.start() as rig:
            test_hints.add_member(rig.gateway.members, 'gw-1', 1)
            limited, free = LimitedServer(2.0), LimitedServer(None)
            await rig.add_server(limited)
            await rig.add_server(free, region='cnx')
            statuses = []
            started_at = clock.now()
            while clock.now() < started_at + WINDOW_SECONDS + 1.5:
                response = await rig.call('/safe/x')
                statuses.append(response.status)
                rig.mark_config_fresh()
                await anyio.sleep(0.02)
            later = [at for at in limited.times if at > started_at + 0.5]
            assert count_busiest_window(later) <= allow(2.0)
            # It is used as much as it allows.
            assert len(later) >= 2.0 * WINDOW_SECONDS
            assert set(statuses) == {200}

    @run_async
    async def test_limit_ends_when_the_server_names_none(self):
        async with forward_rig.start() as rig:
            test_hints.add_member(rig.gateway.members, 'gw-1', 1)
            server = LimitedServer(0.5)
            await rig.add_server(server, instance='i-1')
            backend = rig.gateway.backends.get('i-1')
            await rig.call('/safe/x')
            assert backend.find_rate_limit() == 0.5
            backend.limit_bucket = None
            server.limit = None
            with anyio.fail_after(5):
                while backend.find_rate_limit() is not None:
                    await rig.call('/safe/x')
                    await anyio.sleep(0.1)
            assert (await rig.call('/safe/x')).status == 200
            assert (await rig.call('/safe/x')).status == 200


class LimitedFleet:
    """Gateways before one server that named a limit, in virtual time.

    Requests come faster than the server takes them, so each gateway sends
    whenever its limiter lets it.
    """

    def __init__(self, virtual_time, gateway_count, rate):
        self._virtual_time = virtual_time
        self.rate = rate
        self.sent_at = []
        self.fleet = test_bulletins.Fleet(0)
        self.gateways = {}
        for number in range(gateway_count):
            self.start_gateway(number)

    def start_gateway(self, number):
        """Starts a gateway that knows the limit."""
        name = f'gw-{number}'
        if name not in self.fleet.boards:
            self.fleet.add(number)
        _, members = self.fleet.boards[name]
        backend = backends.Backend(
            'i-1', 'pool', '127.0.0.1', 1, 'bkk-a', 'bkk', 'v1'
        )
        backend.rate_limit = self.rate
        backend.rate_limit_named_at = clock.now()
        limiter = server_limits.ServerLimiter(members.count_sharing_gateways)
        self.gateways[name] = limiter, backend

    def play(self, seconds):
        """Lets all gateways send for some time."""
        end = self._virtual_time.now + seconds
        while self._virtual_time.now < end:
            for limiter, backend in self.gateways.values():
                while limiter.may_send(backend):
                    limiter.record_send(backend)
                    self.sent_at.append(self._virtual_time.now)
            self._virtual_time.now += 0.05


@pytest.fixture
def virtual_time(monkeypatch):
    return test_bulletins.VirtualTime(monkeypatch)


class TestManyGateways:
    @pytest.mark.parametrize('count', [1, 4, 30, 350])
    @pytest.mark.parametrize('rate', [0.4, 1.2, 2.8, 40.0])
    def test_sum_of_all_keeps_to_the_limit(self, virtual_time, count, rate):
        fleet = LimitedFleet(virtual_time, count, rate)
        fleet.play(20)
        assert count_busiest_window(fleet.sent_at) <= allow(rate)
        # No more than one burst of each gateway is left unused.
        assert len(fleet.sent_at) >= 0.8 * rate * 20 - count

    @pytest.mark.parametrize('count', [4, 30])
    def test_restarts_of_gateways_add_no_bursts(self, virtual_time, count):
        """A gateway that starts again has forgotten what it sent."""
        fleet = LimitedFleet(virtual_time, count, 2.8)
        for number in range(16):
            fleet.play(1)
            fleet.start_gateway(number % count)
        assert count_busiest_window(fleet.sent_at) <= allow(2.8)

    def test_limit_that_one_gateway_hears_holds_at_all(self, virtual_time):
        """The others may get no response of that server for a long time."""
        fleet = test_bulletins.Fleet(60, 0.3)
        tables, notices = {}, {}
        for name, (board, _) in fleet.boards.items():
            tables[name] = backends.BackendTable()
            tables[name].update(
                backends.Backend(
                    'i-1', 'pool', '127.0.0.1', 1, 'bkk-a', 'bkk', 'v1'
                )
            )
            notices[name] = server_notices.ServerNotices(board, tables[name])
        head = forwarding.ResponseHead(200, [], 'r', True, False)
        head.rate_limit = 2.5
        backend = tables['gw-7'].get('i-1')
        notices['gw-7'].read_response(backend, head, virtual_time.now)

        def play():
            for _ in range(int(4 / bulletins.ROUND_SECONDS)):
                fleet.play_round()
                virtual_time.now += bulletins.ROUND_SECONDS
            return {
                table.get('i-1').find_rate_limit() for table in tables.values()
            }

        assert play() == {2.5}
        head.rate_limit = None
        backend = tables['gw-9'].get('i-1')
        notices['gw-9'].read_response(backend, head, virtual_time.now)
        assert play() == {None}

    def test_server_that_starts_again_is_not_limited(self, virtual_time):
        fleet = test_bulletins.Fleet(1)
        table = backends.BackendTable()
        notices = server_notices.ServerNotices(fleet.board(0), table)
        server = backends.Backend(
            'i-1', 'pool', '127.0.0.1', 1, 'bkk-a', 'bkk', 'v1'
        )
        table.update(server)
        head = forwarding.ResponseHead(200, [], 'r', True, False)
        head.rate_limit = 2.5
        notices.read_response(server, head, virtual_time.now)
        # Its entry is gone for a while, then it is back.
        table.remove('i-1')
        for started_at_ms, limit in ((0, 2.5), (5, None)):
            server = backends.Backend(
                'i-1', 'pool', '127.0.0.1', 1, 'bkk-a', 'bkk', 'v1'
            )
            server.started_at_ms = started_at_ms
            notices.apply_known(table.update(server))
            assert table.get('i-1').find_rate_limit() == limit


class TestMembership:
    def test_outage_does_not_raise_the_shares(self, virtual_time):
        """Leases of all gateways may run out while the store is away."""
        members = test_hints.make_members('gw-0', 1)
        for number in range(4):
            test_hints.add_member(members, f'gw-{number}', 1)
        assert members.count_sharing_gateways('i-1', 5) == 4
        for number in range(1, 4):
            key = f'{gateway_membership.PREFIX}gw-{number}'
            members.apply(stores.Change(key, 2, None), True)
        assert members.count_sharing_gateways('i-1', 5) == 4
        test_hints.add_member(members, 'gw-1', 1)
        virtual_time.now += gateway_membership.LAPSE_GRACE_SECONDS
        members.remove_lapsed()
        assert members.count_sharing_gateways('i-1', 5) == 2
        assert members.count() == 2
