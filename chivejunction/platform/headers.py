"""Headers of callers and backend servers on the platform."""

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import forwarding

REQUEST_ID = b'request-id'
DEADLINE = b'deadline-ms'
KEY = b'x-api-key'
ORGANISATION = b'tenant'
INSTANCE = b'expect-instance'
MODEL = b'model'
TOKENS = b'token-count'
PROMPT = b'prompt-prefix'
LAST_EVENT = b'last-event-id'
URGENCY = b'request-priority'
SESSION = b'session'
COPY_FROM = b'kv-fetch'
LENGTH = b'length-hint'
SIGNATURE = b'response-seal'
NOT_EXECUTED = b'not-executed'
CONFIDENCE = b'confidence'
RETRY_AFTER = b'retry-after'

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
# Set by the router alone; what callers send of these is dropped.
OWN_HEADERS = frozenset(
    {
        KEY,
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
# Any tier may answer.
ANY_MODEL = '*'
DEFAULT_DEADLINE_SECONDS = 30.0
MAX_URGENCY = 9


def drop_connection_headers(
    headers: forwarding.Headers,
) -> forwarding.Headers:
    """Returns the headers that do not concern one connection alone."""
    named = set()
    for name, value in headers:
        if name == b'connection':
            named.update(v.strip().lower() for v in value.split(b','))
    skipped = CONNECTION_HEADERS | named
    return [(k, v) for k, v in headers if k not in skipped]


def read_prompt(text: str) -> tuple[forwarding.PromptPart, ...]:
    """Decodes the parts of a prompt, ``ID:TOKENS`` with commas."""
    parts = []
    for row in filter(None, text.split(',')):
        name, _, tokens = row.strip().partition(':')
        parts.append(forwarding.PromptPart(name, int(tokens)))
    return tuple(parts)


class PlatformFormat(forwarding.WireFormat):
    """Wire format of callers and backend servers on the platform."""

    probe_target = '/v1/report'

    def read_request(
        self, method, target, headers, body, received_at
    ) -> forwarding.ForwardRequest:
        """Decodes a caller's request."""
        found = {k: v.decode('latin-1') for k, v in headers}
        kept = drop_connection_headers(headers)
        try:
            deadline = DEFAULT_DEADLINE_SECONDS
            if DEADLINE in found:
                deadline = float(found[DEADLINE]) / 1000
            tokens = [int(n) for n in found.get(TOKENS, '0,0').split(',')]
            last_event = found.get(LAST_EVENT)
            return forwarding.ForwardRequest(
                id=found.get(REQUEST_ID, ''),
                method=method,
                target=target,
                host=found.get(b'host', ''),
                headers=[(k, v) for k, v in kept if k not in OWN_HEADERS],
                body=body,
                key=found.get(KEY, ''),
                received_at=received_at,
                deadline=received_at + max(0.0, deadline),
                resume_after=int(last_event) if last_event else None,
                model=found.get(MODEL, ''),
                prompt=read_prompt(found.get(PROMPT, '')),
                input_tokens=tokens[0],
                max_output_tokens=tokens[1] if len(tokens) > 1 else 0,
                expected_tokens=int(found.get(LENGTH) or 0),
                session=found.get(SESSION, ''),
            )
        except ValueError as exc:
            raise errors.RefusalError(
                'invalid_request', f'a header is not valid: {exc}'
            ) from exc

    def write_attempt(
        self,
        request: forwarding.ForwardRequest,
        dispatch: forwarding.Dispatch,
    ) -> forwarding.Headers:
        """Returns the headers of an attempt."""
        left = int(clock.remaining(dispatch.deadline) * 1000)
        has_tiers = request.model == ANY_MODEL
        headers = [
            (k, dispatch.model.encode() if has_tiers and k == MODEL else v)
            for k, v in request.headers
        ]
        headers.append((DEADLINE, b'%d' % max(1, left)))
        headers.append((INSTANCE, dispatch.instance.encode()))
        if dispatch.organisation:
            headers.append((ORGANISATION, dispatch.organisation.encode()))
        if dispatch.urgency is not None:
            rank = min(MAX_URGENCY, max(0, dispatch.urgency))
            headers.append((URGENCY, b'%d' % rank))
        if dispatch.resume_after is not None:
            headers.append((LAST_EVENT, b'%d' % dispatch.resume_after))
        if dispatch.copy_from:
            headers.append((COPY_FROM, dispatch.copy_from.encode()))
        return headers

    def read_answer(
        self, status: int, headers: forwarding.Headers
    ) -> forwarding.AnswerHead:
        """Decodes the head of a backend server's answer."""
        found = {k: v.decode('latin-1') for k, v in headers}
        confidence = found.get(CONFIDENCE, '')
        return forwarding.AnswerHead(
            status=status,
            headers=drop_connection_headers(headers),
            request_id=found.get(REQUEST_ID, ''),
            is_signed=bool(found.get(SIGNATURE)),
            has_not_run=NOT_EXECUTED in found or status == 421,
            confidence=(
                float(confidence) / 100 if is_number(confidence) else None
            ),
            is_closing='close' in found.get(b'connection', '').lower(),
            idle_seconds=read_idle(found.get(b'keep-alive', '')),
        )

    def write_refusal(
        self, request_id: str, retry_after: float | None
    ) -> forwarding.Headers:
        """Returns the headers of an answer of the router itself."""
        headers = [(b'content-type', b'text/plain; charset=utf-8')]
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if retry_after is not None:
            headers.append((RETRY_AFTER, f'{retry_after:g}'.encode()))
        return headers


def is_number(text: str) -> bool:
    """Tells whether a text is a decimal number."""
    return text.replace('.', '', 1).isdigit()


def read_idle(text: str) -> float | None:
    """Returns the idle time in seconds of a Keep-Alive header, or None."""
    for row in text.split(','):
        name, _, value = row.strip().partition('=')
        if name.lower() == 'timeout' and is_number(value):
            return float(value)
    return None
