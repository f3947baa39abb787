"""Tests of streams that are continued on another backend server."""

import json
import signal
import time

import anyio
import pytest

from bench import faults
from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import continuations
from chivejunction.protocol import messages
from chivejunction.protocol import sse
from chivejunction.state import calls
from fakes import engine as engine_module
from tests import test_attempts

BODY = {
    'model': 'small-1',
    'stream': True,
    'messages': [{'role': 'user', 'content': 'hoi'}],
}


@pytest.fixture
def make_fleet(tmp_path):
    """Returns a function that starts a fleet for the length of the test."""
    with fleet.Fleet(tmp_path) as started:
        yield lambda **options: faults.FaultFleet(started, **options)


def read_text(content):
    """Returns the text, ids and number of end markers of a stream."""
    text, ids, ends = '', set(), 0
    for data in sse.parse_event_data(content):
        if data == sse.END_MARKER:
            ends += 1
            continue
        value = json.loads(data)
        ids.add((value['id'], value['model']))
        for choice in value['choices']:
            text += choice['delta'].get('content', '')
    return text.rstrip(), ids, ends


def read_usage(content):
    """Returns the last token counts of a stream."""
    values = [
        json.loads(d) for d in sse.parse_event_data(content) if d[:1] == b'{'
    ]
    return [v['usage'] for v in values if v.get('usage')][-1]


class TestKilledServers:
    """Guards against truncated streams when an agent or server is killed.

    The stream breaks off in the middle and must be continued elsewhere.
    """

    @pytest.mark.parametrize('suffix', ['', '-server'])
    def test_stream_is_complete_after_a_kill(self, make_fleet, suffix):
        fault_fleet = make_fleet(engines=3, tokens=150, between_tokens=0.02)
        before = fault_fleet.count_runs()
        reader = faults.StreamReader(fault_fleet.url)
        name = fault_fleet.find_server(before)
        time.sleep(1)
        killed_at = time.monotonic()
        fault_fleet.fleet.signal(name + suffix, signal.SIGKILL)
        reader.join()
        assert reader.is_complete
        text, ids, ends = read_text(reader.content)
        assert text == engine_module.format_text(150)
        assert (len(ids), ends) == (1, 1)
        assert reader.longest_gap(killed_at) < 2.5
        assert read_usage(reader.content)['completion_tokens'] == 150

    def test_stream_survives_two_kills(self, make_fleet):
        fault_fleet = make_fleet(engines=3, tokens=250, between_tokens=0.02)
        reader = faults.StreamReader(fault_fleet.url)
        for _ in range(2):
            time.sleep(1)
            running = [
                name
                for name in fault_fleet.engines
                if fault_fleet.fleet.members[name].process.poll() is None
                and fault_fleet.fleet.read_health(name)['running']
            ]
            fault_fleet.fleet.signal(running[0], signal.SIGKILL)
            time.sleep(1)
        reader.join()
        assert reader.is_complete
        text, ids, ends = read_text(reader.content)
        assert text == engine_module.format_text(250)
        assert (len(ids), ends) == (1, 1)


def make_event(attempt, delta, usage=None, **fields):
    value = {'id': attempt, 'model': 'small-1'}
    value['choices'] = [{'index': 0, 'delta': delta, **fields}]
    if usage:
        value['usage'] = usage
    return sse.format_event(value)


def make_call(**fields):
    return calls.Call(
        'req-1',
        'temple',
        'POST',
        '/',
        {},
        json.dumps({**BODY, **fields}).encode(),
        clock.make_deadline(5.0),
        stream=True,
    )


def respond_with(parts, error=''):
    """Returns an agent script that responds to a Start with parts.

    Args:
        parts: Payloads of the response.
        error: Error code of the end, empty for a complete response.
    """

    def respond(peer, frame):
        if not isinstance(frame, messages.Start):
            return
        yield messages.Head(
            frame.attempt, 200, {'content-type': sse.MEDIA_TYPE}
        )
        offset = 0
        for part in parts:
            yield messages.Data(frame.attempt, offset, part)
            offset += len(part)
        verdict = 1 if error else 2
        usage = {} if error else {'completion_tokens': 1}
        yield messages.End(frame.attempt, offset, verdict, error, usage)

    return respond


def run_call(call, *agents):
    """Runs a call.

    Returns:
        The bytes of the response, its ends, the refusals and the dispatcher.
    """
    dispatcher = test_attempts.make_dispatcher(*agents)
    payloads, ends, refusals = [], [], []

    async def collect():
        try:
            async for event in dispatcher.run(call, 'lm-pool', 'small-1'):
                if isinstance(event, messages.Data):
                    payloads.append(event.payload)
                elif isinstance(event, messages.End):
                    ends.append(event)
        except errors.RefusalError as exc:
            refusals.append(exc)

    anyio.run(collect)
    return b''.join(payloads), ends, refusals, dispatcher


class TestJoinedStream:
    """Guards against continuations that a caller can see in the stream.

    The first server fails in the middle of an event; text, ids and token
    counts of the second one must match what was already forwarded.
    """

    def run(self, first, second, **fields):
        peers = (
            test_attempts.ScriptedPeer(respond_with(first, 'server_failed')),
            test_attempts.ScriptedPeer(respond_with(second), 'lm-2'),
        )
        return (*run_call(make_call(**fields), *peers), peers[1].sent)

    def test_partial_event_is_dropped(self):
        one = make_event('a', {'role': 'assistant', 'content': 'w0 '})
        two = make_event('b', {'role': 'assistant', 'content': 'w1 '})
        last = make_event('b', {}, {'completion_tokens': 1})
        content, ends, _, dispatcher, sent = self.run(
            [one, two[:20]], [two, last, sse.END_EVENT], max_tokens=9
        )
        assert read_text(content) == ('w0 w1', {('a', 'small-1')}, 1)
        assert read_usage(content) == {'completion_tokens': 2}
        assert ends[0].usage == {'completion_tokens': 2}
        assert ends[0].length == len(content)
        assert isinstance(ends[0], continuations.JoinedEnd)
        body = json.loads(sent[0].body)
        assert body['messages'][-1] == {'role': 'assistant', 'content': 'w0 '}
        assert body['continue_final_message'] is True
        assert body['add_generation_prompt'] is False
        assert body['max_tokens'] == 8
        assert dispatcher._selector.outcomes == [
            ('lm-1', 'error'),
            ('lm-2', 'ok'),
        ]

    def test_finished_message_is_not_continued(self):
        one = make_event('a', {'content': 'w0'}, finish_reason='stop')
        content, ends, _, _, sent = self.run([one], [sse.END_EVENT])
        assert content == one + sse.END_EVENT
        assert len(ends) == 1
        assert sent == []

    @pytest.mark.parametrize(
        ('fields', 'event'),
        [
            ({}, make_event('a', {'tool_calls': [{'index': 0}]})),
            ({'n': 2}, make_event('a', {'content': 'w0 '})),
            ({}, make_event('a', {'content': 'w0 '}, logprobs={'x': 1})),
            ({}, b'data: broken\n\n'),
        ],
        ids=['tool call', 'two choices', 'logprobs', 'no JSON'],
    )
    def test_unsupported_streams_are_not_continued(self, fields, event):
        content, ends, refusals, _, sent = self.run([event], [], **fields)
        assert content == event
        assert ends == sent == []
        assert refusals[0].code == 'server_failed'

    def test_at_most_two_continuations(self):
        one = make_event('a', {'content': 'w0 '})
        agents = [
            test_attempts.ScriptedPeer(
                respond_with([one], 'server_failed'), f'lm-{i}'
            )
            for i in range(5)
        ]
        _, ends, refusals, _ = run_call(make_call(), *agents)
        assert ends == []
        assert refusals[0].code == 'server_failed'
        # The first attempt and two continuations.
        assert sum(bool(a.sent) for a in agents) == 3


class TestUnconfirmedStart:
    """Guards against long waits for a host that has just failed.

    Its link is still open, but the Start is neither admitted nor refused.
    """

    def test_another_server_is_tried_after_the_admission_timeout(self):
        silent = test_attempts.ScriptedPeer(test_attempts.send_nothing)
        other = test_attempts.ScriptedPeer(
            respond_with([sse.END_EVENT]), 'lm-2'
        )
        started = time.monotonic()
        content, *_ = run_call(make_call(), silent, other)
        assert content == sse.END_EVENT
        assert time.monotonic() - started < 1.5
        assert silent.server.is_suspect
        silent.server.apply_load({})
        assert not silent.server.is_suspect

    def test_without_retry_budget_the_attempt_is_resolved(self):
        peer = test_attempts.ScriptedPeer(test_attempts.send_nothing)
        dispatcher = test_attempts.make_dispatcher(peer)
        while dispatcher.budget.take():
            pass
        with pytest.raises(errors.RefusalError):
            test_attempts.run_call(dispatcher, make_call())
        assert peer.count(messages.Resolve)

    def test_deadline_at_the_agent_is_reported_to_the_caller(self):
        agent = test_attempts.ScriptedPeer(
            respond_with([make_event('a', {'content': 'w0 '})], 'deadline')
        )
        _, _, refusals, _ = run_call(make_call(), agent)
        assert refusals[0].code == 'deadline'
