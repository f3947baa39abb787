"""Rate limits divided among gateways."""

import random

import anyio
import pytest

from bench import fleet
from bench import ratelimits
from chivejunction import errors
from chivejunction.coordination import limits
from chivejunction.protocol import messages
from chivejunction.protocol import refusals
from chivejunction.protocol import verdicts
from chivejunction.state import limits as buckets
from chivejunction.state import views
from tests import test_selection

now = test_selection.now


def make_limiters(count, **limit):
    """Returns limiters of several gateways under one configuration."""
    view = views.ConfigView()
    view.apply(ratelimits.make_document({'temple': limit}))
    return [
        limits.Limiter(view, f'gw-{i}', 1, lambda: count) for i in range(count)
    ]


def exchange(limiters):
    for limiter in limiters:
        message = limiter.digest()
        for other in limiters:
            if other is not limiter:
                other.merge(message)


def ask(limiter, times, tokens=0):
    """Returns how many requests are admitted."""
    admitted = 0
    for _ in range(times):
        try:
            limiter.check('temple', tokens)
            admitted += 1
        except errors.RefusalError:
            pass
    return admitted


class TestTokenBucket:
    """Guards against buckets that leak or overflow."""

    def test_rate_and_burst(self, now):
        bucket = buckets.TokenBucket(10, 5)
        bucket.take(5)
        assert bucket.find_wait(1) == pytest.approx(0.1)
        now[0] += 100
        assert bucket.level == 5

    def test_amount_above_the_burst_makes_debt(self, now):
        bucket = buckets.TokenBucket(10, 5)
        assert bucket.find_wait(50) == 0
        bucket.take(50)
        assert bucket.find_wait(1) == pytest.approx(4.6)

    def test_growth_does_not_fill(self, now):
        bucket = buckets.TokenBucket(10, 10)
        bucket.resize(1, 1)
        assert bucket.level == 1
        bucket.resize(10, 10)
        assert bucket.level == 1


class TestRefusal:
    """Guards against refusals that callers cannot act upon."""

    def test_says_not_run_and_when_to_retry(self, now):
        limiter = make_limiters(1, requests_per_second=0.25)[0]
        limiter.check('temple')
        with pytest.raises(errors.RefusalError) as caught:
            limiter.check('temple')
        assert caught.value.verdict is verdicts.Verdict.NOT_RUN
        status, headers, _ = refusals.render_refusal(caught.value)
        assert (status, headers['retry-after']) == (429, '4')
        now[0] += 4
        limiter.check('temple')

    def test_other_organisations_are_free(self, now):
        limiter = make_limiters(1, requests_per_second=1)[0]
        for _ in range(50):
            limiter.check('school')

    def test_tokens_are_settled(self, now):
        limiter = make_limiters(1, tokens_per_second=100)[0]
        limiter.check('temple', 200)
        assert ask(limiter, 1, 10) == 0

        async def run():
            async def events():
                yield messages.End('a', 1, 2, '', {'completion_tokens': 150})

            async for _ in limiter.follow('temple', 200, events()):
                pass

        anyio.run(run)
        assert ask(limiter, 1, 50) == 1
        assert ask(limiter, 1, 1) == 0

    @pytest.mark.parametrize('given', [None, 'many', -5, [1]])
    def test_unusable_maximum_is_ignored(self, given):
        assert limits.expect_tokens(b'x' * 40, given) == 266
        assert limits.expect_tokens(b'x' * 40, 7) == 17

    def test_changed_limit_applies_at_once(self, now):
        limiter = make_limiters(1, requests_per_second=1)[0]
        ask(limiter, 5)
        document = ratelimits.make_document(
            {'temple': {'requests_per_second': 100}}, 2
        )
        limiter._view.apply(document)
        now[0] += 1
        # The second before the first check was filled at the old rate.
        assert ask(limiter, 150) == 1
        now[0] += 1
        assert ask(limiter, 150) == 100


class TestShares:
    """Guards against shares that add up to more than the limit."""

    def test_follow_demand(self, now):
        limiters = make_limiters(3, requests_per_second=90)
        for _ in range(10):
            ask(limiters[0], 160)
            ask(limiters[1], 20)
            now[0] += 1
            exchange(limiters)
        shares = [x.share('temple', limits.REQUESTS) for x in limiters]
        assert sum(shares) == pytest.approx(90, rel=0.02)
        assert shares[0] > 2.5 * shares[1]
        assert shares[2] >= limits.EQUAL_PART * 90 / 3

    def test_sum_for_random_demand(self, now):
        rng = random.Random(5)
        for count in (2, 5, 9):
            limiters = make_limiters(count, requests_per_second=50)
            for limiter in limiters:
                ask(limiter, rng.randrange(300))
            exchange(limiters)
            shares = [x.share('temple', limits.REQUESTS) for x in limiters]
            assert sum(shares) == pytest.approx(50, rel=0.01)

    def test_silence_keeps_the_last_then_the_equal_share(self, now):
        limiters = make_limiters(2, requests_per_second=100)
        for _ in range(5):
            ask(limiters[0], 300)
            now[0] += 1
            exchange(limiters)
        last = limiters[0].share('temple', limits.REQUESTS)
        assert last > 80
        now[0] += limits.FRESH_SECONDS + 1
        assert limiters[0].share('temple', limits.REQUESTS) == last
        now[0] += limits.HOLD_SECONDS
        assert limiters[0].share('temple', limits.REQUESTS) == 50

    def test_nothing_heard_since_the_start(self, now):
        limiter = make_limiters(4, requests_per_second=100)[0]
        ask(limiter, 500)
        assert limiter.share('temple', limits.REQUESTS) == 25


class TestExchange:
    """Guards against demand that is counted twice or never spreads."""

    def test_spreads_over_a_third_gateway(self, now):
        first, second, third = make_limiters(3, requests_per_second=10)
        ask(first, 50)
        second.merge(first.digest())
        third.merge(second.digest())
        assert third._reports['gw-0'].demand['temple'][0] > 5

    def test_old_and_repeated_messages_change_nothing(self, now):
        first, second = make_limiters(2, requests_per_second=10)
        old = first.digest()
        ask(first, 50)
        new = first.digest()
        second.merge(new)
        second.merge(old)
        second.merge(new)
        assert second._reports['gw-0'].demand['temple'][0] > 5

    def test_restarted_gateway_is_heard(self, now):
        first, second = make_limiters(2, requests_per_second=10)
        for _ in range(5):
            second.merge(first.digest())
        again = limits.Limiter(first._view, 'gw-0', 2, lambda: 2)
        second.merge(again.digest())
        assert second._reports['gw-0'].incarnation == 2

    def test_message_is_small(self, now):
        limiter = make_limiters(1, requests_per_second=10)[0]
        for i in range(400):
            demand = {'temple': [1.0, 2.0]}
            limiter.merge({f'gw-x{i}': [1, 1, i, demand]})
        assert len(limiter.digest()) == limits.MAX_ENTRIES

    @pytest.mark.parametrize('message', [[], {'a': 1}, {'a': [1, 2, 3, 4]}])
    def test_malformed_message(self, message):
        limiter = make_limiters(1, requests_per_second=1)[0]
        with pytest.raises(errors.ProtocolError):
            limiter.merge(message)


class TestErrorBound:
    """Guards against a deployment that admits far more than its limits."""

    def test_moving_demand_and_large_organisations(self):
        result = ratelimits.measure(seed=1, seconds=60)
        assert result['over_limit_max'] < 0.1
        assert result['small_admitted_min'] > 0.95
        assert result['large_admitted_min'] > 0.85

    def test_partition(self):
        result = ratelimits.measure(seed=1, seconds=90, silent_from=20)
        assert result['over_limit_max'] < 0.1


class TestGateway:
    """Guards against limits that are declared and not applied."""

    def test_callers_are_refused(self, small_fleet):
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
        answers = []

        def is_limited():
            answers.append(
                fleet.call_json(
                    'POST',
                    f'{url}/v1/chat/completions',
                    body,
                    {'authorization': 'Bearer school-key'},
                )
            )
            return answers[-1][0] == 429

        small_fleet.wait_until(is_limited, 'the limit is in force')
        assert answers[-1][1]['error']['code'] == 'rate_limited'
        assert answers[-1][1]['error']['verdict'] == 'not_run'
