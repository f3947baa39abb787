"""HTTP headers of callers and backend servers on the platform."""

import math

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import forwarding

REQUEST_ID = b'request-id'
DEADLINE = b'deadline-ms'
API_KEY = b'x-api-key'
ORGANISATION = b'tenant'
INSTANCE = b'expect-instance'
MODEL = b'model'
TOKEN_COUNTS = b'token-count'
PROMPT_PARTS = b'prompt-prefix'
LAST_EVENT = b'last-event-id'
URGENCY = b'request-priority'
SESSION = b'session'
COPY_FROM = b'kv-fetch'
LENGTH_HINT = b'length-hint'
SIGNATURE = b'response-seal'
NOT_EXECUTED = b'not-executed'
CONFIDENCE = b'confidence'
RETRY_AFTER = b'retry-after'
SERVER_LIMIT = b'server-limit'
SERVER_LEAVING = b'server-leaving'

CONNECTION_HEADERS = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)
# Never passed on from callers; the router sets those that a server needs.
RESERVED_HEADERS = frozenset(
    {
        API_KEY,
        ORGANISATION,
        INSTANCE,
        DEADLINE,
        URGENCY,
        LAST_EVENT,
        b'expect-version',
        b'hold',
        b'pin-ms',
        b'kv-backup',
        b'kv-from',
        COPY_FROM,
    }
)
# Value of the model header that permits any model tier.
ANY_MODEL = '*'
DEFAULT_DEADLINE_SECONDS = 30.0
MAX_URGENCY = 9
# Longer numbers of servers are ignored.
MAX_NUMBER_LENGTH = 20
MAX_CONFIDENCE = 100
# Largest count that a caller may name; sums of many still fit the 64 bits of
# the messages between gateways.
MAX_COUNT = 10**12


def drop_connection_headers(
    headers: forwarding.Headers,
) -> forwarding.Headers:
    """Returns the end-to-end headers, without the hop-by-hop ones.

    Headers listed in a Connection header are dropped too.
    """
    listed = set()
    for name, value in headers:
        if name == b'connection':
            listed.update(v.strip().lower() for v in value.split(b','))
    dropped = CONNECTION_HEADERS | listed
    return [(k, v) for k, v in headers if k not in dropped]


def parse_count(text: str) -> int:
    """Returns a count that a caller names.

    Raises:
        ValueError: The text is no integer from 0 to ``MAX_COUNT``.
    """
    count = int(text)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f'not from 0 to {MAX_COUNT}')
    return count


def parse_prompt_parts(text: str) -> tuple[forwarding.PromptPart, ...]:
    """Decodes the parts of a prompt.

    Args:
        text: Comma-separated list of ``ID:TOKENS``.

    Raises:
        ValueError: A token count is not an integer or out of range.
    """
    parts = []
    for item in filter(None, text.split(',')):
        part_id, _, tokens = item.strip().partition(':')
        parts.append(forwarding.PromptPart(part_id, parse_count(tokens)))
    return tuple(parts)


class PlatformFormat(forwarding.WireFormat):
    """Wire format of callers and backend servers on the platform."""

    probe_target = '/v1/report'

    def decode_request(
        self, method, target, headers, body, received_at
    ) -> forwarding.ForwardRequest:
        """Decodes a caller's request.

        Raises:
            RefusalError: A header is not valid.
        """
        values = {k: v.decode('latin-1') for k, v in headers}
        end_to_end = drop_connection_headers(headers)
        try:
            timeout = DEFAULT_DEADLINE_SECONDS
            if DEADLINE in values:
                timeout = float(values[DEADLINE]) / 1000
                if not math.isfinite(timeout):
                    raise ValueError(f'{DEADLINE.decode()} is not finite')
            counts = [
                parse_count(n)
                for n in values.get(TOKEN_COUNTS, '0,0').split(',')
            ]
            last_event = values.get(LAST_EVENT)
            return forwarding.ForwardRequest(
                id=values.get(REQUEST_ID, ''),
                method=method,
                target=target,
                host=values.get(b'host', ''),
                headers=[
                    (k, v) for k, v in end_to_end if k not in RESERVED_HEADERS
                ],
                body=body,
                key=values.get(API_KEY, ''),
                received_at=received_at,
                deadline=received_at + max(0.0, timeout),
                resume_after=parse_count(last_event) if last_event else None,
                model=values.get(MODEL, ''),
                prompt=parse_prompt_parts(values.get(PROMPT_PARTS, '')),
                input_tokens=counts[0],
                max_output_tokens=counts[1] if len(counts) > 1 else 0,
                expected_tokens=parse_count(values.get(LENGTH_HINT) or '0'),
                session=values.get(SESSION, ''),
            )
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request', f'a header is not valid: {exc}'
            ) from exc

    def make_attempt_headers(
        self,
        request: forwarding.ForwardRequest,
        dispatch: forwarding.Dispatch,
    ) -> forwarding.Headers:
        """Returns the headers of an attempt at a backend server."""
        remaining_ms = int(clock.remaining(dispatch.deadline) * 1000)
        is_any_model = request.model == ANY_MODEL
        headers = [
            (k, dispatch.model.encode() if is_any_model and k == MODEL else v)
            for k, v in request.headers
        ]
        headers.append((DEADLINE, b'%d' % max(1, remaining_ms)))
        headers.append((INSTANCE, dispatch.instance.encode()))
        if dispatch.organisation:
            headers.append((ORGANISATION, dispatch.organisation.encode()))
        if dispatch.urgency is not None:
            urgency = min(MAX_URGENCY, max(0, dispatch.urgency))
            headers.append((URGENCY, b'%d' % urgency))
        if dispatch.resume_after is not None:
            headers.append((LAST_EVENT, b'%d' % dispatch.resume_after))
        if dispatch.copy_from:
            headers.append((COPY_FROM, dispatch.copy_from.encode()))
        return headers

    def decode_response_head(
        self, status: int, headers: forwarding.Headers
    ) -> forwarding.ResponseHead:
        """Decodes the status and headers of a backend server's response."""
        values = {k: v.decode('latin-1') for k, v in headers}
        confidence = parse_number(values.get(CONFIDENCE, ''))
        if confidence is not None and confidence > MAX_CONFIDENCE:
            confidence = None
        return forwarding.ResponseHead(
            status=status,
            headers=drop_connection_headers(headers),
            request_id=values.get(REQUEST_ID, ''),
            is_signed=bool(values.get(SIGNATURE)),
            has_not_run=NOT_EXECUTED in values or status == 421,
            confidence=(
                None if confidence is None else confidence / MAX_CONFIDENCE
            ),
            is_closing='close' in values.get(b'connection', '').lower(),
            idle_seconds=parse_keep_alive_timeout(
                values.get(b'keep-alive', '')
            ),
            retry_after=parse_number(values.get(RETRY_AFTER, '')),
            is_leaving=values.get(SERVER_LEAVING, '').strip() == '1',
            rate_limit=parse_number(values.get(SERVER_LIMIT, '')),
        )

    def make_refusal_headers(
        self, request_id: str, retry_after: float | None
    ) -> forwarding.Headers:
        """Returns the headers of a response that the router generates."""
        headers = [(b'content-type', b'text/plain; charset=utf-8')]
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if retry_after is not None:
            headers.append((RETRY_AFTER, f'{retry_after:g}'.encode()))
        return headers


def is_number(text: str) -> bool:
    """Returns whether a text is an unsigned decimal number."""
    return text.isascii() and text.replace('.', '', 1).isdigit()


def parse_number(text: str) -> float | None:
    """Returns an unsigned decimal number, None if the text is none."""
    text = text.strip()
    if not is_number(text) or len(text) > MAX_NUMBER_LENGTH:
        return None
    return float(text)


def parse_keep_alive_timeout(text: str) -> float | None:
    """Returns the timeout in seconds of a Keep-Alive header, or None."""
    for parameter in text.split(','):
        name, _, value = parameter.strip().partition('=')
        if name.lower() == 'timeout':
            return parse_number(value)
    return None
