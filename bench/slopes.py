"""Time and memory of state by its size, for docs/CAPACITY.md.

Run as ``python -m bench.slopes``; prints one JSON object. Each slope is
that of a least-squares line through sizes measured in this process.
"""

from collections.abc import Callable
import json
import random
import time
import tracemalloc
import zlib

import fire

from chivejunction.coordination import billing
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.protocol import resources
from chivejunction.state import ledger
from chivejunction.state import members
from chivejunction.state import views
from chivejunction.transport import host_list

REPEATS = 7


def fit_line(points: list[tuple[float, float]]) -> dict:
    """Returns slope, intercept and points of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points)
        / squared_deviations
    )
    return {
        'slope': slope,
        'intercept': mean_y - slope * mean_x,
        'points': {str(int(x)): round(y, 3) for x, y in points},
    }


def time_call(call: Callable[[], object]) -> float:
    """Returns the shortest processor time of a call in microseconds."""
    best = float('inf')
    for _ in range(REPEATS):
        started = time.process_time()
        call()
        best = min(best, time.process_time() - started)
    return 1e6 * best


def make_document(organisations: int, revision: int) -> resources.Document:
    """Returns a configuration with 9 versions and the given organisations.

    Args:
        organisations: Number of organisations.
        revision: Revision of the configuration.
    """
    versions = {
        f'model-{i}-1': {
            'name': f'model-{i}-1',
            'model': f'model-{i}',
            'pool': 'lm-pool',
            'quality': {'faq': 0.9, 'advice': 0.8},
        }
        for i in range(9)
    }
    names = [f'organisation-{i}' for i in range(organisations)]
    return resources.Document(
        revision=revision,
        resources={
            'modelversion': versions,
            'organisation': {
                name: {
                    'name': name,
                    'key_hashes': [resources.hash_key(name)],
                    'models': [f'model-{i}' for i in range(9)],
                }
                for name in names
            },
        },
        changed={f'organisation/{name}': revision for name in names},
    )


def measure_documents() -> dict:
    """Measures a configuration by its number of organisations."""
    sizes = (50, 200, 800)
    apply_times, sizes_in_bytes, memory_sizes = [], [], []
    for size in sizes:
        document = make_document(size, 1)
        text = document.model_dump_json().encode()
        apply_times.append(
            (size, time_call(lambda d=document: views.ConfigView().apply(d)))
        )
        sizes_in_bytes.append((size, float(len(text))))
        tracemalloc.start()
        view = views.ConfigView()
        view.apply(resources.Document.model_validate_json(text))
        memory_sizes.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    compressed = zlib.compress(text)
    return {
        'apply_us': fit_line(apply_times),
        'bytes': fit_line(sizes_in_bytes),
        'memory_kb': fit_line(memory_sizes),
        'compressed_share': len(compressed) / len(text),
    }


def make_hosts(count: int) -> dict:
    """Returns a host list in the format of the platform."""
    rng = random.Random(1)
    return {
        'hosts': [
            {
                'host': f'host-{rng.getrandbits(32):08x}',
                'role': 'agent' if i % 7 else 'gateway',
                'failure_domain': f'domain-{i % 11}',
                'region': f'region-{i % 5}',
                'pool': f'pool-{i % 4}',
                'control_address': '',
                'data_address': f'tcp://10.{i % 256}.{i // 256}.1:9000',
                'state': 'live',
            }
            for i in range(count)
        ]
    }


def measure_hosts() -> dict:
    """Measures the host list by its number of hosts."""
    parse_times, compressed_sizes = [], []
    for count in (25, 250, 2350):
        value = make_hosts(count)
        parse_times.append(
            (count, time_call(lambda v=value: parse_host_list(v)))
        )
        text = json.dumps(value).encode()
        compressed_sizes.append((count, float(len(zlib.compress(text)))))
    return {
        'parse_us': fit_line(parse_times),
        'compressed_bytes': fit_line(compressed_sizes),
    }


def parse_host_list(value: dict) -> list:
    """Encodes a host list as JSON, then decodes and parses it."""
    return host_list.parse_hosts(json.loads(json.dumps(value)))


def measure_members() -> dict:
    """Measures a gateway's member table by its number of reporting hosts."""
    record_times, refresh_times = [], []
    for count in (10, 50, 250):
        table = members.MemberTable('gw-0', 1)
        body = {'a': 'a', 't': members.LIVE, 'b': 1, 'r': 7, 'h': 4.0}

        def record_all(table=table, count=count, body=body) -> None:
            for i in range(count):
                table.record_report(f'host-{i}', 'inc', body)

        record_times.append((count, time_call(record_all)))
        refresh_times.append(
            (
                count,
                time_call(lambda t=table: t.refresh(7, members.LIVE)),
            )
        )
    return {
        'hear_us': fit_line(record_times),
        'refresh_us': fit_line(refresh_times),
    }


def measure_messages() -> dict:
    """Returns the encoded sizes of frequent messages in bytes."""
    codec = codecs.CODECS.get('msgpack')
    heartbeat = messages.Heartbeat(
        1000, {'r': 8, 'q': 3, 'w': 16, 's': 'ready', 'k': 100_000}
    )
    token = messages.Data('a' * 32, 4096, b'x' * 120)
    frame_header = ['host-01234567', 1_700_000_000_000, 100_000]
    record = ledger.UsageRecord('r' * 32, 'organisation', 'model-1', 900, 200)
    usage = messages.Usage('s' * 34, 100_000, record.pack())
    return {
        'heartbeat_bytes': len(
            codec.encode([*frame_header, [heartbeat.pack()]])
        ),
        'token_batch_bytes': len(
            codec.encode([*frame_header, [token.pack()]])
        ),
        'usage_bytes': len(codec.encode([*frame_header, [usage.pack()]])),
    }


def measure_usage() -> dict:
    """Measures a gateway's usage document by its number of organisations."""
    points = []
    for count in (10, 100, 1000):
        totals = {
            f'organisation-{i}': {
                f'model-{j}-1': ledger.Total(10, 9000, 2000, 1.5)
                for j in range(3)
            }
            for i in range(count)
        }
        watermarks = {f'{i:034d}': 100_000 for i in range(90)}
        document = billing.encode_document(totals, watermarks, set(), {}, 1)
        points.append((count, float(len(document))))
    return {'bytes': fit_line(points)}


def measure(seed: int = 1) -> str:
    """Runs all measurements.

    Args:
        seed: Ignored; accepted because `make bench` passes one.
    """
    del seed
    return json.dumps(
        {
            'configuration': measure_documents(),
            'hosts': measure_hosts(),
            'members': measure_members(),
            'messages': measure_messages(),
            'usage_document': measure_usage(),
        },
        indent=1,
    )


if __name__ == '__main__':
    fire.Fire(measure)
