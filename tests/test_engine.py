"""Tests of the fake model engine and the fake service."""

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
    """Returns a function that starts a fake and returns its base URL."""
    with fleet.Fleet(tmp_path) as started:

        def start(module='engine', **options):
            name = f'engine-{len(started.members)}'
            member = started.start_fake(name, module, **options)
            started.wait_for_port(name)
            return member.url()

        yield start


def send_chat(url, content='hello', attempt='a-1', headers=(), **options):
    """Sends a chat request; returns status, raw body and headers."""
    body = {
        'model': 'small-1',
        'messages': [{'role': 'user', 'content': content}],
        **options,
    }
    response = httpcore.request(
        'POST',
        f'{url}/v1/chat/completions',
        headers={'x-request-id': attempt, **dict(headers)},
        content=json.dumps(body).encode(),
    )
    return response.status, response.content, dict(response.headers)


def measure_seconds(url, **options):
    """Returns the duration of a chat request in seconds."""
    start = time.monotonic()
    assert send_chat(url, **options)[0] == 200
    return time.monotonic() - start


def get_json(url, path):
    return fleet.call_json('GET', f'{url}/{path}')[1]


def post_json(url, path, **value):
    return fleet.call_json('POST', f'{url}/{path}', value)


def start_parallel_chats(url, count, **options):
    """Starts concurrent chat requests; returns their threads."""
    threads = [
        threading.Thread(
            target=send_chat,
            args=(url,),
            kwargs={'attempt': f'p-{i}', **options},
        )
        for i in range(count)
    ]
    for thread in threads:
        thread.start()
    return threads


class TestBatching:
    """Guards against load that has no effect on the speed of an engine."""

    def test_larger_batch_slows_tokens_down(self, start_engine):
        url = start_engine(between_tokens=0.01, growth=0.5, slots=8)
        alone = measure_seconds(url, max_tokens=20)
        threads = start_parallel_chats(url, 7, max_tokens=80)
        time.sleep(0.1)
        shared = measure_seconds(url, max_tokens=20)
        for thread in threads:
            thread.join()
        assert shared > 2 * alone

    def test_high_priority_runs_first(self, start_engine):
        url = start_engine(slots=1, between_tokens=0.01)
        threads = start_parallel_chats(url, 4, max_tokens=20)
        time.sleep(0.1)
        send_chat(url, attempt='urgent', headers=[('x-priority', '9')])
        finished = [r['attempt'] for r in get_json(url, 'runs') if r['end']]
        for thread in threads:
            thread.join()
        assert 'urgent' in finished
        assert len(finished) <= 3

    def test_disconnect_frees_the_slot(self, start_engine):
        url = start_engine(slots=1, between_tokens=0.01)
        body = {'model': 'm', 'stream': True, 'max_tokens': 5000}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            content=json.dumps(body).encode(),
        ) as response:
            next(response.iter_stream())
        assert measure_seconds(url, max_tokens=2) < 2
        assert get_json(url, 'runs')[0]['complete'] is False


class TestColdSlots:
    """Guards against a cold engine that never slows down under load."""

    def test_more_sequences_than_cold_slots_slow_it_down(self, start_engine):
        options = {'cold_seconds': 60, 'cold_factor': 1.0}
        url = start_engine(cold_slots=2, between_tokens=0.01, **options)
        alone = measure_seconds(url, max_tokens=10)
        threads = start_parallel_chats(url, 5, max_tokens=30)
        time.sleep(0.05)
        assert measure_seconds(url, max_tokens=10) > 4 * alone
        for thread in threads:
            thread.join()


class TestPrefixCache:
    """Guards against cached prompts that take as long as uncached ones."""

    def test_second_prompt_is_cached(self, start_engine):
        url = start_engine(prefill_seconds=0.001)
        first = measure_seconds(url, content='q' * 4000, max_tokens=1)
        second = measure_seconds(url, content='q' * 4000, max_tokens=1)
        assert first > 0.9
        assert second < first / 3
        runs = get_json(url, 'runs')
        assert runs[0]['cached_tokens'] == 0
        assert runs[1]['cached_tokens'] > 900

    def test_capacity_is_limited(self, start_engine):
        url = start_engine(cache_blocks=20, event_lag=0, event_gap_share=0)
        for letter in 'abc':
            send_chat(url, content=letter * 1000, max_tokens=1)
        assert get_json(url, 'load')['cached_prefix_tokens'] == 20 * 16
        send_chat(url, content='a' * 1000, max_tokens=1)
        assert get_json(url, 'runs')[-1]['cached_tokens'] == 0
        kinds = {e['kind'] for e in get_json(url, 'cache-events?since=0')}
        assert kinds == {'stored', 'removed'}

    def test_events_are_delayed_and_have_gaps(self, start_engine):
        url = start_engine(event_lag=0.5, event_gap_share=0.25)
        send_chat(url, content='a' * 2560, max_tokens=1)
        assert get_json(url, 'cache-events?since=0') == []
        time.sleep(0.6)
        numbers = [e['number'] for e in get_json(url, 'cache-events?since=0')]
        assert len(numbers) == 30
        assert numbers[-1] > 30


class TestResponses:
    """Guards against responses in which lost or foreign bytes go unnoticed."""

    def test_response_contains_version_and_attempt(self, start_engine):
        url = start_engine()
        _, content, _ = send_chat(url, attempt='a-7')
        value = json.loads(content)
        assert (value['id'], value['model']) == ('a-7', 'small-1')
        text = value['choices'][0]['message']['content']
        assert text == engine_module.format_text(20)

    def test_characters_are_split_between_chunks(self, start_engine):
        url = start_engine(between_tokens=0.01)
        body = {'model': 'm', 'stream': True, 'max_tokens': 12}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            content=json.dumps(body).encode(),
        ) as response:
            chunks = list(response.iter_stream())
        split_chunks = 0
        for chunk in chunks:
            try:
                chunk.decode()
            except UnicodeDecodeError:
                split_chunks += 1
        assert split_chunks
        assert 'เช่า' in b''.join(chunks).decode()

    def test_continues_a_final_message(self, start_engine):
        url = start_engine()
        messages = [
            {'role': 'user', 'content': 'x'},
            {'role': 'assistant', 'content': engine_module.format_text(8)},
        ]
        _, content, _ = send_chat(
            url, messages=messages, continue_final_message=True
        )
        value = json.loads(content)
        text = value['choices'][0]['message']['content']
        assert text == engine_module.format_text(12, 8)

    def test_max_tokens_of_a_continuation_limits_new_tokens(
        self, start_engine
    ):
        url = start_engine()
        _, content, _ = send_chat(
            url,
            messages=[
                {'role': 'assistant', 'content': engine_module.format_text(8)}
            ],
            continue_final_message=True,
            max_tokens=3,
        )
        value = json.loads(content)
        text = value['choices'][0]['message']['content']
        assert text == engine_module.format_text(3, 8)

    def test_resumes_from_an_offset(self, start_engine):
        url = start_engine(between_tokens=0.02, resume_seconds=5)
        body = {'model': 'm', 'stream': True}
        body['messages'] = [{'role': 'user', 'content': 'x'}]
        with httpcore.stream(
            'POST',
            f'{url}/v1/chat/completions',
            headers={'x-request-id': 's-1'},
            content=json.dumps(body).encode(),
        ) as response:
            first = next(response.iter_stream())[:150]
        remainder = httpcore.request(
            'GET', f'{url}/v1/streams/s-1?offset={len(first)}'
        ).content
        whole = httpcore.request('GET', f'{url}/v1/streams/s-1').content
        assert first + remainder == whole
        assert whole.endswith(engine_module.END_EVENT)
        assert len(get_json(url, 'runs')) == 1


class TestFaults:
    """Guards against fault switches without effect."""

    def test_cut_stream_has_no_end(self, start_engine):
        url = start_engine()
        post_json(url, 'faults', cut_share=1.0)
        with pytest.raises(httpcore.RemoteProtocolError):
            send_chat(url, stream=True)

    def test_wrong_length(self, start_engine):
        url = start_engine()
        post_json(url, 'faults', wrong_length_share=1.0)
        with pytest.raises(httpcore.RemoteProtocolError):
            send_chat(url)

    def test_id_of_another_attempt(self, start_engine):
        url = start_engine()
        post_json(url, 'faults', cross_share=1.0)
        headers = send_chat(url, attempt='a-1')[2]
        assert headers[b'x-request-id'].startswith(b'other-')

    def test_stalled_stream(self, start_engine):
        url = start_engine()
        post_json(url, 'faults', stall_share=1.0, stall_seconds=0.8)
        assert measure_seconds(url, stream=True) > 0.8

    def test_error_share_and_refusal(self, start_engine):
        url = start_engine()
        post_json(url, 'faults', error_share=0.5)
        assert sorted(send_chat(url)[0] for _ in range(4)) == [
            200,
            200,
            500,
            500,
        ]
        post_json(url, 'faults', refuse=True)
        assert send_chat(url)[0] == 503

    def test_slow_factor(self, start_engine):
        url = start_engine(between_tokens=0.01)
        post_json(url, 'faults', slow=5.0)
        assert measure_seconds(url, max_tokens=10) > 0.5

    def test_unknown_fault_is_refused(self, start_engine):
        assert post_json(start_engine(), 'faults', slwo=2)[0] == 400


class TestColdStart:
    """Guards against a cold start without observable effects."""

    def test_slow_until_warm(self, start_engine):
        url = start_engine(between_tokens=0.01, cold_seconds=2, cold_factor=10)
        cold = measure_seconds(url, max_tokens=5)
        time.sleep(2)
        warm = measure_seconds(url, max_tokens=5)
        assert cold > 3 * warm

    def test_cold_start_by_fault_switch(self, start_engine):
        url = start_engine()
        send_chat(url, content='q' * 1000)
        before = get_json(url, 'load')
        post_json(url, 'faults', cold_start=True)
        assert get_json(url, 'faults')['cold_start'] is False
        after = get_json(url, 'load')
        assert after['incarnation'] != before['incarnation']
        assert after['cached_prefix_tokens'] == 0


class TestReports:
    """Guards against reports without delay and orders without fencing."""

    def test_engine_for_any_version_lists_none(self, start_engine):
        url = start_engine(first_token=0.3)
        assert get_json(url, 'load')['versions'] is None
        assert measure_seconds(url, max_tokens=1) > 0.3

    def test_load_is_delayed(self, start_engine):
        url = start_engine(lag=0.6, between_tokens=0.02)
        threads = start_parallel_chats(url, 3, max_tokens=60)
        time.sleep(0.2)
        assert get_json(url, 'load')['running'] == 0
        time.sleep(0.7)
        assert get_json(url, 'load')['running'] == 3
        for thread in threads:
            thread.join()

    def test_versions_and_speed(self, start_engine):
        url = start_engine(versions='small-1:1.0,large-1:4.0')
        assert send_chat(url)[0] == 200
        slow = measure_seconds(url, model='large-1', max_tokens=40)
        assert slow > 2 * measure_seconds(url, max_tokens=40)
        assert send_chat(url, model='other-1')[0] == 404

    @pytest.mark.parametrize('checked', [True, False])
    def test_fencing(self, start_engine, checked):
        url = start_engine(versions='small-1', check_fencing=checked)
        order = {'order': 'load', 'version': 'large-1'}
        assert post_json(url, 'orders', fencing=7, **order)[0] == 200
        assert send_chat(url, model='large-1')[0] == 200
        order['order'] = 'unload'
        status = post_json(url, 'orders', fencing=6, **order)[0]
        assert status == (409 if checked else 200)
        assert send_chat(url, model='large-1')[0] == (200 if checked else 404)


class TestService:
    """Guards against a service that omits runs or ignores faults."""

    def call(self, url):
        return httpcore.request('POST', f'{url}/deposits', content=b'{}')

    def test_truncated_responses_count_as_runs(self, start_engine):
        url = start_engine('service')
        for fault in ('cut_share', 'wrong_length_share'):
            post_json(url, 'faults', **{fault: 1.0})
            with pytest.raises(httpcore.RemoteProtocolError):
                self.call(url)
            post_json(url, 'faults', **{fault: 0.0})
        assert len(get_json(url, 'runs')['/deposits']) == 2

    def test_refusal_does_not_count_as_run(self, start_engine):
        url = start_engine('service')
        post_json(url, 'faults', refuse=True)
        assert self.call(url).status == 503
        assert get_json(url, 'runs') == {}


class TestOverdueSteps:
    """Guards against a crash when the deadline of a step has passed.

    Steps without duration and a slow ``on_change`` make each one overdue.
    """

    def test_steps_without_duration(self):
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
                        await sequence.wait_for_progress(
                            sequence.produced_tokens
                        )
                group.cancel_scope.cancel()

        anyio.run(run)
        assert sequence.produced_tokens == 5
