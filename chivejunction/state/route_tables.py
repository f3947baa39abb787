"""Immutable tables of routes, services and organisations."""

import dataclasses

from chivejunction import rendezvous
from chivejunction.protocol import forwarding


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the routing configuration.

    Attributes:
        version: Version number; increases with each change.
        routes: Routes by the request's host name, longest prefix first.
        services: Services by name.
        organisations: Organisations by API key.
        limits: Limits on the requests of callers.
    """

    version: int
    routes: dict[str, tuple[forwarding.Route, ...]]
    services: dict[str, forwarding.BackendService]
    organisations: dict[str, forwarding.ForwardOrganisation]
    limits: forwarding.CallerLimits

    def find_route(self, host: str, path: str) -> forwarding.Route | None:
        """Returns the route with the longest prefix that matches a path.

        Args:
            host: Value of the Host header, with or without a port.
            path: Path of the request.

        Returns:
            The route, or None if no route matches.
        """
        name = host.rsplit(':', 1)[0].lower() if ':' in host else host.lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(
        self, key: str
    ) -> forwarding.ForwardOrganisation | None:
        """Returns the organisation of an API key, None if unknown."""
        return self.organisations.get(key)


def build_table(
    version: int,
    routes: list[forwarding.Route],
    services: list[forwarding.BackendService],
    organisations: dict[str, forwarding.ForwardOrganisation],
    limits: forwarding.CallerLimits,
) -> RouteTable:
    """Returns a routing table with the routes in lookup order.

    Args:
        version: Version number of the configuration.
        routes: Routes of all hosts in any order.
        services: Services of the backend servers.
        organisations: Organisations by API key.
        limits: Limits on the requests of callers.
    """
    by_host: dict[str, list[forwarding.Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return RouteTable(
        version=version,
        routes={
            host: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
            for host, host_routes in by_host.items()
        },
        services={service.name: service for service in services},
        organisations=organisations,
        limits=limits,
    )


def choose_service(route: forwarding.Route, request_id: str) -> str:
    """Returns a request's service, chosen by the weights of its route.

    The choice is a hash of the request id, so a repeated request goes to the
    same service.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total_weight = sum(share.weight for share in route.shares)
    remaining = (
        rendezvous.hash_to_fraction(route.name, request_id) * total_weight
    )
    for share in route.shares:
        remaining -= share.weight
        if remaining < 0:
            return share.service
    return route.shares[-1].service
