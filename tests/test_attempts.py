"""Attempts of a gateway at agents that send scripted frames."""

import types

import anyio
import pynng
import pytest

from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import attempt_streams
from chivejunction.coordination import dispatch
from chivejunction.coordination import peers
from chivejunction.protocol import codecs
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import budgets
from chivejunction.state import calls
from chivejunction.state import servers
from chivejunction.transport import links

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


class ScriptedPeer:
    """Link to an agent that replies to frames as scripted.

    Args:
        respond: Called with the peer and each sent frame; returns the frames
            that the agent replies with.
        host: Name of the agent's host.
    """

    def __init__(self, respond, host='lm-1'):
        self.server = servers.Server(host, 'lm-pool', 'bkk-a', 'inc-1')
        self.server.connected = True
        self.name = host
        self.epoch = 1
        self.sent = []
        self.respond = respond
        self.handlers = {}

    @property
    def connected(self):
        return self.server.connected

    def add_handler(self, attempt, handler):
        self.handlers[attempt] = handler

    def remove_handler(self, attempt, handler):
        self.handlers.pop(attempt, None)

    def send(self, frame):
        self.sent.append(frame)
        for reply in self.respond(self, frame) or ():
            self.handlers[frame.attempt](reply)

    def count(self, kind):
        return sum(isinstance(f, kind) for f in self.sent)


class FixedSelector:
    """Selector that returns the first peer that is not excluded."""

    def __init__(self, agent_peers):
        self.peers = agent_peers
        self.outcomes = []

    def choose(self, pool, version='', affinity='', exclude=frozenset()):
        for peer in self.peers:
            if peer.name not in exclude:
                return peer.server
        return None

    def has_server(self, pool, version, exclude):
        return any(
            peer.name not in exclude and not peer.server.is_suspect
            for peer in self.peers
        )

    def make_outcome(self):
        return servers.Outcome()

    def record(self, host, outcome):
        self.outcomes.append((host, outcome.kind))

    def describe_decision(self):
        return {}


def make_call(idempotent=True, seconds=5.0):
    return calls.Call(
        'req-1',
        'temple',
        'POST',
        '/',
        {},
        b'',
        clock.make_deadline(seconds),
        idempotent=idempotent,
    )


def make_dispatcher(*agents):
    return dispatch.Dispatcher(
        FixedSelector(agents),
        {p.name: p for p in agents},
        types.SimpleNamespace(revision=1),
    )


def run_call(dispatcher, call):
    """Returns the bytes of the response, or raises the refusal."""

    async def collect():
        parts = []
        async for event in dispatcher.run(call, 'lm-pool'):
            if isinstance(event, messages.Data):
                parts.append(event.payload)
        return b''.join(parts)

    return anyio.run(collect)


def send_full_response(peer, frame):
    """Responds to a start with ``hello world`` in two parts."""
    if isinstance(frame, messages.Start):
        yield messages.Admitted(frame.attempt, 'inc-1')
        yield messages.Head(frame.attempt, 200, {})
        yield messages.Data(frame.attempt, 0, b'hello ')
        yield messages.Data(frame.attempt, 6, b'world')
        yield messages.End(frame.attempt, 11, 2, '', {})


def refuse_with(code):
    def respond(peer, frame):
        if isinstance(frame, messages.Start):
            yield messages.Refused(frame.attempt, code, 'test', 0)

    return respond


def send_nothing(peer, frame):
    return ()


class TestResponses:
    """Guards against responses with missing or repeated parts."""

    def test_repeated_and_overlapping_data_is_relayed_once(self):
        def respond(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Head(frame.attempt, 200, {})
                yield messages.Data(frame.attempt, 0, b'hello ')
                yield messages.Data(frame.attempt, 0, b'hello ')
                yield messages.Head(frame.attempt, 200, {})
                yield messages.Data(frame.attempt, 3, b'lo world')
                yield messages.End(frame.attempt, 11, 2, '', {})

        peer = ScriptedPeer(respond)
        assert run_call(make_dispatcher(peer), make_call()) == b'hello world'

    @pytest.mark.parametrize(
        'fault',
        [
            lambda a: messages.Data(a, 9, b'late'),
            lambda a: messages.End(a, 11, 2, '', {}),
            lambda a: links.MalformedFrame(a, 'malformed'),
            lambda a: messages.End(a, 6, 99, '', {}),
        ],
        ids=['gap', 'early end', 'malformed', 'unknown verdict'],
    )
    def test_response_resumes_at_last_offset_after_invalid_frame(self, fault):
        def respond(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Head(frame.attempt, 200, {})
                yield messages.Data(frame.attempt, 0, b'hello ')
                yield fault(frame.attempt)
            elif isinstance(frame, messages.Resolve):
                assert frame.offset == 6
                yield messages.Resolved(frame.attempt, 'inc-1', 'running', 11)
                yield messages.Data(frame.attempt, 6, b'world')
                yield messages.End(frame.attempt, 11, 2, '', {})

        peer = ScriptedPeer(respond)
        assert run_call(make_dispatcher(peer), make_call()) == b'hello world'
        assert peer.count(messages.Start) == 1

    def test_end_with_too_small_a_length_fails_the_attempt(self):
        def respond(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Head(frame.attempt, 200, {})
                yield messages.Data(frame.attempt, 0, b'hello ')
                yield messages.End(frame.attempt, 3, 2, '', {})

        with pytest.raises(errors.RefusalError) as caught:
            run_call(make_dispatcher(ScriptedPeer(respond)), make_call())
        assert caught.value.code == 'server_failed'
        assert caught.value.verdict is MAY_HAVE_RUN

    def test_invalid_frames_without_progress_end_the_attempt(self):
        def respond(peer, frame):
            if isinstance(frame, messages.Resolve):
                yield messages.Resolved(frame.attempt, 'inc-1', 'running', 0)
            yield links.MalformedFrame(frame.attempt, 'malformed')

        peer = ScriptedPeer(respond)
        with pytest.raises(errors.RefusalError):
            run_call(make_dispatcher(peer), make_call(idempotent=False))
        assert peer.count(messages.Resolve) <= 20


class TestAdmissionTimeout:
    """Guards against attempts that wait forever after a start was lost."""

    def test_blocked_attempt_is_retried_on_another_server(self):
        def block(peer, frame):
            if isinstance(frame, messages.Resolve):
                yield messages.Resolved(frame.attempt, 'inc-1', 'blocked', 0)

        first = ScriptedPeer(block)
        second = ScriptedPeer(send_full_response, 'lm-2')
        call = make_call(idempotent=False)
        assert run_call(make_dispatcher(first, second), call) == b'hello world'
        assert first.count(messages.Start) == 1

    def test_attempt_at_restarted_agent_may_have_run(self):
        def restart(peer, frame):
            if isinstance(frame, messages.Resolve):
                yield messages.Resolved(frame.attempt, 'inc-2', 'unknown', 0)

        first = ScriptedPeer(restart)
        second = ScriptedPeer(send_full_response, 'lm-2')
        with pytest.raises(errors.RefusalError) as caught:
            run_call(
                make_dispatcher(first, second), make_call(idempotent=False)
            )
        assert caught.value.verdict is MAY_HAVE_RUN
        assert second.sent == []


class TestRetries:
    """Guards against retries that the verdict or the budget forbids."""

    def test_refusal_has_the_strictest_verdict_of_all_attempts(self):
        first = ScriptedPeer(send_nothing)
        second = ScriptedPeer(refuse_with('overloaded'), 'lm-2')
        with pytest.raises(errors.RefusalError) as caught:
            run_call(make_dispatcher(first, second), make_call())
        assert caught.value.code == 'overloaded'
        assert caught.value.verdict is MAY_HAVE_RUN

    @pytest.mark.parametrize('stream', [False, True])
    def test_failure_amid_response_is_retried_if_nothing_was_relayed(
        self, stream
    ):
        def respond(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Head(frame.attempt, 200, {})
                yield messages.Data(frame.attempt, 0, b'hel')
                yield messages.End(frame.attempt, 3, 1, 'server_failed', {})

        first = ScriptedPeer(respond)
        second = ScriptedPeer(send_full_response, 'lm-2')
        dispatcher = make_dispatcher(first, second)
        call = make_call()
        call.stream = stream
        if not stream:
            assert run_call(dispatcher, call) == b'hello world'
            return
        with pytest.raises(errors.RefusalError) as caught:
            run_call(dispatcher, call)
        assert caught.value.verdict is MAY_HAVE_RUN
        assert second.sent == []

    def test_refused_call_has_not_run(self):
        peer = ScriptedPeer(refuse_with('overloaded'))
        with pytest.raises(errors.RefusalError) as caught:
            run_call(make_dispatcher(peer), make_call())
        assert caught.value.verdict is NOT_RUN

    def test_stale_config_is_retried_on_the_same_server(self):
        def respond(peer, frame):
            if peer.count(messages.Start) < 3:
                return refuse_with('stale_config')(peer, frame)
            return send_full_response(peer, frame)

        peer = ScriptedPeer(respond)
        dispatcher = make_dispatcher(peer)
        tokens = dispatcher.budget.tokens
        assert run_call(dispatcher, make_call()) == b'hello world'
        assert dispatcher.budget.tokens >= tokens

    def test_retries_under_overload_add_at_most_a_tenth(self):
        agents = [
            ScriptedPeer(refuse_with('overloaded'), f'lm-{i}')
            for i in range(4)
        ]
        dispatcher = make_dispatcher(*agents)
        for _ in range(300):
            with pytest.raises(errors.RefusalError):
                run_call(dispatcher, make_call())
        attempts = sum(p.count(messages.Start) for p in agents)
        assert attempts <= 1.1 * 300

    def test_non_idempotent_call_that_may_have_run_is_not_repeated(self):
        execution = dispatch.CallExecution(
            make_call(idempotent=False), 'lm-pool', ''
        )
        execution.add(types.SimpleNamespace(verdict=MAY_HAVE_RUN))
        with pytest.raises(errors.InvariantViolation, match='at_most_once'):
            execution.add(types.SimpleNamespace(verdict=NOT_RUN))


class TestHedging:
    """Guards against hedges that are missing, repeated or unlimited."""

    def make_pair(self):
        slow = ScriptedPeer(
            lambda peer, frame: (
                [messages.Admitted(frame.attempt, 'inc-1')]
                if isinstance(frame, messages.Start)
                else []
            )
        )
        fast = ScriptedPeer(send_full_response, 'lm-2')
        dispatcher = make_dispatcher(slow, fast)
        for _ in range(budgets.MIN_HEDGE_SAMPLES):
            dispatcher.first_tokens.record(('lm-pool', '', False), 0.03)
        return slow, fast, dispatcher

    def test_late_first_token_is_hedged_and_slower_attempt_cancelled(self):
        slow, fast, dispatcher = self.make_pair()
        assert run_call(dispatcher, make_call()) == b'hello world'
        assert fast.count(messages.Start) == 1
        assert slow.count(messages.Cancel) == 1

    def test_attempts_of_earlier_races_are_not_sampled_again(self):
        dispatcher = self.make_pair()[2]
        samples = []
        dispatcher.first_tokens.record = lambda *args: samples.append(args)
        earlier, winner = (
            types.SimpleNamespace(
                started=clock.now(), ended=False, close=lambda cancel: None
            )
            for _ in range(2)
        )
        execution = types.SimpleNamespace(
            streams=[earlier, winner],
            first_token_key='key',
            call=types.SimpleNamespace(idempotent=True),
        )
        dispatcher._end_race(execution, 1, winner)
        assert len(samples) == 1

    def test_non_idempotent_call_is_never_hedged(self):
        slow, fast, dispatcher = self.make_pair()
        with pytest.raises(errors.RefusalError) as caught:
            run_call(dispatcher, make_call(idempotent=False, seconds=0.3))
        assert caught.value.verdict is MAY_HAVE_RUN
        assert fast.sent == []
        assert slow.count(messages.Cancel) == 0

    def test_no_hedge_when_the_retry_budget_is_used_up(self):
        slow, fast, dispatcher = self.make_pair()
        while dispatcher.budget.take():
            pass
        with pytest.raises(errors.RefusalError):
            run_call(dispatcher, make_call(seconds=0.3))
        assert fast.sent == []


class TestLinkFrames:
    """Guards against invalid frames that break other attempts on a link."""

    def receive(self, *payloads):
        """Sends raw messages to a receiver.

        Returns:
            The batches that the receiver yields, and its errors.
        """
        address = f'tcp://127.0.0.1:{fleet.find_port()}'
        decode_errors = []

        async def run():
            receiver = links.Receiver(
                address, codecs.CODECS.get('msgpack'), decode_errors.append
            )
            batches = []
            with pynng.Push0(dial=address) as sender:
                for payload in payloads:
                    await sender.asend(payload)
                with anyio.move_on_after(0.5):
                    async for batch in receiver.receive_batches():
                        batches.append(batch)
            receiver.close()
            return batches

        return anyio.run(run), decode_errors

    def encode(self, sequence, frames):
        codec = codecs.CODECS.get('msgpack')
        return codec.encode(['lm-1', 1, sequence, frames])

    @pytest.mark.parametrize(
        'bad',
        [
            [8, 'a', -1, b'x'],
            [8, 'a', 0, 'text'],
            [8, 'a', 0, b'x' * (messages.MAX_DATA_BYTES + 1)],
            [8, 'a'],
            [99, 'a'],
            [7, 'a', True, {}],
        ],
    )
    def test_other_frames_of_a_batch_with_an_invalid_one_are_kept(self, bad):
        good = messages.Data('b', 0, b'fine')
        batches, decode_errors = self.receive(
            self.encode(1, [bad, good.pack()])
        )
        assert len(decode_errors) == 1
        assert isinstance(batches[0][3][0], links.MalformedFrame)
        assert batches[0][3][0].attempt == 'a'
        assert batches[0][3][1] == good

    @pytest.mark.parametrize(
        'raw', [b'', b'\xc1', b'\x93\x01', b'\x01', b'\x94\x01\x02\x03\x04']
    )
    def test_malformed_message_is_dropped(self, raw):
        good = messages.Data('b', 0, b'fine')
        batches, decode_errors = self.receive(
            raw, self.encode(2, [good.pack()])
        )
        assert len(decode_errors) == 1
        assert batches == [('lm-1', 1, 2, [good])]

    def test_large_frames_are_not_batched_into_one_message(self):
        frame = messages.Data('a', 0, b'x' * (4 * 1024 * 1024)).pack()
        batches = links.split_into_batches([frame, frame, frame, [3, 1, {}]])
        assert [len(b) for b in batches] == [1, 1, 1, 1]
        small = messages.Data('a', 0, b'x' * 1000).pack()
        assert len(links.split_into_batches([small] * 100)) == 1


class TestAgentPeer:
    """Guards against frames of failed or former links in a response."""

    def receive_batches(self, make_steps):
        """Runs a link and passes batches to it.

        Sets ``has_redialled`` to whether the link was replaced.

        Args:
            make_steps: Called with the epoch of the link; returns the
                arguments of AgentPeer.receive for each batch after the
                welcome. A number is a pause in seconds.

        Returns:
            The offsets of the frames that the handler of attempt ``a``
            receives.
        """
        frames = []

        async def run():
            peer = peers.AgentPeer(
                gateway='gw-1',
                incarnation='inc-g',
                reply_address='tcp://127.0.0.1:1',
                server=servers.Server('lm-1', 'lm-pool', 'bkk-a'),
                address=f'tcp://127.0.0.1:{fleet.find_port()}',
                codec=codecs.CODECS.get('msgpack'),
                get_revision=lambda: 1,
                on_welcome=lambda peer, frame: None,
                on_heartbeat=lambda peer, frame: None,
                on_usage=lambda peer, frame: None,
            )
            async with anyio.create_task_group() as group:
                group.start_soon(peer.run)
                await anyio.sleep(0.05)
                epoch = peer.epoch
                welcome = messages.Welcome('lm-1', 'inc-1', epoch, {})
                peer.receive(epoch, 1, [welcome])
                peer.add_handler('a', frames.append)
                for step in make_steps(epoch):
                    if isinstance(step, float):
                        await anyio.sleep(step)
                        continue
                    peer.receive(*step)
                await anyio.sleep(0.5)
                self.has_redialled = peer.epoch > epoch
                group.cancel_scope.cancel()

        anyio.run(run)
        return [f.offset for f in frames if f is not None]

    def test_frames_of_the_current_link_are_handled(self):
        data = [messages.Data('a', 0, b'x')]
        assert self.receive_batches(lambda e: [(e, 2, data)]) == [0]
        assert not self.has_redialled

    def test_batches_of_other_epochs_are_ignored(self):
        data = [messages.Data('a', 0, b'x')]
        late = [messages.Data('a', 7, b'x')]
        offsets = self.receive_batches(
            lambda e: [(e - 1, 2, late), (e + 1, 2, late), (e, 2, data)]
        )
        assert offsets == [0]
        assert not self.has_redialled

    @pytest.mark.parametrize('sequence', [1, 3, 0])
    def test_gap_or_repeat_in_the_sequence_closes_the_link(self, sequence):
        data = [messages.Data('a', 0, b'x')]
        offsets = self.receive_batches(
            lambda e: [(e, sequence, data), (e, 2, data)]
        )
        assert offsets == []
        assert self.has_redialled

    @pytest.mark.parametrize(
        'frame',
        [
            messages.Heartbeat(1, {'k': 'x'}),
            messages.Heartbeat(1, {'t': 'x'}),
            messages.Heartbeat(1, {'v': 1}),
            messages.Welcome('lm-1', 'inc-1', 1, {'versions': 7}),
        ],
    )
    def test_invalid_map_in_a_frame_does_not_stop_the_receiver(self, frame):
        batch = [frame, messages.Data('a', 0, b'x')]
        assert self.receive_batches(lambda e: [(e, 2, batch)]) == [0]

    @pytest.mark.parametrize('confirms', [False, True])
    def test_link_closes_if_heartbeats_are_not_confirmed(self, confirms):
        def steps(epoch):
            for number in range(2, 10):
                load = {'k': number if confirms else 0}
                yield (epoch, number, [messages.Heartbeat(1, load)])
                yield 0.5

        self.receive_batches(steps)
        assert self.has_redialled != confirms

    def test_frames_of_unknown_attempts_are_dropped(self):
        frames = [
            messages.Data('b', 0, b'x'),
            messages.Saved(*[1] * len(messages.Saved.field_names)),
            messages.Data('a', 0, b'x'),
        ]
        assert self.receive_batches(lambda e: [(e, 2, frames)]) == [0]


class TestCredit:
    """Guards against an agent that waits forever for credit."""

    def test_credit_is_sent_while_the_response_is_received(self):
        size = messages.MAX_DATA_BYTES
        count = 4 * attempt_streams.CREDIT_STEP_BYTES // size

        def respond(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Head(frame.attempt, 200, {})
                for i in range(count):
                    yield messages.Data(frame.attempt, i * size, b'x' * size)
                yield messages.End(frame.attempt, count * size, 2, '', {})

        peer = ScriptedPeer(respond)
        body = run_call(make_dispatcher(peer), make_call())
        assert len(body) == count * size
        assert peer.count(messages.Credit) == 4
