"""Event streams of chat completions."""

import json
import re

MEDIA_TYPE = 'text/event-stream'
EVENT_END = re.compile(rb'\r?\n\r?\n')
END_MARKER = b'[DONE]'
END_EVENT = b'data: [DONE]\n\n'


def is_stream(headers: dict[str, str]) -> bool:
    """Tells whether headers announce an event stream."""
    return headers.get('content-type', '').lower().startswith(MEDIA_TYPE)


def write_event(value) -> bytes:
    """Returns one event with a JSON value."""
    return f'data: {json.dumps(value, ensure_ascii=False)}\n\n'.encode()


def read_data(payload: bytes) -> list[bytes]:
    """Returns the data of each whole event; comments are left out."""
    found = []
    for event in EVENT_END.split(payload):
        lines = [
            line[len(b'data:') :].strip()
            for line in event.splitlines()
            if line.startswith(b'data:')
        ]
        if lines:
            found.append(b'\n'.join(lines))
    return found


class EventSplitter:
    """Passes on whole events.

    A partial event is held back: an error event that follows it would
    otherwise become a part of it.
    """

    def __init__(self):
        self._pending = b''

    def feed(self, payload: bytes) -> bytes:
        """Returns the events that a payload completes."""
        if not self._pending and payload.endswith(b'\n\n'):
            return payload
        self._pending += payload
        end = 0
        for separator in (b'\n\n', b'\r\n\r\n'):
            found = self._pending.rfind(separator)
            if found >= 0:
                end = max(end, found + len(separator))
        whole, self._pending = self._pending[:end], self._pending[end:]
        return whole

    def finish(self) -> bytes:
        """Returns what follows the last whole event."""
        rest, self._pending = self._pending, b''
        return rest
