"""HTTP API for callers, served in this process without sockets."""

import json
import time
import types
import urllib.parse

import anyio
import pytest

from chivejunction import errors
from chivejunction.coordination import attempt_streams
from chivejunction.coordination import caller_api
from chivejunction.coordination import cascades
from chivejunction.coordination import pins
from chivejunction.coordination import rate_limits
from chivejunction.coordination import ratings
from chivejunction.coordination import rollouts
from chivejunction.coordination import routing
from chivejunction.protocol import messages
from chivejunction.protocol import resources
from chivejunction.protocol import sse
from chivejunction.state import estimates
from chivejunction.state import sessions
from chivejunction.state import views
from chivejunction.transport import http_client
from tests import stores
from tests import test_attempts
from tests import test_metrics

THAI = 'มีเครื่องขยายเสียงไหม een geluidsinstallatie, één stuk'
KEY = [(b'authorization', b'Bearer temple-key')]
CHAT = {'model': 'small', 'messages': [{'role': 'user', 'content': THAI}]}


def make_view():
    """Returns a view with one model each for temple and school."""
    view = views.ConfigView()
    view.apply(
        resources.Document(
            revision=1,
            resources={
                'organisation': {
                    name: {
                        'name': name,
                        'key_hashes': [resources.hash_key(f'{name}-key')],
                        'models': [model],
                        'services': services,
                    }
                    for name, model, services in (
                        ('temple', 'small', ['hire-desk']),
                        ('school', 'large', []),
                    )
                },
                'model': {n: {'name': n} for n in ('small', 'large')},
                'modelversion': {
                    f'{n}-1': {
                        'name': f'{n}-1',
                        'model': n,
                        'pool': 'lm-pool',
                    }
                    for n in ('small', 'large')
                },
                'service': {
                    'hire-desk': {'name': 'hire-desk', 'pool': 'hire-desk'}
                },
                'pool': {'lm-pool': {'name': 'lm-pool'}},
            },
        )
    )
    return view


def make_app(view, dispatcher):
    """Returns the application without ratings and with an in-memory store."""
    qualities = estimates.QualityEstimates()
    costs = estimates.CostEstimates()
    table = rollouts.RolloutTable(view)
    rating_client = ratings.RatingClient(
        '',
        http_client.Client(),
        ratings.RatingTracker(qualities),
        qualities,
        view,
        0.0,
    )
    shared_pins = pins.SharedPins(
        sessions.PinTable(), table, stores.MemoryStore()
    )
    request_sessions = pins.SessionManager(
        sessions.TokenSigner('key-of-tests', ''), shared_pins
    )
    return caller_api.CallerApi(
        view,
        routing.Router(view, qualities, costs, table, rating_client),
        dispatcher,
        rate_limits.RateLimiter(view, 'gw-1', 1),
        cascades.CascadeRunner(
            dispatcher,
            view,
            rating_client,
            qualities,
            costs,
            on_step=table.add_step,
            make_headers=request_sessions.make_headers,
        ),
        request_sessions,
    )


class Caller:
    """Sends requests to an application with a scripted agent."""

    def __init__(self, answer=test_attempts.send_full_response):
        self.view = make_view()
        self.peer = test_attempts.ScriptedPeer(answer)
        self.dispatcher = test_attempts.make_dispatcher(self.peer)
        self.app = make_app(self.view, self.dispatcher)

    def request(
        self,
        method,
        path,
        body=b'',
        headers=(),
        query=b'',
        key=KEY,
        disconnect_after=None,
        version='1.1',
        parts=None,
    ):
        """Sends a request.

        Returns:
            Status, headers, body and whether the response was complete.
        """
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        scope = {
            'type': 'http',
            'method': method,
            'path': urllib.parse.unquote(path),
            'raw_path': path.encode(),
            'query_string': query,
            'http_version': version,
            'headers': [*key, *headers],
        }
        pending = [
            {'type': 'http.request', 'body': part, 'more_body': True}
            for part in parts or ()
        ]
        if parts is None:
            pending.append({'type': 'http.request', 'body': body})
        sent = []

        async def receive():
            if pending:
                return pending.pop(0)
            if disconnect_after is None:
                await anyio.sleep_forever()
            await anyio.sleep(disconnect_after)
            return {'type': 'http.disconnect'}

        async def send(message):
            sent.append(message)

        async def run():
            with anyio.fail_after(20):
                await self.app(scope, receive, send)

        anyio.run(run)
        head = sent[0] if sent else {'status': 0, 'headers': []}
        response_headers = {k.decode(): v.decode() for k, v in head['headers']}
        content = b''.join(m.get('body', b'') for m in sent[1:])
        ended = bool(sent) and not sent[-1].get('more_body', True)
        return types.SimpleNamespace(
            status=head['status'],
            headers=response_headers,
            body=content,
            ended=ended,
        )

    def get_refusal(self, *args, **kwargs):
        """Returns status, code and verdict of a refused request."""
        response = self.request(*args, **kwargs)
        error = json.loads(response.body)['error']
        assert response.ended
        assert set(error) == {'type', 'code', 'message', 'param', 'verdict'}
        return response.status, error['code'], error['verdict']


@pytest.fixture
def caller():
    return Caller()


def make_stream_agent(parts, error=''):
    """Returns an agent script that streams the parts as one response."""

    def answer(peer, frame):
        if isinstance(frame, messages.Start):
            yield messages.Head(
                frame.attempt, 200, {'content-type': 'text/event-stream'}
            )
            offset = 0
            for part in parts:
                yield messages.Data(frame.attempt, offset, part)
                offset += len(part)
            yield messages.End(frame.attempt, offset, 1, error, {})

    return answer


class TestRefusedRequests:
    """Guards against invalid requests that run or get an unclear refusal."""

    @pytest.mark.parametrize(
        'body',
        [
            b'',
            b'{',
            b'[]',
            b'\xff\xfe',
            b'{"model": "small", "messages": [{"role": "\xff"}]}',
            b'{"model": "small", "messages": []}',
            b'{"model": "", "messages": [{"role": "user"}]}',
            b'{"model": 7, "messages": [{"role": "user"}]}',
            b'{"model": "small", "messages": [{"role": "user"}], "x": NaN}',
            b'{"model": "small", "messages": [{"role": "\\ud800"}]}',
            b'{"model": "small", "messages": [{"role": "user"}], "x": '
            + b'[' * 5000
            + b']' * 5000
            + b'}',
            b'{"model": "small", "messages": [{"role": "user"}], "x": '
            + b'9' * 5000
            + b'}',
            b'{"model": "small", "stream": "yes", '
            b'"messages": [{"role": "user"}]}',
        ],
    )
    def test_invalid_body(self, caller, body):
        assert caller.get_refusal('POST', caller_api.CHAT_PATH, body) == (
            400,
            'invalid_request',
            'not_run',
        )
        assert caller.peer.sent == []

    @pytest.mark.parametrize(
        'header',
        [
            (b'x-deadline-ms', b'-1'),
            (b'x-deadline-ms', b'nan'),
            (b'x-deadline-ms', b'inf'),
            (b'x-deadline-ms', b'1e30'),
            (b'x-deadline-ms', b'9999999999'),
            (b'x-deadline-ms', b''),
            (b'x-deadline-ms', b'1_000'),
            (b'x-quality-target', b'1.01'),
            (b'x-quality-target', b'nan'),
            (b'x-session', b's' * 256),
            (b'x-session', b''),
            (b'x-session', b'\xe0\xb8\x81'),
            (b'idempotency-key', b'k' * 256),
            (b'x-request-class', b'c' * 64),
            (b'x-other', b'a\r\nb: c'),
            (b'x-other', b'a\x00'),
            (b'bad name', b'a'),
        ],
    )
    def test_invalid_header(self, caller, header):
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, CHAT, [header]
        )
        assert refusal == (400, 'invalid_request', 'not_run')
        assert caller.peer.sent == []

    @pytest.mark.parametrize(
        'name', [b'x-session', b'authorization', b'idempotency-key']
    )
    def test_repeated_header_with_different_values(self, caller, name):
        headers = [(name, b'Bearer temple-key'), (name, b'two')]
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, CHAT, headers
        )
        assert refusal == (400, 'invalid_request', 'not_run')

    def test_too_large_headers(self, caller):
        headers = [(b'x-a', b'a' * 40_000)]
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, CHAT, headers
        )
        assert refusal[:2] == (431, 'headers_too_large')

    @pytest.mark.parametrize(
        ('method', 'path', 'expected'),
        [
            ('GET', '/nowhere', (404, 'not_found')),
            ('GET', caller_api.CHAT_PATH, (405, 'method_not_allowed')),
            ('DELETE', caller_api.MODELS_PATH, (405, 'method_not_allowed')),
            ('GET', '/v1/models/large', (404, 'unknown_model')),
            ('POST', '/services/other/x', (403, 'service_not_allowed')),
        ],
    )
    def test_unknown_path_or_method(self, caller, method, path, expected):
        assert caller.get_refusal(method, path)[:2] == expected

    @pytest.mark.parametrize('key', [[], [(b'authorization', b'Bearer no')]])
    def test_missing_or_unknown_api_key(self, caller, key):
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, CHAT, key=key
        )
        assert refusal == (401, 'unauthenticated', 'not_run')

    def test_too_large_body(self, caller):
        part = b'x' * (1024 * 1024)
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, parts=[part] * 5
        )
        assert refusal == (413, 'too_large', 'not_run')
        header = (b'content-length', b'9999999')
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, b'', [header]
        )
        assert refusal[:2] == (413, 'too_large')

    def test_body_timeout(self, caller, monkeypatch):
        monkeypatch.setattr(caller_api, 'BODY_TIMEOUT_SECONDS', 0.1)
        refusal = caller.get_refusal(
            'POST', caller_api.CHAT_PATH, parts=[b'{']
        )
        assert refusal == (408, 'request_timeout', 'not_run')

    def test_leaving_gateway_refuses_requests(self, caller):
        caller.app.leaving = True
        response = caller.request('POST', caller_api.CHAT_PATH, CHAT)
        assert response.status == 503
        assert json.loads(response.body)['error']['code'] == 'leaving'
        assert 'retry-after' in response.headers

    def test_programming_error_ends_only_its_request(self, caller):
        caller.dispatcher.run = None
        refusal = caller.get_refusal('POST', caller_api.CHAT_PATH, CHAT)
        assert refusal[:2] == (500, 'internal')
        assert caller.app.active_requests == 0

    def test_invariant_violation_is_counted(self, caller):
        def fail(*arguments):
            raise errors.InvariantViolation('whole_answer', 'test')

        before = test_metrics.read_violations('whole_answer')
        caller.dispatcher.run = fail
        refusal = caller.get_refusal('POST', caller_api.CHAT_PATH, CHAT)
        assert refusal[:2] == (500, 'internal')
        assert test_metrics.read_violations('whole_answer') == before + 1


class TestHeaders:
    """Guards against leaked credentials and broken HTTP framing."""

    def test_credentials_and_hop_by_hop_headers_are_removed(self, caller):
        headers = [
            (b'cookie', b'a=b'),
            (b'x-api-key', b'secret'),
            (b'proxy-authorization', b'secret'),
            (b'connection', b'close, x-hop'),
            (b'x-hop', b'1'),
            (b'te', b'trailers'),
            (b'x-kept', b'1'),
        ]
        caller.request('POST', '/services/hire-desk/a', b'', headers)
        assert caller.peer.sent[0].headers == {'x-kept': '1'}

    def test_server_headers_cannot_break_framing(self):
        def answer(peer, frame):
            for sent in test_attempts.send_full_response(peer, frame):
                if isinstance(sent, messages.Head):
                    sent.headers = {
                        'Content-Length': '3',
                        'transfer-encoding': 'chunked',
                        'connection': 'x-hop',
                        'x-hop': '1',
                        'x-bad': 'a\r\nset-cookie: b',
                        'x-good': '1',
                    }
                yield sent

        response = Caller(answer).request('GET', '/services/hire-desk/a')
        assert response.headers == {'x-good': '1', 'content-length': '11'}

    @pytest.mark.parametrize('method', ['HEAD', 'OPTIONS'])
    def test_other_methods_reach_service(self, caller, method):
        response = caller.request(method, '/services/hire-desk/a')
        assert response.status == 200
        assert caller.peer.sent[0].method == method
        assert caller.peer.sent[0].idempotent

    def test_path_keeps_its_percent_encoding(self, caller):
        path = '/services/hire-desk/%E0%B8%81%2Fx'
        caller.request('GET', path, query=b'q=%20')
        assert caller.peer.sent[0].path == '/%E0%B8%81%2Fx?q=%20'


class TestIncompleteResponses:
    """Guards against incomplete responses that look complete."""

    def test_failed_stream_ends_with_error_and_without_last_chunk(self):
        event = sse.format_event({'choices': [{'delta': {'content': 'a'}}]})
        response = Caller(make_stream_agent([event], 'server_failed')).request(
            'POST', caller_api.CHAT_PATH, {**CHAT, 'stream': True}
        )
        assert response.status == 200
        assert not response.ended
        assert b'[DONE]' not in response.body
        last = response.body.strip().split(b'\n\n')[-1]
        error = json.loads(last.removeprefix(b'data: '))['error']
        assert error['code'] == 'server_failed'
        assert error['verdict'] == 'may_have_run'

    @pytest.mark.parametrize('stream', [False, True])
    def test_failed_response_below_buffer_size_is_not_sent(self, stream):
        def answer(peer, frame):
            for sent in make_stream_agent([b'{"a": 1'], 'server_failed')(
                peer, frame
            ):
                if isinstance(sent, messages.Head):
                    sent.headers = {'content-type': 'application/json'}
                yield sent

        refusal = Caller(answer).get_refusal('GET', '/services/hire-desk/a')
        assert refusal == (502, 'server_failed', 'may_have_run')

    def test_http_1_0_gets_refusal_for_failed_stream(self):
        event = sse.format_event({'choices': [{'delta': {'content': 'a'}}]})
        response = Caller(make_stream_agent([event], 'server_failed')).request(
            'POST',
            caller_api.CHAT_PATH,
            {**CHAT, 'stream': True},
            version='1.0',
        )
        assert response.status == 502
        assert response.ended

    def test_long_response_is_sent_before_its_end(self):
        part = b'x' * messages.MAX_DATA_BYTES
        count = attempt_streams.MAX_HELD_RESPONSE_BYTES // len(part) + 2

        def answer(peer, frame):
            for sent in make_stream_agent([part] * count, 'failed')(
                peer, frame
            ):
                if isinstance(sent, messages.Head):
                    sent.headers = {}
                yield sent

        response = Caller(answer).request('GET', '/services/hire-desk/a')
        assert response.status == 200
        assert not response.ended

    @pytest.mark.parametrize('size', [1, 2, 3, 7])
    def test_characters_split_across_chunks(self, size):
        text = sse.format_event({'choices': [{'delta': {'content': THAI}}]})
        text += b'data: [DONE]\n\n'
        parts = [text[i : i + size] for i in range(0, len(text), size)]
        response = Caller(make_stream_agent(parts)).request(
            'POST', caller_api.CHAT_PATH, {**CHAT, 'stream': True}
        )
        assert response.ended
        assert response.body == text


class TestDisconnect:
    """Guards against wasted and lost calls after the caller disconnects."""

    def run(self, path, method='POST', body=b''):
        def answer(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.Admitted(frame.attempt, 'inc-1')

        caller = Caller(answer)
        headers = [(b'x-deadline-ms', b'800')]
        start = time.monotonic()
        caller.request(method, path, body, headers, disconnect_after=0.1)
        return caller.peer, time.monotonic() - start

    def test_repeatable_call_is_cancelled(self):
        peer, seconds = self.run(caller_api.CHAT_PATH, body=CHAT)
        assert peer.count(messages.Cancel) == 1
        assert seconds < 0.6

    def test_not_repeatable_call_runs_to_its_end(self):
        peer, seconds = self.run('/services/hire-desk/deposits')
        assert peer.count(messages.Cancel) == 0
        assert seconds >= 0.8


class TestOpenAiClient:
    """Guards against responses that an OpenAI client cannot read."""

    def test_models(self, caller):
        listed = json.loads(caller.request('GET', '/v1/models').body)
        assert [m['id'] for m in listed['data']] == ['small']
        one = json.loads(caller.request('GET', '/v1/models/small').body)
        assert one == listed['data'][0]
        assert {'id', 'object', 'created', 'owned_by'} <= set(one)

    @pytest.mark.parametrize('include_usage', [False, True])
    def test_usage_option_reaches_agent_unchanged(self, include_usage):
        # The agent omits usage events that the caller did not request. If
        # the gateway added the option, the caller's choice would be lost.
        token = sse.format_event({'choices': [{'delta': {'content': 'a'}}]})
        usage = sse.format_event({'choices': [], 'usage': {'total_tokens': 1}})
        parts = [token, *([usage] if include_usage else []), sse.END_EVENT]
        caller = Caller(make_stream_agent(parts))
        body = {**CHAT, 'stream': True}
        if include_usage:
            body['stream_options'] = {'include_usage': True}
        response = caller.request('POST', caller_api.CHAT_PATH, body)
        assert response.body == b''.join(parts)
        sent = json.loads(caller.peer.sent[0].body)
        assert sent.get('stream_options') == body.get('stream_options')

    def test_client_may_not_retry_call_that_may_have_run(self):
        def answer(peer, frame):
            if isinstance(frame, messages.Start):
                yield messages.End(frame.attempt, 0, 1, 'server_failed', {})

        response = Caller(answer).request('POST', '/services/hire-desk/a')
        assert response.headers['x-should-retry'] == 'false'
