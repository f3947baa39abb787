"""Tests of the load generator and its validation of responses."""

import itertools
import json
import random

import anyio
import pytest

from bench import fleet
from bench import load
from fakes import engine


def make_events(**changes):
    """Returns the events of a stream of three tokens as JSON values."""
    base = {'id': 'a-1', 'model': 'v-1', **changes}
    values = [
        {**base, 'choices': [{'delta': {'content': engine.format_token(i)}}]}
        for i in range(3)
    ]
    usage = {'completion_tokens': 3}
    values.append({**base, 'choices': [{'delta': {}}], 'usage': usage})
    return values


def classify(values, end=True, versions=frozenset({'v-1'})):
    reader = load.ResponseReader(True, 0.0, load.make_histogram())
    text = ''.join(
        f'data: {json.dumps(v, ensure_ascii=False)}\n\n' for v in values
    )
    body = text.encode() + (engine.END_EVENT if end else b'')
    # Chunks of 7 bytes split events and multi-byte characters.
    for start in range(0, len(body), 7):
        reader.feed(body[start : start + 7])
    headers = {b'x-request-id': b'a-1', b'x-model-version': b'v-1'}
    return reader.classify(headers, versions)


class TestClassification:
    """Guards against invalid responses that are counted as answered."""

    def test_complete_response(self):
        assert classify(make_events()) == 'answered'

    def test_missing_end(self):
        assert classify(make_events(), end=False) == 'cut'

    @pytest.mark.parametrize('order', [[0, 2, 3], [0, 1, 1, 2, 3]])
    def test_lost_and_repeated_tokens(self, order):
        values = make_events()
        assert classify([values[i] for i in order]) == 'cut'

    def test_event_of_another_attempt(self):
        assert classify(make_events(id='a-2')) == 'crossed'

    def test_unexpected_version(self):
        assert classify(make_events(model='v-2')) == 'wrong_version'
        allowed = frozenset({'v-3'})
        assert classify(make_events(), versions=allowed) == 'wrong_version'

    def test_refusal(self):
        body = b'{"error": {"code": "overloaded", "verdict": "not_run"}}'
        assert load.read_refusal(503, body) == 'overloaded/not_run'
        assert load.read_refusal(502, b'bad gateway') == 'status-502'


class TestArrivals:
    """Guards against traffic that differs between runs with one seed."""

    @pytest.mark.parametrize('name', list(load.ARRIVALS))
    def test_seed_and_mean(self, name):
        first, second = (
            list(
                itertools.islice(
                    load.ARRIVALS.get(name)(20, random.Random(3)), 8000
                )
            )
            for _ in range(2)
        )
        assert first == second
        assert sum(first) == pytest.approx(400, rel=0.05)

    def test_requests_of_a_seed(self):
        def make(seed):
            generator = load.LoadGenerator(
                load.Workload(['u'], {'a': 1, 'b': 2}, seed)
            )
            return [generator._make_request() for _ in range(30)]

        assert make(1) == make(1)
        assert make(1) != make(2)


class TestRun:
    """Guards against counts that do not match the requests sent."""

    def test_counts_of_a_small_fleet(self, small_fleet):
        workload = load.Workload(
            [small_fleet.members['gw-1'].url()],
            {'temple-key': 1.0, 'unknown-key': 0.3},
            rate=30,
            seconds=1.5,
            model='small',
            versions=frozenset({'small-1'}),
        )
        generator = load.LoadGenerator(workload)
        anyio.run(generator.run)
        result = generator.summarise()
        refused = result['refusals']['unauthenticated/not_run']
        assert result['refused'] == refused
        assert result['answered'] + refused == result['sent']
        assert result['first_token_s']['count'] > 10

    def test_truncated_responses_are_not_counted_as_answered(
        self, small_fleet
    ):
        for name in ('lm-1', 'lm-2'):
            url = small_fleet.members[f'{name}-engine'].url()
            fleet.call_json('POST', f'{url}/faults', {'cut_share': 1.0})
        try:
            workload = load.Workload(
                [small_fleet.members['gw-1'].url()],
                {'temple-key': 1.0},
                rate=20,
                seconds=1,
                model='small',
            )
            generator = load.LoadGenerator(workload)
            anyio.run(generator.run)
        finally:
            for name in ('lm-1', 'lm-2'):
                url = small_fleet.members[f'{name}-engine'].url()
                fleet.call_json('POST', f'{url}/faults', {'cut_share': 0.0})
        assert 'answered' not in generator.summarise()
