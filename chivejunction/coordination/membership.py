"""Which agents a gateway has links to."""

from collections.abc import Callable

import anyio
from anyio import abc

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import peers
from chivejunction.state import servers
from chivejunction.transport import host_list
from chivejunction.transport import http_client

POLL_SECONDS = 1.0


class Membership:
    """Keeps one link task for each listed agent.

    Args:
        table: Server table of the gateway.
        client: HTTP client for the host list.
        hosts_url: URL of the host list.
        make_peer: Returns the link for a server and its data address.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        client: http_client.Client,
        hosts_url: str,
        make_peer: Callable[[servers.Server, str], peers.AgentPeer],
    ):
        self._table = table
        self._client = client
        self._hosts_url = hosts_url
        self._make_peer = make_peer
        self.peers: dict[str, peers.AgentPeer] = {}
        # Gateways on the host list, this one included.
        self.gateway_count = 1
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Follows the host list until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                try:
                    listed = await host_list.fetch_hosts(
                        self._client, self._hosts_url
                    )
                    self._update(group, listed)
                except errors.TransportError as exc:
                    logs.LOG.warning('host list cannot be read: %s', exc)
                await anyio.sleep(clock.jitter(POLL_SECONDS))

    def _update(
        self, group: abc.TaskGroup, listed: list[host_list.ListedHost]
    ) -> None:
        gateways = sum(host.role == 'gateway' for host in listed)
        self.gateway_count = max(1, gateways)
        agents = {host.host: host for host in listed if host.role == 'agent'}
        for host in agents.values():
            known = self.peers.get(host.host)
            if known is not None and known.address == host.data_address:
                continue
            if known is not None:
                self._drop(host.host)
            self._add(group, host)
        for name in set(self.peers) - set(agents):
            # The list lags: a host that still answers stays.
            if not self.peers[name].connected:
                self._drop(name)

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
        scope = self._scopes.pop(host, None)
        if scope is not None:
            scope.cancel()
