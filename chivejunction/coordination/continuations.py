"""Continuation of interrupted event streams on another backend server.

When the attempt that streams a chat response fails, the text so far is sent to
another server as the start of a message to be continued, and its events are
appended to the stream of the caller.
"""

from collections.abc import Iterator
import dataclasses
import json

from chivejunction.protocol import messages
from chivejunction.protocol import sse
from chivejunction.protocol import usage
from chivejunction.protocol import verdicts
from chivejunction.state import calls

# A prompt during which three servers failed is probably the cause itself.
MAX_CONTINUATIONS = 2
# Longer streams are not continued, so that one stream cannot exhaust memory.
MAX_BUFFERED_BYTES = 1024 * 1024
# Event fields that keep the values of the first attempt.
CONSTANT_FIELDS = ('id', 'model', 'created', 'system_fingerprint')
# Fields of a delta that a continuation can carry on from. A delta with others,
# such as tool calls, rules out a continuation.
CONTINUABLE_DELTA_FIELDS = frozenset({'role', 'content'})


@dataclasses.dataclass(slots=True)
class JoinedEnd(messages.End):
    """End of a response that several attempts contributed to."""


@dataclasses.dataclass(slots=True)
class StreamProgress:
    """The part of a response that the caller has received.

    Attributes:
        constant_fields: Values of CONSTANT_FIELDS.
        text: Text of the message so far.
        tokens: Number of events with text. Each stands for one token.
        has_role: Whether an event contained the role.
        finish_reason: Finish reason reported by the engine, empty before.
        has_end_marker: Whether the end marker was forwarded.
        usage: Token counts reported by the engine, empty before.
    """

    constant_fields: dict = dataclasses.field(default_factory=dict)
    text: str = ''
    tokens: int = 0
    has_role: bool = False
    finish_reason: str = ''
    has_end_marker: bool = False
    usage: dict = dataclasses.field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        """Whether the engine has reported the end of the message."""
        return bool(self.has_end_marker or self.finish_reason)


def parse_progress(payload: bytes) -> StreamProgress | None:
    """Returns the progress of a stream, None if it cannot be continued.

    Args:
        payload: Complete events of a chat stream.
    """
    progress = StreamProgress()
    for data in sse.parse_event_data(payload):
        if data == sse.END_MARKER:
            progress.has_end_marker = True
            continue
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            return None
        if not _add_event(progress, value):
            return None
    return progress


def _add_event(progress: StreamProgress, value) -> bool:
    """Adds an event; returns False if the stream cannot be continued."""
    if not isinstance(value, dict) or value.get('error'):
        return False
    for name in CONSTANT_FIELDS:
        if name in value:
            progress.constant_fields.setdefault(name, value[name])
    if isinstance(value.get('usage'), dict):
        progress.usage = value['usage']
    choices = value.get('choices')
    if not choices:
        return True
    if not isinstance(choices, list) or len(choices) > 1:
        return False
    choice = choices[0]
    if not isinstance(choice, dict) or choice.get('index', 0) != 0:
        return False
    if choice.get('logprobs'):
        return False
    return _add_delta(progress, choice)


def _add_delta(progress: StreamProgress, choice: dict) -> bool:
    delta = choice.get('delta') or {}
    if not isinstance(delta, dict):
        return False
    if any(v for k, v in delta.items() if k not in CONTINUABLE_DELTA_FIELDS):
        return False
    content = delta.get('content') or ''
    if not isinstance(content, str):
        return False
    progress.has_role |= bool(delta.get('role'))
    progress.text += content
    progress.tokens += bool(content)
    progress.finish_reason = (
        choice.get('finish_reason') or progress.finish_reason
    )
    return True


def make_continuation_body(
    body: bytes, progress: StreamProgress
) -> bytes | None:
    """Returns a request body that makes a server continue the message.

    Args:
        body: Request body of the first attempt.
        progress: What the caller has received.

    Returns:
        The body, or None if the token limit of the request is used up.
    """
    value = json.loads(body)
    if not progress.text:
        return body
    history = list(value['messages'])
    if value.get('continue_final_message'):
        # The original request already asked to continue its last message.
        last = history.pop()
        history.append({**last, 'content': last['content'] + progress.text})
    else:
        history.append({'role': 'assistant', 'content': progress.text})
    value['messages'] = history
    value['continue_final_message'] = True
    value['add_generation_prompt'] = False
    for name in ('max_tokens', 'max_completion_tokens'):
        if value.get(name) is not None:
            value[name] -= progress.tokens
            if value[name] < 1:
                return None
    return json.dumps(value, ensure_ascii=False).encode()


def can_continue(call: calls.Call, version: str) -> bool:
    """Returns whether the type of a call allows a continuation.

    Args:
        call: The call.
        version: Model version, empty for a plain service.
    """
    if not (call.idempotent and call.stream and version):
        return False
    try:
        value = json.loads(call.body)
        last = value['messages'][-1]
    except (KeyError, IndexError, TypeError, ValueError, RecursionError):
        return False
    if (value.get('n') or 1) != 1 or value.get('logprobs'):
        return False
    return not value.get('continue_final_message') or isinstance(
        last.get('content'), str
    )


class StreamJoiner:
    """Joins the event streams of the attempts of one call.

    Only complete events are forwarded. Events of a continuation get the id and
    model of the first attempt and the token counts of the whole response.

    Args:
        call: The call.
        version: Model version, empty for a plain service.

    Attributes:
        attempt_count: Number of attempts whose events were forwarded.
        length: Number of bytes forwarded.
        received_bytes: Number of bytes received from the current attempt.
    """

    def __init__(self, call: calls.Call, version: str):
        self.call = call
        self.version = version
        self.attempt_count = 1
        self.length = 0
        self.received_bytes = 0
        self._event_buffer: sse.EventBuffer | None = None
        self._buffer = bytearray()
        self._is_buffering = call.idempotent and call.stream and bool(version)
        self._progress: StreamProgress | None = None

    def process_head(self, head: messages.Head) -> bool:
        """Handles the head of an attempt.

        Args:
            head: The head.

        Returns:
            Whether to forward the head; True only for the first attempt.
        """
        if self.attempt_count > 1:
            return False
        if sse.is_event_stream(head.headers):
            self._event_buffer = sse.EventBuffer()
        self._is_buffering &= (
            self._event_buffer is not None and head.status == 200
        )
        return True

    @property
    def is_buffering(self) -> bool:
        """Whether all that the caller has received is still buffered."""
        return self._is_buffering

    def feed(self, payload: bytes) -> bytes:
        """Returns the bytes to forward for a payload of an attempt."""
        self.received_bytes += len(payload)
        if self._event_buffer is not None:
            payload = self._event_buffer.feed(payload)
        return self._forward(payload)

    def finish(self) -> bytes:
        """Returns the bytes after the last complete event."""
        if self._event_buffer is None:
            return b''
        return self._forward(self._event_buffer.finish())

    def _forward(self, payload: bytes) -> bytes:
        if self._progress is not None:
            payload = self._rewrite_payload(payload)
        self.length += len(payload)
        if self._is_buffering:
            self._buffer += payload
            if len(self._buffer) > MAX_BUFFERED_BYTES:
                self._is_buffering = False
                self._buffer.clear()
        return payload

    def read_progress(self) -> StreamProgress | None:
        """Returns what the caller has received.

        Returns:
            The progress, or None if the stream cannot be continued.
        """
        if not (self._is_buffering and can_continue(self.call, self.version)):
            return None
        return parse_progress(bytes(self._buffer))

    def start_continuation(self, progress: StreamProgress) -> None:
        """Prepares for the events of a continuation.

        Args:
            progress: What the caller has received from earlier attempts.
        """
        self.attempt_count += 1
        self.received_bytes = 0
        self._progress = progress
        self._event_buffer = sse.EventBuffer()

    def _rewrite_payload(self, payload: bytes) -> bytes:
        return b''.join(
            map(self._rewrite_event, sse.parse_event_data(payload))
        )

    def _rewrite_event(self, data: bytes) -> bytes:
        if data == sse.END_MARKER:
            return sse.END_EVENT
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            value = None
        if not isinstance(value, dict):
            return b'data: ' + data + b'\n\n'
        value.update(self._progress.constant_fields)
        if isinstance(value.get('usage'), dict):
            value['usage'] = self.sum_usage(value['usage'])
        if self._progress.has_role and not self._drop_role(value):
            return b''
        return sse.format_event(value)

    @staticmethod
    def _drop_role(value: dict) -> bool:
        """Removes a repeated role from an event.

        Returns:
            False if the event is empty without the role.
        """
        choices = value.get('choices')
        if not (isinstance(choices, list) and choices):
            return True
        delta = choices[0].get('delta') if choices[0] else None
        if not isinstance(delta, dict) or not delta.pop('role', ''):
            return True
        return bool(
            any(delta.values())
            or choices[0].get('finish_reason')
            or value.get('usage')
        )

    def sum_usage(self, counts: dict) -> dict:
        """Returns token counts that include those of earlier attempts."""
        if self._progress is None:
            return counts
        return {
            name: count + self._progress.tokens
            if name in ('completion_tokens', 'total_tokens')
            and isinstance(count, int)
            else count
            for name, count in counts.items()
        }

    def make_end(self, end: messages.End) -> messages.End:
        """Returns the end of the response for the end of the last attempt."""
        if self.attempt_count == 1:
            return end
        return JoinedEnd(
            end.attempt,
            self.length,
            end.verdict,
            '',
            self.sum_usage(end.usage),
        )

    def can_continue_with(self, head: messages.Frame) -> bool:
        """Returns whether an attempt with this head continues the stream."""
        return (
            isinstance(head, messages.Head)
            and head.status == 200
            and sse.is_event_stream(head.headers)
        )

    def close(
        self, attempt: str, progress: StreamProgress
    ) -> Iterator[messages.Frame]:
        """Completes a stream whose message has already ended.

        Args:
            attempt: Id of the attempt that failed.
            progress: What the caller has received.

        Yields:
            The end marker, if it is missing, and the end of the response.
        """
        self._progress = None
        if not progress.has_end_marker:
            payload = self._forward(sse.END_EVENT)
            start = self.length - len(payload)
            yield messages.Data(attempt, start, payload)
        counts = usage.extract_token_counts(progress.usage)
        yield JoinedEnd(
            attempt,
            self.length,
            int(verdicts.Verdict.RAN),
            '',
            counts or {'completion_tokens': progress.tokens},
        )
