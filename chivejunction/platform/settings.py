"""Settings file that the platform writes for each gateway process."""

import dataclasses
import ipaddress
import os
import reprlib
from typing import Annotated

import pydantic
import yaml

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import features
from chivejunction.scheduling import domain_shares

PATH_VARIABLE = 'CHIVEJUNCTION_NODE_FILE'
FEATURES_VARIABLE = 'CHIVEJUNCTION_FEATURES'
# Copies of prefixes take memory of engines. They are made sparingly where
# engines fail for lack of it.
REQUIRED_POLICIES = {features.Feature.PREFIX_PLACEMENT: 'pressure'}
DOMAIN_LINK_COST_VARIABLE = 'CHIVEJUNCTION_DOMAIN_LINK_COST'
REGION_LINK_COST_VARIABLE = 'CHIVEJUNCTION_REGION_LINK_COST'
MAX_LINK_COST = 10_000.0
MAX_PORT = 65535
MAX_NESTING = 32
# Text of a wrong value; aliases can make that of a short file very long.
VALUE_TEXT = reprlib.Repr()
VALUE_TEXT.maxlevel = 3
VALUE_TEXT.maxstring = VALUE_TEXT.maxother = 200
# Time after which a file that is not valid is read once more: it may have been
# read while it was written.
RETRY_SECONDS = 1.0
# Far above all figures of the platform. Products of numbers up to this one
# are finite.
MAX_NUMBER = 10**15


def is_header_value(text: str) -> bool:
    """Returns whether a text may be the value of an HTTP header."""
    return bool(text) and text.isprintable() and text == text.strip()


def _check_header_value(text: str) -> str:
    if not is_header_value(text):
        raise ValueError('not the value of a header')
    return text


def _make_whole(number):
    """Returns a number such as 3.0 as an integer; others are unchanged."""
    if isinstance(number, float) and number.is_integer():
        return int(number)
    return number


def _list_texts(value) -> tuple[str, ...]:
    """Returns the texts of a list; none for anything else."""
    if not isinstance(value, list | tuple):
        return ()
    return tuple(item for item in value if isinstance(item, str))


HeaderValue = Annotated[str, pydantic.AfterValidator(_check_header_value)]
Count = Annotated[
    int,
    pydantic.BeforeValidator(_make_whole),
    pydantic.Field(ge=0, le=MAX_NUMBER),
]
PositiveCount = Annotated[Count, pydantic.Field(ge=1)]
Amount = Annotated[float, pydantic.Field(ge=0, le=MAX_NUMBER)]
PositiveAmount = Annotated[float, pydantic.Field(gt=0, le=MAX_NUMBER)]
Port = Annotated[int, pydantic.Field(gt=0, le=MAX_PORT)]


def _ignore_invalid(value, validate):
    """Returns a valid value, or None for the default in its place."""
    try:
        return validate(value)
    except pydantic.ValidationError:
        return None


# Fields without which a gateway runs as well.
OptionalAmount = Annotated[
    PositiveAmount | None, pydantic.WrapValidator(_ignore_invalid)
]
OptionalCount = Annotated[
    PositiveCount | None, pydantic.WrapValidator(_ignore_invalid)
]


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


def _check_ip_address(text: str) -> str:
    if not is_ip_address(text):
        raise ValueError('not an IPv4 address')
    return text


def _check_socket_address(text: str) -> str:
    try:
        split_address(text)
    except errors.SettingError as exc:
        raise ValueError(str(exc)) from exc
    return text


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
        memory_mb: Memory in MB; None if missing or not valid.
        max_fds: Descriptors, those of files included; None likewise.
    """

    cpu_share: PositiveAmount = 1.0
    cores: PositiveAmount = 1.0
    memory_mb: OptionalAmount = None
    max_fds: OptionalCount = None


class Bounds(SettingsModel):
    """Service levels that the users verify from outside.

    Attributes:
        revoke_ms: Milliseconds after which requests with a revoked API key
            must no longer run.
        grace_period_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Extra attempts allowed for each request, over all
            gateways.
        retry_window_s: Seconds over which extra attempts are counted.
        retry_slack: Extra attempts allowed regardless of the number of
            requests.
    """

    revoke_ms: PositiveAmount = 5000
    grace_period_s: Amount = 8
    retry_budget_ratio: Amount = 0.5
    retry_window_s: PositiveAmount = 10
    retry_slack: Amount = 10


class StoreSettings(SettingsModel):
    """Address ``IP:PORT`` of the platform's store."""

    address: Annotated[str, pydantic.AfterValidator(_check_socket_address)]


class Settings(SettingsModel):
    """Settings of one process."""

    node_name: str = pydantic.Field(min_length=1)
    zone: str = pydantic.Field(min_length=1)
    region: str = pydantic.Field(min_length=1)
    zones: dict[str, str] = {}
    ip: Annotated[str, pydantic.AfterValidator(_check_ip_address)]
    listen: Listen
    internal_ports: tuple[Port, Port]
    policies: Annotated[
        tuple[str, ...], pydantic.BeforeValidator(_list_texts)
    ] = ()
    limits: Resources = Resources()
    bounds: Bounds = Bounds()
    platform: StoreSettings


class BoundedLoader(yaml.SafeLoader):
    """Loader that refuses deep nesting.

    The time of the parser grows with the square of the depth, and nothing
    else runs meanwhile.
    """

    _depth = 0

    def fetch_flow_collection_start(self, TokenClass):
        """Reads the start of a list or mapping in brackets.

        The scanner reads ahead of the nodes.
        """
        if self.flow_level == MAX_NESTING:
            raise yaml.YAMLError(f'over {MAX_NESTING} levels of brackets')
        super().fetch_flow_collection_start(TokenClass)

    def compose_node(self, parent, index):
        """Composes a node and those below it."""
        if self._depth == MAX_NESTING:
            raise yaml.YAMLError(f'over {MAX_NESTING} levels of nesting')
        self._depth += 1
        try:
            return super().compose_node(parent, index)
        finally:
            self._depth -= 1


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
            document = yaml.load(file, Loader=BoundedLoader)
    except Exception as exc:
        # The YAML parser raises errors of many types, depending on the text.
        raise errors.SettingError(f'{path} cannot be read: {exc!r}') from exc
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as exc:
        raise errors.SettingError(_describe_errors(path, exc)) from exc


def read_features(
    policies: tuple[str, ...] = (),
) -> frozenset[features.Feature]:
    """Returns the features that ``FEATURES_VARIABLE`` switches on.

    Args:
        policies: Policies in force on the platform; a feature that answers a
            policy is off without it.

    Raises:
        SettingError: A name is not that of a feature.
    """
    try:
        named = features.parse_features(os.environ.get(FEATURES_VARIABLE, ''))
    except ValueError as exc:
        raise errors.SettingError(f'{FEATURES_VARIABLE}: {exc}') from exc
    return frozenset(
        feature
        for feature in named
        if REQUIRED_POLICIES.get(feature, '') in ('', *policies)
    )


def _read_link_cost(variable: str) -> float | None:
    """Returns a cost in seconds per MB, None if it is not declared.

    Raises:
        SettingError: The value is not a number from 0 to ``MAX_LINK_COST``.
    """
    text = os.environ.get(variable, '').strip()
    if not text:
        return None
    try:
        cost = float(text)
    except ValueError:
        cost = -1.0
    if not 0 <= cost <= MAX_LINK_COST:
        raise errors.SettingError(
            f'{variable}: {text!r} is not a cost; accepted are seconds per '
            f'MB from 0 to {MAX_LINK_COST:.0f}'
        )
    return cost


def read_link_costs() -> domain_shares.LinkCosts:
    """Returns the declared costs of links, defaults for the others.

    Raises:
        SettingError: A cost is not valid.
    """
    costs = domain_shares.LinkCosts(
        region_seconds_per_mb=_read_link_cost(REGION_LINK_COST_VARIABLE)
    )
    domain_cost = _read_link_cost(DOMAIN_LINK_COST_VARIABLE)
    if domain_cost is None:
        return costs
    return dataclasses.replace(costs, domain_seconds_per_mb=domain_cost)


def _describe_errors(path: str, exc: pydantic.ValidationError) -> str:
    """Returns one line with each wrong field, its value and the reason."""
    descriptions = [
        f'{".".join(map(str, error["loc"])) or "file"}: '
        f'{VALUE_TEXT.repr(error["input"])} ({error["msg"]})'
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
        # Monotonic time at which the file is read again; None for never.
        self._retry_at: float | None = None

    def _read_file_state(self) -> tuple[int, ...]:
        """Returns times, size and inode; empty without a file."""
        try:
            status = os.stat(self._path)
        except (OSError, ValueError):
            # The file is being replaced or was removed; the settings that
            # were read before stay in force.
            return ()
        return (
            status.st_mtime_ns,
            status.st_ctime_ns,
            status.st_size,
            status.st_ino,
        )

    def read_if_changed(self) -> Settings | None:
        """Returns the settings if the file has changed since the last call.

        A changed file that is not valid is read once more after a while.

        Raises:
            SettingError: The changed file is not valid.
        """
        file_state = self._read_file_state()
        is_changed = bool(file_state) and file_state != self._file_state
        is_retry = self._retry_at is not None and clock.has_passed(
            self._retry_at
        )
        if not is_changed and not is_retry:
            return None
        self._file_state = file_state or self._file_state
        self._retry_at = None
        try:
            return read_settings(self._path)
        except errors.SettingError:
            if is_changed:
                self._retry_at = clock.make_deadline(RETRY_SECONDS)
            raise
