"""Which agents a gateway has data links to."""

from collections.abc import Callable

import anyio
from anyio import abc

from chivejunction import rendezvous
from chivejunction.coordination import peers
from chivejunction.state import servers
from chivejunction.transport import host_list

CHECK_SECONDS = 0.5
# Servers of each pool that a gateway reaches however small the pool is.
MIN_LINKS_PER_POOL = 3


def choose_links(
    gateway: str, agents: dict[str, list[str]], max_links: int
) -> set[str]:
    """Returns the agents that a gateway links to.

    All of them up to max_links. Above that each pool gets its part of
    max_links, at least MIN_LINKS_PER_POOL, and the gateway's name decides
    which of its servers, so that all gateways together reach all servers.

    Args:
        gateway: Name of the gateway.
        agents: Names of the agents by pool.
        max_links: Number of links above which servers are left out.
    """
    total = sum(len(names) for names in agents.values())
    if total <= max_links:
        return {name for names in agents.values() for name in names}
    return {
        name
        for names in agents.values()
        for name in rendezvous.rank_hosts(gateway, names)[
            : max(MIN_LINKS_PER_POOL, len(names) * max_links // total)
        ]
    }


class Membership:
    """Keeps one link task for each chosen agent.

    The host list says whom to contact; whether a host is alive only its
    link and exchanges tell. An agent that the list no longer names is kept
    as long as its link works, and all are kept while the list is empty.

    Args:
        gateway: Name of the gateway.
        table: Server table of the gateway.
        directory: Host list.
        make_peer: Returns the link for a server and its data address.
        is_leaving: Tells whether a host announced in an exchange that it
            leaves.
        max_links: Number of agents above which only a subset is linked.
    """

    def __init__(
        self,
        gateway: str,
        table: servers.ServerTable,
        directory: host_list.HostDirectory,
        make_peer: Callable[[servers.Server, str], peers.AgentPeer],
        is_leaving: Callable[[str], bool],
        max_links: int,
    ):
        self._gateway = gateway
        self._table = table
        self._directory = directory
        self._make_peer = make_peer
        self._is_leaving = is_leaving
        self._max_links = max_links
        self.peers: dict[str, peers.AgentPeer] = {}
        # Gateways on the host list, this one included.
        self.gateway_count = 1
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._seen: dict[str, host_list.ListedHost] | None = None
        self._agents: dict[str, host_list.ListedHost] = {}
        self._chosen: set[str] = set()
        # Incarnations that the host list has called leaving.
        self._listed_leaving: dict[str, str] = {}

    async def run(self) -> None:
        """Follows the host list until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if self._directory.hosts:
                    self._update(group)
                self._mark_leaving()
                await self._directory.wait_change(CHECK_SECONDS)

    def _update(self, group: abc.TaskGroup) -> None:
        # The directory replaces its hosts when the list has changed.
        if self._seen is not self._directory.hosts:
            self._seen = self._directory.hosts
            self._read_list()
        agents, chosen = self._agents, self._chosen
        for name in chosen:
            known = self.peers.get(name)
            if known is not None and (
                known.address == agents[name].data_address
            ):
                continue
            if known is not None:
                self._drop(name)
            self._add(group, agents[name])
        for name in set(self.peers) - chosen:
            peer = self.peers[name]
            # The list lags: a host that still answers stays. So does one
            # that is no longer chosen but has attempts running.
            is_used = peer.connected and (
                name not in agents or peer.server.in_flight
            )
            if not is_used:
                self._drop(name)

    def _read_list(self) -> None:
        listed = self._seen.values()
        gateways = sum(host.role == 'gateway' for host in listed)
        self.gateway_count = max(1, gateways)
        self._agents = {h.host: h for h in listed if h.role == 'agent'}
        by_pool: dict[str, list[str]] = {}
        for host in self._agents.values():
            by_pool.setdefault(host.pool, []).append(host.host)
        self._chosen = choose_links(self._gateway, by_pool, self._max_links)

    def _mark_leaving(self) -> None:
        for name, peer in self.peers.items():
            server = peer.server
            listed = self._directory.hosts.get(name)
            if listed is None or not listed.leaving:
                self._listed_leaving.pop(name, None)
            else:
                self._listed_leaving.setdefault(name, server.incarnation)
            # The lagging list may still mean an earlier process.
            is_listed = self._listed_leaving.get(name) == server.incarnation
            server.announced_leaving = is_listed or self._is_leaving(name)
            server.leaving = server.leaving or server.announced_leaving

    def _add(self, group: abc.TaskGroup, host: host_list.ListedHost) -> None:
        server = servers.Server(host.host, host.pool, host.failure_domain)
        peer = self._make_peer(server, host.data_address)
        self.peers[host.host] = peer
        self._table.add(server)
        group.start_soon(self._run_peer, peer)

    async def _run_peer(self, peer: peers.AgentPeer) -> None:
        with anyio.CancelScope() as scope:
            self._scopes[peer.name] = scope
            await peer.run()

    def _drop(self, host: str) -> None:
        self.peers.pop(host, None)
        self._table.remove(host)
        self._listed_leaving.pop(host, None)
        scope = self._scopes.pop(host, None)
        if scope is not None:
            scope.cancel()
