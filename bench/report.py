"""Runs all measurements and writes figures, plots and a report page.

Run as ``python -m bench.report``. Each measurement is a module of this
package that prints one JSON object. The figures go to
``docs/bench/figures.json``; the page compares them with the previous ones.
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

OUTPUT_FOLDER = (
    pathlib.Path(__file__).resolve().parent.parent / 'docs' / 'bench'
)
# Repetitions of the fixed workload whose time variation is the noise.
NOISE_PASSES = 15
NOISE_SUM_LENGTH = 200_000


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Command of one measurement.

    Attributes:
        module: Name of a module of this package.
        description: Heading on the report page.
        timeout_seconds: Time in seconds after which the run is stopped.
        options: Command-line options.
    """

    module: str
    description: str
    timeout_seconds: float
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
    """Returns the noise: the coefficient of variation of a workload's time."""
    times = []
    for _ in range(NOISE_PASSES):
        started = time.perf_counter()
        sum(range(NOISE_SUM_LENGTH))
        times.append(time.perf_counter() - started)
    return statistics.stdev(times) / statistics.mean(times)


def run_measurement(measurement: Measurement, seed: int) -> dict:
    """Runs a measurement in a separate process.

    Returns:
        The figures of the measurement, or ``{'failed': reason}``.
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
        completed = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=measurement.timeout_seconds,
        )
    except subprocess.TimeoutExpired:
        return {'failed': f'not done in {measurement.timeout_seconds:.0f} s'}
    if completed.returncode:
        return {'failed': completed.stderr.strip().splitlines()[-1:]}
    try:
        return json.loads(completed.stdout[completed.stdout.index('{') :])
    except ValueError:
        return {'failed': 'no JSON object in the output'}


def flatten(value, prefix: str = '') -> dict[str, float]:
    """Returns the numbers of nested figures by dotted name.

    Lists of more than 12 items are left out.
    """
    if isinstance(value, bool):
        return {prefix: float(value)}
    if isinstance(value, int | float):
        return {prefix: float(value)}
    items = {}
    if isinstance(value, dict):
        items = value
    elif isinstance(value, list) and len(value) <= 12:
        items = dict(enumerate(value))
    numbers = {}
    for key, entry in items.items():
        numbers.update(
            flatten(entry, f'{prefix}.{key}' if prefix else str(key))
        )
    return numbers


def render_page(figures: dict, previous: dict) -> str:
    """Returns the report page as Markdown.

    Args:
        figures: Figures of this run.
        previous: Figures of the previous run.
    """
    lines = [
        '# Measurements',
        '',
        f'Written by `make bench` with seed {figures["seed"]} on '
        f'{figures["date"]}, {figures["seconds"]:.0f} s in all. Noise is the '
        'relative spread of a fixed piece of work just before a measurement: '
        'above 0.1 the host was busy and times are too long.',
        '',
    ]
    previous_numbers = flatten(previous.get('results', {}))
    for measurement in MEASUREMENTS:
        result = figures['results'].get(measurement.module)
        if result is None:
            continue
        lines += [
            f'## {measurement.module}: {measurement.description}',
            '',
            f'Command: `python -m bench.{measurement.module} '
            f'{" ".join(measurement.options)}`. '
            f'Noise: {figures["noise"][measurement.module]:.3f}.',
            '',
        ]
        if 'failed' in result:
            lines += [f'Failed: {result["failed"]}', '']
            continue
        plot = OUTPUT_FOLDER / f'{measurement.module}.png'
        if plot.exists():
            lines += [f'![{measurement.description}]({plot.name})', '']
        lines += ['| figure | now | last committed |', '|---|---|---|']
        for name, number in flatten(result).items():
            previous_number = previous_numbers.get(
                f'{measurement.module}.{name}'
            )
            previous_text = (
                '' if previous_number is None else f'{previous_number:.5g}'
            )
            lines.append(f'| {name} | {number:.5g} | {previous_text} |')
        lines.append('')
    return '\n'.join(lines)


def measure(seed: int = 1, only: str = '') -> str:
    """Runs the measurements and writes figures, plots and the page.

    Args:
        seed: Seed of all measurements that accept one.
        only: Comma-separated module names; all by default. The others keep
            their previous figures.

    Returns:
        The number of measurements and the names of those that failed.
    """
    OUTPUT_FOLDER.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_FOLDER / 'figures.json'
    previous = json.loads(path.read_text()) if path.exists() else {}
    selected = (
        only.split(',') if isinstance(only, str) and only else list(only)
    )
    results = dict(previous.get('results', {}))
    noise = dict(previous.get('noise', {}))
    started = time.monotonic()
    for measurement in MEASUREMENTS:
        if selected and measurement.module not in selected:
            continue
        if importlib.util.find_spec(f'bench.{measurement.module}') is None:
            continue
        noise[measurement.module] = measure_noise()
        run_started = time.monotonic()
        result = run_measurement(measurement, seed)
        results[measurement.module] = result
        plots.draw(measurement.module, result, OUTPUT_FOLDER)
        figures = {
            'seed': seed,
            'date': time.strftime('%Y-%m-%d'),
            'seconds': time.monotonic() - started,
            'noise': noise,
            'results': results,
        }
        # Written after each measurement, so that an interrupted run keeps
        # the completed ones.
        path.write_text(json.dumps(figures, indent=1) + '\n')
        (OUTPUT_FOLDER / 'README.md').write_text(
            render_page(figures, previous)
        )
        print(
            f'{measurement.module}: {time.monotonic() - run_started:.0f} s '
            f'{result.get("failed", "done")}',
            file=sys.stderr,
            flush=True,
        )
    failed = [name for name, r in results.items() if 'failed' in r]
    return f'{len(results)} measurements, failed: {failed or "none"}'


if __name__ == '__main__':
    fire.Fire(measure)
