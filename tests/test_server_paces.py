"""Tests of the pace of each server, without a network."""

import functools
import random
import statistics
import time

import anyio
import pytest

from chivejunction import clock
from chivejunction.coordination import hints
from chivejunction.coordination import pace_hints
from chivejunction.protocol import features
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import server_paces as scheduling
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import server_paces
from tests import forward_rig
from tests import load_replay
from tests.forward_rig import run_async

SPEEDS = (0.7, 0.7, 1.7)
OBJECTIVE_SECONDS = 0.35
SAMPLE_SECONDS = 1 + backlogs.BASE_FIRST_BYTE_SECONDS


@functools.cache
def make_load(rate, seconds, seed=1):
    """Returns requests of different prompts for the smallest model.

    Args:
        rate: Requests per second.
        seconds: Length of the load in seconds.
        seed: Seed of the times and lengths.
    """
    rng = random.Random(seed)
    record, at = [], 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        tokens = int(rng.uniform(4000, 20_000))
        record.append(
            load_replay.RecordedRequest(
                at, 0, OBJECTIVE_SECONDS, '', 0, tokens, 1.0
            )
        )
    return record


def make_replay(monkeypatch, has_paces):
    return load_replay.Replay(
        monkeypatch,
        engine_count=12,
        gateway_count=12,
        speeds=SPEEDS,
        has_paces=has_paces,
    )


def count_served(results, since=0.0, until=1e9):
    return load_replay.count_share(
        [r for r in results if since <= r.request.at < until],
        lambda r: r.is_served,
    )


def collect_sections(rig):
    """Returns the sections of the next hint of a gateway."""
    state = hints.RegionState('bkk', True)
    return rig.gateway._hint_exchange._collect_sections(state, 1000)


class TestUnequalServers:
    """Servers of one service differ 2.4-fold.

    All servers together can read 211 of the prompts a second.
    """

    @pytest.mark.parametrize(
        ('rate', 'gain'), [(120, 0.005), (190, 0.02), (205, 0.04)]
    )
    def test_more_callers_are_served(self, monkeypatch, rate, gain):
        served = []
        for has_paces in (False, True):
            monkeypatch.undo()
            results = make_replay(monkeypatch, has_paces).run(
                make_load(rate, 12)
            )
            served.append(count_served(results, since=2))
        assert served[1] > served[0] + gain

    def test_paces_are_found_under_load(self, monkeypatch):
        replay = make_replay(monkeypatch, True)
        replay.run(make_load(150, 12))
        for gateway in replay.gateways:
            for record in gateway.pace_section._paces:
                speed = replay.engines[record.instance].speed
                assert 0.8 < record.pace * speed < 1.6


class TestSlowServer:
    """One of the fast servers takes five times as long from 4 to 10 s."""

    SLOW_AT, RECOVERED_AT = 4.0, 10.0

    def run(self, monkeypatch, has_paces=True, loses_hint=lambda: False):
        """Returns the results and the times at which the server got work."""
        replay = make_replay(monkeypatch, has_paces)
        replay.loses_hint = loses_hint
        engine, start = replay.engines['i-2'], replay.now
        for at, factor in ((self.SLOW_AT, 0.2), (self.RECOVERED_AT, 5.0)):
            replay.schedule(
                start + at,
                lambda f: setattr(engine, 'speed', engine.speed * f),
                factor,
            )
        results = replay.run(make_load(120, 16))
        return results, [at - start for at in engine.arrivals]

    @staticmethod
    def count(arrivals, since, until):
        return sum(since <= at < until for at in arrivals)

    def test_is_avoided_after_about_a_second(self, monkeypatch):
        _, arrivals = self.run(monkeypatch)
        monkeypatch.undo()
        _, without = self.run(monkeypatch, has_paces=False)
        before = self.count(arrivals, 2, 4)
        assert self.count(arrivals, 5.5, 10) <= 0.1 * before
        assert self.count(without, 5.5, 10) > 0.5 * before

    def test_more_callers_are_served_meanwhile(self, monkeypatch):
        results, _ = self.run(monkeypatch)
        monkeypatch.undo()
        without, _ = self.run(monkeypatch, has_paces=False)
        assert count_served(results, 6, 10) > 0.02 + count_served(
            without, 6, 10
        )

    def test_recovered_one_is_used_again_without_a_herd(self, monkeypatch):
        results, arrivals = self.run(monkeypatch)
        before = self.count(arrivals, 2, 4)
        returned = [at for at in arrivals if at > self.RECOVERED_AT]
        assert self.count(returned, 14, 16) > 0.5 * before
        for at in returned:
            # No quarter of a second brings what a whole one does usually.
            assert self.count(returned, at, at + 0.25) < before / 2
        assert count_served(results, 10) > 0.97

    def test_half_of_the_hints_are_lost(self, monkeypatch):
        rng = random.Random(3)
        _, arrivals = self.run(
            monkeypatch, loses_hint=lambda: rng.random() < 0.5
        )
        before = self.count(arrivals, 2, 4)
        assert self.count(arrivals, 6, 10) <= 0.2 * before
        assert self.count(arrivals, 14.5, 16) > 0.3 * before


class TestTrials:
    """A server without samples is tried by one gateway after the other."""

    def list_times(self, count):
        return sorted(
            scheduling.find_trial_at(100.0, f'gw-{n}', 7, count)
            for n in range(count)
        )

    def test_none_returns_during_the_hold(self):
        assert self.list_times(26)[0] >= 100 + scheduling.HOLD_SECONDS

    def test_few_gateways_return_in_the_time_of_a_hint(self):
        times = self.list_times(26)
        for at in times:
            assert sum(at <= other < at + 0.5 for other in times) <= 5

    def test_each_gateway_returns_at_the_latest_after_its_period(self):
        assert self.list_times(2)[-1] < 100 + scheduling.HOLD_SECONDS + 1


class Gateway:
    """Paces at one gateway, and its section of the hints."""

    def __init__(self, name='gw-0'):
        self.changes = []
        self.records = server_paces.ServerPaces()
        self.estimator = scheduling.PaceEstimator(
            name,
            'bkk',
            self.records,
            lambda: 2,
            lambda record: self.changes.append(record.is_slow),
        )
        self.section = pace_hints.PaceSection(self.records, self.estimator)

    def observe(self, backend, pace, wait=0.0):
        """Records a prompt that takes a second at the pace of the model."""
        self.estimator.record_first_byte(
            backend,
            pace + backlogs.BASE_FIRST_BYTE_SECONDS,
            SAMPLE_SECONDS,
            wait,
            1.0,
        )

    def estimate(self, backend):
        return self.estimator.find_ratio(backend, 1.0, 1.0)


def make_backend(**fields):
    values = {'version': 'v1', 'started_at_ms': 1, 'region': 'bkk', **fields}
    return backends.Backend(
        'i-1', 'pool', '127.0.0.1', 1, 'bkk-a', slots=8, **values
    )


@pytest.fixture
def now(monkeypatch):
    """The virtual time, as a list of one item."""
    now = [1000.0]
    monkeypatch.setattr(clock, 'now', lambda: now[0])
    monkeypatch.setattr(clock, 'has_passed', lambda at: now[0] >= at)
    monkeypatch.setattr(clock, 'make_deadline', lambda s: now[0] + s)
    return now


class TestSamples:
    def test_few_are_shrunk_to_the_pace_of_the_model(self, now):
        gateway, backend = Gateway(), make_backend()
        assert gateway.estimate(backend) == 1
        gateway.observe(backend, 3.0)
        assert 1.5 < gateway.estimate(backend) < 2
        for _ in range(20):
            gateway.observe(backend, 3.0)
        assert gateway.estimate(backend) > 2.8

    def test_time_in_queues_does_not_count(self, now):
        gateway, backend = Gateway(), make_backend()
        for number in range(30):
            now[0] += 0.3
            gateway.observe(backend, 1.2 if number % 4 == 0 else 5.0)
        assert gateway.estimate(backend) == pytest.approx(1.2, 0.05)
        assert gateway.changes == []

    def test_attempts_behind_others_are_left_out(self, now):
        gateway, backend = Gateway(), make_backend()
        gateway.observe(backend, 3.0, wait=0.5)
        assert gateway.estimate(backend) == 1

    @pytest.mark.parametrize(
        'fields', [{'started_at_ms': 2}, {'version': 'v2'}]
    )
    def test_are_forgotten_at_a_new_boot_or_version(self, now, fields):
        gateway, peer, backend = Gateway(), Gateway('gw-1'), make_backend()
        for _ in range(9):
            gateway.observe(backend, 3.0)
        rows = gateway.section.collect_rows('bkk')
        assert gateway.estimate(make_backend(**fields)) == 1
        assert peer.estimate(make_backend(**fields)) == 1
        peer.section.apply_rows('gw-0', rows)
        assert peer.estimate(make_backend(**fields)) == 1

    def test_expire(self, now):
        gateway, backend = Gateway(), make_backend()
        gateway.observe(backend, 0.5)
        now[0] += server_paces.SAMPLE_TTL_SECONDS + 1
        assert gateway.estimate(backend) == 1

    def test_slow_server_with_few_requests_is_found(self, now):
        """Its share of the requests may be below three in a second."""
        gateway, backend = Gateway(), make_backend()
        for pace in (1.0,) * 9 + (5.0,) * 3:
            now[0] += 1.2
            gateway.observe(backend, pace)
        assert gateway.changes == [True]

    def test_slow_server_is_reported_once(self, now):
        gateway, backend = Gateway(), make_backend()
        for pace in (1.0,) * 9 + (5.0,) * 9 + (1.0,) * 9:
            now[0] += 0.3
            gateway.observe(backend, pace)
        assert gateway.changes == [True, False]


class TestPaceSection:
    def exchange(self, gateway, peer, region='bkk'):
        rows = gateway.section.collect_rows(region)
        peer.section.apply_rows('gw-0', rows)
        return rows

    def make_pair(self):
        gateway, peer, backend = Gateway(), Gateway('gw-1'), make_backend()
        assert peer.estimate(backend) == gateway.estimate(backend) == 1
        return gateway, peer, backend

    def test_a_repeated_sample_counts_once(self, now):
        gateway, peer, backend = self.make_pair()
        gateway.observe(backend, 3.0)
        rows = self.exchange(gateway, peer)
        first = peer.estimate(backend)
        assert first == gateway.estimate(backend) > 1
        now[0] += 0.5
        assert self.exchange(gateway, peer)[0][:3] == rows[0][:3]
        assert peer.estimate(backend) == first

    def test_late_samples_keep_their_age(self, now):
        gateway, peer, backend = self.make_pair()
        gateway.observe(backend, 3.0)
        now[0] += 0.8
        self.exchange(gateway, peer)
        assert peer.records.get(backend).sampled_at == pytest.approx(1000.0)

    def test_rows_are_few_and_compact(self, now):
        gateway = Gateway()
        for number in range(48):
            backend = make_backend()
            backend.instance = f'i-{number}'
            gateway.observe(backend, 1.0 + number)
            gateway.estimator.record_interval(backend, 0.03)
        rows = gateway.section.collect_rows('bkk')
        assert len(rows) == pace_hints.MAX_ROWS
        now[0] += 0.2
        assert gateway.section.collect_rows('bkk') == []
        now[0] += 2
        assert gateway.section.collect_rows('bkk') == []

    def count_rejected(self, reason):
        return pace_hints.REJECTED_ROWS.labels(reason)._value.get()

    @pytest.mark.parametrize('permille', [1, 4_000_000_000])
    def test_absurd_pace_is_bounded_and_counted(self, now, permille):
        _, peer, backend = self.make_pair()
        for _ in range(9):
            peer.observe(backend, 1.0)
        before = self.count_rejected('bounded')
        key = server_paces.hash_pace_key(backend)
        peer.section.apply_rows('gw-0', [[key, permille, 1, 0, 0, 0]])
        assert self.count_rejected('bounded') == before + 1
        paces = [s.pace for s in peer.records.get(backend).samples]
        assert min(paces) >= scheduling.MIN_PACE
        assert max(paces) <= scheduling.MAX_PACE
        assert peer.estimate(backend) == pytest.approx(1, 0.1)

    @pytest.mark.parametrize(
        'row',
        [
            None,
            [],
            ['x'] * 6,
            [1, 2, 3],
            [{}] * 6,
            [1, -5, 1, 0, 0, 0],
            [1, float('nan'), 1, 0, 0, 0],
            [1, float('inf'), 1, 0, 0, 0],
            [1, 1000, 1, True, 0, 0],
        ],
    )
    def test_malformed_rows_leave_the_others_in_force(self, now, row):
        gateway, peer, backend = self.make_pair()
        gateway.observe(backend, 3.0)
        rows = gateway.section.collect_rows('bkk')
        before = self.count_rejected('malformed')
        peer.section.apply_rows('gw-0', [row, *rows])
        assert self.count_rejected('malformed') == before + 1
        assert peer.estimate(backend) > 1


class TestEventIntervals:
    def test_those_of_other_gateways_count_for_a_while(self, now):
        one, two, backend = Gateway(), Gateway('gw-1'), make_backend()
        assert two.estimator.find_interval(backend, None) is None
        one.estimator._service_intervals['pool'] = 0.02
        one.estimator.record_interval(backend, 0.08)
        two.section.apply_rows('gw-0', one.section.collect_rows('bkk'))
        assert two.estimator.find_interval(backend, None) > 0.06
        now[0] += server_paces.INTERVAL_TTL_SECONDS + 0.1
        assert two.estimator.find_interval(backend, 0.03) == 0.03

    def test_that_of_the_service_stands_in(self, now):
        gateway, backend = Gateway(), make_backend()
        gateway.estimator.record_interval(backend, 0.05)
        other = make_backend(started_at_ms=2)
        assert gateway.estimator.find_interval(other, None) == 0.05


class TestGateway:
    """A gateway with scripted servers, one of which is slow."""

    FEATURES = frozenset([features.Feature.SERVER_PACES])

    async def call(self, rig):
        """Adds a slow server, calls, and adds a fast one."""
        stream_events = forward_rig.make_event_stream(
            6, confidence=90, pause=0.01
        )

        async def respond_slowly(request, stream):
            await anyio.sleep(0.3)
            await stream_events(request, stream)

        await rig.add_server(respond_slowly, 'pool', 'i-1')
        for _ in range(3):
            await rig.call('/tiers/x', b'p', Model='*', Token_Count='9000,20')
        await rig.add_server(stream_events, 'pool', 'i-2')

    def choose(self, rig):
        return rig.gateway._chooser._selector.choose(
            backend_selection.BackendRequirements(
                'pool', 'small', tokens=9000
            ),
            rig.gateway.route_table.services['pool'],
        )

    @run_async
    async def test_learns_and_announces(self):
        async with forward_rig.start(features=self.FEATURES) as rig:
            await self.call(rig)
            collected = collect_sections(rig)
            (row,) = collected['pace']
            assert row[1] > 1000 and row[2] == 3 and row[4] >= 100
            choice = self.choose(rig)
            assert choice.backend.instance == 'i-2'

    @run_async
    async def test_without_the_feature_nothing_changes(self):
        async with forward_rig.start() as rig:
            await self.call(rig)
            assert not collect_sections(rig)
            assert self.choose(rig).pace == 1


class TestDecisionTime:
    """At 48 servers and 26 gateways."""

    def test_is_little_longer_than_without(self, monkeypatch):
        """Compares choices in turn, as the load of the machine varies."""
        load = make_load(300, 2)
        replays, times = [], ([], [])
        for has_paces in (False, True):
            replay = load_replay.Replay(
                monkeypatch,
                engine_count=48,
                gateway_count=26,
                speeds=SPEEDS,
                has_paces=has_paces,
            )
            replay.run(load)
            replays.append(replay)
        for request in load:
            for replay, seconds in zip(replays, times, strict=True):
                started_at = time.perf_counter()
                replay._choose(replay.gateways[0], request, 'small')
                seconds.append(time.perf_counter() - started_at)
        without, with_paces = map(statistics.median, times)
        assert with_paces < 1.6 * without
