"""Idempotency keys: one record in the store for each keyed call."""

import dataclasses
import hashlib
import json
import time
import urllib.parse

from chivejunction import clock
from chivejunction import errors
from chivejunction.state import calls
from chivejunction.transport import store_client

# A record must outlive the callers' own retries. A lease that covers many
# records is renewed well before it is too short for a new one.
KEY_SECONDS = 24 * 3600
LEASE_ROTATION_SECONDS = 3600.0
CLAIM_TRIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What the store keeps for a key.

    ``until`` is the deadline of the attempt in seconds since the epoch. The
    agent keeps the attempt 30 s longer, so gateway clocks may differ by as
    much.
    """

    gateway: str
    attempt: str
    agent: str
    incarnation: str
    hash: str
    until: float
    state: str = 'sent'

    def encode(self) -> bytes:
        """Returns the value for the store."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @property
    def is_recent(self) -> bool:
        """Whether the agent still knows the attempt if it ever came.

        Later an agent that does not know the attempt proves nothing.
        """
        return time.time() < self.until


def decode_record(value: bytes) -> Record:
    """Returns the record of a stored value.

    Raises:
        RefusalError: The value is not a record.
    """
    try:
        return Record(**json.loads(value))
    except (TypeError, ValueError) as exc:
        raise errors.RefusalError(
            'internal', 'the record of the idempotency key is malformed'
        ) from exc


def hash_request(call: calls.Call, body: bytes) -> str:
    """Returns the hash that tells requests under one key apart."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(body)
    return digest.hexdigest()


class KeyStore:
    """Claims keys in the store.

    Args:
        store: Client of the key-value store.
        gateway: Name of this gateway.
    """

    def __init__(self, store: store_client.StoreClient, gateway: str):
        self._store = store
        self._gateway = gateway
        self._lease = 0
        self._lease_deadline = 0.0

    async def _get_lease(self) -> int:
        if clock.has_passed(self._lease_deadline):
            # A lease whose answer was lost is unused and expires by itself.
            self._lease = await self._store.grant_lease(
                int(KEY_SECONDS + LEASE_ROTATION_SECONDS)
            )
            self._lease_deadline = clock.make_deadline(LEASE_ROTATION_SECONDS)
        return self._lease

    def make_record(
        self, call: calls.Call, attempt: str, agent: str, incarnation: str
    ) -> Record:
        """Returns the record of an attempt that is about to be sent."""
        return Record(
            self._gateway,
            attempt,
            agent,
            incarnation,
            call.request_hash,
            time.time() + clock.remaining(call.deadline),
        )

    async def claim(
        self, call: calls.Call, record: Record, expected: int
    ) -> tuple[Record, int]:
        """Writes a record if the key is at the expected revision.

        Args:
            call: The call.
            record: Record of the attempt to be sent.
            expected: Modification revision of the record to replace, 0 to
                create it.

        Returns:
            The record that holds the key and its modification revision; it
            is another one when the call is a repeat.

        Raises:
            RefusalError: The store does not answer, or the key was used
                with another request; the attempt has not been sent.
        """
        organisation = urllib.parse.quote(call.organisation, safe='')
        name = urllib.parse.quote(call.key, safe='')
        key = f'idempotency/{organisation}/{name}'
        try:
            with_deadline = min(
                call.deadline, clock.make_deadline(CLAIM_TRIES * 2.0)
            )
            return await self._write(
                key, call, record, expected, with_deadline
            )
        except errors.StoreError as exc:
            self._lease_deadline = 0.0
            raise errors.RefusalError(
                'store_unavailable',
                'the idempotency key cannot be recorded at present',
            ) from exc

    async def _write(
        self, key, call, record: Record, expected: int, until: float
    ) -> tuple[Record, int]:
        failure: errors.StoreError | None = None
        for _ in range(CLAIM_TRIES):
            if clock.has_passed(until):
                break
            try:
                lease = await self._get_lease()
                revision = await self._store.swap(
                    key, record.encode(), expected, lease
                )
                return record, revision
            except (errors.StoreConflict, errors.StoreResultUnknown) as exc:
                failure = exc
            # The record in the store tells whether the write took effect.
            entry = await self._store.get(key)
            if entry is not None and entry.revision != expected:
                found = decode_record(entry.value)
                if found.hash != call.request_hash:
                    raise errors.RefusalError(
                        'key_reused',
                        'the idempotency key was used with another request',
                    )
                return found, entry.revision
            if entry is None:
                expected = 0
        raise failure or errors.StoreError('no time left')
