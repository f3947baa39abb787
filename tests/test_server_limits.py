"""Tests of servers that name how many requests a second they take."""

import anyio

from chivejunction import clock
from tests import forward_rig
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
