"""Which versions each engine should hold."""

from collections.abc import Iterable
import math

from chivejunction import rendezvous
from chivejunction.protocol import resources
from chivejunction.state import views


def choose_versions(
    view: views.ConfigView, pool: str, host: str, hosts: Iterable[str]
) -> list[str]:
    """Returns the versions that a host should hold, most urgent first.

    The result is a function of configuration and members only, so that every
    agent comes to the same placement without asking another one.

    Args:
        view: Configuration of the agent.
        pool: Pool of the host.
        host: The host.
        hosts: Members of the pool, the host included.
    """
    members = sorted(set(hosts) | {host})
    wanted = []
    for version in view.versions.values():
        if version.pool != pool or (
            version.state is resources.VersionState.WITHDRAWN
        ):
            continue
        count = version.replicas or len(members)
        if host in rendezvous.rank_hosts(version.name, members)[:count]:
            wanted.append(version)
    wanted.sort(
        key=lambda v: (
            v.state is not resources.VersionState.ACTIVE,
            # A version with few replicas has nowhere else to go.
            v.replicas or math.inf,
            v.name,
        )
    )
    found = view.pools.get(pool)
    slots = found.versions_per_server if found else len(wanted)
    return [version.name for version in wanted[:slots]]
