"""Tests of the pauses that prefills cause in other streams."""

import pytest

from chivejunction.protocol import forwarding
from chivejunction.scheduling import backend_selection
from chivejunction.scheduling import stream_pauses
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import prefix_caches

SERVICE = forwarding.BackendService('pool', event_tokens=4)
OBJECTIVE = 4.0
TOLERATED_PAUSE = 1.5


class TestPauses:
    def test_long_prompt_delays_an_event_by_its_chunks(self):
        pause = stream_pauses.estimate_pause(8.0, 32 * 1024, 4)
        assert pause == pytest.approx(8.0 * 4 * 4096 / (32 * 1024))

    def test_pause_is_not_longer_than_the_prefill(self):
        assert stream_pauses.estimate_pause(0.2, 100, 4) == 0.2

    @pytest.mark.parametrize('tokens', [0, 1])
    def test_prompt_without_prefill_causes_no_pause(self, tokens):
        assert stream_pauses.estimate_pause(0.0, tokens, 4) == 0.0


class TestPenalties:
    def test_pause_that_callers_tolerate_disturbs_nobody(self):
        assert not stream_pauses.is_disturbing(0.5, 1.5)
        assert stream_pauses.is_disturbing(1.6, 1.5)

    def test_route_without_a_target_tolerates_any_pause(self):
        assert not stream_pauses.is_disturbing(9.0, 0.0)

    def test_each_stream_counts(self):
        few, many = (
            stream_pauses.estimate_penalty(n, OBJECTIVE) for n in (1, 10)
        )
        assert many == pytest.approx(10 * few)
        assert not stream_pauses.estimate_penalty(0, OBJECTIVE)


class SlowModel(backlogs.PrefillTimeEstimator):
    """Estimates of a model that reads a long prompt in over a second."""

    def estimate(self, model, tokens):
        return tokens / 10_000


class TestLongPromptsBesideStreams:
    """A long prompt of a large model, and streams at the idler server.

    Guards against a prompt that delays the events of all streams of a server
    though another one could read it: its wait there is a little longer.
    """

    def choose(self, tolerated_pause, tokens):
        table = backends.BackendTable()
        for instance in ('streams', 'queue'):
            table.update(
                backends.Backend(
                    instance, 'pool', '', 1, 'bkk-a', 'bkk', 'v1', 64
                )
            )
        running_attempts = backlogs.Backlogs()
        running_attempts.start('streams', 6)
        server_backlogs = backlogs.Backlogs()
        server_backlogs.start('queue', 0.6)
        selector = backend_selection.BackendSelector(
            table,
            'bkk',
            lambda: 1,
            lambda key, limit: 1,
            server_backlogs,
            running_attempts,
            SlowModel(),
            prefix_caches.PrefixCacheIndex(),
        )
        requirements = backend_selection.BackendRequirements(
            'pool',
            'large',
            tokens=tokens,
            event_tokens=SERVICE.event_tokens,
            tolerated_pause=tolerated_pause,
            objective=OBJECTIVE,
        )
        return selector.choose(requirements, SERVICE).backend.instance

    def test_long_prompt_goes_where_it_disturbs_nobody(self):
        assert self.choose(TOLERATED_PAUSE, 17_000) == 'queue'

    def test_short_prompt_goes_to_the_idler_server(self):
        assert self.choose(TOLERATED_PAUSE, 1_000) == 'streams'

    def test_without_the_feature_pauses_do_not_count(self):
        assert self.choose(0.0, 17_000) == 'streams'
