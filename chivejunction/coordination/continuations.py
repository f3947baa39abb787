"""Continuation of broken event streams on another backend server."""

from collections.abc import Iterator
import dataclasses
import json

from chivejunction.protocol import messages
from chivejunction.protocol import sse
from chivejunction.protocol import usage
from chivejunction.protocol import verdicts
from chivejunction.state import calls

# Continuations of one call; a prompt that ends three servers is at fault.
MAX_CONTINUATIONS = 2
# Longer streams break visibly, so that one stream cannot fill the memory.
MAX_KEPT_BYTES = 1024 * 1024
# Fields of the answer that stay as in the events of the first attempt.
CONSTANT_FIELDS = ('id', 'model', 'created', 'system_fingerprint')
# Parts of a delta that a continued message reproduces.
TEXT_FIELDS = frozenset({'role', 'content'})


@dataclasses.dataclass(slots=True)
class JoinedEnd(messages.End):
    """End of an answer that several attempts gave together."""


@dataclasses.dataclass(slots=True)
class Progress:
    """What the caller has received of an answer.

    Attributes:
        constants: Fields that are the same in all events.
        text: Text of the message so far.
        tokens: Events with text, which stand for one token each.
        has_role: Whether an event named the role.
        finish_reason: Reason of the engine to stop, empty before the end.
        done: Whether the end marker was passed on.
        usage: Token counts that an event named.
    """

    constants: dict = dataclasses.field(default_factory=dict)
    text: str = ''
    tokens: int = 0
    has_role: bool = False
    finish_reason: str = ''
    done: bool = False
    usage: dict = dataclasses.field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Whether the engine has said that the message is whole."""
        return bool(self.done or self.finish_reason)


def read_events(payload: bytes) -> Progress | None:
    """Returns the progress of a stream, None if it cannot be continued.

    Args:
        payload: Whole events of a chat stream.
    """
    progress = Progress()
    for data in sse.read_data(payload):
        if data == sse.END_MARKER:
            progress.done = True
            continue
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            return None
        if not _add_event(progress, value):
            return None
    return progress


def _add_event(progress: Progress, value) -> bool:
    """Adds an event; returns False if the stream cannot be continued."""
    if not isinstance(value, dict) or value.get('error'):
        return False
    for name in CONSTANT_FIELDS:
        if name in value:
            progress.constants.setdefault(name, value[name])
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


def _add_delta(progress: Progress, choice: dict) -> bool:
    delta = choice.get('delta') or {}
    if not isinstance(delta, dict):
        return False
    if any(v for k, v in delta.items() if k not in TEXT_FIELDS):
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


def write_body(body: bytes, progress: Progress) -> bytes | None:
    """Returns the body that continues a message; None without room for it.

    Args:
        body: Body of the first attempt.
        progress: What the caller has received.
    """
    value = json.loads(body)
    if not progress.text:
        return body
    history = list(value['messages'])
    if value.get('continue_final_message'):
        # The caller itself had a message continued.
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


def may_continue(call: calls.Call, version: str) -> bool:
    """Tells whether the kind of a call allows a continuation."""
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

    Only whole events are passed on. Events of a continuation get the id and
    the model of the first attempt and token counts of the whole answer.

    Args:
        call: The call.
        version: Model version, empty for a plain service.

    Attributes:
        attempts: Attempts whose events were passed on.
        length: Bytes passed on.
        received: Bytes received of the present attempt.
    """

    def __init__(self, call: calls.Call, version: str):
        self.call = call
        self.version = version
        self.attempts = 1
        self.length = 0
        self.received = 0
        self._splitter: sse.EventSplitter | None = None
        self._kept = bytearray()
        self._keeps = call.idempotent and call.stream and bool(version)
        self._progress: Progress | None = None

    def open(self, head: messages.Head) -> bool:
        """Takes the head of an attempt; returns whether to pass it on."""
        if self.attempts > 1:
            return False
        if sse.is_stream(head.headers):
            self._splitter = sse.EventSplitter()
        self._keeps &= self._splitter is not None and head.status == 200
        return True

    @property
    def keeps_text(self) -> bool:
        """Whether what the caller has received is still known."""
        return self._keeps

    def feed(self, payload: bytes) -> bytes:
        """Returns the bytes to pass on for a payload of an attempt."""
        self.received += len(payload)
        if self._splitter is not None:
            payload = self._splitter.feed(payload)
        return self._pass_on(payload)

    def finish(self) -> bytes:
        """Returns what follows the last whole event of the answer."""
        if self._splitter is None:
            return b''
        return self._pass_on(self._splitter.finish())

    def _pass_on(self, payload: bytes) -> bytes:
        if self._progress is not None:
            payload = self._rewrite(payload)
        self.length += len(payload)
        if self._keeps:
            self._kept += payload
            if len(self._kept) > MAX_KEPT_BYTES:
                self._keeps = False
                self._kept.clear()
        return payload

    def read_progress(self) -> Progress | None:
        """Returns what the caller has received.

        None means that the stream cannot be continued.
        """
        if not (self._keeps and may_continue(self.call, self.version)):
            return None
        return read_events(bytes(self._kept))

    def restart(self, progress: Progress) -> None:
        """Prepares for the events of a continuation."""
        self.attempts += 1
        self.received = 0
        self._progress = progress
        self._splitter = sse.EventSplitter()

    def _rewrite(self, payload: bytes) -> bytes:
        return b''.join(map(self._rewrite_event, sse.read_data(payload)))

    def _rewrite_event(self, data: bytes) -> bytes:
        if data == sse.END_MARKER:
            return sse.END_EVENT
        try:
            value = json.loads(data)
        except (ValueError, RecursionError):
            value = None
        if not isinstance(value, dict):
            return b'data: ' + data + b'\n\n'
        value.update(self._progress.constants)
        if isinstance(value.get('usage'), dict):
            value['usage'] = self.add_usage(value['usage'])
        if self._progress.has_role and not self._drop_role(value):
            return b''
        return sse.write_event(value)

    @staticmethod
    def _drop_role(value: dict) -> bool:
        """Removes a repeated role; returns False if nothing else is left."""
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

    def add_usage(self, counts: dict) -> dict:
        """Returns token counts with those of earlier attempts."""
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
        """Returns the end of the answer for the end of its last attempt."""
        if self.attempts == 1:
            return end
        return JoinedEnd(
            end.attempt,
            self.length,
            end.verdict,
            '',
            self.add_usage(end.usage),
        )

    def accepts(self, head: messages.Frame) -> bool:
        """Tells whether an attempt with this head can go on with the text."""
        return (
            isinstance(head, messages.Head)
            and head.status == 200
            and sse.is_stream(head.headers)
        )

    def close(
        self, attempt: str, progress: Progress
    ) -> Iterator[messages.Frame]:
        """Ends a message of which only the last events are missing.

        Args:
            attempt: Id of the attempt that broke off.
            progress: What the caller has received.
        """
        self._progress = None
        if not progress.done:
            payload = self._pass_on(sse.END_EVENT)
            start = self.length - len(payload)
            yield messages.Data(attempt, start, payload)
        counts = usage.read_counts(progress.usage)
        yield JoinedEnd(
            attempt,
            self.length,
            int(verdicts.Verdict.RAN),
            '',
            counts or {'completion_tokens': progress.tokens},
        )
