"""Placement of model versions on the engines of a pool."""

from collections.abc import Iterable
import math

from chivejunction import rendezvous
from chivejunction.protocol import resources
from chivejunction.state import views


def choose_versions(
    view: views.ConfigView, pool: str, host: str, hosts: Iterable[str]
) -> list[str]:
    """Returns the versions that a host should hold, by descending priority.

    The result depends only on the configuration and the members of the pool,
    so that all agents compute the same placement without coordination.

    Args:
        view: Configuration of the agent.
        pool: Name of the pool of the host.
        host: Name of the host.
        hosts: Names of the hosts in the pool; the host itself may be missing.
    """
    members = sorted(set(hosts) | {host})
    assigned = []
    for version in view.versions.values():
        if version.pool != pool or (
            version.state is resources.VersionState.WITHDRAWN
        ):
            continue
        count = version.replicas or len(members)
        if host in rendezvous.rank_hosts(version.name, members)[:count]:
            assigned.append(version)
    assigned.sort(
        key=lambda v: (
            v.state is not resources.VersionState.ACTIVE,
            # A version with few replicas has few other hosts to be placed on.
            v.replicas or math.inf,
            v.name,
        )
    )
    pool_config = view.pools.get(pool)
    max_versions = (
        pool_config.versions_per_server if pool_config else len(assigned)
    )
    return [version.name for version in assigned[:max_versions]]
