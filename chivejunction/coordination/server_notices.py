"""What servers say of themselves in responses, shared among gateways.

A server that is in need says so in its responses, which only some gateways
get. Each of them tells all others by bulletins, so that what the server asks
for holds for all gateways.
"""

import collections

from chivejunction import clock
from chivejunction import logs
from chivejunction.coordination import bulletins
from chivejunction.protocol import forwarding
from chivejunction.state import backends

LIMIT_KIND = 'limit'
LEAVING_KIND = 'leaving'
# Time for which all gateways keep in mind that a server process is leaving. It
# ends within seconds; its entry in the store may come back meanwhile.
LEAVING_TTL_SECONDS = 300.0
# Value of a bulletin on a server that names no limit any more.
NO_LIMIT = -1.0
# Longest time that a server may ask for with Retry-After.
MAX_REFUSED_SECONDS = 3600.0
MAX_REFUSING_SERVERS = 1024
SERVICE_UNAVAILABLE = 503
# A limit that holds on is published again after this time.
REPUBLISH_SECONDS = 10.0


class ServerNotices:
    """Applies and publishes what servers say of themselves.

    Args:
        board: Exchanges bulletins with the other gateways.
        table: Backend servers.
    """

    def __init__(
        self, board: bulletins.BulletinBoard, table: backends.BackendTable
    ):
        self._board = board
        self._table = table
        # Ends of the times that servers asked for, by process hash.
        self._refused_until: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )
        board.listen(LIMIT_KIND, self._read_limit)
        board.listen(LEAVING_KIND, self._read_leaving)

    def read_response(
        self,
        backend: backends.Backend,
        head: forwarding.ResponseHead,
        sent_at: float,
    ) -> None:
        """Applies what a response says of its server.

        Args:
            backend: The server.
            head: Head of its response.
            sent_at: Monotonic time at which the request was sent.
        """
        if head.status == SERVICE_UNAVAILABLE and head.retry_after:
            self._start_refusal(backend, head.retry_after)
        if head.is_leaving and not backend.said_leaving:
            self._set_leaving(backend)
            self._board.publish(
                LEAVING_KIND,
                backends.hash_process(backend),
                (1,),
                LEAVING_TTL_SECONDS,
            )
        if head.rate_limit is not None:
            self._set_limit(backend, head.rate_limit, clock.now())
            self._publish_limit(backend, head.rate_limit)
        elif (
            backend.rate_limit is not None
            # A response to an earlier request may only be late.
            and sent_at > backend.rate_limit_named_at
        ):
            self._set_limit(backend, None, clock.now())
            self._publish_limit(backend, NO_LIMIT)

    def apply_known(self, backend: backends.Backend) -> None:
        """Applies what is known of a server that was listed just now."""
        key = backends.hash_process(backend)
        bulletin = self._board.get(LIMIT_KIND, key)
        if bulletin is not None:
            self._read_limit(bulletin)
        if self._board.get(LEAVING_KIND, key) is not None:
            self._set_leaving(backend)
        backend.refused_until = self._refused_until.get(key, 0.0)

    def _start_refusal(
        self, backend: backends.Backend, retry_after: float
    ) -> None:
        """Keeps requests away for the time that a server asked for."""
        backend.refused_until = max(
            backend.refused_until,
            clock.make_deadline(min(retry_after, MAX_REFUSED_SECONDS)),
        )
        key = backends.hash_process(backend)
        self._refused_until[key] = backend.refused_until
        self._refused_until.move_to_end(key)
        if len(self._refused_until) > MAX_REFUSING_SERVERS:
            self._refused_until.popitem(last=False)
        logs.log_decision(
            'server asked for time',
            instance=backend.instance,
            seconds=retry_after,
        )

    def _read_leaving(self, bulletin: bulletins.Bulletin) -> None:
        backend = self._table.find_by_process_hash(bulletin.key)
        if backend is not None:
            self._set_leaving(backend)

    @staticmethod
    def _set_leaving(backend: backends.Backend) -> None:
        backend.is_leaving = backend.said_leaving = True
        logs.log_decision('server said it leaves', instance=backend.instance)

    def _publish_limit(
        self, backend: backends.Backend, rate_limit: float
    ) -> None:
        key = backends.hash_process(backend)
        known = self._board.get(LIMIT_KIND, key)
        if (
            known is None
            or known.value != (rate_limit,)
            or clock.now() - known.issued_at > REPUBLISH_SECONDS
        ):
            self._board.publish(
                LIMIT_KIND,
                key,
                (rate_limit,),
                backends.RATE_LIMIT_TTL_SECONDS,
            )

    def _read_limit(self, bulletin: bulletins.Bulletin) -> None:
        (rate_limit,) = bulletin.value
        backend = self._table.find_by_process_hash(bulletin.key)
        # The newest statement holds, wherever it was heard.
        if (
            backend is not None
            and bulletin.issued_at > backend.rate_limit_named_at
        ):
            self._set_limit(
                backend,
                None if rate_limit < 0 else float(rate_limit),
                bulletin.issued_at,
            )

    @staticmethod
    def _set_limit(
        backend: backends.Backend, rate_limit: float | None, named_at: float
    ) -> None:
        backend.rate_limit_named_at = named_at
        if backend.rate_limit != rate_limit:
            backend.rate_limit = rate_limit
            logs.log_decision(
                'server limit',
                instance=backend.instance,
                rate_limit=rate_limit,
                age=round(clock.now() - named_at, 3),
            )
