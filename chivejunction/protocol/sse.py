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


class EventReader:
    """Splits an event stream into whole events with their ids."""

    def __init__(self):
        self._splitter = EventSplitter()

    def feed(self, payload: bytes) -> list[tuple[int | None, bytes]]:
        """Returns the events that a payload completes.

        Returns:
            Rows of the event's id, None without one, and its bytes.
        """
        whole = self._splitter.feed(payload)
        if not whole:
            return []
        found, start = [], 0
        for match in EVENT_END.finditer(whole):
            event = whole[start : match.end()]
            start = match.end()
            found.append((read_id(event), event))
        return found

    def has_rest(self) -> bool:
        """Tells whether the stream stopped in the middle of an event."""
        return bool(self._splitter.finish().strip())


def read_id(event: bytes) -> int | None:
    """Returns the id of an event, None if it has no whole number."""
    for line in event.splitlines():
        if line.startswith(b'id:'):
            text = line[len(b'id:') :].strip()
            return int(text) if text.isdigit() else None
    return None
