"""Idempotency keys of calls, recorded in the metadata store.

A gateway records the attempt under the key before it sends it, so that a
repeated call follows the recorded attempt instead of running again.
"""

import dataclasses
import hashlib
import json
import time
import urllib.parse

import pydantic

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import verdicts
from chivejunction.state import calls
from chivejunction.transport import store_client

# A record must outlive the retries of the caller. One lease covers many
# records: its time to live is longer by the rotation interval, so that even
# the last record created under it is kept for KEY_TTL_SECONDS.
KEY_TTL_SECONDS = 24 * 3600
LEASE_ROTATION_SECONDS = 3600.0
MAX_CLAIM_WRITES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Record of the attempt that an idempotency key stands for.

    Attributes:
        gateway: Name of the gateway that sent the attempt.
        attempt: Attempt id.
        agent: Name of the agent that the attempt was sent to.
        incarnation: Incarnation of that agent.
        hash: Hash of the request.
        until: Deadline of the attempt in seconds since the epoch. The agent
            keeps the attempt for 30 s longer, so the clocks of gateways may
            differ by up to 30 s.
        state: State of the attempt, always ``sent``.
    """

    gateway: str
    attempt: str
    agent: str
    incarnation: str
    hash: str
    until: pydantic.FiniteFloat
    state: str = 'sent'

    def encode(self) -> bytes:
        """Returns the value for the store."""
        return json.dumps(dataclasses.asdict(self)).encode()

    @property
    def is_within_deadline(self) -> bool:
        """Whether the deadline of the attempt has not passed yet.

        Until then the agent knows the attempt if it received it. Later it may
        have dropped the attempt, so that an unknown attempt may have run.
        """
        return time.time() < self.until


RECORDS = pydantic.TypeAdapter(Record)


def decode_record(value: bytes) -> Record:
    """Decodes a stored record.

    Raises:
        RefusalError: The value is not a record. An attempt may have run.
    """
    try:
        return RECORDS.validate_json(value, strict=True)
    except ValueError as exc:
        raise errors.RefusalError(
            'internal',
            'the record of the idempotency key is malformed',
            verdicts.Verdict.MAY_HAVE_RUN,
        ) from exc


def hash_request(call: calls.Call, body: bytes) -> str:
    """Returns a hash that differs between requests under the same key.

    Args:
        call: The call; service, method and path are part of the hash.
        body: Request body.
    """
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        digest.update(part.encode() + b'\0')
    digest.update(body)
    return digest.hexdigest()


class KeyStore:
    """Claims idempotency keys in the store.

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
            # If the response to a grant is lost, that lease stays unused and
            # expires.
            self._lease = await self._store.grant_lease(
                int(KEY_TTL_SECONDS + LEASE_ROTATION_SECONDS)
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
            The record stored under the key and its modification revision. If
            the call is a repeat, it is the record of the earlier attempt.

        Raises:
            RefusalError: The store is unavailable, or the key was used with
                another request; the attempt must not be sent.
        """
        organisation = urllib.parse.quote(call.organisation, safe='')
        name = urllib.parse.quote(call.key, safe='')
        key = f'idempotency/{organisation}/{name}'
        try:
            deadline = min(
                call.deadline, clock.make_deadline(MAX_CLAIM_WRITES * 2.0)
            )
            return await self._write_record(
                key, call, record, expected, deadline
            )
        except errors.StoreError as exc:
            self._lease_deadline = 0.0
            raise errors.RefusalError(
                'store_unavailable',
                'the idempotency key cannot be recorded at present',
            ) from exc

    async def _write_record(
        self, key, call, record: Record, expected: int, deadline: float
    ) -> tuple[Record, int]:
        last_error: errors.StoreError | None = None
        for _ in range(MAX_CLAIM_WRITES):
            if clock.has_passed(deadline):
                break
            try:
                lease = await self._get_lease()
                revision = await self._store.swap(
                    key, record.encode(), expected, lease
                )
                return record, revision
            except (errors.StoreConflict, errors.StoreResultUnknown) as exc:
                last_error = exc
            # Whether the write took effect is decided by the stored record.
            entry = await self._store.get(key)
            if entry is not None and entry.revision != expected:
                stored = decode_record(entry.value)
                if stored.hash != call.request_hash:
                    raise errors.RefusalError(
                        'key_reused',
                        'the idempotency key was used with another request',
                    )
                return stored, entry.revision
            if entry is None:
                expected = 0
        raise last_error or errors.StoreError(
            'the deadline passed before the idempotency key was claimed'
        )
