"""Token usage and end marker in the responses of engines."""

import json

from chivejunction import errors
from chivejunction.protocol import sse

SEPARATOR = b'\n\n'
MAX_EVENT_BYTES = 1024 * 1024
# Limits of what a frame to a gateway holds.
MAX_COUNT = 2**63 - 1
MAX_COUNTS = 32


class UsageFilter:
    """Extracts the token counts of an event stream while it is forwarded.

    Events that contain token counts but no choices are removed if the caller
    did not request them. Line ends are forwarded as line feeds.

    Args:
        drop_usage: Whether to remove events that contain only usage.

    Attributes:
        usage: Token counts of the last event with usage, empty without any.
        has_end_marker: Whether the stream had its end marker.
    """

    def __init__(self, drop_usage: bool):
        self._drop_usage = drop_usage
        self._pending = b''
        # Whether a line feed would belong to the carriage return before it.
        self._ends_with_cr = False
        self.usage: dict = {}
        self.has_end_marker = False

    def feed(self, chunk: bytes) -> bytes:
        """Returns the events to forward that a chunk completes.

        A partial event above MAX_EVENT_BYTES is forwarded without parsing.
        """
        if self._ends_with_cr and chunk:
            chunk = chunk.removeprefix(b'\n')
            self._ends_with_cr = False
        if b'\r' in chunk:
            self._ends_with_cr = chunk.endswith(b'\r')
            chunk = chunk.replace(b'\r\n', b'\n').replace(b'\r', b'\n')
        data = self._pending + chunk
        *events, self._pending = data.split(SEPARATOR)
        forwarded = [e + SEPARATOR for e in events if self._process_event(e)]
        if len(self._pending) > MAX_EVENT_BYTES:
            forwarded.append(self._pending)
            self._pending = b''
        return b''.join(forwarded)

    def finish(self) -> bytes:
        """Returns the bytes after the last complete event."""
        partial, self._pending = self._pending, b''
        if sse.parse_event_data(partial) == [sse.END_MARKER]:
            self.has_end_marker = True
        return partial

    def _process_event(self, event: bytes) -> bool:
        """Records the usage of an event; returns whether to forward it."""
        if b'"usage"' not in event and sse.END_MARKER not in event:
            return True
        for data in sse.parse_event_data(event):
            if data == sse.END_MARKER:
                self.has_end_marker = True
            elif b'"usage"' in data:
                return self._process_usage(data)
        return True

    def _process_usage(self, data: bytes) -> bool:
        try:
            value = json.loads(data)
            usage = value.get('usage')
        except errors.MALFORMED_DOCUMENT_ERRORS:
            return True
        if not isinstance(usage, dict):
            return True
        self.usage = extract_token_counts(usage)
        return not (self._drop_usage and not value.get('choices'))


def extract_token_counts(usage: dict) -> dict[str, int]:
    """Returns the counts of a usage object, at most ``MAX_COUNTS``."""
    counts = {
        name: count
        for name, count in usage.items()
        if name.isascii() and type(count) is int and 0 <= count <= MAX_COUNT
    }
    return dict(list(counts.items())[:MAX_COUNTS])


def parse_usage(body: bytes) -> dict[str, int]:
    """Returns the token counts of a JSON response, empty without any."""
    try:
        usage = json.loads(body).get('usage')
    except errors.MALFORMED_DOCUMENT_ERRORS:
        return {}
    return extract_token_counts(usage) if isinstance(usage, dict) else {}


def add_usage_option(body: bytes) -> tuple[bytes, bool, bool]:
    """Adds ``stream_options.include_usage`` to the body of a chat request.

    Returns:
        The body, whether it requests a stream, and whether the option was
        added.
    """
    try:
        value = json.loads(body)
    except errors.MALFORMED_DOCUMENT_ERRORS:
        return body, False, False
    if not isinstance(value, dict) or not value.get('stream'):
        return body, False, False
    options = value.get('stream_options')
    options = options if isinstance(options, dict) else {}
    if options.get('include_usage'):
        return body, True, False
    value['stream_options'] = {**options, 'include_usage': True}
    return json.dumps(value, ensure_ascii=False).encode(), True, True
