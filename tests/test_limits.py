"""Rate limits that are divided among gateways."""

import random

import anyio
import pytest

from bench import fleet
from bench import ratelimits
from chivejunction import errors
from chivejunction.coordination import rate_limits
from chivejunction.protocol import messages
from chivejunction.protocol import refusals
from chivejunction.protocol import verdicts
from chivejunction.state import token_buckets as buckets
from chivejunction.state import views
from tests import test_selection

now = test_selection.now


def make_limiters(count, **limit):
    """Returns limiters of several gateways under one configuration."""
    view = views.ConfigView()
    view.apply(ratelimits.make_document({'temple': limit}))
    return [
        rate_limits.RateLimiter(view, f'gw-{i}', 1, lambda: count)
        for i in range(count)
    ]


def exchange_demand(limiters):
    for limiter in limiters:
        message = limiter.digest()
        for other in limiters:
            if other is not limiter:
                other.merge(message)


def send_requests(limiter, times, tokens=0):
    """Makes requests and returns how many are admitted."""
    admitted = 0
    for _ in range(times):
        try:
            limiter.acquire('temple', tokens)
            admitted += 1
        except errors.RefusalError:
            pass
    return admitted


class TestTokenBucket:
    """Guards against buckets that admit too little or too much."""

    def test_rate_and_burst(self, now):
        bucket = buckets.TokenBucket(10, 5)
        bucket.take(5)
        assert bucket.get_wait_seconds(1) == pytest.approx(0.1)
        now[0] += 100
        assert bucket.level == 5

    def test_amount_above_burst_makes_level_negative(self, now):
        bucket = buckets.TokenBucket(10, 5)
        assert bucket.get_wait_seconds(50) == 0
        bucket.take(50)
        assert bucket.get_wait_seconds(1) == pytest.approx(4.6)

    def test_larger_burst_adds_no_units(self, now):
        bucket = buckets.TokenBucket(10, 10)
        bucket.resize(1, 1)
        assert bucket.level == 1
        bucket.resize(10, 10)
        assert bucket.level == 1


class TestRefusal:
    """Guards against refusals without a usable verdict or retry time."""

    def test_refusal_has_verdict_and_retry_after(self, now):
        limiter = make_limiters(1, requests_per_second=0.25)[0]
        limiter.acquire('temple')
        with pytest.raises(errors.RefusalError) as caught:
            limiter.acquire('temple')
        assert caught.value.verdict is verdicts.Verdict.NOT_RUN
        status, headers, _ = refusals.render_refusal(caught.value)
        assert (status, headers['retry-after']) == (429, '4')
        now[0] += 4
        limiter.acquire('temple')

    def test_organisation_without_limit_is_not_refused(self, now):
        limiter = make_limiters(1, requests_per_second=1)[0]
        for _ in range(50):
            limiter.acquire('school')

    def test_estimated_tokens_are_corrected_by_usage(self, now):
        limiter = make_limiters(1, tokens_per_second=100)[0]
        limiter.acquire('temple', 200)
        assert send_requests(limiter, 1, 10) == 0

        async def run():
            async def events():
                yield messages.End('a', 1, 2, '', {'completion_tokens': 150})

            async for _ in limiter.track_usage('temple', 200, events()):
                pass

        anyio.run(run)
        assert send_requests(limiter, 1, 50) == 1
        assert send_requests(limiter, 1, 1) == 0

    @pytest.mark.parametrize('given', [None, 'many', -5, [1]])
    def test_invalid_maximum_of_tokens_is_ignored(self, given):
        assert rate_limits.estimate_tokens(b'x' * 40, given) == 266
        assert rate_limits.estimate_tokens(b'x' * 40, 7) == 17

    def test_changed_limit_applies_at_once(self, now):
        limiter = make_limiters(1, requests_per_second=1)[0]
        send_requests(limiter, 5)
        document = ratelimits.make_document(
            {'temple': {'requests_per_second': 100}}, 2
        )
        limiter._view.apply(document)
        now[0] += 1
        # The old rate applies to the second before the first check.
        assert send_requests(limiter, 150) == 1
        now[0] += 1
        assert send_requests(limiter, 150) == 100


class TestShares:
    """Guards against shares that add up to more than the limit."""

    def test_shares_follow_demand(self, now):
        limiters = make_limiters(3, requests_per_second=90)
        for _ in range(10):
            send_requests(limiters[0], 160)
            send_requests(limiters[1], 20)
            now[0] += 1
            exchange_demand(limiters)
        shares = [
            x.compute_share('temple', rate_limits.REQUESTS) for x in limiters
        ]
        assert sum(shares) == pytest.approx(90, rel=0.02)
        assert shares[0] > 2.5 * shares[1]
        assert shares[2] >= rate_limits.MIN_EQUAL_FRACTION * 90 / 3

    def test_shares_add_up_for_random_demand(self, now):
        rng = random.Random(5)
        for count in (2, 5, 9):
            limiters = make_limiters(count, requests_per_second=50)
            for limiter in limiters:
                send_requests(limiter, rng.randrange(300))
            exchange_demand(limiters)
            shares = [
                x.compute_share('temple', rate_limits.REQUESTS)
                for x in limiters
            ]
            assert sum(shares) == pytest.approx(50, rel=0.01)

    def test_lost_contact_keeps_last_share_then_equal_share(self, now):
        limiters = make_limiters(2, requests_per_second=100)
        for _ in range(5):
            send_requests(limiters[0], 300)
            now[0] += 1
            exchange_demand(limiters)
        last_share = limiters[0].compute_share('temple', rate_limits.REQUESTS)
        assert last_share > 80
        now[0] += rate_limits.CONTACT_TIMEOUT_SECONDS + 1
        assert (
            limiters[0].compute_share('temple', rate_limits.REQUESTS)
            == last_share
        )
        now[0] += rate_limits.REPORT_TTL_SECONDS
        assert limiters[0].compute_share('temple', rate_limits.REQUESTS) == 50

    def test_equal_share_without_any_report(self, now):
        limiter = make_limiters(4, requests_per_second=100)[0]
        send_requests(limiter, 500)
        assert limiter.compute_share('temple', rate_limits.REQUESTS) == 25


class TestExchange:
    """Guards against demand that is counted twice or not passed on."""

    def test_demand_reaches_third_gateway(self, now):
        first, second, third = make_limiters(3, requests_per_second=10)
        send_requests(first, 50)
        second.merge(first.digest())
        third.merge(second.digest())
        assert third._reports['gw-0'].demand['temple'][0] > 5

    def test_old_and_repeated_messages_are_ignored(self, now):
        first, second = make_limiters(2, requests_per_second=10)
        old_message = first.digest()
        send_requests(first, 50)
        new_message = first.digest()
        second.merge(new_message)
        second.merge(old_message)
        second.merge(new_message)
        assert second._reports['gw-0'].demand['temple'][0] > 5

    def test_restarted_gateway_replaces_its_report(self, now):
        first, second = make_limiters(2, requests_per_second=10)
        for _ in range(5):
            second.merge(first.digest())
        restarted = rate_limits.RateLimiter(first._view, 'gw-0', 2, lambda: 2)
        second.merge(restarted.digest())
        assert second._reports['gw-0'].incarnation == 2

    def test_digest_size_is_bounded(self, now):
        limiter = make_limiters(1, requests_per_second=10)[0]
        for i in range(400):
            demand = {'temple': [1.0, 2.0]}
            limiter.merge({f'gw-x{i}': [1, 1, i, demand]})
        assert len(limiter.digest()) == rate_limits.MAX_DIGEST_REPORTS

    @pytest.mark.parametrize('message', [[], {'a': 1}, {'a': [1, 2, 3, 4]}])
    def test_malformed_message(self, message):
        limiter = make_limiters(1, requests_per_second=1)[0]
        with pytest.raises(errors.ProtocolError):
            limiter.merge(message)


class TestErrorBound:
    """Guards against a deployment that admits far more than its limits."""

    def test_error_under_moving_demand(self):
        result = ratelimits.measure(seed=1, seconds=60)
        assert result['over_limit_max'] < 0.1
        assert result['small_admitted_min'] > 0.95
        assert result['large_admitted_min'] > 0.85

    def test_error_during_partition(self):
        result = ratelimits.measure(seed=1, seconds=90, silent_from=20)
        assert result['over_limit_max'] < 0.1


class TestGateway:
    """Guards against limits that are configured but not applied."""

    def test_callers_above_limit_are_refused(self, small_fleet):
        small_fleet.put(
            'gw-1',
            'limit',
            'school-limit',
            organisation='school',
            requests_per_second=0.1,
        )
        url = small_fleet.members['gw-1'].url()
        body = {'model': 'small'}
        body['messages'] = [{'role': 'user', 'content': 'hoi'}]
        responses = []

        def is_limited():
            responses.append(
                fleet.call_json(
                    'POST',
                    f'{url}/v1/chat/completions',
                    body,
                    {'authorization': 'Bearer school-key'},
                )
            )
            return responses[-1][0] == 429

        small_fleet.wait_until(is_limited, 'the limit is applied')
        assert responses[-1][1]['error']['code'] == 'rate_limited'
        assert responses[-1][1]['error']['verdict'] == 'not_run'
