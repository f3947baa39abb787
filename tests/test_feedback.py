"""Outcomes of attempts that the dispatcher reports to the selector."""

import types

import anyio
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import attempt_streams
from chivejunction.coordination import dispatch
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import calls
from tests import test_selection


class ScriptedStream:
    """Attempt stream with a given sequence of events and exceptions."""

    id = 'a'
    resolve_timeout = 0.0
    read_first = attempt_streams.AttemptStream.read_first

    def __init__(self, host, events):
        self.peer = types.SimpleNamespace(name=host)
        self.events = iter(events)
        self.started = clock.now()
        self.verdict = verdicts.Verdict.NOT_RUN
        self.offset = 0
        self.ended = False

    async def next_event(self, deadline):
        event = next(self.events)
        if isinstance(event, Exception):
            raise event
        await anyio.sleep(0.02)
        if isinstance(event, messages.Data):
            self.offset += len(event.payload)
        self.ended = isinstance(event, messages.End)
        return event

    def close(self, cancel):
        self.ended = True


class ScriptedDispatcher(dispatch.Dispatcher):
    """Dispatcher whose attempts have a given sequence of events."""

    def __init__(self, pool, script):
        super().__init__(
            pool.selector, {s.host: None for s in pool.table}, pool.view
        )
        self.script = script

    async def _start_attempt(self, execution, server):
        stream = ScriptedStream(server.host, self.script)
        execution.add(stream)
        return stream


HEAD = messages.Head('a', 200, {})
DATA = messages.Data('a', 0, b'x')
END = messages.End('a', 1, 2, '', {})


class TestFeedback:
    """Guards against attempts whose outcome the selector does not receive."""

    def run(self, script, stop_after=None, stream=True, idempotent=False):
        pool = test_selection.Pool(1, domains=['bkk-a'])
        recorded = []
        pool.selector.record = lambda host, outcome: recorded.append(
            (host, outcome)
        )
        call = calls.Call(
            'r', 'temple', 'POST', '/', {}, b'', clock.make_deadline(5)
        )
        call.stream, call.idempotent = stream, idempotent

        async def consume():
            events = ScriptedDispatcher(pool, script).run(
                call, 'lm', 'small-1'
            )
            event_count = 0
            try:
                async for _ in events:
                    event_count += 1
                    if event_count == stop_after:
                        break
            except errors.RefusalError:
                pass
            await events.aclose()

        anyio.run(consume)
        assert [host for host, _ in recorded] == ['bkk-a-0']
        return recorded[0][1]

    def test_stream_reports_the_first_token(self):
        outcome = self.run([HEAD, DATA, END])
        assert outcome.kind == 'ok'
        assert 0.03 < outcome.first_token_at - outcome.sent_at < 1

    def test_response_without_stream_reports_no_first_token(self):
        outcome = self.run([HEAD, DATA, END], stream=False)
        assert (outcome.kind, outcome.first_token_at) == ('ok', 0)

    def test_error_status(self):
        head = messages.Head('a', 500, {})
        outcome = self.run([head, DATA, END])
        assert outcome.kind == 'error'
        assert outcome.first_token_at < 0

    @pytest.mark.parametrize(
        'verdict, kind',
        [
            (verdicts.Verdict.NOT_RUN, 'refused'),
            (verdicts.Verdict.MAY_HAVE_RUN, 'error'),
        ],
    )
    def test_refusal(self, verdict, kind):
        failure = errors.RefusalError('server_failed', 'x', verdict)
        outcome = self.run([failure])
        assert (outcome.kind, outcome.code) == (kind, 'server_failed')

    def test_disconnected_caller_is_not_a_failure(self):
        outcome = self.run([HEAD, DATA, END], stop_after=2)
        assert outcome.kind == 'cancelled'
