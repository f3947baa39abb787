"""Validation and filtering of HTTP headers."""

from collections.abc import Iterable
import math
import re

from chivejunction import errors

MAX_HEADER_BYTES = 32 * 1024
MAX_SESSION_LENGTH = 255
MAX_KEY_LENGTH = 255
MAX_REQUEST_CLASS_LENGTH = 63
MAX_DEADLINE_MS = 600_000
# Headers of a single connection; RFC 9110, section 7.6.1.
HOP_BY_HOP_HEADERS = frozenset(
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
# Credentials of callers and headers that the gateway itself processes; they
# are not forwarded to backend servers.
UNFORWARDED_REQUEST_HEADERS = frozenset(
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
# Response headers that are not forwarded to callers.
UNFORWARDED_RESPONSE_HEADERS = frozenset(
    {'date', 'server', 'proxy-authenticate'}
)
# Headers that may occur only once: two values would contradict each other.
SINGLETON_HEADERS = frozenset(
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
NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALUE_PATTERN = re.compile(r'[\t\x20-\x7e\x80-\xff]*')
NUMBER_PATTERN = re.compile(r'[0-9]{1,12}(\.[0-9]{1,12})?')
PRINTABLE_PATTERN = re.compile(r'[\x21-\x7e]+')


def _make_refusal(detail: str) -> errors.RefusalError:
    return errors.RefusalError('invalid_request', detail)


def is_valid_header(name: str, value: str) -> bool:
    """Returns whether a header can be sent without breaking the framing.

    Args:
        name: Header name.
        value: Header value.
    """
    return bool(
        NAME_PATTERN.fullmatch(name) and VALUE_PATTERN.fullmatch(value)
    )


def parse_headers(raw: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Returns the headers of a request by lower-case name.

    The values of a repeated header are joined by commas.

    Raises:
        RefusalError: A header is malformed, the headers are too long, or a
            header that may occur only once is repeated.
    """
    parsed: dict[str, str] = {}
    size = 0
    for raw_name, raw_value in raw:
        size += len(raw_name) + len(raw_value)
        name = raw_name.decode('latin-1').lower()
        value = raw_value.decode('latin-1').strip()
        if not is_valid_header(name, value):
            raise _make_refusal(f'header {name!r} is malformed')
        if name in parsed and name in SINGLETON_HEADERS:
            raise _make_refusal(f'header {name} is repeated')
        parsed[name] = f'{parsed[name]}, {value}' if name in parsed else value
    if size > MAX_HEADER_BYTES:
        raise errors.RefusalError(
            'headers_too_large', f'the limit is {MAX_HEADER_BYTES} bytes'
        )
    return parsed


def parse_number(
    headers: dict[str, str], name: str, default: float, maximum: float
) -> float:
    """Returns the number in a header, or the default without the header.

    Args:
        headers: Headers by lower-case name.
        name: Name of the header.
        default: Value to return if the header is missing.
        maximum: Maximum of the number.

    Raises:
        RefusalError: The value is not a decimal number from 0 to the maximum.
    """
    text = headers.get(name)
    if text is None:
        return default
    value = float(text) if NUMBER_PATTERN.fullmatch(text) else math.nan
    if not 0 <= value <= maximum:
        raise _make_refusal(f'{name} must be a number from 0 to {maximum:g}')
    return value


def parse_text(headers: dict[str, str], name: str, max_length: int) -> str:
    """Returns the text in a header, or an empty one without the header.

    Args:
        headers: Headers by lower-case name.
        name: Name of the header.
        max_length: Maximum length in characters.

    Raises:
        RefusalError: The value is empty, too long or not printable ASCII.
    """
    text = headers.get(name)
    if text is None:
        return ''
    if len(text) > max_length or not PRINTABLE_PATTERN.fullmatch(text):
        raise _make_refusal(
            f'{name} must be 1 to {max_length} printable ASCII characters'
        )
    return text


def _remove_headers(
    headers: dict[str, str], names: frozenset[str]
) -> dict[str, str]:
    """Returns headers without the named and the hop-by-hop ones.

    Headers that ``Connection`` lists are hop-by-hop too.
    """
    connection_headers = {
        token.strip().lower()
        for token in headers.get('connection', '').split(',')
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP_HEADERS
        and name not in names
        and name not in connection_headers
    }


def select_for_server(headers: dict[str, str]) -> dict[str, str]:
    """Returns the request headers to forward to a backend server."""
    return _remove_headers(headers, UNFORWARDED_REQUEST_HEADERS)


def select_for_caller(headers: dict[str, str]) -> dict[str, str]:
    """Returns the response headers to forward to a caller."""
    return {
        name: value
        for name, value in _remove_headers(
            {str(k).lower(): str(v) for k, v in headers.items()},
            UNFORWARDED_RESPONSE_HEADERS,
        ).items()
        if is_valid_header(name, value)
    }
