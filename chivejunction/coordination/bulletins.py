"""Replication of short notices among all gateways, without the store.

A bulletin is a small record that all gateways must act on within seconds, for
example that a server crashed. Each gateway repeats what is new to it to
random others for a few rounds, and everything that is still valid to random
others from time to time. So a bulletin reaches hundreds of gateways in about a
second, and one that was lost, or a gateway that joins later, is caught up
with. Of two bulletins with the same key, the one that was issued later holds.

On the wire a datagram is a MessagePack array of the sender's name and the
bulletins, each an array of kind, key, value, age and remaining validity, both
in milliseconds. Ages are sent because clocks of hosts differ.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

import anyio
import msgpack

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import metrics
from chivejunction.coordination import gateway_membership
from chivejunction.transport import datagrams

ROUND_SECONDS = 0.25
# A bulletin is repeated in each round for this time after it was heard.
NEW_SECONDS = 1.5
NEW_FANOUT = 3
# Interval and fan-out for bulletins that are not new.
REPEAT_SECONDS = 1.0
REPEAT_FANOUT = 2
# The age of a bulletin grows by delays that it does not show. A difference
# below this does not make one of two bulletins the later one.
AGE_TOLERANCE_SECONDS = 0.25
MAX_VALIDITY_SECONDS = 900.0
MAX_BULLETINS_PER_KIND = 768
MAX_DATAGRAM_BYTES = 1200
# Datagrams of one round to one gateway; the rest follows in later rounds.
MAX_DATAGRAMS_PER_ROUND = 4
MAX_VALUE_ITEMS = 16
# Gateways that sent a bulletin are among the receivers for this time, even if
# the membership list lacks them because the store was away.
HEARD_PEER_TTL_SECONDS = 30.0
MAX_HEARD_PEERS = 512
# First byte of a MessagePack array of two items. Load hints have four.
FIRST_BYTE = b'\x92'
PART = 'bulletins'
RECEIVED = metrics.make_counter(
    'bulletins_received', 'Bulletins that were new to this gateway.', 'kind'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Bulletin:
    """A notice for all gateways.

    Attributes:
        kind: Kind of the notice.
        key: Identifies its subject within the kind.
        value: Its content, numbers.
        issued_at: Monotonic time at which it was issued.
        expires_at: Monotonic time until which it is valid.
        heard_at: Monotonic time at which this gateway first had it.
    """

    kind: str
    key: int
    value: tuple[int | float, ...]
    issued_at: float
    expires_at: float
    heard_at: float


def _encode(bulletin: Bulletin) -> bytes:
    now = clock.now()
    return msgpack.packb(
        [
            bulletin.kind,
            bulletin.key,
            bulletin.value,
            int(1000 * (now - bulletin.issued_at)),
            int(1000 * (bulletin.expires_at - now)),
        ]
    )


def _decode(row: list) -> Bulletin:
    now = clock.now()
    kind, key, value, age_ms, left_ms = row
    value = tuple(value)
    if (
        not isinstance(kind, str)
        or not isinstance(key, int)
        or not all(isinstance(item, int | float) for item in value)
    ):
        raise TypeError(f'a bulletin of {kind!r} has fields of other types')
    if not all(math.isfinite(item) for item in value):
        raise ValueError('a value is not finite')
    if len(value) > MAX_VALUE_ITEMS:
        raise ValueError(f'over {MAX_VALUE_ITEMS} items')
    age, left = float(age_ms) / 1000, float(left_ms) / 1000
    if not (0 <= age <= MAX_VALIDITY_SECONDS and left <= MAX_VALIDITY_SECONDS):
        raise ValueError('age or validity is out of range')
    return Bulletin(kind, key, value, now - age, now + left, now)


class BulletinBoard:
    """Holds the valid bulletins and exchanges them with other gateways.

    Args:
        name: Name of this gateway.
        members: The other gateways.
    """

    def __init__(
        self, name: str, members: gateway_membership.GatewayMembership
    ):
        self._name = name
        self._members = members
        self._bulletins: dict[str, collections.OrderedDict[int, Bulletin]] = {}
        self._listeners: dict[str, Callable[[Bulletin], None]] = {}
        self._heard_peers: collections.OrderedDict[tuple[str, int], float] = (
            collections.OrderedDict()
        )
        self._repeat_at = 0.0
        self._changed = anyio.Event()

    def listen(self, kind: str, listener: Callable[[Bulletin], None]) -> None:
        """Sets the function that is called with each new bulletin.

        It may raise MALFORMED_DOCUMENT_ERRORS for a malformed value.
        """
        self._listeners[kind] = listener
        self._bulletins[kind] = collections.OrderedDict()

    def publish(
        self,
        kind: str,
        key: int,
        value: tuple[int | float, ...],
        seconds: float,
    ) -> None:
        """Issues a bulletin; this gateway's own listener is not called.

        Args:
            kind: Kind with a listener.
            key: Identifies the subject.
            value: Content.
            seconds: Time in seconds for which it is valid.
        """
        now = clock.now()
        self._store(Bulletin(kind, key, value, now, now + seconds, now))
        self._changed.set()

    def get(self, kind: str, key: int) -> Bulletin | None:
        """Returns the valid bulletin with a key, or None."""
        bulletin = self._bulletins[kind].get(key)
        if bulletin is None or clock.has_passed(bulletin.expires_at):
            return None
        return bulletin

    def _store(self, bulletin: Bulletin) -> None:
        known = self._bulletins[bulletin.kind]
        known[bulletin.key] = bulletin
        known.move_to_end(bulletin.key)
        while len(known) > MAX_BULLETINS_PER_KIND:
            known.popitem(last=False)

    def handle_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        """Applies the bulletins of another gateway.

        Args:
            data: The datagram.
            sender: Address and port of the sender.

        Raises:
            ProtocolError: The datagram is malformed, or a bulletin is; the
                others have been applied then.
        """
        try:
            name, rows = msgpack.unpackb(data)
            if not isinstance(name, str) or not isinstance(rows, list):
                raise TypeError('name or rows have another type')
        except errors.MALFORMED_DOCUMENT_ERRORS as exc:
            raise errors.ProtocolError(f'malformed bulletins: {exc}') from exc
        if name == self._name:
            return
        self._heard_peers[sender] = clock.now()
        self._heard_peers.move_to_end(sender)
        if len(self._heard_peers) > MAX_HEARD_PEERS:
            self._heard_peers.popitem(last=False)
        error = None
        for row in rows:
            try:
                self._apply(_decode(row))
            except errors.MALFORMED_DOCUMENT_ERRORS as exc:
                error = error or exc
            except Exception as exc:
                containment.record_error(PART, exc)
        if error is not None:
            raise errors.ProtocolError(
                f'malformed bulletin: {error!r}'
            ) from error

    def _apply(self, bulletin: Bulletin) -> None:
        known = self._bulletins.get(bulletin.kind)
        if known is None or clock.has_passed(bulletin.expires_at):
            return
        current = known.get(bulletin.key)
        if (
            current is not None
            and bulletin.issued_at <= current.issued_at + AGE_TOLERANCE_SECONDS
        ):
            return
        self._listeners[bulletin.kind](bulletin)
        self._store(bulletin)
        RECEIVED.labels(bulletin.kind).inc()
        self._changed.set()

    def export(self) -> list[bytes]:
        """Returns datagrams with all valid bulletins, the newest first."""
        valid = self._list_valid()
        valid.sort(key=lambda bulletin: bulletin.issued_at, reverse=True)
        return self._pack(valid)

    def _list_valid(self) -> list[Bulletin]:
        """Returns the valid bulletins, and removes the others."""
        now = clock.now()
        valid = []
        for known in self._bulletins.values():
            for key, bulletin in list(known.items()):
                if bulletin.expires_at <= now:
                    del known[key]
                else:
                    valid.append(bulletin)
        return valid

    async def run(self, sender: datagrams.DatagramSender) -> None:
        """Sends bulletins to other gateways until cancelled."""
        while True:
            # Without bulletins there is nothing to repeat.
            is_empty = not any(self._bulletins.values())
            with anyio.move_on_after(math.inf if is_empty else ROUND_SECONDS):
                await self._changed.wait()
            self._changed = anyio.Event()
            with containment.contain(PART):
                await self._send_round(sender)
            await anyio.sleep(ROUND_SECONDS / 2)

    async def _send_round(self, sender) -> None:
        now = clock.now()
        valid = self._list_valid()
        new = [b for b in valid if b.heard_at > now - NEW_SECONDS]
        if new:
            new.sort(key=lambda b: b.heard_at, reverse=True)
            await self._send(sender, new, NEW_FANOUT, MAX_DATAGRAMS_PER_ROUND)
        if valid and now >= self._repeat_at:
            self._repeat_at = clock.make_deadline(clock.jitter(REPEAT_SECONDS))
            random.shuffle(valid)
            await self._send(sender, valid, REPEAT_FANOUT, 1)

    async def _send(
        self,
        sender: datagrams.DatagramSender,
        bulletins: list[Bulletin],
        fanout: int,
        max_datagrams: int,
    ) -> None:
        packed = self._pack(bulletins, max_datagrams)
        for address in self._sample_peers(fanout):
            with containment.contain(PART, address=str(address)):
                for data in packed:
                    await sender.send(data, address)

    def _pack(
        self, bulletins: list[Bulletin], max_datagrams: float = math.inf
    ) -> list[bytes]:
        """Returns datagrams with the first bulletins, in their order."""
        header = FIRST_BYTE + msgpack.packb(self._name)
        packed, rows, size = [], [], 0
        for bulletin in bulletins:
            try:
                row = _encode(bulletin)
            except Exception as exc:
                containment.record_error(PART, exc, kind=bulletin.kind)
                self._bulletins[bulletin.kind].pop(bulletin.key, None)
                continue
            # An array header has at most 3 bytes.
            if rows and len(header) + 3 + size + len(row) > MAX_DATAGRAM_BYTES:
                packed.append(self._join(header, rows))
                rows, size = [], 0
                if len(packed) == max_datagrams:
                    return packed
            rows.append(row)
            size += len(row)
        if rows:
            packed.append(self._join(header, rows))
        return packed

    @staticmethod
    def _join(header: bytes, rows: list[bytes]) -> bytes:
        packer = msgpack.Packer()
        return header + packer.pack_array_header(len(rows)) + b''.join(rows)

    def _sample_peers(self, count: int) -> list[tuple[str, int]]:
        names = self._members.sample_others(count)
        addresses = {self._members.find_address(name) for name in names}
        addresses.discard(None)
        if len(addresses) < count:
            since = clock.now() - HEARD_PEER_TTL_SECONDS
            heard = [a for a, at in self._heard_peers.items() if at > since]
            random.shuffle(heard)
            addresses.update(heard[: count - len(addresses)])
        return list(addresses)
