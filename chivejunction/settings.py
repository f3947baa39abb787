"""Settings from flags and environment variables."""

from collections.abc import Callable
import inspect
import os
import sys
from typing import Annotated

import fire
import pydantic

import chivejunction
from chivejunction import errors

ENVIRONMENT_PREFIX = 'CHIVEJUNCTION_'

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


class Settings(pydantic.BaseModel):
    """Base of the settings of a program.

    Every field is a flag and an environment variable; its description is
    the help text. Flags go before environment variables.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def variable_name(field: str) -> str:
    """Returns the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()


def flag_name(field: str) -> str:
    """Returns the flag of a setting."""
    return '--' + field.replace('_', '-')


def load_settings(cls: type[Settings], flags: dict) -> Settings:
    """Returns validated settings.

    Args:
        cls: Settings class of the program.
        flags: Values given on the command line; None means not given.

    Raises:
        SettingError: A value is missing, unknown or not accepted.
    """
    values = {}
    for field in cls.model_fields:
        if flags.get(field) is not None:
            values[field] = flags[field]
        elif variable_name(field) in os.environ:
            values[field] = os.environ[variable_name(field)]
    try:
        return cls.model_validate(values)
    except pydantic.ValidationError as exc:
        lines = []
        for problem in exc.errors():
            field = str(problem['loc'][0]) if problem['loc'] else ''
            given = values.get(field, 'not set')
            lines.append(
                f'{flag_name(field)} ({variable_name(field)}) = {given!r}: '
                f'{problem["msg"]}'
            )
        raise errors.SettingError('\n'.join(lines)) from exc


def run_program(
    cls: type[Settings], run: Callable[[Settings], None], help_text: str
) -> None:
    """Parses the command line with fire and runs a program.

    Exits with status 2 when a setting is not accepted, before any socket is
    opened.
    """
    if '--version' in sys.argv[1:]:
        print(chivejunction.__version__)
        return

    def start(**flags):
        try:
            settings = load_settings(cls, flags)
        except errors.SettingError as exc:
            print(exc, file=sys.stderr)
            raise SystemExit(2) from exc
        run(settings)

    start.__signature__ = inspect.Signature(
        [
            inspect.Parameter(
                name, inspect.Parameter.KEYWORD_ONLY, default=None
            )
            for name in cls.model_fields
        ]
    )
    described = '\n'.join(
        f'    {name}: {field.description} Default: {field.default!r}.'
        for name, field in cls.model_fields.items()
    )
    start.__doc__ = f'{help_text}\n\nArgs:\n{described}\n'
    fire.Fire(start, name=os.path.basename(sys.argv[0]))
