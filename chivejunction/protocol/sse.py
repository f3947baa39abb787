"""Event streams of chat completions."""

import json
import re

MEDIA_TYPE = 'text/event-stream'
EVENT_END = re.compile(rb'\r?\n\r?\n')
NO_CHOICES = re.compile(rb'"choices"\s*:\s*\[\s*\]')


def is_stream(headers: dict[str, str]) -> bool:
    """Tells whether headers announce an event stream."""
    return headers.get('content-type', '').lower().startswith(MEDIA_TYPE)


def write_event(value) -> bytes:
    """Returns one event with a JSON value."""
    return f'data: {json.dumps(value, ensure_ascii=False)}\n\n'.encode()


class EventFilter:
    """Passes on complete events.

    Args:
        drop_usage: Whether to drop the event that holds only the usage. The
            gateway asks each engine for it; a caller that did not ask may
            not expect an event without choices.
    """

    def __init__(self, drop_usage: bool):
        self._drop_usage = drop_usage
        self._pending = b''

    def feed(self, payload: bytes) -> bytes:
        """Returns the events that a payload completes."""
        self._pending += payload
        parts = []
        start = 0
        for match in EVENT_END.finditer(self._pending):
            event = self._pending[start : match.end()]
            start = match.end()
            if not (self._drop_usage and self._is_usage_only(event)):
                parts.append(event)
        self._pending = self._pending[start:]
        return b''.join(parts)

    def finish(self) -> bytes:
        """Returns what follows the last complete event."""
        rest, self._pending = self._pending, b''
        return rest

    @staticmethod
    def _is_usage_only(event: bytes) -> bool:
        return b'"usage"' in event and bool(NO_CHOICES.search(event))
