"""Plots of the measurements."""

from collections.abc import Callable
import pathlib

from matplotlib import figure as figures

from chivejunction import registry

PLOTS: registry.Registry[Callable] = registry.Registry('plot')


def draw(name: str, result: dict, folder: pathlib.Path) -> None:
    """Draws the plot of a measurement if it has one.

    Args:
        name: Module of the measurement.
        result: Its figures.
        folder: Folder for the picture ``{name}.png``.
    """
    if name not in PLOTS or 'failed' in result:
        return
    figure = figures.Figure(figsize=(7, 3.5))
    axes = figure.subplots()
    PLOTS.get(name)(axes, result)
    figure.tight_layout()
    figure.savefig(folder / f'{name}.png', dpi=90)


@PLOTS.register('price')
def draw_price(axes, result: dict) -> None:
    """Draws the time to first token, direct and routed."""
    unloaded = result['unloaded']
    labels = ['p50', 'p95', 'p99']
    for offset, key in ((-0.2, 'direct'), (0.2, 'routed')):
        values = [unloaded[f'{key}_first_token_ms'][p] for p in labels]
        axes.bar([i + offset for i in range(3)], values, 0.4, label=key)
    axes.set_xticks(range(3), labels)
    axes.set_ylabel('first token, ms')
    axes.legend()
