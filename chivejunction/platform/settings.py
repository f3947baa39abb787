"""Settings file that the platform writes for each process."""

import os

import pydantic
import yaml

from chivejunction import errors

PATH_VARIABLE = 'CHIVEJUNCTION_NODE_FILE'
MAX_PORT = 65535


class Model(pydantic.BaseModel):
    """Base of the settings; fields that are not known are left out."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)


class Listen(Model):
    """Addresses of this process, each ``IP:PORT``.

    Attributes:
        front: Where callers connect.
        ready: Where the platform asks whether this process is ready.
    """

    front: str
    ready: str


class Resources(Model):
    """What the host gives to this process.

    Attributes:
        cpu_share: Part of a core of usual speed.
        cores: Times by which the core is faster than usual.
        memory_mb: Memory in MB.
        max_fds: Descriptors.
    """

    cpu_share: float = pydantic.Field(1.0, gt=0)
    cores: float = pydantic.Field(1.0, gt=0)
    memory_mb: float = 256
    max_fds: int = 1024


class Bounds(Model):
    """Bounds that the users check from outside.

    Attributes:
        revoke_ms: Time after which a withdrawn key must not run.
        config_deadline_ms: Time after which a change must be in force.
        grace_period_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Extra attempts for each request, all gateways.
        retry_window_s: Seconds over which they are counted.
        retry_slack: Extra attempts that need no requests.
    """

    revoke_ms: float = 5000
    config_deadline_ms: float = 3000
    grace_period_s: float = 8
    retry_budget_ratio: float = 0.5
    retry_window_s: float = 10
    retry_slack: float = 10


class StoreSettings(Model):
    """The platform's store; ``address`` is ``IP:PORT``."""

    address: str
    ttl_min_ms: float = 1000
    value_bytes: int = 1048576


class Settings(Model):
    """Settings of one process."""

    node_name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    zones: dict[str, str] = {}
    ip: str
    listen: Listen
    internal_ports: tuple[int, int]
    limits: Resources = Resources()
    bounds: Bounds = Bounds()
    platform: StoreSettings


def split_address(text: str) -> tuple[str, int]:
    """Returns IP address and port of ``IP:PORT``.

    Raises:
        SettingError: The text has another form.
    """
    address, _, port = text.rpartition(':')
    if address and port.isdigit() and 0 < int(port) <= MAX_PORT:
        return address, int(port)
    raise errors.SettingError(
        f'{text!r} is not an address; accepted is IP:PORT'
    )


def read_settings(path: str | None = None) -> Settings:
    """Reads the settings file.

    Args:
        path: Path of the file; None for the one that the platform names.

    Raises:
        SettingError: The file is missing or a field is not accepted; the
            message names field, value and what is accepted.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingError(
            f'{PATH_VARIABLE} is not set; accepted is the path of a file'
        )
    try:
        with open(path, encoding='utf-8') as file:
            value = yaml.safe_load(file)
    except (OSError, yaml.YAMLError) as exc:
        raise errors.SettingError(f'{path} cannot be read: {exc}') from exc
    try:
        return Settings.model_validate(value)
    except pydantic.ValidationError as exc:
        raise errors.SettingError(describe_errors(path, exc)) from exc


def describe_errors(path: str, exc: pydantic.ValidationError) -> str:
    """Returns one line that names each field, value and what is accepted."""
    rows = [
        f'{".".join(map(str, row["loc"])) or "file"}: '
        f'{row["input"]!r} ({row["msg"]})'
        for row in exc.errors(include_url=False)
    ]
    return f'{path}: ' + '; '.join(rows)


class SettingsFile:
    """Settings file that may change while the program runs.

    Args:
        path: Path of the file; None for the one that the platform names.
    """

    def __init__(self, path: str | None = None):
        self._path = path or os.environ.get(PATH_VARIABLE, '')
        self._stamp = self._find_stamp()

    def _find_stamp(self) -> tuple[int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            # The file is being replaced, or gone; what was read stays.
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    def read_changes(self) -> Settings | None:
        """Returns the settings if the file has changed since the last call.

        Raises:
            SettingError: The file has changed and is not accepted.
        """
        stamp = self._find_stamp()
        if stamp in (self._stamp, (0, 0)):
            return None
        self._stamp = stamp
        return read_settings(self._path)
