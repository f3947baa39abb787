"""Fixtures shared by the tests."""

import pytest

from bench import fleet
from chivejunction.protocol import resources


@pytest.fixture(scope='module')
def small_fleet(tmp_path_factory):
    """One gateway, two engines and one plain service, ready to serve."""
    folder = tmp_path_factory.mktemp('fleet')
    with fleet.Fleet(folder) as started:
        started.start_platform()
        started.start_gateway('gw-1', 'bkk-a', 'bkk')
        for name in ('lm-1', 'lm-2'):
            started.start_fake(f'{name}-engine', 'engine')
            started.start_agent(
                name,
                'bkk-a',
                'bkk',
                'lm-pool',
                f'{name}-engine',
                versions='small-1,large-1,large-2',
            )
        started.start_fake('hire-engine', 'service')
        started.start_agent(
            'hire-1', 'bkk-a', 'bkk', 'hire-desk', 'hire-engine', 'service'
        )
        started.wait_for_port('gw-1')
        declare_resources(started, 'gw-1')
        started.wait_until(
            lambda: (
                started.read_health('gw-1').get('servers') == 3
                and all(
                    started.read_health(n).get('ready')
                    for n in ('lm-1', 'lm-2', 'hire-1')
                )
            ),
            'gateway and agents are ready',
        )
        yield started


def declare_resources(started: fleet.Fleet, gateway: str) -> None:
    """Declares two models, one service and two organisations."""
    started.put(gateway, 'failuredomain', 'bkk-a', region='bkk')
    started.put(gateway, 'pool', 'lm-pool')
    started.put(gateway, 'pool', 'hire-desk', kind='service')
    for model, cost in (('small', 1.0), ('large', 10.0)):
        started.put(gateway, 'model', model)
        started.put(
            gateway,
            'modelversion',
            f'{model}-1',
            model=model,
            pool='lm-pool',
            output_cost=cost,
        )
    started.put(gateway, 'service', 'hire-desk', pool='hire-desk')
    started.put(
        gateway,
        'organisation',
        'temple',
        key_hashes=[resources.hash_key('temple-key')],
        models=['small', 'large'],
        services=['hire-desk'],
    )
    started.put(
        gateway,
        'organisation',
        'school',
        key_hashes=[resources.hash_key('school-key')],
        models=['small'],
    )
