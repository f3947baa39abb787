"""Changes of the store, passed on from gateway to gateway.

Calls to the store are priced, and a gateway may lose its way to the store
while others keep theirs. In each region a few gateways follow the store
itself; the others follow one of these, and turn to another one or to the
store when it fails. What is passed on carries its age, so that a proof that
the configuration is the newest one stays true over any number of steps.
"""

from collections.abc import Callable
from urllib import parse
import zlib

import anyio
import msgpack

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import members
from chivejunction.coordination import mirrors
from chivejunction.state import freshness
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import stores

PATH = '/changes'
# Longest wait of a gateway that follows another one.
RELAY_SECONDS = 0.7
# Longest wait at the store of a gateway that others follow: its word on the
# newest configuration is theirs too.
DIRECT_SECONDS = 0.8
# A relay within the region answers within some milliseconds; one that takes
# longer is busy, frozen or gone.
PATIENCE_SECONDS = 0.5
# Time for an answer that keeps coming over a slow link.
BODY_SECONDS = 2.0
# Longer answers are compressed; a configuration shrinks to a tenth, which
# counts on links of 10 Mbit/s.
COMPRESSED_BYTES = 4000
COMPRESSION_LEVEL = 1
# Age beyond which a relay is taken to have lost the store. Twice the wait at
# the store and a store that takes 0.3 s for an answer stay below it.
MAX_AGE_SECONDS = 2.0
# A relay that did not answer, or the store, is passed over for this long.
AVOID_SECONDS = 3.0
# Relays that are asked before the store is, and other gateways after it.
MAX_TRIES = 2
# Wait at the next source after one has failed; the proof ages meanwhile.
SHORT_SECONDS = 0.05
# First byte of zlib's format; a packed list of five begins otherwise.
ZLIB_MARK = b'\x78'
# Age told by a gateway that has no proof at all.
NO_PROOF_SECONDS = 1e6
POLLS = metrics.make_counter(
    'relay_polls', 'Polls for changes by source and result.', 'source'
)


class RelayServer:
    """Passes changes on to gateways that follow this one.

    Args:
        mirror: Copy of the store.
        proof: Age of the configuration.
        is_leaving: Tells whether this gateway is about to end.
    """

    def __init__(
        self,
        mirror: mirrors.Mirror,
        proof: freshness.Freshness,
        is_leaving: Callable[[], bool],
    ):
        self._mirror = mirror
        self._proof = proof
        self._is_leaving = is_leaving

    async def handle(
        self,
        raw: caller_connections.RawRequest,
        reply: caller_connections.Reply,
    ) -> None:
        """Answers one poll."""
        target = parse.urlsplit(raw.target)
        try:
            query = dict(parse.parse_qsl(target.query))
            after, wait = int(query['after']), int(query['wait_ms']) / 1000
        except (KeyError, ValueError) as exc:
            logs.LOG.warning('poll of a gateway is not valid: %r', exc)
            await reply.answer(400, [], b'after and wait_ms are needed')
            return
        if target.path != PATH:
            await reply.answer(404, [], b'')
            return
        if self._is_leaving():
            await reply.answer(503, [], b'')
            return
        started = freshness.read_clock()
        with anyio.move_on_after(min(wait, RELAY_SECONDS)):
            while self._mirror.log.revision <= after:
                await self._mirror.changed.wait()
        waited = freshness.read_clock() - started
        changes = self._mirror.log.list_after(after)
        body = msgpack.packb(
            [
                self._mirror.log.revision,
                round(waited, 4),
                round(min(self._proof.age, NO_PROOF_SECONDS), 4),
                self._mirror.is_recovering(),
                None if changes is None else [_pack(c) for c in changes],
            ]
        )
        if len(body) > COMPRESSED_BYTES:
            body = zlib.compress(body, COMPRESSION_LEVEL)
        await reply.answer(200, [], body)


def _pack(change: stores.Change) -> list:
    if change.entry is None:
        return [change.key, change.revision]
    entry = change.entry
    return [change.key, change.revision, entry.value, entry.lease]


def _unpack(row: list) -> stores.Change:
    key, revision = str(row[0]), int(row[1])
    if len(row) == 2:
        return stores.Change(key, revision, None)
    _, _, value, lease = row
    return stores.Change(
        key,
        revision,
        stores.Entry(key, bytes(value), revision, int(lease)),
    )


def read_poll(body: bytes) -> stores.Poll | None:
    """Returns the answer of a relay, None if it has forgotten changes.

    Raises:
        ProtocolError: The answer is not valid.
    """
    try:
        if body[:1] == ZLIB_MARK:
            body = zlib.decompress(body)
        after, waited, age, was_away, rows = msgpack.unpackb(body)
        if rows is None:
            return None
        return stores.Poll(
            [_unpack(row) for row in rows],
            int(after),
            waited=float(waited),
            age=float(age),
            was_away=bool(was_away),
            is_priced=False,
        )
    except (ValueError, TypeError, IndexError, zlib.error) as exc:
        raise errors.ProtocolError(
            f'answer of a relay is not valid: {exc}'
        ) from exc


class RelayedFeed(stores.ChangeFeed):
    """Follows the store through another gateway where one does so already.

    Args:
        store: The store's own feed.
        peers: The gateways.
        client: HTTP client for calls to other gateways.
    """

    def __init__(
        self,
        store: stores.ChangeFeed,
        peers: members.Members,
        client: http_client.Client,
    ):
        self._store = store
        self._peers = peers
        self._client = client
        self._avoided: dict[str, float] = {}
        self._store_avoided_until = 0.0

    async def read_all(self, prefix: str) -> tuple[list[stores.Entry], int]:
        """Returns the entries of a prefix and the revision to follow from."""
        return await self._store.read_all(prefix)

    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        patience: float = stores.PATIENCE_SECONDS,
    ) -> stores.Poll:
        """Waits for changes after a revision."""
        is_direct = self._peers.is_direct()
        if is_direct and clock.has_passed(self._store_avoided_until):
            if self._peers.count_followers():
                seconds = min(seconds, DIRECT_SECONDS)
            try:
                return await self._poll_store(prefix, after, seconds, patience)
            except errors.HistoryLost:
                raise
            except errors.StoreError as exc:
                self._store_avoided_until = clock.make_deadline(AVOID_SECONDS)
                logs.LOG.info('store passed over for others: %s', exc)
            seconds = SHORT_SECONDS
        for name in self._list_relays()[:MAX_TRIES]:
            found = await self._poll_relay(name, after, seconds)
            if found is not None:
                return found
            seconds = SHORT_SECONDS
        try:
            return await self._poll_store(prefix, after, seconds, patience)
        except errors.HistoryLost:
            raise
        except errors.StoreError:
            # Some other gateway may have a way to the store of its own.
            for name in self._peers.sample_others(MAX_TRIES):
                found = await self._poll_relay(name, after, SHORT_SECONDS)
                if found is not None:
                    return found
            raise

    async def _poll_store(self, prefix, after, seconds, patience):
        POLLS.labels('store').inc()
        found = await self._store.poll_changes(
            prefix, after, seconds, patience
        )
        self._store_avoided_until = 0.0
        return found

    def _list_relays(self) -> list[str]:
        """Returns the gateways to follow, the preferred one first."""
        found = self._peers.list_direct()
        return [
            name
            for name in rendezvous.rank_hosts(self._peers.name, found)
            if clock.has_passed(self._avoided.get(name, 0.0))
        ]

    async def _poll_relay(self, name, after, seconds) -> stores.Poll | None:
        """Asks another gateway; returns None if it is of no use."""
        seconds = min(seconds, RELAY_SECONDS)
        address, port = self._peers.get_address(name)
        url = (
            f'http://{address}:{port}{PATH}?after={after}'
            f'&wait_ms={int(1000 * seconds)}'
        )
        deadline = clock.make_deadline(seconds + PATIENCE_SECONDS)
        try:
            status, _, body = await self._client.call(
                'GET', url, deadline, body_seconds=BODY_SECONDS
            )
            if status != 200:
                raise errors.ProtocolError(f'relay answered {status}')
            found = read_poll(body)
        except (errors.TransportError, errors.ProtocolError) as exc:
            self._avoided[name] = clock.make_deadline(AVOID_SECONDS)
            logs.log_decision('relay passed over', relay=name, reason=str(exc))
            return None
        if found is None or found.age > MAX_AGE_SECONDS:
            logs.log_decision(
                'relay has lost the store',
                relay=name,
                age=None if found is None else found.age,
            )
            return None
        POLLS.labels('relay').inc()
        return found
