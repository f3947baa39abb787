"""Data links of a gateway to agents."""

from collections.abc import Callable

import anyio
from anyio import abc

from chivejunction import containment
from chivejunction import rendezvous
from chivejunction.coordination import peers
from chivejunction.state import servers
from chivejunction.transport import host_list

CHECK_INTERVAL_SECONDS = 0.5
# A gateway links to at least this many servers of each pool, so that it also
# reaches small pools.
MIN_LINKS_PER_POOL = 3


def choose_links(
    gateway: str, agents: dict[str, list[str]], max_links: int
) -> set[str]:
    """Returns the agents that a gateway links to.

    Up to max_links agents, all are chosen. Above that, each pool gets a share
    of max_links in proportion to its size, but at least MIN_LINKS_PER_POOL.
    The servers are chosen by rendezvous hashing of the gateway's name, so that
    the gateways together reach all servers.

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


class AgentLinks:
    """Maintains a link task for each chosen agent.

    The host list determines which agents to contact. Whether a host is alive
    follows only from its link and its exchanges: an agent that the list no
    longer contains is kept while its link works, and all agents are kept
    while the list is empty.

    Args:
        gateway: Name of the gateway.
        table: Server table of the gateway.
        directory: Host list.
        make_peer: Returns the link to a server at a data address.
        is_leaving: Returns whether a host has announced in an exchange that
            it is leaving.
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
        self._last_hosts: dict[str, host_list.ListedHost] | None = None
        self._agents: dict[str, host_list.ListedHost] = {}
        self._chosen_agents: set[str] = set()
        # By host, the incarnation that ran when the host list first stated
        # that the host is leaving.
        self._incarnations_listed_leaving: dict[str, str] = {}

    async def run(self) -> None:
        """Updates the links from the host list until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if self._directory.hosts:
                    self._update_links(group)
                self._update_leaving()
                await self._directory.wait_for_change(CHECK_INTERVAL_SECONDS)

    def _update_links(self, group: abc.TaskGroup) -> None:
        # The directory assigns a new dict whenever the list has changed.
        if self._last_hosts is not self._directory.hosts:
            self._last_hosts = self._directory.hosts
            self._choose_agents()
        agents, chosen = self._agents, self._chosen_agents
        for name in chosen:
            peer = self.peers.get(name)
            if peer is not None and (
                peer.address == agents[name].data_address
            ):
                continue
            if peer is not None:
                self._remove_link(name)
            self._add_link(group, agents[name])
        for name in set(self.peers) - chosen:
            peer = self.peers[name]
            # The list lags: keep a delisted host whose link works. Also keep
            # a host that is no longer chosen while it has running attempts.
            is_used = peer.connected and (
                name not in agents or peer.server.in_flight
            )
            if not is_used:
                self._remove_link(name)

    def _choose_agents(self) -> None:
        listed = self._last_hosts.values()
        gateways = sum(host.role == 'gateway' for host in listed)
        self.gateway_count = max(1, gateways)
        self._agents = {h.host: h for h in listed if h.role == 'agent'}
        by_pool: dict[str, list[str]] = {}
        for host in self._agents.values():
            by_pool.setdefault(host.pool, []).append(host.host)
        self._chosen_agents = choose_links(
            self._gateway, by_pool, self._max_links
        )

    def _update_leaving(self) -> None:
        for name, peer in self.peers.items():
            server = peer.server
            listed = self._directory.hosts.get(name)
            if listed is None or not listed.leaving:
                self._incarnations_listed_leaving.pop(name, None)
            else:
                self._incarnations_listed_leaving.setdefault(
                    name, server.incarnation
                )
            # The list lags: its entry may refer to an earlier process.
            is_listed = (
                self._incarnations_listed_leaving.get(name)
                == server.incarnation
            )
            server.announced_leaving = is_listed or self._is_leaving(name)
            server.leaving = server.leaving or server.announced_leaving

    def _add_link(
        self, group: abc.TaskGroup, host: host_list.ListedHost
    ) -> None:
        server = servers.Server(host.host, host.pool, host.failure_domain)
        peer = self._make_peer(server, host.data_address)
        self.peers[host.host] = peer
        self._table.add(server)
        group.start_soon(self._run_peer, peer)

    async def _run_peer(self, peer: peers.AgentPeer) -> None:
        try:
            with (
                containment.contain('agent link', agent=peer.name),
                anyio.CancelScope() as scope,
            ):
                self._scopes[peer.name] = scope
                await peer.run()
        finally:
            # After an error the next update of the links opens another one.
            if self.peers.get(peer.name) is peer:
                self._remove_link(peer.name)

    def _remove_link(self, host: str) -> None:
        self.peers.pop(host, None)
        self._table.remove(host)
        self._incarnations_listed_leaving.pop(host, None)
        scope = self._scopes.pop(host, None)
        if scope is not None:
            scope.cancel()
