"""Overhead of the router: added latency, processor time and memory.

Run as ``python -m bench.price``; prints one JSON object. Processor time is
read per process, so that of the load generator is not included.
"""

import json
import statistics
import time

import anyio
import fire
import psutil

from bench import deployments
from bench import fleet
from chivejunction import clock
from chivejunction.transport import http_client

USER_MESSAGE = {'role': 'user', 'content': 'Welke draad past in een raam?'}
REQUEST_TIMEOUT_SECONDS = 60.0


async def measure_stream(
    client: http_client.Client,
    url: str,
    headers: dict,
    model: str,
    close_after_first: bool = False,
) -> tuple[float, int]:
    """Sends a request and reads its streamed response.

    Args:
        client: HTTP client.
        url: Base URL of an engine or a gateway.
        headers: Additional request headers.
        model: Name of the requested model.
        close_after_first: Whether to close the stream after the first chunk.

    Returns:
        Seconds to the first chunk, and the number of tokens received.
    """
    body = json.dumps(
        {'model': model, 'messages': [USER_MESSAGE], 'stream': True}
    ).encode()
    started = time.perf_counter()
    first_chunk_seconds = 0.0
    tokens = 0
    async with client.stream(
        'POST',
        f'{url}/v1/chat/completions',
        clock.make_deadline(REQUEST_TIMEOUT_SECONDS),
        {'content-type': 'application/json', **headers},
        body,
    ) as response:
        async for chunk in response.aiter_stream():
            first_chunk_seconds = (
                first_chunk_seconds or time.perf_counter() - started
            )
            tokens += chunk.count(b'"content"')
            if close_after_first:
                break
    return first_chunk_seconds, tokens


def percentile(values: list[float], share: float) -> float:
    """Returns a percentile of values; a share of 0.95 gives the 95th."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class OverheadMeasurement:
    """Measures one gateway in front of a pool of engines.

    Args:
        engines: Number of engines, each with an agent.
        streams: Concurrent streams in the loaded part.
        rounds: Consecutive requests of each concurrent stream.
        tokens: Tokens per response.
        gap: Seconds between the tokens of an engine.
        warm: Warm-up rounds of the loaded part. They open the slow-start
            windows of the agents, so that requests of the measured rounds
            do not queue.
    """

    def __init__(
        self,
        engines: int = 12,
        streams: int = 48,
        rounds: int = 4,
        tokens: int = 100,
        gap: float = 0.02,
        warm: int = 3,
    ):
        self.deployment = deployments.scale(deployments.RAAMWERK, engines, 1)
        self.streams = streams
        self.rounds = rounds
        self.warmup_rounds = warm
        self.engine_options = {
            'tokens': tokens,
            'between_tokens': gap,
            'first_token': 0.02,
        }

    def run(self) -> dict:
        """Starts the processes and returns the measured figures."""
        with fleet.Fleet(log_level='warning') as started:
            started.start_platform()
            deployments.start(started, self.deployment, self.engine_options)
            return anyio.run(self._measure, started)

    async def _measure(self, started: fleet.Fleet) -> dict:
        client = http_client.Client()
        gateway = started.members[self.deployment.gateways()[0]]
        agents = [
            started.members[name]
            for name in self.deployment.agents()[: self.deployment.engines]
        ]
        figures = {
            'idle': await self._measure_idle(gateway, agents[0]),
            'unloaded': await self._measure_unloaded(client, started, gateway),
            'loaded': await self._measure_loaded(client, gateway, agents),
        }
        await client.close()
        return figures

    async def _measure_idle(self, gateway, agent) -> dict:
        seconds = 5.0
        before = [read_cpu(gateway), read_cpu(agent)]
        await anyio.sleep(seconds)
        after = [read_cpu(gateway), read_cpu(agent)]
        return {
            'links': len(self.deployment.agents()),
            'gateway_core_percent': 100 * (after[0] - before[0]) / seconds,
            'agent_core_percent': 100 * (after[1] - before[1]) / seconds,
            'gateway_mb': read_memory(gateway),
            'agent_mb': read_memory(agent),
        }

    async def _measure_unloaded(self, client, started, gateway) -> dict:
        headers = {
            'authorization': 'Bearer '
            + self.deployment.credential_of('member-a')
        }
        engine = started.members[f'{self.deployment.name}-lm-0-server']
        direct, routed = [], []
        for _ in range(60):
            # Alternating exposes both to the same slow phases of the host.
            direct.append(
                (
                    await measure_stream(
                        client, engine.url(), {}, 'raam-small-1', True
                    )
                )[0]
            )
            routed.append(
                (
                    await measure_stream(
                        client, gateway.url(), headers, 'raam-small-1', True
                    )
                )[0]
            )
        return {
            'direct_first_token_ms': summarise(direct),
            'routed_first_token_ms': summarise(routed),
            'added_p50_ms': 1000
            * (statistics.median(routed) - statistics.median(direct)),
            'added_p95_ms': 1000
            * (percentile(routed, 0.95) - percentile(direct, 0.95)),
        }

    async def _measure_loaded(self, client, gateway, agents) -> dict:
        headers = {
            'authorization': 'Bearer '
            + self.deployment.credential_of('member-a')
        }
        first_token_seconds: list[float] = []
        token_count = 0

        async def read_many(rounds: int) -> None:
            nonlocal token_count
            for _ in range(rounds):
                first, tokens = await measure_stream(
                    client, gateway.url(), headers, 'raam-small-1'
                )
                first_token_seconds.append(first)
                token_count += tokens

        async def read_all(rounds: int) -> None:
            async with anyio.create_task_group() as group:
                for _ in range(self.streams):
                    group.start_soon(read_many, rounds)

        await read_all(self.warmup_rounds)
        first_token_seconds, token_count = [], 0
        before = read_cpu(gateway), sum(read_cpu(a) for a in agents)
        started_at = time.perf_counter()
        await read_all(self.rounds)
        seconds = time.perf_counter() - started_at
        after = read_cpu(gateway), sum(read_cpu(a) for a in agents)
        gateway_us = 1e6 * (after[0] - before[0]) / token_count
        agent_us = 1e6 * (after[1] - before[1]) / token_count
        return {
            'tokens_per_second': token_count / seconds,
            'requests_per_second': len(first_token_seconds) / seconds,
            'gateway_us_per_token': gateway_us,
            'agent_us_per_token': agent_us,
            'gateway_core_tokens_per_second': 1e6 / gateway_us,
            'agent_core_tokens_per_second': 1e6 / agent_us,
            'first_token_ms': summarise(first_token_seconds),
            'gateway_mb': read_memory(gateway),
            'agent_mb': read_memory(agents[0]),
        }


def summarise(seconds: list[float]) -> dict:
    """Returns p50, p95 and p99 of seconds in milliseconds."""
    return {
        f'p{int(100 * share)}': round(1000 * percentile(seconds, share), 2)
        for share in (0.5, 0.95, 0.99)
    }


def read_cpu(member: fleet.Member) -> float:
    """Returns the processor time of a process in seconds."""
    times = psutil.Process(member.process.pid).cpu_times()
    return times.user + times.system


def read_memory(member: fleet.Member) -> float:
    """Returns the resident memory of a process in MB."""
    return psutil.Process(member.process.pid).memory_info().rss / 2**20


def measure(**options) -> str:
    """Runs the measurement; options are those of OverheadMeasurement."""
    return json.dumps(OverheadMeasurement(**options).run(), indent=1)


if __name__ == '__main__':
    fire.Fire(measure)
