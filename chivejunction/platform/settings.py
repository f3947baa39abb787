"""Settings file that the platform writes for each gateway process."""

import ipaddress
import os
from typing import Annotated

import pydantic
import yaml

from chivejunction import errors

PATH_VARIABLE = 'CHIVEJUNCTION_NODE_FILE'
MAX_PORT = 65535
# Far above all figures of the platform. Products of numbers up to this one
# are finite.
MAX_NUMBER = 10**15

# Numbers of the documents of the platform and of other writers.
Count = Annotated[int, pydantic.Field(ge=0, le=MAX_NUMBER)]
PositiveCount = Annotated[int, pydantic.Field(ge=1, le=MAX_NUMBER)]
Amount = Annotated[float, pydantic.Field(ge=0, le=MAX_NUMBER)]
PositiveAmount = Annotated[float, pydantic.Field(gt=0, le=MAX_NUMBER)]


def is_header_value(text: str) -> bool:
    """Returns whether a text may be the value of an HTTP header."""
    return text.isprintable() and text == text.strip()


class SettingsModel(pydantic.BaseModel):
    """Base of the models.

    Unknown fields are ignored, and a field that is null counts as absent.
    """

    model_config = pydantic.ConfigDict(
        extra='ignore', frozen=True, allow_inf_nan=False
    )

    @pydantic.model_validator(mode='before')
    @classmethod
    def _drop_null_fields(cls, document):
        if not isinstance(document, dict):
            return document
        return {k: v for k, v in document.items() if v is not None}


class Listen(SettingsModel):
    """Listening addresses of this process, each ``IP:PORT``.

    Attributes:
        front: Address for callers.
        ready: Address of the readiness endpoint.
    """

    front: str
    ready: str


class Resources(SettingsModel):
    """Resources of the host that this process may use.

    Attributes:
        cpu_share: Share of a CPU core of reference speed.
        cores: Speed of the core relative to the reference speed.
        memory_mb: Memory in MB.
        max_fds: Number of file descriptors.
    """

    cpu_share: float = pydantic.Field(1.0, gt=0)
    cores: float = pydantic.Field(1.0, gt=0)
    memory_mb: float = 256
    max_fds: int = 1024


class Bounds(SettingsModel):
    """Service levels that the users verify from outside.

    Attributes:
        revoke_ms: Milliseconds after which requests with a revoked API key
            must no longer run.
        config_deadline_ms: Milliseconds after which a configuration change
            must be in force.
        grace_period_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Extra attempts allowed for each request, over all
            gateways.
        retry_window_s: Seconds over which extra attempts are counted.
        retry_slack: Extra attempts allowed regardless of the number of
            requests.
    """

    revoke_ms: float = 5000
    config_deadline_ms: float = 3000
    grace_period_s: float = 8
    retry_budget_ratio: float = 0.5
    retry_window_s: float = 10
    retry_slack: float = 10


class StoreSettings(SettingsModel):
    """Address ``IP:PORT`` and limits of the platform's store."""

    address: str
    ttl_min_ms: float = 1000
    value_bytes: int = 1048576


class Settings(SettingsModel):
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


def is_ip_address(text: str) -> bool:
    """Returns whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def split_address(text: str) -> tuple[str, int]:
    """Returns IP address and port of ``IP:PORT``.

    Only IPv4 addresses are accepted; the platform looks up no names.

    Raises:
        SettingError: The text is not of this form.
    """
    address, _, port = text.rpartition(':')
    # int() accepts other digits than ASCII, and refuses very long numbers.
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if is_number and 0 < int(port) <= MAX_PORT and is_ip_address(address):
        return address, int(port)
    raise errors.SettingError(
        f'{text!r} is not an address; accepted is IP:PORT'
    )


def read_settings(path: str | None = None) -> Settings:
    """Reads the settings file.

    Args:
        path: Path of the file; None for the value of ``PATH_VARIABLE``.

    Raises:
        SettingError: The file is missing or a field is not valid; the
            message gives field, value and accepted values.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingError(
            f'{PATH_VARIABLE} is not set; accepted is the path of a file'
        )
    try:
        with open(path, encoding='utf-8') as file:
            document = yaml.safe_load(file)
    except Exception as exc:
        # The YAML parser raises errors of many types, depending on the text.
        raise errors.SettingError(f'{path} cannot be read: {exc}') from exc
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as exc:
        raise errors.SettingError(_describe_errors(path, exc)) from exc


def _describe_errors(path: str, exc: pydantic.ValidationError) -> str:
    """Returns one line with each wrong field, its value and the reason."""
    descriptions = [
        f'{".".join(map(str, error["loc"])) or "file"}: '
        f'{error["input"]!r} ({error["msg"]})'
        for error in exc.errors(include_url=False)
    ]
    return f'{path}: ' + '; '.join(descriptions)


class SettingsFile:
    """Detects changes of the settings file while the process runs.

    Args:
        path: Path of the file; None for the value of ``PATH_VARIABLE``.
    """

    def __init__(self, path: str | None = None):
        self._path = path or os.environ.get(PATH_VARIABLE, '')
        self._file_state = self._read_file_state()

    def _read_file_state(self) -> tuple[int, int]:
        """Returns modification time and size; zeros without a file."""
        try:
            status = os.stat(self._path)
        except OSError:
            # The file is being replaced or was removed; the settings that
            # were read before stay in force.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def read_if_changed(self) -> Settings | None:
        """Returns the settings if the file has changed since the last call.

        Raises:
            SettingError: The changed file is not valid.
        """
        file_state = self._read_file_state()
        if file_state in (self._file_state, (0, 0)):
            return None
        self._file_state = file_state
        return read_settings(self._path)
