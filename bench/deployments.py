"""Deployments modelled on the first users, sized for a single host."""

import dataclasses

from bench import fleet
from chivejunction.protocol import resources


@dataclasses.dataclass(frozen=True)
class VersionSpec:
    """A model version with its cost and its true quality by request class.

    Attributes:
        name: Name of the version.
        model: Name of its model.
        output_cost: Cost units per 1,000 generated tokens.
        quality: True quality by request class, known only to the rating
            service.
        prior: Quality by request class as declared by the operators.
        active: Whether it is declared at the start.
    """

    name: str
    model: str
    output_cost: float
    quality: dict[str, float]
    prior: dict[str, float]
    active: bool = True


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Failure domains, pools, model versions and organisations of a user.

    Attributes:
        name: Short name, used as the prefix of process names.
        domains: Region by failure domain.
        engine_pool: Pool of the model engines.
        engines: Number of engines.
        service: Name of the plain service and of its pool.
        services: Number of backend servers of the plain service.
        organisations: Weight by organisation.
        versions: Model versions.
        denied: Model versions that an organisation must not use.
    """

    name: str
    domains: dict[str, str]
    engine_pool: str
    engines: int
    service: str
    services: int
    organisations: dict[str, float]
    versions: tuple[VersionSpec, ...]
    denied: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )

    def allowed_versions(self) -> dict[str, frozenset[str]]:
        """Returns the model versions that each organisation may use."""
        all_versions = frozenset(v.name for v in self.versions)
        return {
            name: all_versions - frozenset(self.denied.get(name, ()))
            for name in self.organisations
        }

    def credential_of(self, organisation: str) -> str:
        """Returns the credential of an organisation."""
        return f'{organisation}-key'

    def gateways(self) -> list[str]:
        """Returns the member names of the gateways."""
        return [f'{self.name}-gw-{domain}' for domain in self.domains]

    def agents(self) -> list[str]:
        """Returns the member names of all agents."""
        return [
            *(f'{self.name}-lm-{i}' for i in range(self.engines)),
            *(f'{self.name}-desk-{i}' for i in range(self.services)),
        ]

    def location_of(self, index: int) -> tuple[str, str]:
        """Returns the failure domain and region of a backend server.

        Args:
            index: Index of the server in its pool.
        """
        domains = list(self.domains.items())
        return domains[index % len(domains)]

    def domain_of(self, agent: str) -> str:
        """Returns the failure domain of an agent."""
        return self.location_of(int(agent.rsplit('-', 1)[1]))[0]


def _make_versions(prefix: str) -> tuple[VersionSpec, ...]:
    return (
        VersionSpec(
            f'{prefix}-small-1',
            f'{prefix}-small',
            1.0,
            {'faq': 0.92, 'advice': 0.60, 'contract': 0.45},
            {'faq': 0.88, 'advice': 0.60, 'contract': 0.50},
        ),
        VersionSpec(
            f'{prefix}-small-2',
            f'{prefix}-small',
            1.0,
            {'faq': 0.94, 'advice': 0.66, 'contract': 0.50},
            {'faq': 0.88, 'advice': 0.62, 'contract': 0.50},
        ),
        VersionSpec(
            f'{prefix}-medium-1',
            f'{prefix}-medium',
            4.0,
            {'faq': 0.95, 'advice': 0.88, 'contract': 0.70},
            {'faq': 0.93, 'advice': 0.85, 'contract': 0.70},
        ),
        VersionSpec(
            f'{prefix}-large-1',
            f'{prefix}-large',
            15.0,
            {'faq': 0.97, 'advice': 0.95, 'contract': 0.93},
            {'faq': 0.96, 'advice': 0.94, 'contract': 0.92},
        ),
    )


SIAMSOUND = Deployment(
    name='siam',
    domains={'bkk-a': 'bkk', 'cnx-a': 'cnx', 'hkt-a': 'hkt'},
    engine_pool='lm-pool',
    engines=9,
    service='hire-desk',
    services=3,
    organisations={
        'counter': 4.0,
        'district-office': 2.0,
        'campaign': 2.0,
        'temple': 1.0,
        'festival': 1.0,
        'school': 1.0,
    },
    versions=_make_versions('siam'),
    denied={'school': ('siam-large-1',)},
)

RAAMWERK = Deployment(
    name='raam',
    domains={'gent-a': 'gent', 'namur-a': 'namur', 'brussel-a': 'brussel'},
    engine_pool='imkeradvies-llm',
    engines=9,
    service='bestel-app',
    services=3,
    organisations={
        'member-a': 3.0,
        'member-b': 3.0,
        'member-c': 3.0,
        'shop': 1.0,
        'beekeeper': 1.0,
    },
    versions=_make_versions('raam'),
    denied={'beekeeper': ('raam-large-1',)},
)

DEPLOYMENTS = {d.name: d for d in (SIAMSOUND, RAAMWERK)}
REQUEST_CLASSES = ('faq', 'advice', 'contract')


def scale(deployment: Deployment, engines: int, services: int) -> Deployment:
    """Returns a deployment with other numbers of backend servers."""
    return dataclasses.replace(deployment, engines=engines, services=services)


def list_resources(deployment: Deployment) -> list[dict]:
    """Returns the resources of a deployment, each with its kind.

    A field that collides with the kind is nested under ``resource``.
    """
    models = sorted({v.model for v in deployment.versions})
    return [
        *(
            {'kind': 'failuredomain', 'name': name, 'region': region}
            for name, region in deployment.domains.items()
        ),
        {'kind': 'pool', 'name': deployment.engine_pool},
        # The pool field `kind` collides with the kind of the resource, so it
        # is nested under `resource`.
        {
            'kind': 'pool',
            'name': deployment.service,
            'resource': {'kind': 'service'},
        },
        *({'kind': 'model', 'name': name} for name in models),
        *(
            {
                'kind': 'modelversion',
                'name': v.name,
                'model': v.model,
                'pool': deployment.engine_pool,
                'output_cost': v.output_cost,
                'input_cost': v.output_cost / 4,
                'quality': v.prior,
            }
            for v in deployment.versions
            if v.active
        ),
        {
            'kind': 'service',
            'name': deployment.service,
            'pool': deployment.service,
        },
        {
            'kind': 'cascade',
            'name': f'{deployment.name}-all',
            'request_classes': list(REQUEST_CLASSES),
            'steps': models,
        },
        *(
            {
                'kind': 'organisation',
                'name': name,
                'key_hashes': [
                    resources.hash_key(deployment.credential_of(name))
                ],
                'models': models,
                'denied_versions': list(deployment.denied.get(name, ())),
                'services': [deployment.service],
                'weight': weight,
            }
            for name, weight in deployment.organisations.items()
        ),
    ]


def create_resources(
    running_fleet: fleet.Fleet, deployment: Deployment, gateway: str
) -> None:
    """Creates the resources of a deployment through one gateway."""
    for item in list_resources(deployment):
        value = {k: v for k, v in item.items() if k != 'kind'}
        value.update(value.pop('resource', {}))
        running_fleet.put(gateway, item['kind'], value.pop('name'), **value)


def start(
    running_fleet: fleet.Fleet,
    deployment: Deployment,
    engine_options: dict | None = None,
    gateway_options: dict | None = None,
    agent_options: dict | None = None,
    service_options: dict | None = None,
    proxied: bool = False,
) -> None:
    """Starts gateways, fakes and agents and creates the resources.

    The platform of the fleet must be running. Returns when every gateway has a
    link to every agent and every agent has received a configuration.

    Args:
        running_fleet: Fleet that starts the processes.
        deployment: Deployment to start.
        engine_options: Options of the fake engines.
        gateway_options: Settings of the gateways.
        agent_options: Settings of the agents.
        service_options: Options of the fake services.
        proxied: Whether the data links go through a proxy per agent.
    """
    for domain, region in deployment.domains.items():
        running_fleet.start_gateway(
            f'{deployment.name}-gw-{domain}',
            domain,
            region,
            **(gateway_options or {}),
        )
    versions = ','.join(v.name for v in deployment.versions)
    for i, name in enumerate(deployment.agents()):
        is_engine = i < deployment.engines
        index = int(name.rsplit('-', 1)[1])
        domain, region = deployment.location_of(index)
        if is_engine:
            running_fleet.start_fake(
                f'{name}-server', 'engine', **(engine_options or {})
            )
        else:
            running_fleet.start_fake(
                f'{name}-server', 'service', **(service_options or {})
            )
        proxy_port = fleet.find_port() if proxied else 0
        running_fleet.start_agent(
            name,
            domain,
            region,
            deployment.engine_pool if is_engine else deployment.service,
            f'{name}-server',
            'engine' if is_engine else 'service',
            f'tcp://127.0.0.1:{proxy_port}' if proxied else '',
            **({'versions': versions} if is_engine else {}),
            **(agent_options or {}),
        )
        if proxied:
            running_fleet.start_proxy(f'{name}-proxy', name, proxy_port)
    for name in deployment.gateways():
        running_fleet.wait_for_port(name)
    create_resources(running_fleet, deployment, deployment.gateways()[0])
    wait_until_ready(running_fleet, deployment)


def wait_until_ready(
    running_fleet: fleet.Fleet, deployment: Deployment, seconds: float = 60
) -> None:
    """Waits until all links are up and all agents are configured.

    Args:
        running_fleet: Fleet that runs the processes.
        deployment: Deployment to wait for.
        seconds: Time-out.
    """
    count = len(deployment.agents())
    running_fleet.wait_until(
        lambda: (
            all(
                running_fleet.read_health(g).get('servers') == count
                for g in deployment.gateways()
            )
            and all(
                running_fleet.read_health(a).get('ready')
                for a in deployment.agents()
            )
        ),
        f'{deployment.name} is ready',
        seconds,
    )
