"""Program settings from command-line flags and environment variables."""

from collections.abc import Callable
import inspect
import ipaddress
import os
import sys
from typing import Annotated
from typing import Literal

import fire
import pydantic

import chivejunction
from chivejunction import errors

ENVIRONMENT_PREFIX = 'CHIVEJUNCTION_'

Port = Annotated[int, pydantic.Field(ge=1, le=65535)]
HostName = Annotated[str, pydantic.Field(min_length=1, max_length=253)]
Url = Annotated[str, pydantic.Field(pattern=r'^https?://[^\s/]+(/\S*)?$')]


def check_address(value: str) -> str:
    """Returns the normalised form of an IP address.

    Raises:
        ValueError: The value is not an IP address.
    """
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as exc:
        raise ValueError('must be an IP address, like 10.0.0.1') from exc


Address = Annotated[str, pydantic.AfterValidator(check_address)]
SECRET = {'secret': True}


class Settings(pydantic.BaseModel):
    """Base of the settings of a program.

    Every field can be set by a flag or an environment variable; its
    description is the help text. Flags override environment variables.
    """

    # fire parses numeric strings, such as a host named 7, as numbers.
    model_config = pydantic.ConfigDict(
        extra='forbid', frozen=True, coerce_numbers_to_str=True
    )


class DaemonSettings(Settings):
    """Settings common to gateways and agents."""

    host: HostName = pydantic.Field(description='Name of this host.')
    failure_domain: HostName = pydantic.Field(
        description='Failure domain of this host.'
    )
    address: Address = pydantic.Field(
        '127.0.0.1', description='IP address to listen on.'
    )
    hosts_url: Url = pydantic.Field(
        description="URL of the platform's host list."
    )
    codec: Literal['msgpack', 'cbor'] = pydantic.Field(
        'msgpack', description='Codec between gateways and agents.'
    )
    log_level: Literal['debug', 'info', 'warning', 'error'] = pydantic.Field(
        'info', description='Least severe level that is logged.'
    )


def variable_name(field: str) -> str:
    """Returns the name of the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + field.upper()


def flag_name(field: str) -> str:
    """Returns the command-line flag of a setting."""
    return '--' + field.replace('_', '-')


def _is_secret(cls: type[Settings], field: str) -> bool:
    extra = cls.model_fields[field].json_schema_extra
    return extra == SECRET


def load_settings(cls: type[Settings], flags: dict) -> Settings:
    """Returns the validated settings of a program.

    Args:
        cls: Settings class of the program.
        flags: Values from the command line; None means that the flag is not
            set.

    Raises:
        SettingError: A setting is missing, unknown or has an invalid value.
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
        messages = []
        for error in exc.errors():
            field = str(error['loc'][0]) if error['loc'] else ''
            value = values.get(field, 'not set')
            if field in values and _is_secret(cls, field):
                value = '(hidden)'
            messages.append(
                f'{flag_name(field)} ({variable_name(field)}) = {value!r}: '
                f'{error["msg"]}'
            )
        raise errors.SettingError('\n'.join(messages)) from exc


def check_flags(cls: type[Settings], arguments: list[str]) -> None:
    """Rejects arguments that are not flags of a program.

    fire reports unknown arguments only after the program has run.

    Raises:
        SettingError: An argument is not a known flag or its value.
    """
    known_flags = {flag_name(field) for field in cls.model_fields}
    known_flags |= {f'--{field}' for field in cls.model_fields}
    expects_value = False
    for argument in arguments:
        name, has_value, _ = argument.partition('=')
        if argument in ('--', '--help', '-h'):
            return
        if name.startswith('--'):
            if name not in known_flags:
                raise errors.SettingError(
                    f'unknown flag {name}; accepted: '
                    f'{", ".join(map(flag_name, cls.model_fields))}'
                )
            expects_value = not has_value
        elif expects_value:
            expects_value = False
        else:
            raise errors.SettingError(
                f'unexpected argument {argument!r}; expected --name=value'
            )


def run_program(
    cls: type[Settings], run: Callable[[Settings], None], help_text: str
) -> None:
    """Parses the command line with fire and runs a program.

    Exits with status 2 before any socket is opened if a setting is invalid.

    Args:
        cls: Settings class of the program.
        run: Runs the program with its validated settings.
        help_text: Description of the program for ``--help``.
    """
    if '--version' in sys.argv[1:]:
        print(chivejunction.__version__)
        return

    try:
        check_flags(cls, sys.argv[1:])
    except errors.SettingError as exc:
        print(exc, file=sys.stderr)
        raise SystemExit(2) from exc

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
    argument_help = '\n'.join(
        f'    {name}: {field.description} Default: {field.default!r}.'
        for name, field in cls.model_fields.items()
    )
    start.__doc__ = f'{help_text}\n\nArgs:\n{argument_help}\n'
    fire.Fire(start, name=os.path.basename(sys.argv[0]))
