"""Transfer of soft state to a gateway that has just started.

Gateways tell each other by datagram, once, which sessions stay on the old
version of their service, and by gossip of crashes, limits and servers that
leave. A gateway that starts has heard none of that. Before it serves callers
it asks another gateway for what is still valid. It asks once more when the
others list it, since what they announced in between did not reach it, and
after it was frozen.

A response is a MessagePack array of three items: whether the sender itself
knows the state, sessions on the old version as pairs of their hash and the
milliseconds for which they are kept, and datagrams with bulletins.
"""

import anyio
from anyio import lowlevel
import msgpack

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import bulletins
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import version_moves
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client

PATH = '/state'
PART = 'state transfer'
# Gateways of the own region, and of any region, that are asked in one round.
MAX_PEERS_PER_ROUND = 2
# Time limit for one response, and for a body that is still arriving.
RESPONSE_TIMEOUT_SECONDS = 0.3
BODY_TIMEOUT_SECONDS = 1.0
# Pause between two rounds while no gateway knows the state.
MIN_RETRY_DELAY_SECONDS = 0.1
MAX_RETRY_DELAY_SECONDS = 3.0
# Time until the other gateways have read the membership entry of this one.
LISTING_SECONDS = 2.0
LISTING_POLL_SECONDS = 0.25
# Sessions that are applied before other tasks get a turn.
SESSIONS_PER_TURN = 500
TRANSFERS = metrics.make_counter(
    'state_transfers', 'Requests for the state of a gateway.', 'result'
)


def decode_state(
    body: bytes,
) -> tuple[bool, list[tuple[int, float]], list[bytes]]:
    """Decodes the state of another gateway.

    Args:
        body: Body of the response.

    Returns:
        Whether the sender knows the state, hashes of sessions with the
        seconds for which they are kept, and datagrams with bulletins.

    Raises:
        ProtocolError: The response is malformed.
    """
    try:
        # Later versions may append items.
        is_complete, rows, datagrams, *_ = msgpack.unpackb(body)
        if len(rows) > version_moves.MAX_SESSIONS:
            raise ValueError(f'{len(rows)} sessions')
        sessions = [
            (int(session_hash), int(milliseconds) / 1000)
            for session_hash, milliseconds in rows
        ]
        if not all(isinstance(data, bytes) for data in datagrams):
            raise TypeError('a datagram is not bytes')
    except errors.MALFORMED_DOCUMENT_ERRORS as exc:
        raise errors.ProtocolError(f'malformed state: {exc!r}') from exc
    return is_complete is True, sessions, list(datagrams)


class StateTransfer:
    """Gives the state of this gateway to others, and takes theirs over.

    Args:
        members: The other gateways.
        moves: Version moves, which hold the sessions.
        board: Bulletins.
        client: HTTP client for requests to other gateways.

    Attributes:
        is_complete: Whether this gateway knows what was announced before it
            started.
        has_asked: Event that is set once other gateways have been asked.
    """

    def __init__(
        self,
        members: gateway_membership.GatewayMembership,
        moves: version_moves.VersionMoves,
        board: bulletins.BulletinBoard,
        client: http_client.Client,
    ):
        self._members = members
        self._moves = moves
        self._board = board
        self._client = client
        self._requested = anyio.Event()
        self.is_complete = False
        self.has_asked = anyio.Event()

    async def handle(
        self,
        request: caller_connections.RawRequest,
        reply: caller_connections.ResponseWriter,
    ) -> None:
        """Responds to a gateway that asks for the state.

        Args:
            request: The request, which has no arguments.
            reply: Sends the response.
        """
        rows = [
            (session_hash, int(1000 * seconds))
            for session_hash, seconds in self._moves.list_old_sessions()
        ]
        body = msgpack.packb([self.is_complete, rows, self._board.export()])
        await reply.send_response(200, [], body)

    def request_again(self) -> None:
        """Schedules another transfer, after datagrams may have been lost."""
        self._requested.set()

    async def run(self, has_loaded: anyio.Event) -> None:
        """Takes over the state of other gateways until cancelled.

        Args:
            has_loaded: Event that is set once the other gateways are known.
        """
        await has_loaded.wait()
        if not self.is_complete:
            await self._take_over()
        while not self._members.is_listed:
            await anyio.sleep(LISTING_POLL_SECONDS)
        await anyio.sleep(LISTING_SECONDS)
        while True:
            self._requested = anyio.Event()
            await self._ask_peers()
            await self._requested.wait()

    async def _take_over(self) -> None:
        """Asks until a gateway knows the state.

        Sessions that began before this gateway started have ended after their
        time to live, or have been announced to it.
        """
        deadline = clock.make_deadline(version_moves.SESSION_TTL_SECONDS)
        delay = MIN_RETRY_DELAY_SECONDS
        while not await self._ask_peers():
            self.has_asked.set()
            if clock.has_passed(deadline):
                logs.log_decision('no gateway knew the state')
                break
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
        self.is_complete = True
        self.has_asked.set()

    async def _ask_peers(self) -> bool:
        """Returns whether one of some gateways knew the state."""
        names = self._members.sample_others(
            MAX_PEERS_PER_ROUND, self._members.region
        ) + self._members.sample_others(MAX_PEERS_PER_ROUND)
        for name in dict.fromkeys(names):
            with containment.contain(PART, gateway=name):
                if await self._ask(name):
                    return True
        return False

    async def _ask(self, name: str) -> bool:
        """Takes over the state of a gateway; returns whether it knew it."""
        peer = self._members.find_address(name)
        if peer is None:
            return False
        address, port = peer
        try:
            status, _, body = await self._client.call(
                'GET',
                f'http://{address}:{port}{PATH}',
                clock.make_deadline(RESPONSE_TIMEOUT_SECONDS),
                body_timeout=BODY_TIMEOUT_SECONDS,
            )
            if status != 200:
                raise errors.ProtocolError(
                    f'expected status 200, got {status}'
                )
            is_complete, sessions, datagrams = decode_state(body)
        except (errors.TransportError, errors.ProtocolError) as exc:
            TRANSFERS.labels('failed').inc()
            logs.log_decision('state not read', gateway=name, reason=str(exc))
            return False
        TRANSFERS.labels('complete' if is_complete else 'incomplete').inc()
        for number, (session_hash, seconds) in enumerate(sessions, 1):
            self._moves.keep_on_old_version(session_hash, seconds)
            if number % SESSIONS_PER_TURN == 0:
                await lowlevel.checkpoint()
        for data in datagrams:
            try:
                self._board.handle_datagram(data, peer)
            except errors.ProtocolError as exc:
                logs.LOG.warning('bulletins ignored: %s', exc)
            await lowlevel.checkpoint()
        logs.log_decision(
            'state taken over',
            gateway=name,
            complete=is_complete,
            sessions=len(sessions),
            datagrams=len(datagrams),
        )
        return is_complete
