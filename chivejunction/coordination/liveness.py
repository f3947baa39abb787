"""Whether a backend server that is silent is busy or dead."""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import trips
from chivejunction.protocol import forwarding
from chivejunction.state import backends
from chivejunction.transport import backend_connections

# A server that was heard of within this time is busy rather than dead.
ALIVE_SECONDS = 1.0
# Longest wait for the answer to a probe, a few round trips between regions.
PROBE_SECONDS = 0.4
# A probe must not mistake a forgotten connection for a dead server.
PROBE_IDLE_SECONDS = 0.5


class Liveness:
    """Waits for servers, for longer while they answer others or a probe.

    Args:
        pool: Connections to servers.
        wire: Wire format, names the target of probes.
    """

    def __init__(
        self,
        pool: backend_connections.ConnectionPool,
        wire: forwarding.WireFormat,
    ):
        self._pool = pool
        self._wire = wire
        self._heard_at: dict[str, float] = {}

    def note(self, instance: str) -> None:
        """Notes that a server has sent something."""
        self._heard_at[instance] = clock.now()

    async def wait_while_alive(self, backend, read, earliest, latest):
        """Reads, for longer from a server that answers other requests.

        Args:
            backend: The server.
            read: Coroutine function that reads.
            earliest: Monotonic time up to which any silence is fine.
            latest: Monotonic time at which the wait ends in any case.

        Raises:
            trips.AttemptFailed: The server stayed silent.
        """
        until = min(earliest, latest)
        while True:
            # A read that is cut short loses nothing; the next goes on.
            with anyio.move_on_at(until):
                return await read()
            now = clock.now()
            if now >= latest or not await self._is_alive(backend):
                break
            until = min(latest, now + ALIVE_SECONDS / 2)
        raise trips.AttemptFailed('silent', trips.MAY_HAVE_RUN)

    async def _is_alive(self, backend: backends.Backend) -> bool:
        """Tells whether a server that is silent here still answers."""
        heard_at = self._heard_at.get(backend.instance, 0.0)
        if clock.now() - heard_at < ALIVE_SECONDS:
            return True
        is_alive = await self._probe(backend)
        logs.log_decision(
            'server probed', instance=backend.instance, alive=is_alive
        )
        if is_alive:
            self.note(backend.instance)
        return is_alive

    async def _probe(self, backend: backends.Backend) -> bool:
        deadline = clock.make_deadline(PROBE_SECONDS)
        connection = None
        try:
            with anyio.fail_after(PROBE_SECONDS):
                connection = await self._pool.acquire(
                    backend.instance,
                    backend.address,
                    backend.port,
                    PROBE_IDLE_SECONDS,
                    deadline,
                )
                host = f'{backend.address}:{backend.port}'.encode()
                await connection.send(
                    'GET', self._wire.probe_target, [(b'host', host)], b''
                )
                await connection.read_head()
                while await connection.read_data() is not None:
                    pass
        except (TimeoutError, errors.TransportError, errors.ProtocolError):
            return False
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
        return True
