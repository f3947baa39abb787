"""Tests of the division of scarce capacity among organisations."""

import dataclasses
import math
import random

import msgpack
import pytest

from chivejunction import clock
from chivejunction.coordination import organisation_shares
from chivejunction.protocol import features
from chivejunction.protocol import forwarding
from chivejunction.scheduling import fair_shares
from chivejunction.state import organisation_demand
from chivejunction.state import route_tables
from tests import forward_rig
from tests import load_replay
from tests.forward_rig import run_async

ACTION = fair_shares.Action
ROUTES = tuple(
    forwarding.Route(
        name,
        'shop.example',
        f'/{name}/',
        (forwarding.ServiceShare('pool', 1.0),),
        forwarding.RepeatPolicy.RESUME,
        objective=1.0,
        urgency=urgency,
    )
    for urgency, name in enumerate(('urgent', 'routine', 'bulk'))
)
SERVICE = forwarding.BackendService('pool', cache_tokens=1)
PLAIN = forwarding.BackendService('pool')
# As on the users' sheets: a few of them large.
PORTIONS = (6, 5, 4) + (1,) * 21
LARGE = 'org-0'
CALLER_SECONDS = 6.0


def make_table(count=24, weights=()):
    """Returns a routing table with organisations."""
    weights = dict(weights)
    organisations = {
        f'key-{n}': forwarding.ForwardOrganisation(
            f'org-{n}', weight=weights.get(f'org-{n}', 1.0)
        )
        for n in range(count)
    }
    return route_tables.build_table(
        1, list(ROUTES), [SERVICE], organisations, forwarding.CallerLimits()
    )


def make_load(rate, seconds=12.0, excess=1.0, seed=1):
    """Returns requests of which one organisation sends more from second 2.

    Args:
        rate: Usual requests a second of all organisations.
        seconds: Length of the record.
        excess: What ``LARGE`` sends over its usual, until second 8.
        seed: Seed of the arrivals.
    """
    rng, record = random.Random(seed), []
    for number, portion in enumerate(PORTIONS):
        at = 0.0
        while True:
            is_excess = f'org-{number}' == LARGE and 2.0 <= at < 8.0
            own_rate = rate * portion / sum(PORTIONS)
            at += rng.expovariate(own_rate * (excess if is_excess else 1.0))
            if at >= seconds:
                break
            tokens = rng.choice((1500, 3000, 6000))
            record.append(
                load_replay.RecordedRequest(
                    at,
                    rng.randrange(3),
                    1.0,
                    '',
                    0,
                    tokens,
                    1.0,
                    organisation=f'org-{number}',
                )
            )
    return sorted(record, key=lambda request: request.at)


@dataclasses.dataclass(slots=True)
class Refusal:
    """A refused request.

    Attributes:
        request: The request.
        at: Virtual time of the refusal.
        retry_after: Retry-After in seconds.
        is_second: Whether it was refused before.
    """

    request: load_replay.RecordedRequest
    at: float
    retry_after: float
    is_second: bool


class ShareReplay(load_replay.Replay):
    """Replays a load of organisations, with or without shares.

    Args:
        monkeypatch: Replaces the clock by the virtual time.
        has_shares: Whether the gateways divide capacity.
        hint_delay: Age of the hints in seconds; infinite if they are lost.
        options: Options of ``load_replay.Replay``.
    """

    def __init__(
        self, monkeypatch, has_shares=True, hint_delay=0.1, **options
    ):
        super().__init__(monkeypatch, gateway_count=6, **options)
        monkeypatch.setattr(clock, 'remaining', lambda at: at - self.now)
        self.has_shares = has_shares
        self.hint_delay = hint_delay
        self.refusals = []
        table = make_table()
        for gateway in self.gateways:
            gateway.shares = organisation_shares.OrganisationShares(
                lambda service, gateway=gateway: [
                    gateway.server_backlogs.estimate().get(instance, 0.0)
                    for instance in self.engines
                ],
                lambda service: 0.0,
            )
            gateway.shares.set_table(table)

    def _send_hints(self):
        for gateway in self.gateways:
            gateway.shares.update()
        if self.hint_delay == math.inf:
            return
        for gateway in self.gateways:
            self.schedule(
                self.now + self.hint_delay,
                self._apply_hint,
                gateway,
                gateway.server_backlogs.sum_local(),
                gateway.shares.make_section().collect_rows(''),
            )

    def _apply_hint(self, sender, report, rows):
        for gateway in self.gateways:
            if gateway is not sender:
                gateway.server_backlogs.set_peer_backlogs(sender.name, report)
                gateway.shares.demand.apply_rows(sender.name, rows)

    def _begin(self, gateway, request, first_at=None):
        began_at = self.now if first_at is None else first_at
        decision = self._decide(gateway, request, began_at)
        if decision.action is ACTION.REFUSE:
            self._refuse(gateway, request, began_at, decision, first_at)
            return
        if decision.action is ACTION.WAIT:
            self.schedule(
                self.now + decision.seconds,
                self._attempt,
                gateway,
                request,
                began_at,
            )
            return
        self._attempt(gateway, request, began_at)

    def _decide(self, gateway, request, began_at):
        if not self.has_shares:
            return fair_shares.Decision(ACTION.ADMIT)
        return gateway.shares.decide(
            'pool',
            forwarding.ForwardOrganisation(request.organisation),
            ROUTES[request.urgency],
            request.urgency,
            began_at + CALLER_SECONDS - self.now,
            request.objective / 8,
        )

    def _refuse(self, gateway, request, began_at, decision, first_at):
        left = began_at + CALLER_SECONDS - self.now
        refusal = organisation_shares.make_refusal(
            'pool', request.organisation, decision, 1.0, left, request.urgency
        )
        self.refusals.append(
            Refusal(
                request, self.now, refusal.retry_after, first_at is not None
            )
        )
        if first_at is not None:
            self._finish(request, math.inf, False, 0)
            return
        index = self.gateways.index(gateway) + 1
        other = self.gateways[index % len(self.gateways)]
        self.schedule(
            self.now + refusal.retry_after,
            self._begin,
            other,
            request,
            began_at,
        )

    def _attempt(self, gateway, request, began_at):
        requirements, choice = self._choose(
            gateway, request, load_replay.TIERS[0]
        )
        gateway.shares.start_work(
            'pool',
            request.organisation,
            ROUTES[request.urgency].name,
            choice.seconds,
        )
        work, at, _ = self._send(gateway, request, requirements, choice)
        self.schedule(
            at,
            self._end,
            gateway,
            request,
            began_at,
            work,
            choice.seconds,
            self.now,
        )

    def _end(self, gateway, request, began_at, work, seconds, sent_at):
        gateway.server_backlogs.end(work)
        gateway.shares.end_work('pool', seconds, sent_at)
        self._finish(request, self.now - began_at, True, 0)


@pytest.fixture
def virtual_time(monkeypatch):
    """Replaces the clock; returns a list with the monotonic time."""
    now = [100.0]
    monkeypatch.setattr(clock, 'now', lambda: now[0])
    monkeypatch.setattr(clock, 'has_passed', lambda at: now[0] >= at)
    monkeypatch.setattr(clock, 'make_deadline', lambda s: now[0] + s)
    monkeypatch.setattr(clock, 'remaining', lambda at: at - now[0])
    return now


ENGINES = 4
# Three quarters of what the engines can read.
USUAL_RATE = 170.0


def serve(monkeypatch, excess=7.0, rate=USUAL_RATE, seed=1, **options):
    """Returns the replay of a load, played to its end."""
    replay = ShareReplay(monkeypatch, engine_count=ENGINES, **options)
    random.seed(seed)
    replay.run(make_load(rate, excess=excess, seed=seed))
    return replay


def count_served(replay, condition=lambda request: True):
    """Returns the share of requests that are served in objective."""
    return load_replay.count_share(
        [r for r in replay.results if condition(r.request)],
        lambda result: result.is_served,
    )


def is_other(request):
    """Returns whether a request comes from an organisation as usual."""
    return request.organisation != LARGE and 2.0 <= request.at < 9.0


class TestExcessOfOneOrganisation:
    """One of 24 organisations sends 7 times its usual for 6 s."""

    @pytest.fixture
    def replays(self, monkeypatch):
        """Replays: usual load, excess without shares, excess with them."""
        played = []
        for excess, has_shares in ((1.0, True), (7.0, False), (7.0, True)):
            with monkeypatch.context() as patch:
                played.append(
                    serve(patch, excess=excess, has_shares=has_shares)
                )
        return played

    def test_others_are_served_as_before(self, replays):
        usual, without, shared = (count_served(r, is_other) for r in replays)
        assert without < 0.5
        assert shared > usual - 0.05

    def test_no_less_is_served_in_total(self, replays):
        _, without, shared = replays
        assert count_served(shared) > count_served(without)

    def test_usual_load_is_neither_refused_nor_delayed(self, replays):
        usual = replays[0]
        assert usual.refusals == []

    def test_only_the_excess_is_refused(self, replays):
        assert {r.request.organisation for r in replays[2].refusals} == {LARGE}

    def test_no_organisation_route_or_size_falls_under_a_quarter(
        self, replays
    ):
        shared = replays[2]
        usual = count_answered(shared)
        for attribute in ('organisation', 'urgency', 'input_tokens'):
            for value in {
                getattr(r.request, attribute) for r in shared.results
            }:
                share = count_answered(
                    shared,
                    lambda r, a=attribute, v=value: getattr(r, a) == v,
                )
                assert share > usual / 4, (attribute, value)

    def test_excess_that_comes_back_is_mostly_taken(self, replays):
        shared = replays[2]
        seconds = sum(r.is_second for r in shared.refusals)
        assert seconds < 0.5 * (len(shared.refusals) - seconds)

    def test_nobody_is_refused_after_the_excess(self, replays):
        shared = replays[2]
        # Those who came back had up to a third of their time to wait, and the
        # backlog they met is worked off within the objective.
        end = 1000 + 8 + CALLER_SECONDS / 3 + 1
        assert max(r.at for r in shared.refusals) < end + 0.5


def count_answered(replay, condition=lambda request: True):
    """Returns the share of requests that got an answer at any time."""
    return load_replay.count_share(
        [r for r in replay.results if condition(r.request)],
        lambda result: result.seconds < math.inf,
    )


class TestHints:
    @pytest.mark.parametrize('hint_delay', [1.0, math.inf])
    def test_others_are_served_with_late_or_lost_hints(
        self, monkeypatch, hint_delay
    ):
        with monkeypatch.context() as patch:
            without = serve(patch, has_shares=False, hint_delay=hint_delay)
        shared = serve(monkeypatch, hint_delay=hint_delay)
        assert count_served(shared, is_other) > 0.15 + count_served(
            without, is_other
        )
        refused = [r.request.organisation for r in shared.refusals]
        assert refused.count(LARGE) > 0.9 * len(refused)

    ROW = [7, 8, 100, 100, 0, 0]

    @pytest.mark.parametrize(
        'rows',
        [
            None,
            7,
            'rows',
            {'a': 1},
            [None],
            [[]],
            [[7]],
            [[7, 8, 9]],
            [[7, 'x']],
            [[7, -1]],
            [[7, 2**32]],
            [[7, math.nan]],
            [[7, 8, 1, 1, 1, 1, 1]],
            [ROW] * (organisation_demand.MAX_ROWS + 1),
        ],
    )
    def test_malformed_rows_change_nothing(self, rows):
        demand = organisation_demand.OrganisationDemand()
        with pytest.raises((ValueError, TypeError, IndexError)):
            demand.apply_rows('gw-2', rows)
        assert demand.sum_service('pool').organisations == {}

    def test_absurd_work_is_bounded(self):
        demand = organisation_demand.OrganisationDemand()
        key = organisation_demand.hash_name('pool')
        demand.apply_rows('gw-2', [[key, 8, 2**32 - 1, 0, 0, 0]])
        total = demand.sum_service('pool').organisations[8]
        assert total.asked == organisation_demand.MAX_MILLISECONDS / 1000

    def test_rows_are_replaced_and_expire(self, virtual_time):
        demand = organisation_demand.OrganisationDemand()
        key = organisation_demand.hash_name('pool')
        for milliseconds in (500, 200):
            demand.apply_rows('gw-2', [[key, 8, milliseconds, 0, 0, 0]])
        assert demand.sum_service('pool').organisations[8].asked == 0.2
        virtual_time[0] += 2.0
        assert demand.sum_service('pool').organisations == {}

    def test_sums_hold_what_reports_say(self, virtual_time):
        demand = organisation_demand.OrganisationDemand()
        key = organisation_demand.hash_name('pool')
        for round_number in range(5):
            for gateway in range(3):
                row = [key, 8 + round_number % 2, 100 * round_number, 50, 0, 1]
                demand.apply_rows(f'gw-{gateway}', [[key, 700], row])
            virtual_time[0] += 0.5
        total = demand.sum_service('pool')
        assert total.finished == pytest.approx(2.1)
        assert list(total.organisations) == [8]
        assert total.organisations[8].asked == pytest.approx(1.2)
        demand.apply_rows('gw-0', [])
        assert demand.sum_service('pool').finished == pytest.approx(1.4)
        virtual_time[0] += 2.0
        assert demand.sum_service('pool').finished == 0
        assert not demand.has_peers()

    def test_calm_gateways_send_nothing(self):
        demand = organisation_demand.OrganisationDemand()
        demand.record_failure(7)
        demand.get_local('pool', 'org-1').asked.add(1.0)
        assert demand.encode_rows([]) == []

    def test_rows_are_sent_at_intervals(self, virtual_time):
        demand = organisation_demand.OrganisationDemand()
        section = organisation_shares.DemandSection(demand, lambda: ['pool'])
        collected = []
        for pause in (0.0, 0.001, 0.05, 0.2):
            virtual_time[0] += pause
            collected.append(bool(section.collect_rows('bkk')))
        assert collected == [True, True, False, True]

    def test_rows_fit_into_a_hint(self):
        demand = organisation_demand.OrganisationDemand()
        for number in range(200):
            local = demand.get_local('pool', f'org-{number}')
            local.asked.add(number)
            demand.record_failure(number + 1)
        rows = demand.encode_rows(['pool'])
        assert len(rows) <= organisation_demand.MAX_SENT_ROWS + 2
        assert len(msgpack.packb(rows)) < 400
        other = organisation_demand.OrganisationDemand()
        other.apply_rows('gw-1', rows)
        largest = organisation_demand.hash_name('org-199')
        assert other.sum_service('pool').organisations[largest].asked == 199
        assert other.is_repeat(200) and not other.is_repeat(7)


class TestDivision:
    def test_unused_shares_go_to_others(self):
        share = fair_shares.divide_capacity(12, {1: 1, 2: 2, 3: 20}, {})
        assert share == 9

    def test_weights_scale_the_shares(self):
        share = fair_shares.divide_capacity(12, {1: 20, 2: 20}, {1: 2.0})
        assert share == 4

    def test_very_unequal_weights(self):
        weights = {1: 1e30, 2: 1e-30}
        share = fair_shares.divide_capacity(1, {1: 0.5, 2: 9}, weights)
        assert share * weights[2] == pytest.approx(0.5)

    def test_sufficient_capacity_has_no_share(self):
        assert fair_shares.divide_capacity(12, {1: 5, 2: 6}, {}) == math.inf
        assert fair_shares.divide_capacity(12, {}, {}) == math.inf


class TestScarcity:
    def test_short_bursts_begin_nothing_and_gaps_end_nothing(self):
        scarcity = fair_shares.Scarcity()
        changes = []
        for tick in range(60):
            pressure = 1.0 if tick < 2 or 10 <= tick < 30 else 0.0
            pressure = pressure if tick != 20 else 0.0
            if scarcity.update(pressure, tick / 10):
                changes.append((tick, scarcity.is_scarce))
        assert [is_scarce for _, is_scarce in changes] == [True, False]
        assert 10 < changes[0][0] <= 13 and changes[1][0] >= 37

    def test_few_busy_or_dead_servers_are_no_scarcity(self):
        backlogs = [60.0, 60.0] + [0.0] * 4
        assert fair_shares.measure_backlog(backlogs, 1.0) == 0


class TestPeakThroughput:
    def test_calm_or_outage_does_not_lower_the_capacity(self):
        peak = fair_shares.PeakThroughput()
        assert peak.update(8.0, 4, 0.0) == 8
        assert peak.update(1.0, 4, 1.0) == 8
        # Two servers are lost.
        assert peak.update(3.0, 2, 2.0) == 4
        assert peak.update(1.0, 2, 100.0) == 1


class TestDecision:
    def decide(self, used, **fields):
        request = fair_shares.ShareRequest(1.0, used, **fields)
        return fair_shares.decide(request, 2.0)

    def test_urgent_requests_go_last(self):
        actions = [self.decide(1.1, urgency=u).action for u in range(3)]
        assert actions == [ACTION.ADMIT, ACTION.REFUSE, ACTION.REFUSE]

    def test_callers_that_waited_go_last(self):
        assert self.decide(2.4, is_returning=True).action is ACTION.ADMIT

    def test_repeats_at_once_go_first(self):
        decision = self.decide(0.9, is_repeat=True, max_wait=9.0)
        assert decision.action is ACTION.REFUSE
        assert decision.reason == 'repeat'

    def test_request_waits_if_its_share_is_free_in_time(self):
        decision = self.decide(1.25, max_wait=0.25)
        assert decision.action is ACTION.WAIT and decision.seconds < 0.25

    def test_callers_return_one_after_the_other(self):
        waits = [
            self.decide(1.5, promised=promised).seconds
            for promised in (0.0, 0.6, 1.2)
        ]
        assert waits == pytest.approx([0.5, 1.5, 2.5])

    def test_share_is_free_at_the_retry_after(self, virtual_time):
        demand = organisation_demand.OrganisationDemand()
        local = demand.get_local('pool', 'org-1')
        rng = random.Random(1)
        for _ in range(30):
            while self.decide(local.read().used).action is ACTION.ADMIT:
                local.used.add(rng.uniform(0.05, 0.2))
            virtual_time[0] += rng.uniform(0.0, 0.3)
            decision = self.decide(local.read().used)
            if decision.action is ACTION.REFUSE:
                virtual_time[0] += decision.seconds
                returned = self.decide(local.read().used, is_returning=True)
                assert returned.action is ACTION.ADMIT

    def test_underserved_kinds_are_admitted(self):
        assert fair_shares.is_underserved(8, 2, 100, 90)
        assert not fair_shares.is_underserved(8, 4, 100, 90)


class TestIdleSystem:
    def test_episode_ends_without_requests(self, virtual_time):
        waits = [1.0]
        shares = organisation_shares.OrganisationShares(
            lambda service: [], lambda service: waits[0]
        )
        shares.set_table(
            dataclasses.replace(make_table(), services={'pool': PLAIN})
        )
        shares.decide(
            'pool',
            forwarding.ForwardOrganisation('org-1'),
            ROUTES[0],
            0,
            6.0,
            0.1,
        )
        changes = []
        for tick in range(200):
            virtual_time[0] += organisation_shares.UPDATE_SECONDS
            shares.update()
            changes.append(shares._services['pool'].scarcity.is_scarce)
            waits[0] = 1.0 if tick < 60 else 0.0
        assert changes[30] and not changes[-1]
        assert shares.make_section().collect_rows('') == []


class TestRestart:
    def test_new_gateway_divides_nothing_before_it_knows_a_window(
        self, virtual_time
    ):
        shares = organisation_shares.OrganisationShares(
            lambda service: [5.0], lambda service: 0.0
        )
        shares.set_table(make_table())
        organisation = forwarding.ForwardOrganisation('org-1')
        refused_at = []
        for _ in range(50):
            virtual_time[0] += organisation_shares.UPDATE_SECONDS
            shares.start_work('pool', 'org-1', 'urgent', 0.9)
            shares.start_work('pool', 'org-2', 'urgent', 0.1)
            shares.update()
            decision = shares.decide(
                'pool', organisation, ROUTES[0], 0, 6.0, 0.1
            )
            if decision.action is ACTION.REFUSE:
                refused_at.append(virtual_time[0] - 100.0)
        assert (
            refused_at and refused_at[0] > organisation_demand.WINDOW_SECONDS
        )


class TestRepeats:
    def test_same_request_at_once_counts_apart(self, virtual_time):
        shares = organisation_shares.OrganisationShares(
            lambda service: [], lambda service: 0.0
        )
        shares.set_table(make_table())
        organisation = forwarding.ForwardOrganisation('org-1')

        def ask():
            shares.decide('pool', organisation, ROUTES[0], 0, 6.0, 0.1, 77)
            demand = shares.demand.get_local('pool', 'org-1').read()
            return demand.asked, demand.repeated

        first = ask()
        shares.demand.record_failure(77)
        assert ask() == (first[0], first[0])
        virtual_time[0] += 1.0
        assert ask()[0] == 2 * first[0]

    def test_request_is_recognised_without_its_id(self):
        def make_hash(body, key='org'):
            request = forwarding.ForwardRequest(
                body, 'POST', '/x', 'h', [], body.encode(), '', 0.0, 1.0
            )
            return organisation_shares.hash_request(key, request)

        assert make_hash('a') == make_hash('a') != make_hash('b')
        assert make_hash('a') != make_hash('a', 'other')


class TestGateway:
    """The feature in a gateway, with servers that are busy for long."""

    CONFIG = forward_rig.make_config(
        tenants=[
            {'name': 'temple', 'api_keys': ['key-1']},
            {'name': 'school', 'api_keys': ['key-2'], 'weight': 2},
        ]
    )

    def fill(self, rig):
        """Makes capacity scarce: one organisation has used far too much."""
        rig.gateway._server_backlogs.set_peer_backlogs('gw-2', {'i-1': 0.9})
        shares = rig.gateway._chooser.shares
        if shares is None:
            return
        now = clock.now()
        shares._services['pool'].asked_at = now
        scarcity = shares._services['pool'].scarcity
        scarcity.update(1.0, now - 0.4)
        scarcity.update(1.0, now)
        shares.start_work('pool', 'temple', 'stream', 9.0)
        shares.start_work('pool', 'school', 'stream', 0.1)
        shares.end_work('pool', 1.0, now)

    async def call_both(self, rig):
        headers = {'Model': '*', 'Token_Count': '2000,20'}
        return [
            await rig.call('/tiers/x', b'p', X_Api_Key=key, **headers)
            for key in ('key-1', 'key-2')
        ]

    @run_async
    async def test_only_the_excess_is_refused(self):
        async with forward_rig.start(
            self.CONFIG, frozenset([features.Feature.FAIR_SHARES])
        ) as rig:
            await rig.add_server(
                forward_rig.make_event_stream(3), 'pool', instance='i-1'
            )
            self.fill(rig)
            excess, other = await self.call_both(rig)
            assert (excess.status, other.status) == (429, 200)
            assert 0 < float(excess.headers['retry-after']) <= 1.0

    @run_async
    async def test_without_the_feature_nobody_is_refused(self):
        async with forward_rig.start(self.CONFIG) as rig:
            await rig.add_server(
                forward_rig.make_event_stream(3), 'pool', instance='i-1'
            )
            self.fill(rig)
            statuses = [r.status for r in await self.call_both(rig)]
            assert statuses == [200, 200]
            assert rig.gateway._chooser.shares is None

    @run_async
    async def test_resumed_streams_and_broken_shares_refuse_nobody(
        self, monkeypatch
    ):
        async with forward_rig.start(
            self.CONFIG, frozenset([features.Feature.FAIR_SHARES])
        ) as rig:
            await rig.add_server(
                forward_rig.make_event_stream(3), 'pool', instance='i-1'
            )
            self.fill(rig)
            headers = {'Model': '*', 'Token_Count': '2000,20'}
            resumed = await rig.call(
                '/tiers/x', b'p', Last_Event_Id='1', **headers
            )
            assert resumed.status != 429

            def fail(*args):
                raise RuntimeError

            monkeypatch.setattr(fair_shares, 'decide', fail)
            assert (await self.call_both(rig))[0].status == 200

    @run_async
    async def test_one_organisation_shares_with_nobody(self):
        async with forward_rig.start(
            features=frozenset([features.Feature.FAIR_SHARES])
        ) as rig:
            await rig.add_server(
                forward_rig.make_event_stream(3), 'pool', instance='i-1'
            )
            self.fill(rig)
            response = (await self.call_both(rig))[0]
            assert response.status == 200
