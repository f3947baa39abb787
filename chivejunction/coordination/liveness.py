"""Detection of backend servers that stopped responding.

A server that sends nothing on one connection may be busy rather than dead.
It counts as alive while it responds to other requests or to a probe.
"""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import request_context
from chivejunction.protocol import forwarding
from chivejunction.state import backends
from chivejunction.transport import backend_connections

# A server that sent data within this time counts as alive without a probe.
ACTIVITY_WINDOW_SECONDS = 1.0
# A probe times out after a few round trips between regions.
PROBE_TIMEOUT_SECONDS = 0.4
# Probes use only connections that were idle for less than this: on an older
# one, which the server may have dropped, a live server would look dead.
MAX_PROBE_IDLE_SECONDS = 0.5


class LivenessMonitor:
    """Extends read timeouts for backend servers that are alive but busy.

    Args:
        pool: Connections to backend servers.
        wire_format: Wire format, provides the target of probes.
    """

    def __init__(
        self,
        pool: backend_connections.ConnectionPool,
        wire_format: forwarding.WireFormat,
    ):
        self._pool = pool
        self._wire_format = wire_format
        self._last_activity_at: dict[str, float] = {}

    def record_activity(self, instance: str) -> None:
        """Records that a backend server has sent data just now."""
        self._last_activity_at[instance] = clock.now()

    async def read_while_alive(
        self, backend, read, check_at, deadline, may_leave
    ):
        """Reads from a server for as long as it is alive.

        A server that is silent or slow is kept while no other one can take
        over.

        Args:
            backend: The backend server.
            read: Coroutine function that reads.
            check_at: Monotonic time before which liveness is not checked.
            deadline: Monotonic time at which the read times out even if the
                server is alive.
            may_leave: Returns whether another server can take over.

        Returns:
            The result of ``read``.

        Raises:
            request_context.AttemptFailed: The server is not alive, or the
                deadline passed.
        """
        timeout_at = min(check_at, deadline)
        while True:
            # A cancelled read loses no data; the next one continues it.
            with anyio.move_on_at(timeout_at):
                return await read()
            now = clock.now()
            if now >= deadline or not await self._is_alive(backend):
                break
            timeout_at = min(deadline, now + ACTIVITY_WINDOW_SECONDS / 2)
        while not may_leave():
            with anyio.move_on_after(ACTIVITY_WINDOW_SECONDS / 2):
                return await read()
        raise request_context.AttemptFailed(
            'silent', request_context.MAY_HAVE_RUN
        )

    async def _is_alive(self, backend: backends.Backend) -> bool:
        """Returns whether a server was active lately or passes a probe."""
        last_activity_at = self._last_activity_at.get(backend.instance, 0.0)
        if clock.now() - last_activity_at < ACTIVITY_WINDOW_SECONDS:
            return True
        if not clock.has_passed(backend.refused_until):
            # It responded, and asked for no requests.
            return True
        is_alive = await self._probe(backend)
        logs.log_decision(
            'server probed', instance=backend.instance, alive=is_alive
        )
        if is_alive:
            self.record_activity(backend.instance)
        return is_alive

    async def _probe(self, backend: backends.Backend) -> bool:
        """Returns whether a server responds to a probe in time."""
        deadline = clock.make_deadline(PROBE_TIMEOUT_SECONDS)
        connection = None
        try:
            with anyio.fail_after(PROBE_TIMEOUT_SECONDS):
                connection = await self._pool.acquire(
                    backend.instance,
                    backend.address,
                    backend.port,
                    MAX_PROBE_IDLE_SECONDS,
                    deadline,
                )
                host = f'{backend.address}:{backend.port}'.encode()
                await connection.send(
                    'GET',
                    self._wire_format.probe_target,
                    [(b'host', host)],
                    b'',
                )
                await connection.read_head()
                await connection.read_body()
        except (TimeoutError, errors.TransportError, errors.ProtocolError):
            return False
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
        return True
