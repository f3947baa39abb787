"""Tests of the fault counts and of the demo on constructed records."""

import random

import pytest

from bench import demo
from bench import deployments
from bench import load
from bench import service_calls
from bench import tally

ALLOWED = {'a': frozenset({'v-1', 'v-2'}), 'b': frozenset({'v-1'})}


def make_call(outcome='answered', organisation='a', **fields):
    return tally.Call(organisation, outcome, **fields)


def count(calls, runs=None, billed=None):
    if billed is None:
        groups = tally.group_calls(list(calls))
        billed = {}
        for (organisation, _), group in groups.items():
            is_complete = any(
                call.outcome in tally.COMPLETE_OUTCOMES for call in group
            )
            billed[organisation] = billed.get(organisation, 0) + is_complete
    return tally.count_calls(calls, runs or {}, billed, ALLOWED)


class TestCleanRuns:
    """Guards against faults reported for runs without one."""

    def test_answers_and_refusals(self):
        counts = count(
            [
                make_call(version='v-1', session='s'),
                make_call(version='v-1', session='s'),
                make_call('not_run'),
                make_call('may_have_run'),
                make_call(key='k', repeatable=False),
            ],
            {'k': ['x']},
        )
        assert counts.list_faults() == {}
        assert counts.details == []
        assert (counts.requests, counts.answered) == (5, 3)
        assert (counts.refused_not_run, counts.may_have_run) == (1, 1)
        assert counts.billed == 3

    def test_repeats_with_one_key_are_one_run_and_billed_once(self):
        calls = [
            make_call(outcome, key='k', repeatable=False)
            for outcome in ('answered', 'answered', 'not_run')
        ]
        assert count(calls, {'k': ['x']}, {'a': 1}).list_faults() == {}

    def test_reads_may_run_again(self):
        counts = count([make_call(key='k')], {'k': ['x', 'y']})
        assert counts.list_faults() == {}

    def test_call_that_may_have_run_may_be_billed_or_not(self):
        calls = [make_call('may_have_run', key='k', repeatable=False)]
        for runs, billed in (({}, {}), ({'k': ['x']}, {'a': 1})):
            assert count(calls, runs, billed).list_faults() == {}

    def test_equal_session_ids_of_two_organisations_are_separate(self):
        calls = [
            make_call(version='v-2', session='s'),
            make_call(version='v-1', session='s', organisation='b'),
        ]
        assert count(calls).list_faults() == {}


class TestFaults:
    """Guards against faults that are not counted."""

    @pytest.mark.parametrize('outcome', ['lost', 'unreachable'])
    def test_lost(self, outcome):
        assert count([make_call(outcome)]).list_faults() == {'lost': 1}

    def test_response_without_a_run_is_lost(self):
        counts = count([make_call(key='k', repeatable=False)])
        assert counts.list_faults() == {'lost': 1}

    @pytest.mark.parametrize('outcome', ['answered', 'may_have_run', 'cut'])
    def test_second_run(self, outcome):
        calls = [make_call(outcome, key='k', repeatable=False)]
        counts = count(calls, {'k': ['x', 'y']})
        assert counts.doubled == 1

    @pytest.mark.parametrize('repeatable', [False, True])
    def test_run_that_was_refused_as_not_run(self, repeatable):
        calls = [make_call('not_run', key='k', repeatable=repeatable)] * 2
        assert count(calls, {'k': ['x']}).list_faults() == {'doubled': 1}

    @pytest.mark.parametrize('outcome', ['cut', 'crossed'])
    def test_cut(self, outcome):
        assert count([make_call(outcome)]).list_faults() == {'cut': 1}

    def test_version_that_is_not_allowed(self):
        calls = [make_call(version='v-2', organisation='b')]
        assert count(calls).list_faults() == {'wrong_version': 1}

    def test_version_rejected_by_the_load_generator(self):
        counts = count([make_call('wrong_version', version='v-1')])
        assert counts.list_faults() == {'wrong_version': 1}

    def test_session_that_changes_its_version(self):
        calls = [make_call(version=v, session='s') for v in ('v-1', 'v-2')]
        assert count(calls).list_faults() == {'wrong_version': 1}

    @pytest.mark.parametrize('billed', [1, 4])
    def test_too_few_or_too_many_billed_requests(self, billed):
        calls = [make_call(), make_call(), make_call('not_run')]
        calls.append(make_call('may_have_run'))
        counts = count(calls, billed={'a': billed})
        assert counts.list_faults() == {'billing_errors': 1}

    def test_billing_errors_of_organisations_do_not_cancel_out(self):
        calls = [make_call(), make_call(organisation='b')]
        assert count(calls, billed={'a': 2}).billing_errors == 2

    def test_billed_organisation_without_calls(self):
        assert count([], billed={'a': 1}).billing_errors == 1


class TestSamples:
    """Guards against samples converted to a more favourable outcome."""

    @pytest.mark.parametrize(
        ('kind', 'code', 'outcome'),
        [
            ('refused', 'leaving/not_run', 'not_run'),
            ('refused', 'result_unknown/may_have_run', 'may_have_run'),
            ('refused', 'server_failed/ran', 'ran'),
            ('refused', 'status-502', 'may_have_run'),
            ('cut', '', 'cut'),
        ],
    )
    def test_outcomes(self, kind, code, outcome):
        assert tally.read_outcome(kind, code) == outcome

    def test_chats_and_calls(self):
        chat = load.Sample(
            0, 0.0, 'answered', session='s', version='v-1', first_token=0.1
        )
        assert tally.make_chat_call(chat, 'a') == make_call(
            session='s', version='v-1', first_token=0.1, started=0.0
        )
        for method, repeatable in (('POST', False), ('GET', True)):
            call = service_calls.Sample(
                'a-key', 'k', method, False, 'answered'
            )
            converted = tally.make_service_call(call, 'a')
            assert converted == make_call(key='k', repeatable=repeatable)

    def test_usage(self):
        usage = {
            'organisations': {
                'a': {'v-1': {'requests': 2}, 'desk': {'requests': 3}}
            }
        }
        assert tally.read_billed(usage) == {'a': 5}


class TestServiceResponses:
    """Guards against accepting the response of another call."""

    def test_classification(self):
        sample = service_calls.Sample('a-key', 'k', 'POST', False, attempt='x')
        body = b'{"key": "k", "attempt": "x", "time": 5.0}'
        assert service_calls.classify_response(sample, body) == 'answered'
        assert sample.ran_at == 5.0
        assert service_calls.classify_response(sample, body[:-5]) == 'cut'
        other_body = body.replace(b'"x"', b'"y"')
        assert service_calls.classify_response(sample, other_body) == 'crossed'


class TestResend:
    """Guards against calls that fail or run twice when a gateway stops."""

    @staticmethod
    async def send(outcomes):
        sample = service_calls.Sample('a-key', 'k', 'POST', False)
        urls = []

        async def exchange(sample, url):
            urls.append(url)
            sample.kind, sample.code = outcomes[len(urls) - 1]

        balancer = load.Balancer(['u', 'v', 'w'])
        await load.send_with_resend(
            sample, balancer, random.Random(1), exchange
        )
        return sample, urls

    @pytest.mark.anyio
    async def test_refusal_of_a_stopping_gateway_is_retried(self):
        refusal = ('refused', 'leaving/not_run')
        sample, urls = await self.send([refusal, refusal, ('answered', '')])
        assert (sample.kind, sample.resent) == ('answered', 2)
        assert len(set(urls)) == 3

    @pytest.mark.anyio
    @pytest.mark.parametrize(
        'outcome',
        [
            ('refused', 'leaving/may_have_run'),
            ('refused', 'overloaded/not_run'),
            ('lost', ''),
            ('cut', ''),
        ],
    )
    async def test_other_outcomes_are_not_retried(self, outcome):
        _, urls = await self.send([outcome])
        assert len(urls) == 1

    def test_closed_gateway_gets_no_requests(self):
        balancer = load.Balancer(['u', 'v'])
        balancer.close('u')
        rng = random.Random(1)
        picked = {balancer.pick(rng, frozenset()) for _ in range(20)}
        assert picked == {1}
        balancer.open('u')
        assert 0 in {balancer.pick(rng, frozenset()) for _ in range(20)}


class TestDemo:
    """Guards against runs in a drained failure domain that are missed.

    Such runs would be missed if they were assigned to the wrong domain or
    left out of the drain time.
    """

    def test_last_run_in_a_drained_domain(self):
        starts = [9.0, 10.2, 12.5, 21.0]
        assert demo.measure_drain(starts, 10.0, 20.0) == 2.5
        assert demo.measure_drain([9.0, 21.0], 10.0, 20.0) == 0.0

    def test_runs_are_listed_by_domain(self):
        deployment = deployments.scale(deployments.SIAMSOUND, 3, 3)
        sample = service_calls.Sample(
            'a-key', 'k', 'POST', False, 'answered', '', 'x', 7.0
        )
        records = demo.Records(
            [],
            [sample],
            {f'siam-lm-{n}': [{'start': float(n)}] for n in range(3)},
            {'siam-desk-1': {'k': ['x']}, 'siam-desk-2': {}},
        )
        assert records.list_starts(deployment, 'cnx-a') == [1.0, 7.0]
        assert records.merge_runs() == {'k': ['x']}

    def test_counts_are_summed_and_times_are_maxima(self):
        total = demo.aggregate_figures(
            {
                'a': {'lost': 1, 'drain_s': 0.5},
                'b': {'lost': 2, 'drain_s': 0.1},
            }
        )
        assert total == {'lost': 3, 'drain_s': 0.5}
