"""Cost of state by its size, for docs/CAPACITY.md.

Run as ``python -m bench.slopes``; prints one JSON object. Each slope is a
least-squares line through sizes measured in this process.
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
    """Returns slope and intercept of a least-squares line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
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
    """Returns a configuration with 9 versions and some organisations."""
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
    """Measures time and size of a configuration by its organisations."""
    sizes = (50, 200, 800)
    apply, stored, memory = [], [], []
    for size in sizes:
        document = make_document(size, 1)
        text = document.model_dump_json().encode()
        apply.append(
            (size, time_call(lambda d=document: views.ConfigView().apply(d)))
        )
        stored.append((size, float(len(text))))
        tracemalloc.start()
        view = views.ConfigView()
        view.apply(resources.Document.model_validate_json(text))
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
    packed = zlib.compress(text)
    return {
        'apply_us': fit_line(apply),
        'bytes': fit_line(stored),
        'memory_kb': fit_line(memory),
        'compressed_share': len(packed) / len(text),
    }


def make_hosts(count: int) -> dict:
    """Returns a host list as the platform shows it."""
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
    """Measures time and size of the host list by its hosts."""
    parse, packed = [], []
    for count in (25, 250, 2350):
        value = make_hosts(count)
        parse.append((count, time_call(lambda v=value: parse_text(v))))
        text = json.dumps(value).encode()
        packed.append((count, float(len(zlib.compress(text)))))
    return {'parse_us': fit_line(parse), 'compressed_bytes': fit_line(packed)}


def parse_text(value: dict) -> list:
    """Returns the hosts of a list after a trip through JSON."""
    return host_list.parse_hosts(json.loads(json.dumps(value)))


def measure_members() -> dict:
    """Measures a gateway's table of members by the hosts it hears."""
    hear, refresh = [], []
    for count in (10, 50, 250):
        table = members.MemberTable('gw-0', 1)
        body = {'a': 'a', 't': members.LIVE, 'b': 1, 'r': 7, 'h': 4.0}

        def hear_all(table=table, count=count, body=body) -> None:
            for i in range(count):
                table.record_report(f'host-{i}', 'inc', body)

        hear.append((count, time_call(hear_all)))
        refresh.append(
            (
                count,
                time_call(lambda t=table: t.refresh(7, members.LIVE)),
            )
        )
    return {'hear_us': fit_line(hear), 'refresh_us': fit_line(refresh)}


def measure_messages() -> dict:
    """Measures sizes of frequent messages in bytes."""
    codec = codecs.CODECS.get('msgpack')
    beat = messages.Heartbeat(
        1000, {'r': 8, 'q': 3, 'w': 16, 's': 'ready', 'k': 100_000}
    )
    token = messages.Data('a' * 32, 4096, b'x' * 120)
    batch = ['host-01234567', 1_700_000_000_000, 100_000]
    record = ledger.UsageRecord('r' * 32, 'organisation', 'model-1', 900, 200)
    usage = messages.Usage('s' * 34, 100_000, record.pack())
    return {
        'heartbeat_bytes': len(codec.encode([*batch, [beat.pack()]])),
        'token_batch_bytes': len(codec.encode([*batch, [token.pack()]])),
        'usage_bytes': len(codec.encode([*batch, [usage.pack()]])),
    }


def measure_usage() -> dict:
    """Measures the usage document of a gateway by its organisations."""
    points = []
    for count in (10, 100, 1000):
        totals = {
            f'organisation-{i}': {
                f'model-{j}-1': ledger.Total(10, 9000, 2000, 1.5)
                for j in range(3)
            }
            for i in range(count)
        }
        marks = {f'{i:034d}': 100_000 for i in range(90)}
        document = billing.encode_document(totals, marks, set(), {}, 1)
        points.append((count, float(len(document))))
    return {'bytes': fit_line(points)}


def measure(seed: int = 1) -> str:
    """Runs all measurements; the seed is accepted for `make bench`."""
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
