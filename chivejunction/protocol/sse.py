"""Server-sent event streams of chat completions."""

import json
import re

from chivejunction import errors

MEDIA_TYPE = 'text/event-stream'
# Lines end with CR, LF or CRLF. A line feed may follow a carriage return that
# is the last byte so far, except in a stream whose lines end with CR.
EVENT_SEPARATOR = re.compile(rb'\r?\n(?:\r?\n|\r(?=[^\n]))|\r\r')
MAX_SEPARATOR_BYTES = 4
END_MARKER = b'[DONE]'
END_EVENT = b'data: [DONE]\n\n'
# Longest event that an EventReader accepts.
MAX_EVENT_BYTES = 256 * 1024
# Longest partial event that an EventBuffer holds back.
MAX_BUFFERED_BYTES = 1024 * 1024
# An id with more digits is none; int() refuses very long numbers.
MAX_ID_DIGITS = 18


def is_event_stream(headers: dict[str, str]) -> bool:
    """Returns whether the content type is that of an event stream."""
    return headers.get('content-type', '').lower().startswith(MEDIA_TYPE)


def format_event(value) -> bytes:
    """Returns an event whose data is a value as JSON."""
    return f'data: {json.dumps(value, ensure_ascii=False)}\n\n'.encode()


def parse_event_data(payload: bytes) -> list[bytes]:
    """Returns the data of each event; events without data are skipped."""
    parsed = []
    for event in EVENT_SEPARATOR.split(payload):
        lines = [
            line[len(b'data:') :].strip()
            for line in event.splitlines()
            if line.startswith(b'data:')
        ]
        if lines:
            parsed.append(b'\n'.join(lines))
    return parsed


class EventBuffer:
    """Buffers partial events and passes on complete ones.

    If a partial event were passed on, an error event sent after it would
    become a part of it. Only one above ``MAX_BUFFERED_BYTES`` is.
    """

    def __init__(self):
        self._pending = bytearray()

    def feed(self, payload: bytes) -> bytes:
        """Appends a payload and returns the events that are now complete."""
        if not self._pending and payload.endswith(b'\n\n'):
            return payload
        # A separator may begin in the bytes that were searched before.
        position = max(0, len(self._pending) - MAX_SEPARATOR_BYTES + 1)
        self._pending += payload
        end = 0
        for match in EVENT_SEPARATOR.finditer(self._pending, position):
            end = match.end()
        if len(self._pending) - end > MAX_BUFFERED_BYTES:
            end = len(self._pending)
        complete = bytes(self._pending[:end])
        del self._pending[:end]
        return complete

    def finish(self) -> bytes:
        """Returns the bytes after the last complete event."""
        partial = bytes(self._pending)
        self._pending.clear()
        return partial


class EventReader:
    """Splits an event stream into complete events with their ids.

    Comments and empty lines are no events: a server that sends only these
    makes no progress. They are returned with the event that follows.
    """

    def __init__(self):
        self._pending = bytearray()
        # Start of the part of the pending bytes that is no comment.
        self._event_start = 0

    def feed(self, payload: bytes) -> list[tuple[int | None, bytes]]:
        """Appends a payload and returns the events that are now complete.

        Returns:
            Pairs of the event's id, None without one, and its bytes.

        Raises:
            ProtocolError: An event exceeds ``MAX_EVENT_BYTES``.
        """
        # A separator may begin in the bytes that were searched before.
        position = max(
            self._event_start, len(self._pending) - MAX_SEPARATOR_BYTES + 1
        )
        self._pending += payload
        events, end = [], 0
        for match in EVENT_SEPARATOR.finditer(self._pending, position):
            block = bytes(self._pending[self._event_start : match.end()])
            self._event_start = match.end()
            if has_fields(block):
                event = bytes(self._pending[end : match.end()])
                events.append((parse_event_id(block), event))
                end = match.end()
        del self._pending[:end]
        self._event_start -= end
        if len(self._pending) > MAX_EVENT_BYTES:
            raise errors.ProtocolError(
                f'event exceeds {MAX_EVENT_BYTES} bytes'
            )
        return events

    def has_partial_event(self) -> bool:
        """Returns whether the stream ended in the middle of an event."""
        return has_fields(bytes(self._pending[self._event_start :]))

    def read_comments(self) -> bytes:
        """Returns the bytes after the last event of a complete stream."""
        return bytes(self._pending)


def has_fields(block: bytes) -> bool:
    """Returns whether lines of a stream are more than comments."""
    return any(
        line and not line.startswith(b':') for line in block.splitlines()
    )


def parse_event_id(event: bytes) -> int | None:
    """Returns the id of an event, None if it is not a whole number."""
    for line in event.splitlines():
        if line.startswith(b'id:'):
            text = line[len(b'id:') :].strip()
            is_id = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_id else None
    return None
