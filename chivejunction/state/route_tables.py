"""Immutable tables of routes, services and organisations."""

import dataclasses

from chivejunction import rendezvous
from chivejunction.protocol import forwarding


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the routing configuration.

    Attributes:
        version: Number of the version; rises with each change.
        routes: Routes of each host, those with the longest prefix first.
        services: Services by name.
        organisations: Organisations by key.
        limits: What callers may send.
    """

    version: int
    routes: dict[str, tuple[forwarding.Route, ...]]
    services: dict[str, forwarding.BackendService]
    organisations: dict[str, forwarding.ForwardOrganisation]
    limits: forwarding.CallerLimits

    def find_route(self, host: str, path: str) -> forwarding.Route | None:
        """Returns the route with the longest prefix that begins a path."""
        name = host.rsplit(':', 1)[0].lower() if ':' in host else host.lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(
        self, key: str
    ) -> forwarding.ForwardOrganisation | None:
        """Returns the organisation that holds a key."""
        return self.organisations.get(key)


def build_table(
    version: int,
    routes: list[forwarding.Route],
    services: list[forwarding.BackendService],
    organisations: dict[str, forwarding.ForwardOrganisation],
    limits: forwarding.CallerLimits,
) -> RouteTable:
    """Returns a table with the routes of each host in order of search."""
    by_host: dict[str, list[forwarding.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version=version,
        routes={
            host: tuple(sorted(found, key=lambda r: -len(r.prefix)))
            for host, found in by_host.items()
        },
        services={service.name: service for service in services},
        organisations=organisations,
        limits=limits,
    )


def choose_service(route: forwarding.Route, request_id: str) -> str:
    """Returns the service of a request by the weights of its route."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    place = rendezvous.hash_share(route.name, request_id) * total
    for share in route.shares:
        place -= share.weight
        if place < 0:
            return share.service
    return route.shares[-1].service
