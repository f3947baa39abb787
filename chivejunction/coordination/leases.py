"""Leases of the store, held against the local clock."""

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.transport import store_client

# Share of the lease time after which it is renewed.
RENEW_SHARE = 1 / 3


class Lease:
    """A lease whose end is judged by the local monotonic clock.

    The deadline is counted from before a request was sent, so it never lies
    after the one in the store. A holder that was paused finds the deadline
    passed when it goes on.

    Args:
        store: Client of the store.
        ttl: Time to live in whole seconds.
    """

    def __init__(self, store: store_client.StoreClient, ttl: int):
        self.id = 0
        self._store = store
        self._ttl = ttl
        self._deadline = 0.0

    def remaining(self) -> float:
        """Returns the seconds left, 0 after the end."""
        return clock.remaining(self._deadline) if self.id else 0.0

    def check(self, needed: float) -> None:
        """Checks that the lease lasts long enough.

        Args:
            needed: Seconds that the protected work may take.

        Raises:
            LeaseExpired: Less time than needed is left.
        """
        if self.remaining() < needed:
            raise errors.LeaseExpired(
                f'{self.remaining():.1f} s of the lease are left, '
                f'{needed:.1f} s are needed'
            )

    async def acquire(self) -> None:
        """Takes a new lease.

        Raises:
            StoreError: The store did not grant it.
        """
        sent = clock.now()
        self.id = await self._store.grant_lease(self._ttl)
        self._deadline = sent + self._ttl

    async def renew(self) -> None:
        """Renews the lease once.

        Raises:
            LeaseExpired: The store no longer knows the lease.
            StoreError: The store did not answer.
        """
        sent = clock.now()
        left = await self._store.keep_alive(self.id)
        if left <= 0:
            self.id = 0
            raise errors.LeaseExpired('the store no longer knows the lease')
        self._deadline = sent + min(left, self._ttl)

    async def keep(self) -> None:
        """Renews the lease until cancelled or expired."""
        while self.remaining() > 0:
            await anyio.sleep(self._ttl * RENEW_SHARE)
            try:
                await self.renew()
            except errors.LeaseExpired as exc:
                logs.LOG.warning('%s', exc)
                return
            except errors.StoreError as exc:
                logs.LOG.warning('lease is not renewed: %s', exc)

    async def release(self) -> None:
        """Ends the lease; its keys are removed at the latest by its time."""
        lease, self.id = self.id, 0
        if not lease:
            return
        try:
            await self._store.revoke_lease(lease)
        except errors.StoreError as exc:
            logs.LOG.info('lease ends by its time: %s', exc)


async def create_key(
    store: store_client.StoreClient, key: str, value: bytes, lease: int
) -> bool:
    """Creates a leased key if it is absent.

    Returns:
        Whether the key now holds this value; a lost answer is resolved by
        reading.

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
