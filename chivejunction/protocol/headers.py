"""HTTP headers of callers and backend servers."""

from collections.abc import Iterable
import math
import re

from chivejunction import errors

MAX_HEADER_BYTES = 32 * 1024
MAX_SESSION_LENGTH = 255
MAX_KEY_LENGTH = 255
MAX_CLASS_LENGTH = 63
MAX_DEADLINE_MS = 600_000
# Headers that concern one connection only; RFC 9110, section 7.6.1.
HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Callers' credentials and headers that the gateway itself acts on.
CALLER_HEADERS = frozenset(
    {
        'authorization',
        'cookie',
        'host',
        'idempotency-key',
        'proxy-authorization',
        'x-api-key',
        'x-deadline-ms',
        'x-request-id',
    }
)
SERVER_HEADERS = frozenset({'date', 'server', 'proxy-authenticate'})
# Two values of one of these contradict each other.
SINGLE_HEADERS = frozenset(
    {
        'authorization',
        'content-type',
        'idempotency-key',
        'x-deadline-ms',
        'x-quality-target',
        'x-request-class',
        'x-session',
    }
)
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALUE = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
NUMBER = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')
PRINTABLE = re.compile(r'[\x21-\x7e]+')


def _refuse(detail: str) -> errors.RefusalError:
    return errors.RefusalError('invalid_request', detail)


def is_valid(name: str, value: str) -> bool:
    """Tells whether a header can be written without breaking framing."""
    return bool(NAME.fullmatch(name) and VALUE.fullmatch(value))


def parse_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns the headers of a request by lower-case name.

    Repeated headers are joined by a comma.

    Raises:
        RefusalError: A header is malformed, too long or repeated in
            contradiction.
    """
    found: dict[str, str] = {}
    size = 0
    for raw_name, raw_value in raw:
        size += len(raw_name) + len(raw_value)
        name = raw_name.decode('latin-1').lower()
        value = raw_value.decode('latin-1').strip()
        if not is_valid(name, value):
            raise _refuse(f'header {name!r} is malformed')
        if name in found and name in SINGLE_HEADERS:
            raise _refuse(f'header {name} is repeated')
        found[name] = f'{found[name]}, {value}' if name in found else value
    if size > MAX_HEADER_BYTES:
        raise errors.RefusalError(
            'headers_too_large', f'the limit is {MAX_HEADER_BYTES} bytes'
        )
    return found


def parse_number(
    headers: dict[str, str], name: str, default: float, highest: float
) -> float:
    """Returns the number in a header, or the default.

    Raises:
        RefusalError: It is not a plain number between 0 and the highest.
    """
    text = headers.get(name)
    if text is None:
        return default
    value = float(text) if NUMBER.fullmatch(text) else math.nan
    if not 0 <= value <= highest:
        raise _refuse(f'{name} must be a number from 0 to {highest:g}')
    return value


def parse_text(headers: dict[str, str], name: str, longest: int) -> str:
    """Returns the printable text in a header, empty without it.

    Raises:
        RefusalError: It is empty, too long or not printable ASCII.
    """
    text = headers.get(name)
    if text is None:
        return ''
    if len(text) > longest or not PRINTABLE.fullmatch(text):
        raise _refuse(
            f'{name} must be 1 to {longest} printable ASCII characters'
        )
    return text


def _drop(headers: dict[str, str], names: frozenset[str]) -> dict[str, str]:
    named = {
        token.strip().lower()
        for token in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_HEADERS and name not in names and name not in named
    }


def select_for_server(headers: dict[str, str]) -> dict[str, str]:
    """Returns the headers of a caller that a backend server may see."""
    return _drop(headers, CALLER_HEADERS)


def select_for_caller(headers: dict[str, str]) -> dict[str, str]:
    """Returns the headers of a backend server that a caller may see."""
    return {
        name: value
        for name, value in _drop(
            {str(k).lower(): str(v) for k, v in headers.items()},
            SERVER_HEADERS,
        ).items()
        if is_valid(name, value)
    }
