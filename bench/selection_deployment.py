"""Deployment for measurements of the server choice.

Two regions: ``bkk`` with the failure domains ``bkk-a`` and ``bkk-b``, and
``cnx`` with ``cnx-a``; three engines and one gateway in each domain.
"""

from bench import fleet
from chivejunction.protocol import resources

DOMAINS = {'bkk-a': 'bkk', 'bkk-b': 'bkk', 'cnx-a': 'cnx'}
ENGINES_PER_DOMAIN = 3
# Weights by API key; a few organisations are large.
ORGANISATIONS = {
    f'key-{i}': weight
    for i, weight in enumerate((8, 6, 4, 1, 1, 1, 1, 1, 1, 1))
}
# A prompt of 1,500 tokens takes 0.3 s without a cached prefix; the cache
# holds about six such prompts.
ENGINE_OPTIONS = {
    'between_tokens': 0.02,
    'prefill_seconds': 0.0002,
    'cache_blocks': 600,
    'cold_factor': 6.0,
    'lag': 0.5,
}


def list_engines(domain: str) -> list[str]:
    """Returns the host names of the engines in a failure domain."""
    return [f'{domain}-{i}' for i in range(ENGINES_PER_DOMAIN)]


def start(started: fleet.Fleet, policy: str, **engine_options) -> None:
    """Starts all processes, declares resources and waits for readiness.

    Args:
        started: Fleet without processes.
        policy: Server policy of the gateways.
        **engine_options: Options of the engines besides ENGINE_OPTIONS.
    """
    started.start_platform()
    for domain, region in DOMAINS.items():
        started.start_gateway(
            f'gw-{domain}', domain, region, server_policy=policy
        )
        for name in list_engines(domain):
            started.start_fake(
                f'{name}-engine',
                'engine',
                **{**ENGINE_OPTIONS, **engine_options},
            )
            started.start_agent(
                name,
                domain,
                region,
                'lm-pool',
                f'{name}-engine',
                versions='small-1',
            )
    for domain in DOMAINS:
        started.wait_for_port(f'gw-{domain}')
    declare_resources(started, 'gw-bkk-a')
    wait_ready(started)


def declare_resources(started: fleet.Fleet, gateway: str) -> None:
    """Declares the resources of the deployment through a gateway."""
    for domain, region in DOMAINS.items():
        started.put(gateway, 'failuredomain', domain, region=region)
    started.put(gateway, 'pool', 'lm-pool', warm_window=16)
    started.put(gateway, 'model', 'small')
    started.put(
        gateway, 'modelversion', 'small-1', model='small', pool='lm-pool'
    )
    for key in ORGANISATIONS:
        started.put(
            gateway,
            'organisation',
            key.replace('key', 'org'),
            key_hashes=[resources.hash_key(key)],
            models=['small'],
        )


def wait_ready(started: fleet.Fleet) -> None:
    """Waits until all gateways and agents have the same configuration.

    All gateways must also have all backend servers in their health report.
    """
    count = ENGINES_PER_DOMAIN * len(DOMAINS)

    def is_ready() -> bool:
        revisions = {
            started.read_health(f'gw-{d}').get('revision') for d in DOMAINS
        }
        return (
            len(revisions) == 1
            and all(
                started.read_health(f'gw-{d}').get('servers') == count
                for d in DOMAINS
            )
            and all(
                started.read_health(n).get('revision') in revisions
                for d in DOMAINS
                for n in list_engines(d)
            )
        )

    started.wait_until(is_ready, 'gateways and agents are ready', 60)


def read_runs(started: fleet.Fleet) -> dict[str, list[dict]]:
    """Returns the chats that each engine has run, by host."""
    return {
        name: fleet.call_json(
            'GET', f'{started.members[f"{name}-engine"].url()}/runs'
        )[1]
        for domain in DOMAINS
        for name in list_engines(domain)
    }


def set_engine_faults(started: fleet.Fleet, name: str, **value) -> None:
    """Sets fault switches of the fake engine of a host."""
    url = started.members[f'{name}-engine'].url()
    fleet.call_json('POST', f'{url}/faults', value)
