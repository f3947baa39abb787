"""Runs all measurements and writes figures, plots and a page.

Run as ``python -m bench.report``. Each measurement is a module of this
package that prints one JSON object. The figures go to
``docs/bench/figures.json``; the page compares them with the committed ones.
"""

import dataclasses
import importlib.util
import json
import pathlib
import statistics
import subprocess
import sys
import time

import fire

from bench import plots

FOLDER = pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'bench'
# Passes of the fixed piece of work that shows how noisy a run is.
NOISE_PASSES = 15
NOISE_STEPS = 200_000


@dataclasses.dataclass(frozen=True)
class Measurement:
    """One measurement.

    Attributes:
        module: Module of this package.
        about: What it measures.
        limit: Longest run in seconds.
        options: Command-line options.
    """

    module: str
    about: str
    limit: float
    options: tuple[str, ...] = ()


MEASUREMENTS = (
    Measurement('price', 'time and processor time that the router adds', 120),
    Measurement('decisions', 'time of one version choice', 60),
    Measurement('serverchoice', 'time of one server choice', 60),
    Measurement('quality', 'cost at the quality target', 120),
    Measurement('badversion', 'answers served by a bad version', 120),
    Measurement('selection', 'first token and cache hits by policy', 240),
    Measurement('domains', 'service while a failure domain leaves', 180),
    Measurement('overload', 'useful work at twice the load', 180),
    Measurement('faults', 'recovery from silent links and deaths', 180),
    Measurement('slopes', 'cost of state by its size', 60),
    Measurement('ratelimits', 'error of divided rate limits', 60),
    Measurement('inforce', 'time until a change is in force', 240),
)


def measure_noise() -> float:
    """Returns the relative spread of the time of a fixed piece of work."""
    times = []
    for _ in range(NOISE_PASSES):
        started = time.perf_counter()
        sum(range(NOISE_STEPS))
        times.append(time.perf_counter() - started)
    return statistics.stdev(times) / statistics.mean(times)


def run_measurement(measurement: Measurement, seed: int) -> dict:
    """Runs a measurement in a process of its own.

    Returns:
        Its figures, or ``{'failed': reason}``.
    """
    command = [
        sys.executable,
        '-m',
        f'bench.{measurement.module}',
        *measurement.options,
    ]
    if measurement.module != 'price':
        command.append(f'--seed={seed}')
    try:
        done = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=measurement.limit,
        )
    except subprocess.TimeoutExpired:
        return {'failed': f'not done in {measurement.limit:.0f} s'}
    if done.returncode:
        return {'failed': done.stderr.strip().splitlines()[-1:]}
    try:
        return json.loads(done.stdout[done.stdout.index('{') :])
    except ValueError:
        return {'failed': 'no JSON object in the output'}


def flatten(value, prefix: str = '') -> dict[str, float]:
    """Returns the numbers of nested figures by dotted name."""
    if isinstance(value, bool):
        return {prefix: float(value)}
    if isinstance(value, int | float):
        return {prefix: float(value)}
    items = {}
    if isinstance(value, dict):
        items = value
    elif isinstance(value, list) and len(value) <= 12:
        items = dict(enumerate(value))
    found = {}
    for key, entry in items.items():
        found.update(flatten(entry, f'{prefix}.{key}' if prefix else str(key)))
    return found


def render_page(figures: dict, before: dict) -> str:
    """Returns the page with all figures beside the former ones."""
    lines = [
        '# Measurements',
        '',
        f'Written by `make bench` with seed {figures["seed"]} on '
        f'{figures["date"]}, {figures["seconds"]:.0f} s in all. Noise is the '
        'relative spread of a fixed piece of work just before a measurement: '
        'above 0.1 the machine was busy and times are too long.',
        '',
    ]
    old = flatten(before.get('results', {}))
    for measurement in MEASUREMENTS:
        result = figures['results'].get(measurement.module)
        if result is None:
            continue
        lines += [
            f'## {measurement.module}: {measurement.about}',
            '',
            f'Command: `python -m bench.{measurement.module} '
            f'{" ".join(measurement.options)}`. '
            f'Noise: {figures["noise"][measurement.module]:.3f}.',
            '',
        ]
        if 'failed' in result:
            lines += [f'Failed: {result["failed"]}', '']
            continue
        picture = FOLDER / f'{measurement.module}.png'
        if picture.exists():
            lines += [f'![{measurement.about}]({picture.name})', '']
        lines += ['| figure | now | last committed |', '|---|---|---|']
        for name, number in flatten(result).items():
            former = old.get(f'{measurement.module}.{name}')
            shown = '' if former is None else f'{former:.5g}'
            lines.append(f'| {name} | {number:.5g} | {shown} |')
        lines.append('')
    return '\n'.join(lines)


def measure(seed: int = 1, only: str = '') -> str:
    """Runs the measurements and writes figures, plots and the page.

    Args:
        seed: Seed of all measurements.
        only: Comma-separated modules; all by default. The others keep their
            former figures.

    Returns:
        A short summary.
    """
    FOLDER.mkdir(parents=True, exist_ok=True)
    path = FOLDER / 'figures.json'
    before = json.loads(path.read_text()) if path.exists() else {}
    chosen = only.split(',') if isinstance(only, str) and only else list(only)
    results = dict(before.get('results', {}))
    noise = dict(before.get('noise', {}))
    started = time.monotonic()
    for measurement in MEASUREMENTS:
        if chosen and measurement.module not in chosen:
            continue
        if importlib.util.find_spec(f'bench.{measurement.module}') is None:
            continue
        noise[measurement.module] = measure_noise()
        begun = time.monotonic()
        result = run_measurement(measurement, seed)
        results[measurement.module] = result
        plots.draw(measurement.module, result, FOLDER)
        figures = {
            'seed': seed,
            'date': time.strftime('%Y-%m-%d'),
            'seconds': time.monotonic() - started,
            'noise': noise,
            'results': results,
        }
        # Written after each measurement, so that an interrupted run keeps
        # what it has.
        path.write_text(json.dumps(figures, indent=1) + '\n')
        (FOLDER / 'README.md').write_text(render_page(figures, before))
        print(
            f'{measurement.module}: {time.monotonic() - begun:.0f} s '
            f'{result.get("failed", "done")}',
            file=sys.stderr,
            flush=True,
        )
    failed = [name for name, r in results.items() if 'failed' in r]
    return f'{len(results)} measurements, failed: {failed or "none"}'


if __name__ == '__main__':
    fire.Fire(measure)
