"""The fake of a model engine."""

import json
import threading
import time

import anyio
import httpcore
import pytest

from bench import fleet
from fakes import batching
from fakes import engine as engine_module


@pytest.fixture
def start_engine(tmp_path):
    """Starts engines with options; returns their base URLs."""
    with fleet.Fleet(tmp_path) as started:

        def start(module='engine', **options):
            name = f'engine-{len(started.members)}'
            member = started.start_fake(name, module, **options)
            started.wait_for_port(name)
            return member.url()

        yield start


def ask(url, content='hello', attempt='a-1', headers=(), **options):
    """Returns status and raw body of a chat request."""
    body = {
        'model': 'small-1',
        'messages': [{'role': 'user', 'content': content}],
        **options,
    }
    answer = httpcore.request(
        'POST',
        f'{url}/v1/chat/completions',
        headers={'x-request-id': attempt, **dict(headers)},
        content=json.dumps(body).encode(),
    )
    return answer.status, answer.content, dict(answer.headers)


def measure(url, **options):
    """Returns the seconds of a chat request."""
    start = time.monotonic()
    assert ask(url, **options)[0] == 200
    return time.monotonic() - start


def read(url, path):
    return fleet.call_json('GET', f'{url}/{path}')[1]


def post(url, path, **value):
    return fleet.call_json('POST', f'{url}/{path}', value)


def ask_parallel(url, count, **options):
    """Sends requests at once; returns threads that are running."""
    threads = [
        threading.Thread(
            target=ask, args=(url,), kwargs={'attempt': f'p-{i}', **options}
        )
        for i in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads


class TestBatching:
    """Guards against load that does not slow an engine down."""

    def test_batch_slows_tokens(self, start_engine):
        url = start_engine(between_tokens=0.01, growth=0.5, slots=8)
        alone = measure(url, max_tokens=20)
        threads = ask_parallel(url, 7, max_tokens=80)
        time.sleep(0.1)
        shared = measure(url, max_tokens=20)
        for thread in threads:
            thread.join()
        assert shared > 2 * alone

    def test_priority_goes_first(self, start_engine):
        url = start_engine(slots=1, between_tokens=0.01)
        threads = ask_parallel(url, 4, max_tokens=20)
        time.sleep(0.1)
        ask(url, attempt='urgent', headers=[('x-priority', '9')])
        ended = [r['attempt'] for r in read(url, 'runs') if r['end']]
        for thread in threads:
            thread.join()
        assert 'urgent' in ended
        assert len(ended) <= 3

    def test_closed_client_frees_the_slot(self, start_engine):
        url = start_engine(slots=1, between_tokens=0.01)
        body = {'model': 'm', 'stream': True, 'max_tokens': 5000}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            content=json.dumps(body).encode(),
        ) as answer:
            next(answer.iter_stream())
        assert measure(url, max_tokens=2) < 2
        assert read(url, 'runs')[0]['complete'] is False


class TestColdSlots:
    """Guards against a cold engine that bears any load."""

    def test_more_than_its_slots_make_it_slower(self, start_engine):
        options = {'cold_seconds': 60, 'cold_factor': 1.0}
        url = start_engine(cold_slots=2, between_tokens=0.01, **options)
        alone = measure(url, max_tokens=10)
        threads = ask_parallel(url, 5, max_tokens=30)
        time.sleep(0.05)
        assert measure(url, max_tokens=10) > 4 * alone
        for thread in threads:
            thread.join()


class TestPrefixCache:
    """Guards against prompts that cost the same cached or not."""

    def test_second_prompt_is_cached(self, start_engine):
        url = start_engine(prefill_seconds=0.001)
        first = measure(url, content='q' * 4000, max_tokens=1)
        second = measure(url, content='q' * 4000, max_tokens=1)
        assert first > 0.9
        assert second < first / 3
        runs = read(url, 'runs')
        assert runs[0]['cached_tokens'] == 0
        assert runs[1]['cached_tokens'] > 900

    def test_memory_is_limited(self, start_engine):
        url = start_engine(cache_blocks=20, event_lag=0, event_gap_share=0)
        for letter in 'abc':
            ask(url, content=letter * 1000, max_tokens=1)
        assert read(url, 'load')['cached_prefix_tokens'] == 20 * 16
        ask(url, content='a' * 1000, max_tokens=1)
        assert read(url, 'runs')[-1]['cached_tokens'] == 0
        kinds = {e['kind'] for e in read(url, 'cache-events?since=0')}
        assert kinds == {'stored', 'removed'}

    def test_events_are_late_and_have_gaps(self, start_engine):
        url = start_engine(event_lag=0.5, event_gap_share=0.25)
        ask(url, content='a' * 2560, max_tokens=1)
        assert read(url, 'cache-events?since=0') == []
        time.sleep(0.6)
        numbers = [e['number'] for e in read(url, 'cache-events?since=0')]
        assert len(numbers) == 30
        assert numbers[-1] > 30


class TestAnswers:
    """Guards against answers that hide lost, cut or foreign bytes."""

    def test_answer_names_version_and_attempt(self, start_engine):
        url = start_engine()
        _, plain, _ = ask(url, attempt='a-7')
        value = json.loads(plain)
        assert (value['id'], value['model']) == ('a-7', 'small-1')
        text = value['choices'][0]['message']['content']
        assert text == engine_module.write_text(20)

    def test_characters_are_cut_by_chunk_borders(self, start_engine):
        url = start_engine(between_tokens=0.01)
        body = {'model': 'm', 'stream': True, 'max_tokens': 12}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            content=json.dumps(body).encode(),
        ) as answer:
            chunks = list(answer.iter_stream())
        broken = 0
        for chunk in chunks:
            try:
                chunk.decode()
            except UnicodeDecodeError:
                broken += 1
        assert broken
        assert 'เช่า' in b''.join(chunks).decode()

    def test_continues_a_final_message(self, start_engine):
        url = start_engine()
        messages = [
            {'role': 'user', 'content': 'x'},
            {'role': 'assistant', 'content': engine_module.write_text(8)},
        ]
        _, plain, _ = ask(url, messages=messages, continue_final_message=True)
        value = json.loads(plain)
        text = value['choices'][0]['message']['content']
        assert text == engine_module.write_text(12, 8)

    def test_max_tokens_of_a_continuation_limits_new_tokens(
        self, start_engine
    ):
        url = start_engine()
        _, plain, _ = ask(
            url,
            messages=[
                {'role': 'assistant', 'content': engine_module.write_text(8)}
            ],
            continue_final_message=True,
            max_tokens=3,
        )
        value = json.loads(plain)
        text = value['choices'][0]['message']['content']
        assert text == engine_module.write_text(3, 8)

    def test_resumes_from_an_offset(self, start_engine):
        url = start_engine(between_tokens=0.02, resume_seconds=5)
        body = {'model': 'm', 'stream': True}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            headers={'x-request-id': 's-1'},
            content=json.dumps(body).encode(),
        ) as answer:
            first = next(answer.iter_stream())[:150]
        rest = httpcore.request(
            'GET', f'{url}/v1/streams/s-1?offset={len(first)}'
        ).content
        whole = httpcore.request('GET', f'{url}/v1/streams/s-1').content
        assert first + rest == whole
        assert whole.endswith(engine_module.DONE)
        assert len(read(url, 'runs')) == 1


class TestFaults:
    """Guards against fault switches that do nothing."""

    def test_cut_stream_has_no_end(self, start_engine):
        url = start_engine()
        post(url, 'faults', cut_share=1.0)
        with pytest.raises(httpcore.RemoteProtocolError):
            ask(url, stream=True)

    def test_wrong_length(self, start_engine):
        url = start_engine()
        post(url, 'faults', wrong_length_share=1.0)
        with pytest.raises(httpcore.RemoteProtocolError):
            ask(url)

    def test_crossed_answer(self, start_engine):
        url = start_engine()
        post(url, 'faults', cross_share=1.0)
        headers = ask(url, attempt='a-1')[2]
        assert headers[b'x-request-id'].startswith(b'other-')

    def test_stalled_stream(self, start_engine):
        url = start_engine()
        post(url, 'faults', stall_share=1.0, stall_seconds=0.8)
        assert measure(url, stream=True) > 0.8

    def test_error_share_and_refusal(self, start_engine):
        url = start_engine()
        post(url, 'faults', error_share=0.5)
        assert sorted(ask(url)[0] for _ in range(4)) == [200, 200, 500, 500]
        post(url, 'faults', refuse=True)
        assert ask(url)[0] == 503

    def test_slow_factor(self, start_engine):
        url = start_engine(between_tokens=0.01)
        post(url, 'faults', slow=5.0)
        assert measure(url, max_tokens=10) > 0.5

    def test_unknown_fault_is_refused(self, start_engine):
        assert post(start_engine(), 'faults', slwo=2)[0] == 400


class TestColdStart:
    """Guards against a cold start that nobody could notice."""

    def test_slow_until_warm(self, start_engine):
        url = start_engine(between_tokens=0.01, cold_seconds=2, cold_factor=10)
        cold = measure(url, max_tokens=5)
        time.sleep(2)
        warm = measure(url, max_tokens=5)
        assert cold > 3 * warm

    def test_without_warning(self, start_engine):
        url = start_engine()
        ask(url, content='q' * 1000)
        before = read(url, 'load')
        post(url, 'faults', cold_start=True)
        assert read(url, 'faults')['cold_start'] is False
        after = read(url, 'load')
        assert after['incarnation'] != before['incarnation']
        assert after['cached_prefix_tokens'] == 0


class TestReports:
    """Guards against load reports and orders that are too good."""

    def test_engine_for_any_version_names_none(self, start_engine):
        url = start_engine(first_token=0.3)
        assert read(url, 'load')['versions'] is None
        assert measure(url, max_tokens=1) > 0.3

    def test_load_lags(self, start_engine):
        url = start_engine(lag=0.6, between_tokens=0.02)
        threads = ask_parallel(url, 3, max_tokens=60)
        time.sleep(0.2)
        assert read(url, 'load')['running'] == 0
        time.sleep(0.7)
        assert read(url, 'load')['running'] == 3
        for thread in threads:
            thread.join()

    def test_versions_and_speed(self, start_engine):
        url = start_engine(versions='small-1:1.0,large-1:4.0')
        assert ask(url)[0] == 200
        slow = measure(url, model='large-1', max_tokens=40)
        assert slow > 2 * measure(url, max_tokens=40)
        assert ask(url, model='other-1')[0] == 404

    @pytest.mark.parametrize('checked', [True, False])
    def test_fencing(self, start_engine, checked):
        url = start_engine(versions='small-1', check_fencing=checked)
        order = {'order': 'load', 'version': 'large-1'}
        assert post(url, 'orders', fencing=7, **order)[0] == 200
        assert ask(url, model='large-1')[0] == 200
        order['order'] = 'unload'
        status = post(url, 'orders', fencing=6, **order)[0]
        assert status == (409 if checked else 200)
        assert ask(url, model='large-1')[0] == (200 if checked else 404)


class TestService:
    """Guards against a plain service that hides runs or faults."""

    def call(self, url):
        return httpcore.request('POST', f'{url}/deposits', content=b'{}')

    def test_broken_answers_count_as_runs(self, start_engine):
        url = start_engine('service')
        for fault in ('cut_share', 'wrong_length_share'):
            post(url, 'faults', **{fault: 1.0})
            with pytest.raises(httpcore.RemoteProtocolError):
                self.call(url)
            post(url, 'faults', **{fault: 0.0})
        assert len(read(url, 'runs')['/deposits']) == 2

    def test_refusal_is_no_run(self, start_engine):
        url = start_engine('service')
        post(url, 'faults', refuse=True)
        assert self.call(url).status == 503
        assert read(url, 'runs') == {}


class TestLateTimer:
    """Guards against an engine that dies when a step is already overdue."""

    def test_steps_without_length(self):
        batch = batching.Batch(
            2, 0.0, 0.0, 0.0, 100, lambda: 1.0, lambda: time.sleep(0.01)
        )
        sequence = batching.Sequence('a-1', 10, 5)

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(batch.run)
                batch.add(sequence)
                with anyio.fail_after(5):
                    while not sequence.closed:
                        await sequence.wait_beyond(sequence.produced)
                group.cancel_scope.cancel()

        anyio.run(run)
        assert sequence.produced == 5
