"""Plots of the measurements."""

from collections.abc import Callable
import pathlib

from matplotlib import figure as figures

from chivejunction import registry

PLOTS: registry.Registry[Callable] = registry.Registry('plot')


def draw(name: str, result: dict, folder: pathlib.Path) -> None:
    """Draws the plot of a measurement that has one and did not fail.

    Args:
        name: Module name of the measurement.
        result: Figures of the measurement.
        folder: Folder in which to write ``{name}.png``.
    """
    if name not in PLOTS or 'failed' in result:
        return
    figure = figures.Figure(figsize=(7, 3.5))
    axes = figure.subplots()
    PLOTS.get(name)(axes, result)
    figure.tight_layout()
    figure.savefig(folder / f'{name}.png', dpi=90)


@PLOTS.register('price')
def draw_overhead(axes, result: dict) -> None:
    """Draws the time to first token, direct and routed."""
    unloaded = result['unloaded']
    labels = ['p50', 'p95', 'p99']
    for offset, key in ((-0.2, 'direct'), (0.2, 'routed')):
        values = [unloaded[f'{key}_first_token_ms'][p] for p in labels]
        axes.bar([i + offset for i in range(3)], values, 0.4, label=key)
    axes.set_xticks(range(3), labels)
    axes.set_ylabel('first token, ms')
    axes.legend()


@PLOTS.register('selection')
def draw_selection(axes, result: dict) -> None:
    """Draws the time to first token by server policy."""
    policies = {
        name: policy_figures
        for name, policy_figures in result.get('policies', result).items()
        if isinstance(policy_figures, dict)
        and 'first_token_s' in policy_figures
    }
    for offset, key in ((-0.2, 'p50'), (0.2, 'p95')):
        values = [policy['first_token_s'][key] for policy in policies.values()]
        axes.bar(
            [i + offset for i in range(len(values))], values, 0.4, label=key
        )
    axes.set_xticks(range(len(policies)), list(policies))
    axes.set_ylabel('first token, s')
    axes.legend()


@PLOTS.register('quality')
def draw_quality(axes, result: dict) -> None:
    """Draws the cost at the quality target relative to the oracle."""
    results = result['results']
    values = [entry['cost_to_oracle'] for entry in results.values()]
    axes.barh(range(len(values)), values)
    axes.set_yticks(range(len(values)), list(results))
    axes.axvline(1.1, linestyle='--', color='black')
    axes.set_xlabel('cost relative to the oracle; dashed: goal')


@PLOTS.register('domains')
def draw_domains(axes, result: dict) -> None:
    """Draws the time to first token by second around each event."""
    for name, event_figures in result.get('events', result).items():
        if (
            isinstance(event_figures, dict)
            and 'p95_first_token_s' in event_figures
        ):
            axes.plot(
                event_figures['second'],
                event_figures['p95_first_token_s'],
                label=name,
            )
    axes.set_xlabel('seconds after the event')
    axes.set_ylabel('first token p95, s')
    axes.legend()


@PLOTS.register('inforce')
def draw_inforce(axes, result: dict) -> None:
    """Draws the time until a change is in force by the number of daemons."""
    counts = [size['daemons'] for size in result['sizes']]
    for key in ('p50', 'worst'):
        values = [size['in_force_seconds'][key] for size in result['sizes']]
        axes.plot(counts, values, marker='o', label=key)
    axes.set_xlabel('daemons')
    axes.set_ylabel('in force, s')
    axes.legend()
