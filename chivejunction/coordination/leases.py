"""Leases of the metadata store, checked against the local clock."""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.transport import store_client

# Fraction of the time to live after which a lease is renewed.
RENEWAL_FRACTION = 1 / 3


class Lease:
    """A lease whose expiry is determined by the local monotonic clock.

    The deadline is counted from before the request was sent, so it is never
    later than the one in the store. After a pause of the process the holder
    sees that the deadline has passed.

    Args:
        store: Client of the store.
        ttl: Time to live in seconds.
    """

    def __init__(self, store: store_client.StoreClient, ttl: int):
        self.id = 0
        self._store = store
        self._ttl = ttl
        self._deadline = 0.0

    def remaining(self) -> float:
        """Returns the seconds until the lease expires, 0 after that."""
        return clock.remaining(self._deadline) if self.id else 0.0

    def check(self, needed_seconds: float) -> None:
        """Checks that the lease lasts long enough.

        Args:
            needed_seconds: Longest time of the protected work.

        Raises:
            LeaseExpired: The lease expires too soon.
        """
        if self.remaining() < needed_seconds:
            raise errors.LeaseExpired(
                f'lease expires in {self.remaining():.1f} s, '
                f'at least {needed_seconds:.1f} s are needed'
            )

    async def acquire(self) -> None:
        """Acquires a new lease.

        Raises:
            StoreError: The store did not grant it.
        """
        sent_at = clock.now()
        self.id = await self._store.grant_lease(self._ttl)
        self._deadline = sent_at + self._ttl

    async def renew(self) -> None:
        """Renews the lease once.

        Raises:
            LeaseExpired: The store no longer knows the lease.
            StoreError: The store did not respond.
        """
        sent_at = clock.now()
        remaining_seconds = await self._store.keep_alive(self.id)
        if remaining_seconds <= 0:
            self.id = 0
            raise errors.LeaseExpired('the store no longer knows the lease')
        self._deadline = sent_at + min(remaining_seconds, self._ttl)

    async def keep_renewed(self) -> None:
        """Renews the lease periodically until cancelled or expired."""
        while self.remaining() > 0:
            await anyio.sleep(self._ttl * RENEWAL_FRACTION)
            try:
                await self.renew()
            except errors.LeaseExpired as exc:
                logs.LOG.warning('%s', exc)
                return
            except errors.StoreError as exc:
                logs.LOG.warning('cannot renew the lease: %s', exc)

    async def release(self) -> None:
        """Revokes the lease, which removes its keys.

        If the store does not respond, they are removed when it expires.
        """
        lease_id, self.id = self.id, 0
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except errors.StoreError as exc:
            logs.LOG.info('cannot revoke the lease, it will expire: %s', exc)


async def create_key(
    store: store_client.StoreClient, key: str, value: bytes, lease: int
) -> bool:
    """Creates a leased key if it is absent.

    Returns:
        Whether the key now holds this value. If the result of the write is
        unknown, it is determined by reading the key.

    Raises:
        StoreError: The store cannot be read.
    """
    try:
        await store.swap(key, value, 0, lease)
        return True
    except errors.StoreConflict:
        return False
    except errors.StoreResultUnknown:
        entry = await store.get(key)
        if entry is None:
            raise
        return entry.value == value and entry.lease == lease
