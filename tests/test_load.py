"""The load generator's judgement of answers."""

import itertools
import json
import random

import anyio
import pytest

from bench import fleet
from bench import load
from fakes import engine


def make_events(**changes):
    """Returns a stream of three tokens as JSON values."""
    base = {'id': 'a-1', 'model': 'v-1', **changes}
    values = [
        {**base, 'choices': [{'delta': {'content': engine.format_token(i)}}]}
        for i in range(3)
    ]
    usage = {'completion_tokens': 3}
    values.append({**base, 'choices': [{'delta': {}}], 'usage': usage})
    return values


def judge(values, end=True, versions=frozenset({'v-1'})):
    reader = load.Reader(True, 0.0, load.make_histogram())
    text = ''.join(
        f'data: {json.dumps(v, ensure_ascii=False)}\n\n' for v in values
    )
    body = text.encode() + (engine.END_EVENT if end else b'')
    # Odd pieces, so that events and characters are cut.
    for start in range(0, len(body), 7):
        reader.feed(body[start : start + 7])
    headers = {b'x-request-id': b'a-1', b'x-model-version': b'v-1'}
    return reader.judge(headers, versions)


class TestJudgement:
    """Guards against a measurement that takes bad answers for good ones."""

    def test_whole_answer(self):
        assert judge(make_events()) == 'answered'

    def test_missing_end(self):
        assert judge(make_events(), end=False) == 'cut'

    @pytest.mark.parametrize('order', [[0, 2, 3], [0, 1, 1, 2, 3]])
    def test_lost_and_repeated_tokens(self, order):
        values = make_events()
        assert judge([values[i] for i in order]) == 'cut'

    def test_foreign_attempt(self):
        assert judge(make_events(id='a-2')) == 'crossed'

    def test_foreign_version(self):
        assert judge(make_events(model='v-2')) == 'wrong_version'
        allowed = frozenset({'v-3'})
        assert judge(make_events(), versions=allowed) == 'wrong_version'

    def test_refusal(self):
        body = b'{"error": {"code": "overloaded", "verdict": "not_run"}}'
        assert load.read_refusal(503, body) == 'overloaded/not_run'
        assert load.read_refusal(502, b'bad gateway') == 'status-502'


class TestArrivals:
    """Guards against a load that differs between runs of one seed."""

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
            running = load.Load(load.Workload(['u'], {'a': 1, 'b': 2}, seed))
            return [running._make_request() for _ in range(30)]

        assert make(1) == make(1)
        assert make(1) != make(2)


class TestRun:
    """Guards against counts that do not match what was sent."""

    def test_counts_of_a_small_fleet(self, small_fleet):
        workload = load.Workload(
            [small_fleet.members['gw-1'].url()],
            {'temple-key': 1.0, 'unknown-key': 0.3},
            rate=30,
            seconds=1.5,
            model='small',
            versions=frozenset({'small-1'}),
        )
        running = load.Load(workload)
        anyio.run(running.run)
        result = running.summarise()
        refused = result['refusals']['unauthenticated/not_run']
        assert result['refused'] == refused
        assert result['answered'] + refused == result['sent']
        assert result['first_token_s']['count'] > 10

    def test_faults_are_seen(self, small_fleet):
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
            running = load.Load(workload)
            anyio.run(running.run)
        finally:
            for name in ('lm-1', 'lm-2'):
                url = small_fleet.members[f'{name}-engine'].url()
                fleet.call_json('POST', f'{url}/faults', {'cut_share': 0.0})
        assert 'answered' not in running.summarise()
