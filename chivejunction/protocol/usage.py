"""Usage and end marker of event streams from engines."""

import json

SEPARATOR = b'\n\n'
END_MARKER = b'data: [DONE]'
MAX_EVENT_BYTES = 1024 * 1024


class EventFilter:
    """Reads the token counts of an event stream while it passes.

    Events without choices that carry only the token counts are left out
    when the caller did not ask for them.

    Args:
        drop_usage: Whether to leave out events that only carry usage.
    """

    def __init__(self, drop_usage: bool):
        self._drop_usage = drop_usage
        self._rest = b''
        self.usage: dict = {}
        self.done = False

    def feed(self, chunk: bytes) -> bytes:
        """Returns the whole events of a chunk that are passed on."""
        text = self._rest + chunk
        if b'\r' in text:
            text = text.replace(b'\r\n', b'\n')
        *events, self._rest = text.split(SEPARATOR)
        kept = [e + SEPARATOR for e in events if self._keep(e)]
        if len(self._rest) > MAX_EVENT_BYTES:
            kept.append(self._rest)
            self._rest = b''
        return b''.join(kept)

    def finish(self) -> bytes:
        """Returns what follows the last whole event."""
        rest, self._rest = self._rest, b''
        if rest.strip() == END_MARKER:
            self.done = True
        return rest

    def _keep(self, event: bytes) -> bool:
        if event.strip() == END_MARKER:
            self.done = True
        if b'"usage"' not in event or not event.startswith(b'data: '):
            return True
        try:
            value = json.loads(event[len(b'data: ') :])
            usage = value.get('usage')
        except (ValueError, AttributeError):
            return True
        if not isinstance(usage, dict):
            return True
        self.usage = read_counts(usage)
        return not (self._drop_usage and not value.get('choices'))


def read_counts(usage: dict) -> dict[str, int]:
    """Returns the whole numbers of a usage object."""
    return {k: v for k, v in usage.items() if isinstance(v, int)}


def parse_usage(body: bytes) -> dict[str, int]:
    """Returns the token counts of a JSON answer, empty without any."""
    try:
        usage = json.loads(body).get('usage')
    except (ValueError, AttributeError):
        return {}
    return read_counts(usage) if isinstance(usage, dict) else {}


def ask_for_usage(body: bytes) -> tuple[bytes, bool, bool]:
    """Adds ``stream_options.include_usage`` to the body of a chat request.

    Returns:
        The body, whether it asks for a stream, and whether the caller had
        not asked for usage.
    """
    try:
        value = json.loads(body)
    except ValueError:
        return body, False, False
    if not isinstance(value, dict) or not value.get('stream'):
        return body, False, False
    options = value.get('stream_options')
    options = options if isinstance(options, dict) else {}
    if options.get('include_usage'):
        return body, True, False
    value['stream_options'] = {**options, 'include_usage': True}
    return json.dumps(value, ensure_ascii=False).encode(), True, True
