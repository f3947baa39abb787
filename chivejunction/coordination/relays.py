"""Relays of store changes between gateways.

Calls to the store are billed, and a gateway may lose its connection to the
store while others keep theirs. In each region a few gateways, the relays, poll
the store. The others poll one of the relays, and switch to another relay or to
the store when it fails. Each relayed response carries its age, so that the age
of a configuration is correct after any number of relays.
"""

from collections.abc import Callable
import math
from typing import Any
from urllib import parse
import zlib

import anyio
from anyio import lowlevel
import msgpack

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import gateway_membership
from chivejunction.coordination import mirrors
from chivejunction.state import freshness
from chivejunction.transport import caller_connections
from chivejunction.transport import http_client
from chivejunction.transport import stores

PATH = '/changes'
# Longest wait of a poll at a relay.
MAX_RELAY_POLL_SECONDS = 0.7
# Longest wait of a relay's poll at the store. It is short because the age of
# the relay's configuration adds to that of its followers.
MAX_STORE_POLL_SECONDS = 1.0
# A relay in the same region responds within some milliseconds. One that takes
# longer is overloaded, frozen or down.
RELAY_TIMEOUT_SECONDS = 0.5
# Further time for a response body that is still arriving on a slow link.
BODY_TIMEOUT_SECONDS = 2.0
# Larger responses are compressed. A configuration shrinks to a tenth, which
# matters on links of 10 Mbit/s.
COMPRESSION_THRESHOLD_BYTES = 4000
COMPRESSION_LEVEL = 1
COMPRESSION_BLOCK_BYTES = 256 * 1024
# A relay whose configuration is older has probably lost the store. The age
# stays below this with twice the wait at the store and a store that takes
# 0.3 s to respond.
MAX_RELAY_AGE_SECONDS = 2.4
# A relay or the store is not polled for this long after a failure.
FAILURE_BACKOFF_SECONDS = 3.0
# Relays that are tried before the store, and other gateways after it.
MAX_RELAY_ATTEMPTS = 2
# While the store fails, a gateway that is no relay polls it at this interval,
# in case only the relays have lost it. Less than the age that a configuration
# may reach, less the longest time between two confirmations.
FALLBACK_INTERVAL_SECONDS = 2.0
# Wait of a poll at the next source after one has failed. It is short because
# the configuration ages meanwhile.
FALLBACK_POLL_SECONDS = 0.05
# First byte of a zlib stream. A MessagePack array of five items starts with
# another byte.
ZLIB_FIRST_BYTE = b'\x78'
# A change log holds half of this at most.
MAX_DECOMPRESSED_BYTES = 32_000_000
MAX_REVISION = 2**63 - 1
# Age reported by a gateway whose configuration was never confirmed.
UNCONFIRMED_AGE_SECONDS = 1e6
POLLS = metrics.make_counter(
    'relay_polls', 'Polls for changes by source and result.', 'source'
)


class RelayServer:
    """Serves store changes to the gateways that poll this one.

    Args:
        mirror: Local copy of the store.
        config_freshness: Age of the local configuration.
        is_leaving: Returns whether this gateway is shutting down.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        config_freshness: freshness.Freshness,
        is_leaving: Callable[[], bool],
    ):
        self._mirror = mirror
        self._freshness = config_freshness
        self._is_leaving = is_leaving

    async def handle(
        self,
        request: caller_connections.RawRequest,
        reply: caller_connections.ResponseWriter,
    ) -> None:
        """Responds to one poll.

        Args:
            request: Request with ``after`` (a revision) and ``wait_ms``.
            reply: Sends the response.
        """
        try:
            target = parse.urlsplit(request.target)
            query = dict(parse.parse_qsl(target.query))
            after, wait = int(query['after']), int(query['wait_ms']) / 1000
        except errors.MALFORMED_DOCUMENT_ERRORS as exc:
            logs.LOG.warning('malformed poll from a gateway: %r', exc)
            await reply.send_response(400, [], b'after and wait_ms are needed')
            return
        if target.path != PATH:
            await reply.send_response(404, [], b'')
            return
        if self._is_leaving():
            await reply.send_response(503, [], b'')
            return
        started_at = freshness.read_boot_clock()
        with anyio.move_on_after(min(wait, MAX_RELAY_POLL_SECONDS)):
            while self._mirror.change_log.revision <= after:
                await self._mirror.changed.wait()
        waited_seconds = freshness.read_boot_clock() - started_at
        body = self._encode_poll(after, waited_seconds)
        if len(body) > COMPRESSION_THRESHOLD_BYTES:
            body = await _compress(body)
        await reply.send_response(200, [], body)

    def _encode_poll(self, after: int, waited_seconds: float) -> bytes:
        changes = self._mirror.change_log.list_after(after)
        head = [
            self._mirror.change_log.revision,
            round(waited_seconds, 4),
            round(min(self._freshness.age, UNCONFIRMED_AGE_SECONDS), 4),
            self._mirror.is_recovering(),
        ]
        if changes is not None:
            try:
                rows = [_encode_change(change) for change in changes]
                return msgpack.packb([*head, rows])
            except Exception as exc:
                containment.record_error('relay server', exc)
        # The follower asks another gateway or the store.
        return msgpack.packb([*head, None])


def _encode_change(change: stores.Change) -> list:
    if change.entry is None:
        return [change.key, change.revision]
    entry = change.entry
    return [change.key, change.revision, entry.value, entry.lease]


def _decode_revision(value: Any, most: int = MAX_REVISION) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError('a revision is not a whole number')
    if not 0 <= value <= most:
        raise ValueError(f'a revision is not from 0 to {most}')
    return value


def _decode_seconds(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError('a time is not a number')
    if not (math.isfinite(value) and value >= 0):
        raise ValueError('a time is negative or not finite')
    return float(value)


def _decode_change(row: list, after: int) -> stores.Change:
    # Later versions may append items.
    key, revision, *items = row
    if not isinstance(key, str):
        raise TypeError('a key is no text')
    revision = _decode_revision(revision, after)
    if not items:
        return stores.Change(key, revision, None)
    value, lease, *_ = items
    if not isinstance(value, bytes):
        # bytes() of a number would allocate that many bytes.
        raise TypeError(f'value of {key!r} is not bytes')
    return stores.Change(
        key,
        revision,
        stores.Entry(key, value, revision, _decode_revision(lease or 0)),
    )


async def _compress(body: bytes) -> bytes:
    """Compresses a response; other tasks get a turn after each block."""
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    blocks = []
    for start in range(0, len(body), COMPRESSION_BLOCK_BYTES):
        if start:
            await lowlevel.checkpoint()
        block = body[start : start + COMPRESSION_BLOCK_BYTES]
        blocks.append(compressor.compress(block))
    return b''.join([*blocks, compressor.flush()])


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError('compressed data are cut off or too long')
    return body


def decode_poll(body: bytes) -> stores.PollResult | None:
    """Decodes the response of a relay.

    A response with a change that cannot be read is rejected as a whole: its
    other changes come from another source, and no change is left out.

    Args:
        body: Body of the response.

    Returns:
        The poll, or None if the relay no longer has all changes after the
        requested revision.

    Raises:
        ProtocolError: The response is malformed.
    """
    try:
        if body[:1] == ZLIB_FIRST_BYTE:
            body = _decompress(body)
        items = msgpack.unpackb(body)
        if not isinstance(items, list):
            raise TypeError('no list')
        # Later versions may append items.
        after, waited_seconds, age, was_unavailable, rows, *_ = items
        if rows is None:
            return None
        if not isinstance(rows, list):
            raise TypeError('no list of changes')
        after = _decode_revision(after)
        return stores.PollResult(
            [_decode_change(row, after) for row in rows],
            after,
            waited_seconds=_decode_seconds(waited_seconds),
            age=_decode_seconds(age),
            was_unavailable=bool(was_unavailable),
            is_billable=False,
        )
    except (*errors.MALFORMED_DOCUMENT_ERRORS, zlib.error) as exc:
        raise errors.ProtocolError(
            f'malformed relay response: {exc!r}'
        ) from exc


class RelayedFeed(stores.ChangeFeed):
    """Change feed that polls the store directly or through a gateway.

    Args:
        store: Feed of the store itself.
        peers: Membership list of the gateways.
        client: HTTP client for polls of other gateways.
    """

    def __init__(
        self,
        store: stores.ChangeFeed,
        peers: gateway_membership.GatewayMembership,
        client: http_client.Client,
    ):
        self._store = store
        self._peers = peers
        self._client = client
        # Monotonic times until which failed sources are not polled.
        self._relay_backoff_until: dict[str, float] = {}
        self._store_backoff_until = 0.0
        self._fallback_poll_at = 0.0

    async def read_all(self, prefix: str) -> tuple[list[stores.Entry], int]:
        """Returns the entries of a prefix and the revision to follow from."""
        return await self._store.read_all(prefix)

    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        response_timeout: float = stores.RESPONSE_TIMEOUT_SECONDS,
    ) -> stores.PollResult:
        """Waits for changes after a revision, see ``stores.ChangeFeed``.

        Relays try the store first, then other relays; the others try the
        relays first. Both then try the store, and last some gateways of any
        region.
        """
        should_poll_store = self._peers.should_poll_store()
        if should_poll_store and clock.has_passed(self._store_backoff_until):
            if self._peers.count_followers():
                seconds = min(seconds, MAX_STORE_POLL_SECONDS)
            try:
                return await self._poll_store(
                    prefix, after, seconds, response_timeout
                )
            except errors.RevisionCompacted:
                raise
            except errors.StoreError as exc:
                self._store_backoff_until = clock.make_deadline(
                    FAILURE_BACKOFF_SECONDS
                )
                logs.LOG.info('store failed, polling relays instead: %s', exc)
            seconds = FALLBACK_POLL_SECONDS
        for name in self._list_available_relays()[:MAX_RELAY_ATTEMPTS]:
            poll = await self._poll_relay(name, after, seconds)
            if poll is not None:
                return poll
            seconds = FALLBACK_POLL_SECONDS
        error = errors.StoreError('relays have lost the store')
        if should_poll_store or clock.has_passed(self._fallback_poll_at):
            try:
                return await self._poll_store(
                    prefix, after, seconds, response_timeout
                )
            except errors.RevisionCompacted:
                raise
            except errors.StoreError as exc:
                error = exc
                self._fallback_poll_at = clock.make_deadline(
                    clock.jitter(FALLBACK_INTERVAL_SECONDS, 0.3)
                )
        # Other gateways may still have a connection to the store.
        for name in self._peers.sample_others(MAX_RELAY_ATTEMPTS):
            poll = await self._poll_relay(name, after, FALLBACK_POLL_SECONDS)
            if poll is not None:
                return poll
        raise error

    async def _poll_store(self, prefix, after, seconds, response_timeout):
        POLLS.labels('store').inc()
        try:
            poll = await self._store.poll_changes(
                prefix, after, seconds, response_timeout
            )
        except errors.StoreError:
            raise
        except Exception as exc:
            containment.record_error('store client', exc)
            raise errors.StoreError(f'unexpected error: {exc!r}') from exc
        self._store_backoff_until = self._fallback_poll_at = 0.0
        return poll

    def _list_available_relays(self) -> list[str]:
        """Returns the relays to poll in order of preference."""
        relays = self._peers.list_relays()
        return [
            name
            for name in rendezvous.rank_hosts(self._peers.name, relays)
            if clock.has_passed(self._relay_backoff_until.get(name, 0.0))
        ]

    async def _poll_relay(
        self, name, after, seconds
    ) -> stores.PollResult | None:
        """Polls another gateway.

        Args:
            name: Name of the gateway.
            after: Revision after which changes are requested.
            seconds: Longest wait.

        Returns:
            Its response, or None if it failed, is outdated or lacks changes.
        """
        seconds = min(seconds, MAX_RELAY_POLL_SECONDS)
        # The gateway may have left while another one was polled.
        peer_address = self._peers.find_address(name)
        if peer_address is None:
            return None
        address, port = peer_address
        url = (
            f'http://{address}:{port}{PATH}?after={after}'
            f'&wait_ms={int(1000 * seconds)}'
        )
        deadline = clock.make_deadline(seconds + RELAY_TIMEOUT_SECONDS)
        try:
            status, _, body = await self._client.call(
                'GET', url, deadline, body_timeout=BODY_TIMEOUT_SECONDS
            )
            if status != 200:
                raise errors.ProtocolError(
                    f'expected status 200 from the relay, got {status}'
                )
            poll = decode_poll(body)
        except (errors.TransportError, errors.ProtocolError) as exc:
            self._pass_over(name, str(exc))
            return None
        except Exception as exc:
            containment.record_error('relay client', exc, relay=name)
            self._pass_over(name, repr(exc))
            return None
        if poll is None or poll.age > MAX_RELAY_AGE_SECONDS:
            logs.log_decision(
                'relay has lost the store',
                relay=name,
                age=None if poll is None else poll.age,
            )
            return None
        POLLS.labels('relay').inc()
        return poll

    def _pass_over(self, name: str, reason: str) -> None:
        """Keeps a gateway that failed from being polled for a while."""
        backoff_until = {
            other: deadline
            for other, deadline in self._relay_backoff_until.items()
            if not clock.has_passed(deadline)
        }
        backoff_until[name] = clock.make_deadline(FAILURE_BACKOFF_SECONDS)
        self._relay_backoff_until = backoff_until
        logs.log_decision('relay passed over', relay=name, reason=reason)
