"""The checkers of randomised runs on made-up records, and their plans."""

import dataclasses
import json
import subprocess
import sys

import anyio
import pytest

from bench import chaos
from bench import deployments
from bench import invariants
from bench import load
from bench import soak
from fakes import store

SMALL = deployments.scale(deployments.SIAMSOUND, 4, 2)
GATEWAY = 'siam-gw-bkk-a'


def make_change(kind, name, sent, state='', revision=1, accepted=True, **more):
    """Returns a change that was accepted 0.1 s after it was sent."""
    if not accepted:
        return chaos.Change(kind, name, sent)
    resource = {'state': state, **more}
    return chaos.Change(kind, name, sent, sent + 0.1, revision, resource)


def make_chat(began, version='v1', kind='answered', **more):
    """Returns a chat of one session that took a second."""
    return load.Sample(
        0,
        began,
        kind=kind,
        began=began,
        total=1.0,
        credential='temple-key',
        session='s',
        version=version,
        **more,
    )


def make_records(changes=(), spans=(), runs=(), **more):
    """Returns records of one agent and one gateway."""
    return invariants.Records(
        allowed={'temple': frozenset({'v1', 'v2'})},
        domains={'lm-0': 'bkk-a'},
        gateways=[GATEWAY],
        journal=chaos.Journal(list(changes), list(spans)),
        runs=[invariants.Run('lm-0', 'temple', *run) for run in runs],
        **more,
    )


def find_broken(records):
    """Returns the names of the checks that find something."""
    return {v.split(':')[0] for v in invariants.check_all(records)}


WITHDRAWN = make_change('modelversion', 'v1', 100, 'withdrawn')
CLOSED = make_change('failuredomain', 'bkk-a', 100, 'closed')
LEAVING = chaos.Span('agent_restart', 'lm-0', 100, 120)
WEIGHT = make_change('organisation', 'temple', 1, revision=7)
KEPT = {'changed_at': 7, 'resource': WEIGHT.resource}
CHANGES = {'changes': [WEIGHT], 'final': {'organisation/temple': KEPT}}
RACERS = [dataclasses.replace(WEIGHT, expected=6) for _ in range(2)]
# Each record breaks exactly the named invariant.
BROKEN = [
    ('allowed_version', {'runs': [('v3', 1)]}),
    (
        'withdrawn_version',
        {
            'changes': [WITHDRAWN],
            'runs': [('v1', 106)],
            'final': {
                'modelversion/v1': {
                    'changed_at': 1,
                    'resource': {'state': 'withdrawn'},
                }
            },
        },
    ),
    (
        'closed_domain',
        {
            'changes': [CLOSED],
            'runs': [('v1', 106)],
            'final': {
                'failuredomain/bkk-a': {
                    'changed_at': 1,
                    'resource': {'state': 'closed'},
                }
            },
        },
    ),
    ('leaving_server', {'spans': [LEAVING], 'runs': [('v1', 106)]}),
    ('session_version', {'samples': [make_chat(1), make_chat(3, 'v2')]}),
    (
        'at_most_once',
        {
            'calls': [
                invariants.ServiceCall('k', False, 'temple', ['answered'])
            ],
            'service_runs': {'k': ['a', 'b']},
        },
    ),
    (
        'true_not_run',
        {
            'calls': [
                invariants.ServiceCall(
                    'k', False, 'temple', ['leaving/not_run']
                )
            ],
            'service_runs': {'k': ['a']},
        },
    ),
    (
        'true_not_run',
        {
            'samples': [
                make_chat(1, '', 'refused', code='x/not_run', attempt='a')
            ],
            'runs': [('v1', 1, 'a')],
        },
    ),
    ('billed_once', {'bills': {'temple': invariants.Bill(3, 1, 2)}}),
    ('billed_once', {'bills': {'temple': invariants.Bill(3, 1, 5)}}),
    ('whole_answer', {'samples': [make_chat(1, kind='crossed')]}),
    (
        'whole_answer',
        {
            'samples': [make_chat(1, kind='cut', looks_complete=True)],
            'spans': [chaos.Span('agent_kill', 'lm-0', 1, 2)],
        },
    ),
    (
        'whole_answer',
        {'calls': [invariants.ServiceCall('k', True, 'temple', ['answered'])]},
    ),
    (
        'whole_answer',
        {
            'calls': [
                invariants.ServiceCall('k', True, 'temple', ['crossed'])
            ],
            'service_runs': {'k': ['a']},
        },
    ),
    ('graceful_shutdown', {'samples': [make_chat(101, kind='cut')]}),
    ('graceful_shutdown', {'samples': [make_chat(101, kind='lost')]}),
    (
        'graceful_shutdown',
        {'samples': [make_chat(101, kind='cut')], 'spans': [LEAVING]},
    ),
    (
        'graceful_shutdown',
        {
            'samples': [make_chat(101, kind='cut')],
            'spans': [chaos.Span('gateway_kill', 'siam-gw-cnx-a', 100, 103)],
        },
    ),
    (
        'config_in_force',
        {
            'readings': [
                invariants.Reading('lm-0', 1, 5),
                invariants.Reading('lm-0', 1, 4),
            ]
        },
    ),
    ('config_in_force', {**CHANGES, 'final': {}}),
    (
        'config_in_force',
        {
            **CHANGES,
            'final': {'organisation/temple': {**KEPT, 'resource': {}}},
        },
    ),
    (
        'config_in_force',
        {**CHANGES, 'final': {'organisation/temple': {'changed_at': 8}}},
    ),
    ('config_in_force', {**CHANGES, 'changes': RACERS}),
    (
        'invariant_violations_total',
        {'readings': [invariants.Reading('lm-0', 1, 1, 1.0)]},
    ),
    ('logs', {'logs': {'lm-0': 'x\nTask exception was never retrieved\n'}}),
    (
        'logs',
        {
            'logs': {
                'lm-0': '{"exception": "Traceback (most recent call last)"}'
            }
        },
    ),
    ('ended', {'ended': ['lm-0 ended with 1']}),
    ('run', {'problems': ['not whole after the faults']}),
]
# Cases next to the broken ones that the design allows.
SOUND = [
    {'runs': [('v1', 1), ('v2', 1)]},
    {
        'changes': [
            WITHDRAWN,
            make_change('modelversion', 'v1', 107, 'active', 2),
        ],
        'runs': [('v1', 99), ('v1', 105), ('v1', 107.05)],
        'final': {
            'modelversion/v1': {
                'changed_at': 2,
                'resource': {'state': 'active'},
            }
        },
    },
    {'spans': [LEAVING], 'runs': [('v1', 104), ('v1', 121)]},
    {
        'samples': [make_chat(1), make_chat(3, 'v2')],
        'changes': [make_change('modelversion', 'v1', 2, accepted=False)],
    },
    {
        'samples': [make_chat(101, kind='cut')],
        'spans': [chaos.Span('gateway_kill', GATEWAY, 100, 103)],
    },
    {
        'calls': [
            invariants.ServiceCall(
                'k', False, 'temple', ['answered', 'duplicate/not_run']
            )
        ],
        'service_runs': {'k': ['a']},
    },
    {
        'readings': [
            invariants.Reading('lm-0', 1, 5),
            invariants.Reading('lm-0', 2, 0),
        ]
    },
    CHANGES,
    {'bills': {'temple': invariants.Bill(3, 1, 4)}},
    {
        'bills': {'temple': invariants.Bill(3, 1, 2)},
        'spans': [
            chaos.Span('agent_kill', 'lm-0', 100, 103),
            chaos.Span('gateway_kill', GATEWAY, 102, 104),
        ],
    },
]


class TestChecks:
    """A checker that misses a violation makes every run look good."""

    @pytest.mark.parametrize(('name', 'records'), BROKEN)
    def test_a_broken_invariant_is_found(self, name, records):
        """Guards against a checker that never fails."""
        assert find_broken(make_records(**records)) == {name}

    @pytest.mark.parametrize('records', SOUND)
    def test_an_allowed_case_is_not_reported(self, records):
        """Guards against a checker that reports what the design allows."""
        assert find_broken(make_records(**records)) == set()

    def test_every_checker_has_a_broken_record(self):
        """Guards against a new checker without proof that it works."""
        assert {name for name, _ in BROKEN} == set(invariants.CHECKS)

    def test_a_lost_answer_ends_the_span_of_a_state(self):
        """Guards against blaming runs after a change that may have won."""
        reopened = make_change('modelversion', 'v1', 108, accepted=False)
        spans = invariants.find_spans(
            [WITHDRAWN, reopened], 'modelversion', 'v1', 'withdrawn'
        )
        assert spans == [(100.1, 108)]


class TestPlans:
    """A seed must name one run, or a finding cannot be repeated."""

    def test_a_seed_gives_the_same_faults_twice(self):
        """Guards against choices outside the seeded source."""
        first = chaos.plan_faults(SMALL, 5, 60)
        assert first == chaos.plan_faults(SMALL, 5, 60)
        assert first != chaos.plan_faults(SMALL, 6, 60)
        assert len(first) > 10

    @pytest.mark.parametrize('seed', range(1, 9))
    def test_two_faults_run_at_a_time_on_different_targets(self, seed):
        """Guards against a restart of a process that is being killed."""
        planned = chaos.plan_faults(SMALL, seed, 120)
        for i, fault in enumerate(planned):
            others = [
                p
                for p in planned[:i]
                if p.start < fault.end and fault.start < p.end
            ]
            assert all(p.lane != fault.lane for p in others)
            assert all(p.target != fault.target for p in others)

    def test_every_fault_comes_in_a_long_run(self):
        """Guards against a registered fault that is never chosen."""
        planned = chaos.plan_faults(SMALL, 1, 600)
        assert {p.name for p in planned} == set(chaos.FAULTS)


class TestStore:
    """The fake store under callers that give up."""

    def test_a_client_that_gives_up_causes_no_exception(self):
        """Guards against tracebacks in runs with a slow store."""

        async def receive():
            return {'type': 'http.disconnect'}

        async def send(message):
            sent.append(message)

        sent = []
        scope = {
            'type': 'http',
            'method': 'POST',
            'path': '/v3/kv/range',
            'headers': [],
            'query_string': b'',
        }
        anyio.run(store.make_app(), scope, receive, send)
        assert sent[0]['status'] == 400


class TestSmoke:
    """The run itself, with faults that cut nothing."""

    def test_a_short_run_with_mild_faults_is_sound(self, tmp_path):
        """Guards against violations under store and host list faults."""
        faults = 'store_slow,hosts_down,operator_race,agent_restart'
        found = subprocess.run(
            [
                *(sys.executable, '-m', 'bench.soak', '--seed=4'),
                *('--minutes=0.33', f'--faults={faults}'),
                f'--folder={tmp_path}',
            ],
            capture_output=True,
            text=True,
            timeout=150,
        )
        assert found.returncode == 0, found.stdout + found.stderr
        lines = found.stdout.splitlines()
        result = json.loads(next(x for x in lines if x.startswith('{')))
        assert result['violations'] == []
        assert result['chats']['answered'] > 100
        assert result['engine_runs'] > soak.CHAT_RATE * 20 * 0.9
