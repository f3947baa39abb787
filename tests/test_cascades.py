"""Cascades, and ratings of responses."""

from concurrent import futures
import json

import anyio
import pytest

from bench import fleet
from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import cascades
from chivejunction.coordination import continuations
from chivejunction.coordination import ratings
from chivejunction.coordination import routing
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import estimates
from chivejunction.transport import http_client
from tests import conftest
from tests import test_routing

USAGE = {'prompt_tokens': 500, 'completion_tokens': 500}
QUESTION = [{'role': 'user', 'content': 'Kunt u de haak ruilen?'}]


class FakeDispatcher:
    """Responds with the name of the version; fails for versions in failing."""

    def __init__(self, failing=()):
        self.failing = failing
        self.runs = []

    async def run(self, call, pool, version=''):
        self.runs.append(json.loads(call.body)['model'])
        if version in self.failing:
            raise errors.RefusalError('no_server', 'none')
        yield messages.Head('a', 200, {})
        yield messages.Data('a', 0, version.encode())
        yield messages.End(
            'a', len(version), verdicts.Verdict.RAN.value, '', dict(USAGE)
        )


class FakeRatingClient:
    """Client of the rating service that always returns the same rating."""

    cost = 0.0

    def __init__(self, rating):
        self.rating = rating
        self.submitted = []

    async def check(self, response, deadline):
        return self.rating

    def submit(self, response):
        self.submitted.append(response)


def run_plan(
    rating, steps=('tiny-1', 'large-1'), failing=(), seconds=100, **options
):
    dispatcher = FakeDispatcher(failing)
    rating_client = FakeRatingClient(rating)
    bills = []
    runner = cascades.CascadeRunner(
        dispatcher,
        test_routing.make_view(),
        rating_client,
        estimates.QualityEstimates(),
        estimates.CostEstimates(),
        bills.append,
    )
    call = test_routing.make_call(
        body=json.dumps({'model': 'auto', 'messages': QUESTION}).encode(),
        deadline=clock.make_deadline(seconds),
        **options,
    )
    plan = routing.Plan(list(steps), target=0.8)

    async def collect():
        return [event async for event in runner.run(call, plan)]

    return anyio.run(collect), bills, dispatcher, rating_client


class TestCascadeRunner:
    """Guards against mixed responses, double bills and needless steps."""

    def check_response(self, events, version):
        assert [type(e) for e in events] == [
            messages.Head,
            messages.Data,
            messages.End,
        ]
        assert events[0].headers['x-model-version'] == version
        assert events[1].payload == version.encode()

    def test_good_response_ends_the_plan(self):
        events, bills, dispatcher, _ = run_plan(0.9)
        self.check_response(events, 'tiny-1')
        assert dispatcher.runs == ['tiny-1']
        assert [b.cost for b in bills] == [1.0]

    def test_bad_response_escalates_with_one_bill(self):
        events, bills, dispatcher, rating_client = run_plan(0.5)
        self.check_response(events, 'large-1')
        assert dispatcher.runs == ['tiny-1', 'large-1']
        assert len(bills) == 1
        assert bills[0].version == 'large-1'
        assert [s.cost for s in bills[0].steps] == [1.0, 20.0]
        assert bills[0].cost == 21.0
        assert [a.version for a in rating_client.submitted] == ['large-1']

    def test_estimate_decides_without_a_rating(self):
        assert run_plan(None)[2].runs == ['tiny-1', 'large-1']
        options = {'steps': ('large-1', 'small-1')}
        result = run_plan(None, request_class='faq', **options)
        assert result[2].runs == ['large-1']

    def test_short_deadline_returns_the_current_response(self):
        events, _, dispatcher, rating_client = run_plan(0.1, seconds=0.9)
        self.check_response(events, 'tiny-1')
        assert dispatcher.runs == ['tiny-1']
        assert len(rating_client.submitted) == 1

    def test_failed_step_is_followed_by_the_next(self):
        events, bills, _, _ = run_plan(0.9, failing=('tiny-1',))
        self.check_response(events, 'large-1')
        assert [b.cost for b in bills] == [20.0]

    def test_non_idempotent_request_runs_once(self):
        _, bills, dispatcher, _ = run_plan(0.1, idempotent=False)
        assert dispatcher.runs == ['tiny-1']
        assert len(bills) == 1

    def test_cost_of_a_step_is_billed_when_the_next_fails(self):
        bills = []
        dispatcher = FakeDispatcher(('large-1',))
        runner = cascades.CascadeRunner(
            dispatcher,
            test_routing.make_view(),
            FakeRatingClient(0.1),
            estimates.QualityEstimates(),
            estimates.CostEstimates(),
            bills.append,
        )
        call = test_routing.make_call(
            body=b'{"model":"auto"}', deadline=clock.make_deadline(100)
        )

        async def collect():
            plan = routing.Plan(['tiny-1', 'large-1'], target=0.8)
            async for _ in runner.run(call, plan):
                pass

        with pytest.raises(errors.RefusalError):
            anyio.run(collect)
        assert [(b.version, b.cost) for b in bills] == [('', 1.0)]


class TestContinuedResponse:
    """Guards against server failures that the statistics of a version miss.

    Another server completes the response, so the caller sees no error.
    """

    @pytest.mark.parametrize('steps', [['tiny-1'], ['tiny-1', 'large-1']])
    def test_counts_once_as_an_error(self, monkeypatch, steps):
        monkeypatch.setattr(messages, 'End', continuations.JoinedEnd)
        dispatcher, outcomes = FakeDispatcher(), []
        runner = cascades.CascadeRunner(
            dispatcher,
            test_routing.make_view(),
            FakeRatingClient(0.9),
            estimates.QualityEstimates(),
            estimates.CostEstimates(),
            on_step=lambda call, *outcome: outcomes.append(outcome),
        )
        call = test_routing.make_call(
            body=b'{"model":"auto"}', deadline=clock.make_deadline(100)
        )

        async def collect():
            plan = routing.Plan(steps, target=0.8)
            return [event async for event in runner.run(call, plan)]

        events = anyio.run(collect)
        assert len(events) == 3
        assert [(version, failed) for version, _, failed in outcomes] == [
            ('tiny-1', True)
        ]
        assert dispatcher.runs == ['tiny-1']


class TestRatingTracker:
    """Guards against ratings that are counted twice or not at all."""

    def setup_method(self):
        self.qualities = estimates.QualityEstimates()
        self.tracker = ratings.RatingTracker(self.qualities)
        self.observed = []
        self.tracker.add_observer(
            lambda response, rating, now: self.observed.append(rating)
        )
        self.tracker.add_outstanding(
            ratings.RatedResponse('r', 'tiny-1', 'faq', 'a', b''), 0.0
        )

    def read_quality(self, now):
        version = test_routing.make_view().versions['tiny-1']
        return self.qualities.estimate(version, 'faq', 'a', 0.8, now)

    def test_rating_counts_once(self):
        assert self.tracker.record_rating('r', 'tiny-1', 0.5, 1.0)
        assert not self.tracker.record_rating('r', 'tiny-1', 0.5, 1.0)
        assert self.read_quality(1.0).weight == 1

    def test_unknown_request_or_invalid_rating_is_dropped(self):
        assert not self.tracker.record_rating('other', 'tiny-1', 0.5, 1.0)
        assert not self.tracker.record_rating('r', 'tiny-1', 7, 1.0)
        assert not self.tracker.record_rating('r', 'tiny-1', None, 1.0)
        assert self.read_quality(1.0).weight == 0

    def test_late_rating_replaces_the_missing_one(self):
        self.tracker.expire(ratings.RATING_TIMEOUT_SECONDS - 1)
        assert self.observed == []
        self.tracker.expire(ratings.RATING_TIMEOUT_SECONDS + 1)
        self.tracker.expire(ratings.RATING_TIMEOUT_SECONDS + 2)
        assert self.observed == [None]
        assert self.tracker.record_rating(
            'r', 'tiny-1', 0.9, ratings.RATING_TIMEOUT_SECONDS + 3
        )
        assert self.observed == [None, 0.9]
        histogram = self.qualities._histograms['tiny-1', 'faq']
        assert histogram.missing == 0
        assert histogram.weight == 1

    def test_outstanding_responses_expire(self):
        self.tracker.expire(ratings.RETENTION_SECONDS + 1)
        self.tracker.expire(ratings.RETENTION_SECONDS + 2)
        assert len(self.tracker) == 0


class TestRatingClient:
    """Guards against checks that fail or delay a request."""

    def test_unreachable_service_gives_no_rating(self):
        async def check():
            client = http_client.Client()
            qualities = estimates.QualityEstimates()
            rating_client = ratings.RatingClient(
                f'http://127.0.0.1:{fleet.find_port()}',
                client,
                ratings.RatingTracker(qualities),
                qualities,
                test_routing.make_view(),
            )
            for i in range(50):
                response = ratings.RatedResponse(
                    str(i), 'tiny-1', 'faq', 'a', b''
                )
                rating = await rating_client.check(
                    response, clock.make_deadline(10)
                )
                assert rating is None
            await client.close()
            return rating_client

        rating_client = anyio.run(check)
        # The service counts as down, except for occasional checks that find
        # out whether it is available again.
        assert rating_client.estimate_success(1.0) == ratings.MIN_SUCCESS_SHARE
        assert rating_client.estimate_success(2.0) == 0


@pytest.fixture(scope='module')
def rated_fleet(tmp_path_factory):
    """One gateway, one engine and a rating service."""
    with fleet.Fleet(tmp_path_factory.mktemp('rated')) as started:
        started.start_platform()
        quality = json.dumps({'small-1': 0.2, 'large-1': 0.95, 'large-2': 0.1})
        started.start_fake('ratings', 'ratings', quality=quality)
        started.wait_for_port('ratings')
        started.start_gateway(
            'gw-1',
            'bkk-a',
            'bkk',
            ratings_url=started.members['ratings'].url(),
        )
        started.start_fake('lm-1-engine', 'engine')
        started.start_agent(
            'lm-1',
            'bkk-a',
            'bkk',
            'lm-pool',
            'lm-1-engine',
            versions='small-1,large-1,large-2',
        )
        started.wait_for_port('gw-1')
        conftest.declare_resources(started, 'gw-1')
        for name, cost, quality in (
            ('small', 1.0, 0.85),
            ('large', 50.0, 0.95),
        ):
            started.put(
                'gw-1',
                'modelversion',
                f'{name}-1',
                model=name,
                pool='lm-pool',
                output_cost=cost,
                quality={'faq': quality},
            )
        started.wait_until(
            lambda: (
                started.read_health('gw-1').get('servers') == 1
                and started.read_health('lm-1').get('ready')
                # An agent with an older configuration refuses requests.
                and started.read_health('lm-1').get('revision')
                == started.read_health('gw-1').get('revision')
            ),
            'gateway and agent are ready',
        )
        yield started


def ask(started, model='auto', **options):
    url = started.members['gw-1'].url()
    headers = {
        'authorization': 'Bearer temple-key',
        'x-request-class': 'faq',
        **options,
    }
    return fleet.call_json(
        'POST',
        f'{url}/v1/chat/completions',
        {'model': model, 'messages': QUESTION},
        headers,
    )


class TestRatedPath:
    """Guards against a gateway that ignores ratings."""

    def test_bad_response_of_a_cheap_version_escalates(self, rated_fleet):
        status, body = ask(rated_fleet)
        assert status == 200
        assert body['model'] == 'large-1'
        engine = rated_fleet.members['lm-1-engine'].url()
        runs = fleet.call_json('GET', f'{engine}/runs')[1]
        assert [r['version'] for r in runs] == ['small-1', 'large-1']
        lines = rated_fleet.members['gw-1'].log.read_text().splitlines()
        entries = [json.loads(line) for line in lines]
        bills = [x for x in entries if x.get('decision') == 'bill']
        assert len(bills) == 1
        assert [s['version'] for s in bills[0]['steps']] == [
            'small-1',
            'large-1',
        ]

    def test_requests_succeed_without_the_rating_service(self, rated_fleet):
        url = rated_fleet.members['ratings'].url()
        fleet.call_json('PUT', f'{url}/faults', {'down': True})
        try:
            for _ in range(3):
                status, body = ask(rated_fleet)
                assert status == 200
                assert body['model'] == 'large-1'
        finally:
            fleet.call_json('PUT', f'{url}/faults', {'down': False})

    def wait_for_agent(self, rated_fleet):
        # An agent with an older configuration refuses requests.
        rated_fleet.wait_until(
            lambda: (
                rated_fleet.read_health('lm-1').get('revision')
                == rated_fleet.read_health('gw-1').get('revision')
            ),
            'the agent has the newest configuration',
        )

    def test_bad_version_of_a_rollout_is_halted(self, rated_fleet):
        rated_fleet.put(
            'gw-1',
            'modelversion',
            'large-2',
            model='large',
            pool='lm-pool',
            output_cost=50.0,
        )
        rated_fleet.put(
            'gw-1',
            'rollout',
            'r',
            model='large',
            from_version='large-1',
            to_version='large-2',
            stages=[1.0],
            share=1.0,
        )

        def read_rollout():
            url = rated_fleet.members['gw-1'].url('admin')
            return fleet.call_json(
                'GET',
                f'{url}/api/v1/rollout/r',
                headers={'authorization': f'Bearer {fleet.OPERATOR_TOKEN}'},
            )[1]['resource']

        def ask_until_halted():
            ask(rated_fleet, 'large')
            return read_rollout().get('state') == 'halted'

        self.wait_for_agent(rated_fleet)
        with futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda _: ask(rated_fleet, 'large-1'), range(80)))
        rated_fleet.wait_until(ask_until_halted, 'the rollout is halted', 30)
        assert read_rollout().get('share', 0) == 0
        assert 'large-2' in read_rollout()['reason']
        self.wait_for_agent(rated_fleet)
        status, body = ask(rated_fleet, 'large')
        assert (status, body['model']) == (200, 'large-1')
        engine = rated_fleet.members['lm-1-engine'].url()
        runs = fleet.call_json('GET', f'{engine}/runs')[1]
        runs = [r for r in runs if r['version'] == 'large-2']
        assert 1 <= len(runs) <= 40
