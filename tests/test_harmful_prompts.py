"""Tests of requests with a prompt part that crashes engines."""

import anyio

from tests import forward_rig
from tests.forward_rig import run_async

HARMFUL_PART = 'bad'
ENGINES = 6


class Pool:
    """Engines that crash as they begin to respond to a prompt part.

    Attributes:
        servers: The engines.
        harmful_requests: Ids of requests with the part that reached one.
    """

    def __init__(self):
        self.servers = []
        self.harmful_requests = []

    async def start(self, rig, count=ENGINES):
        """Starts the engines and registers them with the gateways."""
        for number in range(count):
            self.servers.append(
                await rig.add_server(
                    self.make_script(number),
                    'pool',
                    failure_domain=f'bkk-{number}',
                )
            )

    def make_script(self, number):
        """Returns the script of one engine."""
        stream_events = forward_rig.make_event_stream(2)

        async def respond(request, stream):
            prompt = request.headers.get('prompt-prefix', '')
            if HARMFUL_PART not in prompt:
                return await stream_events(request, stream)
            self.harmful_requests.append(request.id)
            await stream.send(forward_rig.encode_stream_head(request))
            await anyio.sleep(0.01)
            self.servers[number].crash()
            await anyio.sleep(1)

        return respond

    def count_crashes(self):
        """Returns the number of crashes of all engines."""
        return sum(server.crashes for server in self.servers)


async def call(rig, number, parts):
    """Sends a request with a part of its own; returns the response."""
    prompt = ','.join(f'{part}:100' for part in [*parts, f'own{number}'])
    return await rig.call(
        '/stream/x',
        b'p',
        Request_Id=f'r-{number}',
        Prompt_Prefix=prompt,
        Token_Count=f'{100 * len(parts) + 100},20',
        Deadline_Ms='2500',
    )


class TestCrashLoop:
    @run_async
    async def test_prompt_part_crashes_no_further_engines(self):
        """At most three requests with it are sent after the fifth crash."""
        async with forward_rig.start() as rig:
            pool = Pool()
            await pool.start(rig)
            sent_at_fifth_crash = None
            for number in range(24):
                await call(rig, number, ['class', HARMFUL_PART])
                await anyio.sleep(0.1)
                if sent_at_fifth_crash is None and pool.count_crashes() >= 5:
                    sent_at_fifth_crash = len(pool.harmful_requests)
            if sent_at_fifth_crash is None:
                sent_at_fifth_crash = len(pool.harmful_requests)
            assert len(pool.harmful_requests) - sent_at_fifth_crash <= 3
            # Requests that share the other part are served.
            await anyio.sleep(forward_rig.RESTART_SECONDS)
            response = await call(rig, 99, ['class', 'good'])
            assert response.is_complete and response.status == 200
