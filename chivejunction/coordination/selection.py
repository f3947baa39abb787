"""Choice of the backend server for an attempt."""

import random

from chivejunction.state import servers
from chivejunction.state import views


class Selector:
    """Chooses a backend server of a pool.

    Args:
        table: Servers that the gateway knows.
        view: Configuration of the gateway.
        failure_domain: Failure domain of the gateway.
    """

    def __init__(
        self,
        table: servers.ServerTable,
        view: views.ConfigView,
        failure_domain: str,
    ):
        self._table = table
        self._view = view
        self._failure_domain = failure_domain

    def choose(
        self,
        pool: str,
        version: str = '',
        affinity: str = '',
        exclude: frozenset[str] = frozenset(),
    ) -> servers.Server | None:
        """Returns a server for an attempt, or None.

        Args:
            pool: Pool to choose from.
            version: Model version that must be loaded, empty for services.
            affinity: Key of the session or prompt prefix, may be empty.
            exclude: Hosts that must not be chosen.
        """
        usable = [
            server
            for server in self._table.in_pool(pool)
            if server.connected
            and server.ready
            and not server.leaving
            and server.host not in exclude
            and (not version or version in server.versions)
            and self._view.is_open(server.failure_domain)
        ]
        if not usable:
            return None
        pair = random.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda s: (s.queued + s.sent) / s.window)
