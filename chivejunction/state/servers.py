"""Backend servers as a gateway knows them."""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(slots=True)
class Server:
    """One backend server.

    Attributes:
        host: Name of its host.
        pool: Pool it belongs to.
        failure_domain: Failure domain it stands in.
        incarnation: Incarnation of its agent.
        versions: Model versions that are loaded.
        running: Requests running, as last reported.
        queued: Requests waiting at the agent, as last reported.
        window: Concurrent requests that the agent admits.
        first_token: Recent time to first token in seconds.
        sent: Attempts sent by this gateway and not ended.
        connected: Whether the data link works.
        leaving: Whether the host announced that it leaves.
        announced_leaving: Whether the host list or an exchange says so.
        ready: Whether the agent takes work.
        ejected_until: Deadline of an outlier ejection.
    """

    host: str
    pool: str
    failure_domain: str
    incarnation: str = ''
    versions: frozenset[str] = frozenset()
    running: int = 0
    queued: int = 0
    window: int = 1
    first_token: float = 0.0
    sent: int = 0
    connected: bool = False
    leaving: bool = False
    announced_leaving: bool = False
    ready: bool = True
    ejected_until: float = 0.0

    def apply_load(self, load: dict) -> None:
        """Takes over the load of a heartbeat."""
        self.running = load.get('r', self.running)
        self.queued = load.get('q', self.queued)
        self.window = load.get('w', self.window)
        self.first_token = load.get('t', self.first_token * 1000) / 1000
        self.leaving = self.announced_leaving or load.get('s', '') == 'leaving'
        self.ready = load.get('s', 'ready') == 'ready'
        if 'v' in load:
            self.versions = frozenset(load['v'])


class ServerTable:
    """All backend servers that a gateway knows, by host and by pool."""

    def __init__(self):
        self._by_host: dict[str, Server] = {}
        self._by_pool: dict[str, dict[str, Server]] = {}

    def add(self, server: Server) -> None:
        """Adds or replaces a server."""
        self.remove(server.host)
        self._by_host[server.host] = server
        self._by_pool.setdefault(server.pool, {})[server.host] = server

    def remove(self, host: str) -> None:
        """Removes the server of a host if it is known."""
        old = self._by_host.pop(host, None)
        if old is not None:
            del self._by_pool[old.pool][host]

    def get(self, host: str) -> Server | None:
        """Returns the server of a host, or None."""
        return self._by_host.get(host)

    def in_pool(self, pool: str) -> list[Server]:
        """Returns the servers of a pool."""
        return list(self._by_pool.get(pool, {}).values())

    def __iter__(self) -> Iterator[Server]:
        return iter(list(self._by_host.values()))

    def __len__(self) -> int:
        return len(self._by_host)
