"""Tests of the selection of model versions."""

import pytest

from chivejunction import errors
from chivejunction.coordination import routing
from chivejunction.protocol import resources
from chivejunction.state import calls
from chivejunction.state import estimates
from chivejunction.state import views

VERSIONS = {
    # name: (cost per 1,000 tokens, true quality in class faq)
    'tiny-1': (1.0, 0.5),
    'small-1': (3.0, 0.82),
    'large-1': (20.0, 0.95),
}


class FakeChecks:
    cost = 0.0

    def estimate_success(self, now):
        return 1.0


def make_view(states=None, **more):
    view = views.ConfigView()
    versions = {
        name: {
            'name': name,
            'model': name.split('-')[0],
            'pool': 'p',
            'input_cost': cost,
            'output_cost': cost,
            'quality': {'faq': quality},
            **(states or {}).get(name, {}),
        }
        for name, (cost, quality) in VERSIONS.items()
    }
    organisations = {
        'a': {'name': 'a', 'models': ['tiny', 'small', 'large']},
        'b': {'name': 'b', 'models': ['large']},
    }
    view.apply(
        resources.Document(
            revision=view.revision + 1,
            resources={
                'modelversion': versions,
                'organisation': organisations,
                **more,
            },
        )
    )
    return view


def make_call(**options):
    values = {
        'id': 'r1',
        'organisation': 'a',
        'method': 'POST',
        'path': '/v1/chat/completions',
        'headers': {},
        'body': b'',
        'deadline': 100.0,
        'model': 'auto',
        'request_class': 'faq',
        'quality_target': 0.8,
        **options,
    }
    return calls.Call(**values)


def make_router(view, ratings=400, checks=None, only=None, **options):
    table = estimates.QualityEstimates()
    for name, (_, quality) in VERSIONS.items():
        if only is None or name in only:
            for _ in range(ratings // 2):
                for step in (-0.02, 0.02):
                    table.add_rating(name, 'faq', 'a', quality + step, 0.0)
    return routing.Router(view, table, checks=checks, **options)


class TestPlan:
    """Guards against unsuitable, expensive or forbidden versions."""

    def test_cheapest_version_with_confidence(self):
        router = make_router(make_view(), exploration_share=0)
        plan = router.plan(make_call(), 1.0)
        assert plan.steps == ['small-1']
        assert plan.excluded == {
            'tiny-1': 'below the target',
            'large-1': 'costs more',
        }

    def test_uncertain_version_is_not_chosen(self):
        router = make_router(make_view(), ratings=0, exploration_share=0)
        plan = router.plan(make_call(), 1.0)
        assert plan.steps == ['large-1']
        assert plan.excluded['small-1'] == 'target not met with confidence'

    def test_best_version_when_none_meets_the_target(self):
        router = make_router(make_view(), exploration_share=0)
        plan = router.plan(make_call(quality_target=0.99), 1.0)
        assert plan.steps == ['large-1']
        assert plan.reason == 'best known'

    def test_checked_step_goes_first_when_it_saves_cost(self):
        view = make_view()
        table = estimates.QualityEstimates()
        for _ in range(100):
            for rating in (0.95, 0.95, 0.95, 0.2):
                table.add_rating('tiny-1', 'faq', 'a', rating, 0.0)
            table.add_rating('large-1', 'faq', 'a', 0.95, 0.0)
        call = make_call(quality_target=0.9)
        checked = routing.Router(
            view, table, checks=FakeChecks(), exploration_share=0
        ).plan(call, 1.0)
        plain = routing.Router(view, table, exploration_share=0)
        assert checked.steps[0] == 'tiny-1'
        assert checked.steps[-1] == 'large-1'
        assert checked.expected_quality >= 0.9
        assert checked.expected_cost < 0.6 * 8.0
        assert plain.plan(call, 1.0).steps == ['large-1']

    def test_non_idempotent_call_has_one_step(self):
        router = make_router(
            make_view(), 0, FakeChecks(), exploration_share=1.0
        )
        for _ in range(20):
            plan = router.plan(make_call(idempotent=False), 1.0)
            assert plan.steps == ['large-1']

    def test_exploration_stays_within_its_share(self):
        router = make_router(make_view(), 0, exploration_share=0.05)
        plans = [router.plan(make_call(id=str(i)), 1.0) for i in range(1000)]
        explored = [p for p in plans if p.reason == 'exploration']
        assert 45 <= len(explored) <= 50
        assert {p.steps[0] for p in explored} == {'small-1'}

    def test_withdrawn_version_is_neither_chosen_nor_explored(self):
        view = make_view({'small-1': {'state': 'withdrawn'}})
        router = make_router(view, exploration_share=1.0)
        for _ in range(20):
            plan = router.plan(make_call(), 1.0)
            assert 'small-1' not in plan.steps
        assert plan.excluded['small-1'] == 'withdrawn'

    def test_versions_of_other_organisations_are_excluded(self):
        plan = make_router(make_view()).plan(make_call(organisation='b'), 1.0)
        assert plan.steps == ['large-1']
        assert plan.excluded['small-1'] == 'not allowed'
        with pytest.raises(errors.RefusalError) as info:
            make_router(make_view()).plan(
                make_call(organisation='b', model='small'), 1.0
            )
        assert info.value.code == 'version_not_allowed'

    def test_cascade_limits_auto_and_sets_the_target(self):
        cascade = {
            'name': 'answers',
            'request_classes': ['faq'],
            'steps': ['tiny', 'large-1'],
            'quality_target': 0.4,
        }
        view = make_view(cascade={'answers': cascade})
        router = make_router(view, exploration_share=0)
        plan = router.plan(make_call(), 1.0)
        assert plan.steps == ['tiny-1']
        assert plan.target == 0.4
        assert plan.excluded['small-1'] == 'not in answers'
        plan = router.plan(make_call(quality_target=0.9), 1.0)
        assert plan.steps == ['large-1']

    def test_log_fields_hold_bounds_and_cost(self):
        fields = make_router(make_view()).plan(make_call(), 1.0).describe()
        assert set(fields['candidates']) == set(VERSIONS)
        entry = fields['candidates']['small-1']
        assert entry['lower'] < entry['quality'] < entry['upper']
        assert fields['expected_cost'] == 1.2

    def test_more_expensive_pair_when_the_cheapest_misses_the_target(self):
        def make_candidate(name, cost, mean, passing):
            quality = estimates.Quality(
                mean, mean, mean, 9, passing, passing, 0.85
            )
            return routing.Candidate(name, cost, quality)

        candidates = [
            make_candidate('a', 1.0, 0.60, 0.50),
            make_candidate('b', 1.2, 0.70, 0.60),
            make_candidate('c', 1.5, 0.74, 0.50),
            make_candidate('d', 20.0, 0.95, 0.99),
        ]
        steps, cost, quality, _ = routing.choose_steps(
            candidates, 0.8, 0.0, 1.0
        )
        # 'a' before 'c' costs 1.75 but reaches only 0.795.
        assert steps == ['b', 'c']
        assert quality >= 0.8
        assert abs(cost - 1.8) < 1e-9


class TestSessionPlan:
    """Guards against version changes within a session.

    Gateways do not share their estimates and may have seen different states
    of a version, but must choose the same version for a session.
    """

    def test_pin_takes_precedence_over_cost(self):
        router = make_router(make_view())
        plan = router.plan(make_call(session='s', pin='large-1'), 1.0)
        assert plan.steps == ['large-1']
        assert plan.reason == 'session'

    def test_withdrawal_overrides_a_pin(self):
        view = make_view({'large-1': {'state': 'withdrawn'}})
        router = make_router(view)
        plan = router.plan(make_call(session='s', pin='large-1'), 1.0)
        assert plan.steps == ['small-1']
        assert plan.excluded['large-1'] == 'withdrawn'

    def test_gateways_agree_when_a_version_is_active_again(self):
        view = make_view({'small-1': {'moved_sessions': True}})
        pinned_during_withdrawal = make_call(session='s', pin='large-1')
        pinned_before = make_call(session='s', pin='small-1')
        without_pin = make_call(session='s')
        for call in (pinned_during_withdrawal, pinned_before, without_pin):
            plan = make_router(view).plan(call, 1.0)
            assert plan.steps == ['large-1']

    def test_token_keeps_a_version_that_is_active_again(self):
        view = make_view({'small-1': {'moved_sessions': True}})
        call = make_call(session='s', pin='small-1', is_pin_signed=True)
        assert make_router(view).plan(call, 1.0).steps == ['small-1']

    def test_draining_version_keeps_its_sessions(self):
        view = make_view({'large-1': {'state': 'draining'}})
        router = make_router(view)
        pinned = make_call(session='s', pin='large-1')
        assert router.plan(pinned, 1.0).steps == ['large-1']
        assert 'large-1' not in router.plan(make_call(session='t'), 1.0).steps

    def test_gateways_with_different_ratings_agree(self):
        view = make_view()
        for ratings in (0, 400):
            router = make_router(view, ratings, only={'large-1'})
            plan = router.plan(make_call(session='s'), 1.0)
            assert plan.steps == ['small-1']
