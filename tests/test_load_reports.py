"""Tests of the engine's load reports and of their effect on heartbeats."""

import types

import pytest

from bench import fleet
from chivejunction import agent
from chivejunction.coordination import load_reports
from chivejunction.protocol import messages
from tests import agent_rig as rigs

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return 'asyncio'


def make_poller(rig, notify_gateways=lambda: None):
    return load_reports.LoadReportPoller(
        f'http://127.0.0.1:{fleet.find_port()}',
        rig.executor._client,
        rig.admission,
        rig.window,
        0.05,
        notify_gateways,
    )


def open_window(rig):
    """Sets the concurrency window to 8, as after a completed slow start."""
    rig.configure(2, warm_window=8)
    rig.window._size = 8


class TestLoadReportPoller:
    """Guards against a stale view of the engine.

    After a restart the engine is cold and may have loaded other versions; the
    agent must not admit requests as before.
    """

    async def test_new_incarnation_resets_the_window(self):
        async with rigs.open_rig() as rig:
            open_window(rig)
            poller = make_poller(rig)
            poller.apply({'incarnation': 'a', 'versions': None})
            assert rig.admission.window == 8
            poller.apply({'incarnation': 'b', 'versions': None})
            assert rig.admission.window == 1

    async def test_gateways_are_notified_of_changed_versions_at_once(self):
        """Guards against requests refused while a server is idle.

        The gateways learned of newly loaded versions only from the next
        heartbeat, up to a second later.
        """
        notified = []
        async with rigs.open_rig() as rig:
            poller = make_poller(
                rig, lambda: notified.append(rig.admission.versions)
            )
            for _ in range(2):
                poller.apply({'incarnation': 'a', 'versions': ['small-7']})
        assert notified == [frozenset({'small-7'})]

    async def test_refused_connection_resets_the_window_and_is_reported(self):
        async with rigs.open_rig() as rig:
            open_window(rig)
            rig.group.start_soon(make_poller(rig).run)
            await rig.wait_until(lambda: rig.admission.window == 1)
            assert rig.admission.load()['s'] == 'down'

    async def test_only_versions_of_the_report_are_admitted(self):
        async with rigs.open_rig() as rig:
            make_poller(rig).apply(
                {'incarnation': 'a', 'versions': ['small-2']}
            )
            for name in ('small-1', 'small-2'):
                rig.start(name, version=name)
            refused = await rig.peer.wait_for_end('small-1')
            assert refused.error == 'version_not_loaded'
            assert isinstance(
                await rig.peer.wait_for_end('small-2'), messages.End
            )

    async def test_heartbeat_lists_versions_only_after_a_change(self):
        async with rigs.open_rig() as rig:
            report = agent.StatusReporter(
                types.SimpleNamespace(
                    admission=rig.admission,
                    view=rig.view,
                    config=types.SimpleNamespace(
                        host='a', failure_domain='b', pool='c'
                    ),
                )
            )
            assert report.describe()['versions'] == ['small-1']
            assert 'v' not in report.make_heartbeat().load
            rig.admission.versions = frozenset({'small-2'})
            assert report.make_heartbeat().load['v'] == ['small-2']
            assert 'v' not in report.make_heartbeat().load
