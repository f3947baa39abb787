"""Generates docs/settings.md from the settings classes of the programs.

Run it with ``python -m chivejunction.settings_page``.
"""

import pathlib
import typing

from chivejunction import agent
from chivejunction import ctl
from chivejunction import gateway
from chivejunction import settings

PAGE_PATH = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
PROGRAMS: dict[str, type[settings.Settings]] = {
    'chivejunction-gateway': gateway.GatewaySettings,
    'chivejunction-agent': agent.AgentSettings,
    'chivejunctionctl': ctl.CtlSettings,
}
PAGE_HEADER = """# Settings

Written by `python -m chivejunction.settings_page`; do not edit.

A flag goes before its environment variable. A value that is not accepted
ends the program with status 2 before it opens a socket; the message names
the setting, the value and what is accepted.
"""
TABLE_HEADER = (
    '| flag | variable | accepted | default | meaning |\n|---|---|---|---|---|'
)
# Texts for the constraints of pydantic fields.
CONSTRAINT_TEXTS = {
    'ge': 'at least {}',
    'gt': 'above {}',
    'le': 'at most {}',
    'lt': 'below {}',
    'min_length': 'at least {} characters',
    'max_length': 'at most {} characters',
    'pattern': 'matches `{}`',
}


def describe_accepted(field) -> str:
    """Returns a description of the values that a field accepts."""
    if typing.get_origin(field.annotation) is typing.Literal:
        return ', '.join(f'`{v}`' for v in typing.get_args(field.annotation))
    if settings.check_address in [
        getattr(constraint, 'func', None) for constraint in field.metadata
    ]:
        return 'IP address'
    if typing.get_origin(field.annotation) is not None:
        return 'str, empty or an HTTP URL'
    parts = [field.annotation.__name__]
    for constraint in field.metadata:
        for name, text in CONSTRAINT_TEXTS.items():
            value = getattr(constraint, name, None)
            if value is not None:
                parts.append(text.format(value))
    return ', '.join(parts).replace('|', '\\|')


def render_page() -> str:
    """Returns the page as Markdown."""
    parts = [PAGE_HEADER]
    for program, cls in PROGRAMS.items():
        lines = [f'## {program}', '', TABLE_HEADER]
        for name, field in cls.model_fields.items():
            default = (
                'required' if field.is_required() else f'`{field.default!r}`'
            )
            lines.append(
                f'| `{settings.flag_name(name)}` '
                f'| `{settings.variable_name(name)}` '
                f'| {describe_accepted(field)} | {default} '
                f'| {field.description} |'
            )
        parts.append('\n'.join(lines) + '\n')
    return '\n'.join(parts)


if __name__ == '__main__':
    PAGE_PATH.write_text(render_page())
