"""Writes docs/settings.md from the settings models of the programs.

``python -m chivejunction.settings_page`` writes the page.
"""

import pathlib
import typing

from chivejunction import agent
from chivejunction import ctl
from chivejunction import gateway
from chivejunction import settings

PAGE = pathlib.Path(__file__).parent.parent / 'docs' / 'settings.md'
PROGRAMS: dict[str, type[settings.Settings]] = {
    'chivejunction-gateway': gateway.GatewaySettings,
    'chivejunction-agent': agent.AgentSettings,
    'chivejunctionctl': ctl.CtlSettings,
}
HEAD = """# Settings

Written by `python -m chivejunction.settings_page`; do not edit.

A flag goes before its environment variable. A value that is not accepted
ends the program with status 2 before it opens a socket; the message names
the setting, the value and what is accepted.
"""
COLUMNS = (
    '| flag | variable | accepted | default | meaning |\n|---|---|---|---|---|'
)
# Limits of pydantic's annotations, as text.
LIMITS = {
    'ge': 'at least {}',
    'gt': 'above {}',
    'le': 'at most {}',
    'lt': 'below {}',
    'min_length': 'at least {} characters',
    'max_length': 'at most {} characters',
    'pattern': 'matches `{}`',
}


def describe_accepted(field) -> str:
    """Returns what values a field accepts."""
    if typing.get_origin(field.annotation) is typing.Literal:
        return ', '.join(f'`{v}`' for v in typing.get_args(field.annotation))
    if settings.check_address in [
        getattr(entry, 'func', None) for entry in field.metadata
    ]:
        return 'IP address'
    if typing.get_origin(field.annotation) is not None:
        return 'str, empty or an HTTP URL'
    found = [field.annotation.__name__]
    for entry in field.metadata:
        for name, text in LIMITS.items():
            value = getattr(entry, name, None)
            if value is not None:
                found.append(text.format(value))
    return ', '.join(found).replace('|', '\\|')


def make_page() -> str:
    """Returns the page."""
    parts = [HEAD]
    for program, cls in PROGRAMS.items():
        lines = [f'## {program}', '', COLUMNS]
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
    PAGE.write_text(make_page())
