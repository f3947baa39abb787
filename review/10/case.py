"""Restarts of the gateways move sessions to the new version too early.

Two gateways, model servers of two versions, 400 sessions with a request every
4.8 s. A rollout is ordered; in its first half the gateways are stopped with
SIGTERM and started again, one after the other. Counted are requests that run
on the new version although the one before in their session ran on the old one.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from shared_2 import kit  # noqa: E402
from shared_2 import site  # noqa: E402

HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONES = {'bkk-a': 'bkk', 'bkk-b': 'bkk'}
SESSIONS = 400
# Pause between two requests of a session; below ``session_s``.
GAP_SECONDS = 4.8
SESSION_SECONDS = 5.0
CONTACT_SECONDS = 4.0
GRACE_SECONDS = 8.0
ORDER_SECONDS = 8
DURATION_SECONDS = 24
# After the order.
TERM_SECONDS = (0.5, 6)
RESTART_SECONDS = 0.3
ALLOWED = 3
EVENTS = 3
OLD, NEW = 'v1', 'v2'
CONFIG = site.make_config(
    [site.make_route('chat', 'streaming', 6000, 2000, 'pool', **site.STREAM)],
    [site.POOL],
)


class ModelServer(site.Server):
    """A sound model server."""

    case = None

    async def run(self, request_id, headers, writer) -> bool:
        """Streams events."""
        self.case.count_run(request_id, self)
        await asyncio.sleep(0.04)
        await self.stream(request_id, headers, writer, EVENTS)
        return True


class Case:
    """State of one play."""

    def __init__(self, record):
        self.record = record
        self._random = random.Random(3)
        self._tasks = []
        self._is_over = False
        self._order_at = 0.0
        # By session: version and end of the last run.
        self._last: dict[str, tuple[str, float]] = {}
        self._runs: dict[str, str] = {}
        self._moves = self._counted = self._requests = self._served = 0
        # By gateway: times since which it is in touch, and whether the
        # platform sends it clients.
        self._touched_at: dict[str, float] = {}
        self._in_rotation: dict[str, bool] = {}

    def count_run(self, request_id, server) -> None:
        """Notes the version that runs a request."""
        self._runs[request_id] = server.version
        self.record.write(
            f'{server.instance} ({server.version}) runs {request_id}'
        )

    async def _check_readiness(self, gateway) -> None:
        """Takes a gateway out after two misses, as the platform does."""
        misses = 0
        while not self._is_over:
            misses = 0 if await kit.is_ready(gateway) else misses + 1
            self._in_rotation[gateway.name] = misses < 2
            await asyncio.sleep(1)

    def _choose_gateway(self, number: int):
        """Returns the gateway of a client, another while it is out."""
        home = self._gateways[number % 2]
        other = self._gateways[1 - number % 2]
        if self._in_rotation.get(home.name, True):
            return home
        return other

    async def _run_session(self, number: int) -> None:
        session = f'{self._random.getrandbits(64):016x}'
        await asyncio.sleep(GAP_SECONDS * self._random.random())
        count = 0
        while not self._is_over:
            count += 1
            await self._send(number, session, f's{number:03d}-{count:02d}')
            await asyncio.sleep(GAP_SECONDS)

    async def _send(self, number, session, request_id) -> None:
        gateway = self._choose_gateway(number)
        headers = site.make_headers(request_id, 6000) | {
            'Model': 'm0',
            'Token-Count': '600,18',
            'Prompt-Prefix': f'5157e000:400,{session[:8]}:200',
            'Session': session,
        }
        for attempt in range(2):
            headers['Request-Id'] = f'{request_id}-{attempt}'
            began_at = time.monotonic()
            result = await kit.call(
                gateway.front, 'POST', '/chat/2f', headers, b'x' * 400, 6.0
            )
            if result['complete'] and result['status'] == 200:
                break
            gateway = self._gateways[1 - self._gateways.index(gateway)]
        self._requests += 1
        version = self._runs.get(headers['Request-Id'])
        if version is None or result['status'] != 200:
            self.record.write(
                f'{request_id} at {gateway.name}: {result["status"]} '
                f'{result["error"]}'
            )
            return
        self._served += 1
        before = self._last.get(session)
        self._last[session] = version, time.monotonic()
        if before is None or began_at - before[1] >= SESSION_SECONDS:
            return
        is_moved = (before[0], version) == (OLD, NEW)
        is_first_half = (
            self._order_at and began_at < self._order_at + DURATION_SECONDS / 2
        )
        if is_moved and is_first_half:
            is_in_touch = began_at > (
                self._touched_at.get(gateway.name, 0.0) + CONTACT_SECONDS
            )
            self._moves += 1
            self._counted += is_in_touch
            self.record.write(
                f'{request_id} at {gateway.name} ran on {version}, the one '
                f'before {began_at - before[1]:.2f} s ago on {before[0]}'
                f'{"" if is_in_touch else " (not in touch)"}'
            )

    async def _restart(self, gateway) -> None:
        """Stops a gateway with SIGTERM and starts it again."""
        self.record.write(f'SIGTERM to {gateway.name}')
        self._touched_at[gateway.name] = float('inf')
        gateway.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_SECONDS
        while gateway.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        gateway.stop()
        await asyncio.sleep(RESTART_SECONDS)
        gateway.start()
        self._touched_at[gateway.name] = time.monotonic()
        self.record.write(f'{gateway.name} starts again')

    async def play(self) -> bool:
        """Plays the case; returns whether the rule held."""
        deployment = kit.Site(2, ZONES, 300)
        store, self._gateways = deployment.store, deployment.gateways
        store.put('op/config', CONFIG)
        names = list(ZONES)
        servers = [
            ModelServer(store, 'pool', names[n % 2], 64, OLD) for n in range(4)
        ]
        added = [
            ModelServer(store, 'pool', names[n % 2], 64, NEW) for n in range(4)
        ]
        try:
            for server in servers:
                server.case = self
                await server.start()
            await deployment.open()
            await kit.wait_ready(self._gateways)
            await asyncio.sleep(2)
            for gateway in self._gateways:
                self._tasks.append(
                    asyncio.create_task(self._check_readiness(gateway))
                )
            for number in range(SESSIONS):
                self._tasks.append(
                    asyncio.create_task(self._run_session(number))
                )
            await asyncio.sleep(ORDER_SECONDS)
            store.put(
                'op/rollout/pool',
                {
                    'service': 'pool',
                    'target': NEW,
                    'duration_s': DURATION_SECONDS,
                },
            )
            self._order_at = time.monotonic()
            self.record.write('the rollout is ordered')
            # Its servers are started after the order.
            await asyncio.sleep(0.4)
            for server in added:
                server.case = self
                await server.start()
            for seconds, gateway in zip(
                TERM_SECONDS, self._gateways, strict=True
            ):
                await asyncio.sleep(
                    self._order_at + seconds - time.monotonic()
                )
                if HAS_TROUBLE:
                    await self._restart(gateway)
            await asyncio.sleep(
                self._order_at + DURATION_SECONDS / 2 - time.monotonic()
            )
            self._is_over = True
            await asyncio.sleep(1)
        finally:
            for task in self._tasks:
                task.cancel()
            deployment.close()
            for server in servers + added:
                server.crash()
        self.record.say(
            f'{self._requests} requests, {self._served} served; in the first '
            f'half of the rollout {self._moves} moved from the old version to '
            f'the new one within their session, {self._counted} of them sent '
            f'on by gateways in touch ({ALLOWED} are allowed)'
        )
        return self._counted <= ALLOWED


if __name__ == '__main__':
    kit.run_case(
        pathlib.Path(__file__).resolve().parent,
        lambda record: Case(record).play(),
    )
