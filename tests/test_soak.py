"""Tests of the soak: its checkers on constructed records, its schedules."""

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


def make_change(
    kind, name, sent, state='', revision=1, accepted=True, **fields
):
    """Returns a change that was accepted 0.1 s after it was sent."""
    if not accepted:
        return chaos.Change(kind, name, sent)
    resource = {'state': state, **fields}
    return chaos.Change(kind, name, sent, sent + 0.1, revision, resource)


def make_sample(began, version='v1', kind='answered', **fields):
    """Returns the sample of a chat in session ``s`` that took a second."""
    return load.Sample(
        0,
        began,
        kind=kind,
        began=began,
        total=1.0,
        credential='temple-key',
        session='s',
        version=version,
        **fields,
    )


def make_records(changes=(), spans=(), runs=(), **fields):
    """Returns records of one agent and one gateway."""
    return invariants.Records(
        allowed={'temple': frozenset({'v1', 'v2'})},
        domains={'lm-0': 'bkk-a'},
        gateways=[GATEWAY],
        journal=chaos.Journal(list(changes), list(spans)),
        runs=[invariants.Run('lm-0', 'temple', *run) for run in runs],
        **fields,
    )


def find_violated_checks(records):
    """Returns the names of the checks that report a violation."""
    return {v.split(':')[0] for v in invariants.check_all(records)}


WITHDRAW_CHANGE = make_change('modelversion', 'v1', 100, 'withdrawn')
CLOSE_CHANGE = make_change('failuredomain', 'bkk-a', 100, 'closed')
RESTART_SPAN = chaos.Span('agent_restart', 'lm-0', 100, 120)
ACCEPTED_CHANGE = make_change('organisation', 'temple', 1, revision=7)
FINAL_STATE = {'changed_at': 7, 'resource': ACCEPTED_CHANGE.resource}
CHANGES = {
    'changes': [ACCEPTED_CHANGE],
    'final': {'organisation/temple': FINAL_STATE},
}
CONCURRENT_CHANGES = [
    dataclasses.replace(ACCEPTED_CHANGE, expected=6) for _ in range(2)
]
# Each case violates exactly the named invariant.
VIOLATING_RECORDS = [
    ('allowed_version', {'runs': [('v3', 1)]}),
    (
        'withdrawn_version',
        {
            'changes': [WITHDRAW_CHANGE],
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
            'changes': [CLOSE_CHANGE],
            'runs': [('v1', 106)],
            'final': {
                'failuredomain/bkk-a': {
                    'changed_at': 1,
                    'resource': {'state': 'closed'},
                }
            },
        },
    ),
    ('leaving_server', {'spans': [RESTART_SPAN], 'runs': [('v1', 106)]}),
    ('session_version', {'samples': [make_sample(1), make_sample(3, 'v2')]}),
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
                make_sample(1, '', 'refused', code='x/not_run', attempt='a')
            ],
            'runs': [('v1', 1, 'a')],
        },
    ),
    ('billed_once', {'bills': {'temple': invariants.Bill(3, 1, 2)}}),
    ('billed_once', {'bills': {'temple': invariants.Bill(3, 1, 5)}}),
    ('whole_answer', {'samples': [make_sample(1, kind='crossed')]}),
    (
        'whole_answer',
        {
            'samples': [make_sample(1, kind='cut', looks_complete=True)],
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
    ('graceful_shutdown', {'samples': [make_sample(101, kind='cut')]}),
    ('graceful_shutdown', {'samples': [make_sample(101, kind='lost')]}),
    (
        'graceful_shutdown',
        {'samples': [make_sample(101, kind='cut')], 'spans': [RESTART_SPAN]},
    ),
    (
        'graceful_shutdown',
        {
            'samples': [make_sample(101, kind='cut')],
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
            'final': {'organisation/temple': {**FINAL_STATE, 'resource': {}}},
        },
    ),
    (
        'config_in_force',
        {**CHANGES, 'final': {'organisation/temple': {'changed_at': 8}}},
    ),
    ('config_in_force', {**CHANGES, 'changes': CONCURRENT_CHANGES}),
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
    ('run', {'problems': ['no recovery after the faults']}),
]
# Cases that resemble the violations and are allowed by the design.
ALLOWED_RECORDS = [
    {'runs': [('v1', 1), ('v2', 1)]},
    {
        'changes': [
            WITHDRAW_CHANGE,
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
    {'spans': [RESTART_SPAN], 'runs': [('v1', 104), ('v1', 121)]},
    {
        'samples': [make_sample(1), make_sample(3, 'v2')],
        'changes': [make_change('modelversion', 'v1', 2, accepted=False)],
    },
    {
        'samples': [make_sample(101, kind='cut')],
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
    """Checkers report every violation and nothing else."""

    @pytest.mark.parametrize(('name', 'records'), VIOLATING_RECORDS)
    def test_a_violation_is_reported(self, name, records):
        """Guards against a checker that misses its violation."""
        assert find_violated_checks(make_records(**records)) == {name}

    @pytest.mark.parametrize('records', ALLOWED_RECORDS)
    def test_an_allowed_case_is_not_reported(self, records):
        """Guards against a checker that reports what the design allows."""
        assert find_violated_checks(make_records(**records)) == set()

    def test_every_checker_has_a_violating_record(self):
        """Guards against a new checker without a test of its detection."""
        assert {name for name, _ in VIOLATING_RECORDS} == set(
            invariants.CHECKS
        )

    def test_an_unknown_result_ends_the_span_of_a_state(self):
        """Guards against reports of runs after a change of unknown result.

        The response to the change was lost, so it may be in force.
        """
        reopened = make_change('modelversion', 'v1', 108, accepted=False)
        spans = invariants.find_spans(
            [WITHDRAW_CHANGE, reopened], 'modelversion', 'v1', 'withdrawn'
        )
        assert spans == [(100.1, 108)]


class TestPlans:
    """A seed determines the schedule, so that a failure can be reproduced."""

    def test_a_seed_gives_the_same_faults_twice(self):
        """Guards against random choices outside the seeded generator."""
        first = chaos.plan_faults(SMALL, 5, 60)
        assert first == chaos.plan_faults(SMALL, 5, 60)
        assert first != chaos.plan_faults(SMALL, 6, 60)
        assert len(first) > 10

    @pytest.mark.parametrize('seed', range(1, 9))
    def test_two_faults_run_at_a_time_on_different_targets(self, seed):
        """Guards against two faults of one process at the same time.

        A restart of a process that is being killed would fail.
        """
        planned = chaos.plan_faults(SMALL, seed, 120)
        for i, fault in enumerate(planned):
            others = [
                p
                for p in planned[:i]
                if p.start < fault.end and fault.start < p.end
            ]
            assert all(p.lane != fault.lane for p in others)
            assert all(p.target != fault.target for p in others)

    def test_a_long_run_has_every_fault(self):
        """Guards against a registered fault that is never chosen."""
        planned = chaos.plan_faults(SMALL, 1, 600)
        assert {p.name for p in planned} == set(chaos.FAULTS)


class TestStore:
    """The fake store when a client disconnects."""

    def test_a_disconnected_client_causes_no_exception(self):
        """Guards against tracebacks when clients of a slow store time out."""

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
    """A short run with faults that interrupt no response."""

    def test_a_short_run_has_no_violation(self, tmp_path):
        """Guards against violations under store and host list faults."""
        faults = 'store_slow,hosts_down,operator_race,agent_restart'
        completed = subprocess.run(
            [
                *(sys.executable, '-m', 'bench.soak', '--seed=4'),
                *('--minutes=0.33', f'--faults={faults}'),
                f'--folder={tmp_path}',
            ],
            capture_output=True,
            text=True,
            timeout=150,
        )
        assert completed.returncode == 0, completed.stdout + completed.stderr
        lines = completed.stdout.splitlines()
        result = json.loads(next(x for x in lines if x.startswith('{')))
        assert result['violations'] == []
        assert result['chats']['answered'] > 100
        assert result['engine_runs'] > soak.CHATS_PER_SECOND * 20 * 0.9
