"""Orders of an agent to its own engine, fenced and rate-limited."""

import json

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import leases
from chivejunction.transport import http_client
from chivejunction.transport import store_client

LEASE_SECONDS = 10
# Longest time from the check of the lease to the end of an order call. An
# engine that ignores fencing may carry out an order until then.
ORDER_SECONDS = 3.0
# Longest time for an engine to load a version after it took the order.
LOAD_SECONDS = 120.0
POLL_SECONDS = 0.5
CALL_SECONDS = 2.0


class FencedLock:
    """Right to give orders to one engine.

    The lock key is leased. The fencing number is kept without a lease and
    only rises, so that an engine can refuse the orders of a former holder.

    Args:
        store: Client of the store.
        host: Host of the engine.
        owner: Incarnation of the agent.
    """

    def __init__(self, store: store_client.StoreClient, host: str, owner: str):
        self.number = 0
        self._store = store
        self._host = host
        self._owner = owner
        self.lease = leases.Lease(store, LEASE_SECONDS)

    async def acquire(self) -> bool:
        """Takes the lock and a new fencing number.

        Returns:
            Whether the lock is held; False while another agent holds it.

        Raises:
            StoreError: The store cannot be used.
        """
        await self.lease.acquire()
        key = f'order-lock/{self._host}'
        if not await leases.create_key(
            self._store, key, self._owner.encode(), self.lease.id
        ):
            await self.lease.release()
            return False
        self.number = await self._raise_number()
        return True

    async def _raise_number(self) -> int:
        key = f'fence/{self._host}'
        while True:
            entry = await self._store.get(key)
            value = json.loads(entry.value) if entry else {'number': 0}
            if value.get('owner') == self._owner and (
                value['number'] > self.number
            ):
                # An earlier write whose answer was lost took effect.
                return value['number']
            number = value['number'] + 1
            if number <= self.number:
                raise errors.InvariantViolation(
                    'fencing', f'number fell from {self.number} to {number}'
                )
            data = json.dumps({'number': number, 'owner': self._owner})
            try:
                await self._store.swap(
                    key, data.encode(), entry.revision if entry else 0
                )
                return number
            except (errors.StoreConflict, errors.StoreResultUnknown):
                continue


class LoadPermit:
    """One of the permits that limit how many engines load at a time.

    Args:
        store: Client of the store.
        pool: Pool of the engine.
        count: Number of permits of the pool.
        owner: Incarnation of the agent.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        pool: str,
        count: int,
        owner: str,
    ):
        self._store = store
        self._pool = pool
        self._count = count
        self._owner = owner
        self.lease = leases.Lease(store, LEASE_SECONDS)

    async def acquire(self) -> bool:
        """Takes a free permit; returns False when all are taken.

        Raises:
            StoreError: The store cannot be used.
        """
        await self.lease.acquire()
        for number in range(self._count):
            if await leases.create_key(
                self._store,
                f'permits/{self._pool}/{number}',
                self._owner.encode(),
                self.lease.id,
            ):
                return True
        await self.lease.release()
        return False


class EngineOrders:
    """Gives orders to one engine and reads back what it holds.

    Args:
        client: HTTP client.
        url: Base URL of the engine.
    """

    def __init__(self, client: http_client.Client, url: str):
        self._client = client
        self._url = url.rstrip('/')

    async def read_versions(self) -> list[str]:
        """Returns the versions that the engine holds.

        Raises:
            OrderError: The engine did not answer.
        """
        try:
            status, value = await self._client.call_json(
                'GET', f'{self._url}/load', clock.make_deadline(CALL_SECONDS)
            )
        except errors.TransportError as exc:
            raise errors.OrderError(str(exc)) from exc
        if status != 200 or not isinstance(value, dict):
            raise errors.OrderError(f'engine answered {status} to /load')
        return list(value.get('versions') or [])

    async def send(self, order: str, version: str, lock: FencedLock) -> None:
        """Sends an order well inside the lease.

        Raises:
            LeaseExpired: The lease does not last for the order.
            OrderError: The engine refused the order or did not answer; it
                may still carry it out.
        """
        lock.lease.check(ORDER_SECONDS)
        deadline = clock.make_deadline(ORDER_SECONDS)
        try:
            status, value = await self._client.call_json(
                'POST',
                f'{self._url}/orders',
                deadline,
                {
                    'order': order,
                    'version': version,
                    'fencing': lock.number,
                },
            )
        except errors.TransportError as exc:
            raise errors.OrderError(str(exc)) from exc
        if status >= 400:
            raise errors.OrderError(
                f'engine refused {order} {version}: {status} {value}'
            )


class Orderer:
    """Brings one engine to the versions that it should hold.

    Args:
        store: Client of the store.
        engine: Orders to the engine.
        host: Host of the engine.
        pool: Pool of the engine.
        owner: Incarnation of the agent.
        get_wanted: Returns the versions that the engine should hold.
        get_permits: Returns the number of load permits of the pool.
        is_busy: Tells whether a version still has running work.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        engine: EngineOrders,
        host: str,
        pool: str,
        owner: str,
        get_wanted,
        get_permits,
        is_busy,
    ):
        self._store = store
        self._engine = engine
        self._host = host
        self._pool = pool
        self._owner = owner
        self._get_wanted = get_wanted
        self._get_permits = get_permits
        self._is_busy = is_busy

    async def run(self) -> None:
        """Compares and orders until cancelled."""
        while True:
            try:
                await self.reconcile()
            except (
                errors.StoreError,
                errors.OrderError,
                errors.LeaseExpired,
            ) as exc:
                logs.LOG.warning('orders to the engine wait: %s', exc)
            await anyio.sleep(clock.jitter(2 * POLL_SECONDS))

    def compare(self, held: list[str]) -> list[tuple[str, str]]:
        """Returns the orders that bring the engine to its versions."""
        wanted = self._get_wanted()
        loads = [('load', v) for v in wanted if v not in held]
        unloads = [
            ('unload', v)
            for v in held
            if v not in wanted and not self._is_busy(v)
        ]
        return unloads + loads

    async def reconcile(self) -> None:
        """Sends the orders that are due, one at a time.

        Raises:
            StoreError: The store cannot be used; nothing is ordered.
            OrderError: The engine refused or did not answer.
            LeaseExpired: The lease ran out; the next round takes a new one.
        """
        if not self.compare(await self._engine.read_versions()):
            return
        lock = FencedLock(self._store, self._host, self._owner)
        if not await lock.acquire():
            return
        async with anyio.create_task_group() as group:
            group.start_soon(lock.lease.keep)
            try:
                # The engine is read again: the former holder of the lock
                # may have ordered something meanwhile.
                held = await self._engine.read_versions()
                for order, version in self.compare(held):
                    await self._carry_out(order, version, lock)
            finally:
                group.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await lock.lease.release()

    async def _carry_out(
        self, order: str, version: str, lock: FencedLock
    ) -> None:
        if order == 'unload':
            await self._engine.send(order, version, lock)
            self._log(order, version, lock)
            return
        permit = LoadPermit(
            self._store, self._pool, self._get_permits(), self._owner
        )
        if not await permit.acquire():
            return
        async with anyio.create_task_group() as group:
            group.start_soon(permit.lease.keep)
            try:
                await self._engine.send(order, version, lock)
                self._log(order, version, lock)
                await self._wait_loaded(version)
            finally:
                group.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await permit.lease.release()

    def _log(self, order: str, version: str, lock: FencedLock) -> None:
        logs.log_decision(
            'placement',
            order=order,
            version=version,
            pool=self._pool,
            fencing=lock.number,
        )

    async def _wait_loaded(self, version: str) -> None:
        deadline = clock.make_deadline(LOAD_SECONDS)
        while version not in await self._engine.read_versions():
            if clock.has_passed(deadline):
                raise errors.OrderError(
                    f'{version} is not loaded after {LOAD_SECONDS:.0f} s'
                )
            await anyio.sleep(POLL_SECONDS)
