"""In-memory store as a test double of the key-value store."""

import functools

import anyio

from chivejunction import errors
from chivejunction.transport import stores


class MemoryStore:
    """Store in memory with lost responses, delays and outages.

    Attributes:
        lose_answers: Number of next writes that take effect, but whose
            response is lost.
        is_down: Whether all calls fail.
        delay: Seconds added to each call.
        reads: Number of calls of ``get``.
        writes: Number of calls of ``swap`` that took effect.
    """

    def __init__(self):
        self.entries: dict[str, stores.Entry] = {}
        self.leases: set[int] = set()
        self.revision = 0
        self.lose_answers = 0
        self.is_down = False
        self.delay = 0.0
        self.reads = 0
        self.writes = 0

    async def _simulate_call(self, error_type):
        await anyio.sleep(self.delay)
        if self.is_down:
            raise error_type('store is down')

    def _simulate_lost_response(self):
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.StoreResultUnknown('response lost')

    async def get(self, key, is_local=False):
        self.reads += 1
        await self._simulate_call(errors.StoreError)
        return self.entries.get(key)

    async def list_prefix(self, prefix):
        await self._simulate_call(errors.StoreError)
        return [v for k, v in self.entries.items() if k.startswith(prefix)]

    async def swap(self, key, value, expected, lease=0, extra_entries=None):
        await self._simulate_call(errors.StoreResultUnknown)
        entry = self.entries.get(key)
        if (entry.revision if entry else 0) != expected:
            raise errors.StoreConflict(key)
        self.revision += 1
        self.writes += 1
        for name, content in {key: value, **(extra_entries or {})}.items():
            self.entries[name] = stores.Entry(
                name, content, self.revision, lease if name == key else 0
            )
        self._simulate_lost_response()
        return self.revision

    async def delete(self, key, expected):
        await self._simulate_call(errors.StoreResultUnknown)
        entry = self.entries.get(key)
        if (entry.revision if entry else 0) != expected:
            raise errors.StoreConflict(key)
        self.revision += 1
        del self.entries[key]
        self._simulate_lost_response()

    async def grant_lease(self, seconds):
        await self._simulate_call(errors.StoreResultUnknown)
        self.revision += 1
        self.leases.add(self.revision)
        return self.revision

    async def keep_alive(self, lease):
        await self._simulate_call(errors.StoreResultUnknown)
        return 1 if lease in self.leases else 0

    async def revoke_lease(self, lease):
        await self._simulate_call(errors.StoreResultUnknown)
        self.expire(lease)

    def expire(self, lease):
        """Ends a lease and removes its keys."""
        self.leases.discard(lease)
        for key in [k for k, v in self.entries.items() if v.lease == lease]:
            del self.entries[key]


def run_async(test):
    """Returns a synchronous test that runs an asynchronous one."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        return anyio.run(functools.partial(test, *args, **kwargs))

    return run
