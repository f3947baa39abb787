"""Orders of an agent to load and unload model versions on its own engine.

Orders carry a fencing token, and permits limit the number of engines of a pool
that load at a time.
"""

import json

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import leases
from chivejunction.coordination import load_reports
from chivejunction.transport import http_client
from chivejunction.transport import store_client

LEASE_TTL_SECONDS = 10
# Longest time from the check of the lease to the end of an order call. An
# engine that ignores fencing tokens may carry out an order until then.
ORDER_TIMEOUT_SECONDS = 3.0
# Longest time for an engine to load a version after it accepted the order.
LOAD_TIMEOUT_SECONDS = 120.0
POLL_INTERVAL_SECONDS = 0.5
READ_TIMEOUT_SECONDS = 2.0


class FencedLock:
    """Exclusive lock on the orders to one engine.

    The lock key is leased. The fencing token is stored without a lease and
    only increases, so that an engine can refuse orders of a former holder.

    Args:
        store: Client of the store.
        host: Host of the engine.
        owner: Incarnation of the agent.
    """

    def __init__(self, store: store_client.StoreClient, host: str, owner: str):
        self.fencing_token = 0
        self._store = store
        self._host = host
        self._owner = owner
        self.lease = leases.Lease(store, LEASE_TTL_SECONDS)

    async def acquire(self) -> bool:
        """Acquires the lock and a new fencing token.

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
        self.fencing_token = await self._increment_token()
        return True

    async def _increment_token(self) -> int:
        key = f'fence/{self._host}'
        while True:
            entry = await self._store.get(key)
            value = json.loads(entry.value) if entry else {'number': 0}
            if value.get('owner') == self._owner and (
                value['number'] > self.fencing_token
            ):
                # An earlier write took effect, but its response was lost.
                return value['number']
            number = value['number'] + 1
            if number <= self.fencing_token:
                raise errors.InvariantViolation(
                    'fencing',
                    f'fencing token decreased from {self.fencing_token} '
                    f'to {number}',
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
    """One of the permits that limit how many engines of a pool load at a time.

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
        self.lease = leases.Lease(store, LEASE_TTL_SECONDS)

    async def acquire(self) -> bool:
        """Acquires a free permit.

        Returns:
            Whether a permit is held; False while all are in use.

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


class EngineClient:
    """Client for the orders to one engine and the versions loaded on it.

    Args:
        client: HTTP client.
        url: Base URL of the engine.
    """

    def __init__(self, client: http_client.Client, url: str):
        self._client = client
        self._url = url.rstrip('/')

    async def read_versions(self) -> list[str]:
        """Returns the versions that are loaded on the engine.

        Raises:
            OrderError: The engine did not respond with its load.
        """
        try:
            status, value = await self._client.call_json(
                'GET',
                f'{self._url}/load',
                clock.make_deadline(READ_TIMEOUT_SECONDS),
            )
        except errors.TransportError as exc:
            raise errors.OrderError(str(exc)) from exc
        if status != 200 or not isinstance(value, dict):
            raise errors.OrderError(
                'expected status 200 and a JSON object from /load, '
                f'got status {status}'
            )
        return load_reports.parse_versions(value.get('versions')) or []

    async def send(self, order: str, version: str, lock: FencedLock) -> None:
        """Sends an order if the lease lasts for ORDER_TIMEOUT_SECONDS.

        Args:
            order: ``load`` or ``unload``.
            version: The model version.
            lock: Lock on the orders to the engine.

        Raises:
            LeaseExpired: The lease expires too soon; nothing was sent.
            OrderError: The engine refused the order or did not respond, in
                which case it may still carry it out.
        """
        lock.lease.check(ORDER_TIMEOUT_SECONDS)
        deadline = clock.make_deadline(ORDER_TIMEOUT_SECONDS)
        try:
            status, value = await self._client.call_json(
                'POST',
                f'{self._url}/orders',
                deadline,
                {
                    'order': order,
                    'version': version,
                    'fencing': lock.fencing_token,
                },
            )
        except errors.TransportError as exc:
            raise errors.OrderError(str(exc)) from exc
        if status >= 400:
            raise errors.OrderError(
                f'engine refused to {order} {version} with status {status}: '
                f'{value}'
            )


class VersionReconciler:
    """Loads and unloads versions until one engine holds the target versions.

    Args:
        store: Client of the store.
        engine: Client of the engine.
        host: Host of the engine.
        pool: Pool of the engine.
        owner: Incarnation of the agent.
        get_target_versions: Returns the versions that the engine should hold,
            in the order in which to load them.
        get_permits: Returns the number of load permits of the pool.
        is_busy: Returns whether attempts of a version are still running.
    """

    def __init__(
        self,
        store: store_client.StoreClient,
        engine: EngineClient,
        host: str,
        pool: str,
        owner: str,
        get_target_versions,
        get_permits,
        is_busy,
    ):
        self._store = store
        self._engine = engine
        self._host = host
        self._pool = pool
        self._owner = owner
        self._get_target_versions = get_target_versions
        self._get_permits = get_permits
        self._is_busy = is_busy

    async def run(self) -> None:
        """Reconciles the engine periodically until cancelled."""
        while True:
            try:
                await self.reconcile()
            except (
                errors.StoreError,
                errors.OrderError,
                errors.LeaseExpired,
            ) as exc:
                logs.LOG.warning('orders to the engine are delayed: %s', exc)
            await anyio.sleep(clock.jitter(2 * POLL_INTERVAL_SECONDS))

    def plan_orders(self, loaded_versions: list[str]) -> list[tuple[str, str]]:
        """Returns the orders that are due, unloads first.

        Args:
            loaded_versions: Versions that are loaded on the engine.

        Returns:
            Pairs of order and version.
        """
        target_versions = self._get_target_versions()
        loads = [
            ('load', v) for v in target_versions if v not in loaded_versions
        ]
        unloads = [
            ('unload', v)
            for v in loaded_versions
            if v not in target_versions and not self._is_busy(v)
        ]
        return unloads + loads

    async def reconcile(self) -> None:
        """Sends the orders that are due, one at a time.

        Raises:
            StoreError: The store cannot be used; nothing is ordered.
            OrderError: The engine refused an order or did not respond.
            LeaseExpired: The lease expired; the next call acquires a new one.
        """
        if not self.plan_orders(await self._engine.read_versions()):
            return
        lock = FencedLock(self._store, self._host, self._owner)
        if not await lock.acquire():
            return
        async with anyio.create_task_group() as group:
            group.start_soon(lock.lease.keep_renewed)
            try:
                # The versions are read again, since the former holder of
                # the lock may have sent orders in the meantime.
                loaded_versions = await self._engine.read_versions()
                for order, version in self.plan_orders(loaded_versions):
                    await self._execute_order(order, version, lock)
            finally:
                group.cancel_scope.cancel()
                with anyio.CancelScope(shield=True):
                    await lock.lease.release()

    async def _execute_order(
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
            group.start_soon(permit.lease.keep_renewed)
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
            fencing=lock.fencing_token,
        )

    async def _wait_loaded(self, version: str) -> None:
        deadline = clock.make_deadline(LOAD_TIMEOUT_SECONDS)
        while version not in await self._engine.read_versions():
            if clock.has_passed(deadline):
                raise errors.OrderError(
                    f'{version} is not loaded after '
                    f'{LOAD_TIMEOUT_SECONDS:.0f} s'
                )
            await anyio.sleep(POLL_INTERVAL_SECONDS)
