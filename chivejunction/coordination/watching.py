"""Reads of the configuration from the store."""

from collections.abc import Callable
import contextlib

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction import rendezvous
from chivejunction.coordination import configuration
from chivejunction.state import views

WATCHERS_PER_REGION = 2
# A watch can fall silent for ever. A small read at this interval shows
# whether it has missed a change, and proves that the view is current.
CONFIRM_SECONDS = 4.0
# Interval of the reads while the watch does not work.
FALLBACK_SECONDS = 1.0
REWATCH_SECONDS = 1.0
MAX_REWATCH_SECONDS = 8.0
WATCH_SILENCE_SECONDS = 300.0
# A process that has known nothing fresh for this long reads the store itself.
# With 4 s per held exchange and up to four hops, a working spread stays below.
STALE_SECONDS = 11.0
# Budget of these reads for each process: at 2,350 processes they stay below
# 240 reads/s, an eighth of what the store serves.
READ_SECONDS = 10.0
MAX_READ_SECONDS = 40.0
START_SECONDS = 1.0


class StoreReader:
    """Keeps the view of a process current from the store.

    Args:
        view: Configuration of the process.
        source: The document in the store.
        is_watcher: Tells whether this process watches at present.
    """

    def __init__(
        self,
        view: views.ConfigView,
        source: configuration.Configuration,
        is_watcher: Callable[[], bool] = lambda: False,
    ):
        self._view = view
        self._source = source
        self._is_watcher = is_watcher
        self._watch_works = False
        self._watch_scope: anyio.CancelScope | None = None
        # Monotonic time at which the view was last known to be current.
        self.fresh_at = float('-inf')
        self.has_read = anyio.Event()

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current."""
        return clock.now() - self.fresh_at

    def confirm(self, age: float) -> None:
        """Records that the view was current some seconds ago."""
        self.fresh_at = max(self.fresh_at, clock.now() - age)

    async def read(self) -> int:
        """Applies the document of the store if it is newer.

        Returns:
            The store revision at which it was read.

        Raises:
            StoreError: The store cannot be read.
            ProtocolError: The store holds something else.
        """
        started = clock.now()
        head = await self._source.read_head()
        if head is not None:
            await self._take(head)
        self._confirm_since(started)
        return 0 if head is None else head.store_revision

    def _confirm_since(self, started: float) -> None:
        self.fresh_at = max(self.fresh_at, started)
        self.has_read.set()

    async def _take(self, head: configuration.Head) -> None:
        view = self._view
        view.check_digest(head.revision, head.digest)
        if head.revision <= view.revision:
            return
        if head.delta is not None and head.delta['base'] == view.revision:
            view.apply_delta(head.delta)
            return
        document, _ = await self._source.read()
        view.apply(document)

    async def run(self, start_seconds: float) -> None:
        """Reads when the view is stale, until cancelled.

        Args:
            start_seconds: Time for peers to answer before the first read.
        """
        await anyio.sleep(start_seconds)
        interval = READ_SECONDS
        while True:
            if self.age < STALE_SECONDS:
                interval = READ_SECONDS
                # No wait is needed before the view can have become stale.
                await anyio.sleep(
                    STALE_SECONDS - self.age + clock.jitter(START_SECONDS)
                )
                continue
            if await self._try_read():
                interval = READ_SECONDS
            else:
                interval = min(2 * interval, MAX_READ_SECONDS)
            await self._wait_fresh(clock.jitter(interval))

    async def _wait_fresh(self, seconds: float) -> None:
        deadline = clock.make_deadline(seconds)
        while not clock.has_passed(deadline):
            await anyio.sleep(min(1.0, clock.remaining(deadline)))

    async def _try_read(self) -> bool:
        try:
            await self.read()
            return True
        except errors.InvariantViolation as exc:
            metrics.count_violation(exc)
        except (errors.StoreError, errors.ProtocolError) as exc:
            logs.LOG.warning('store cannot be read: %s', exc)
        return False

    async def run_watcher(self) -> None:
        """Watches the store whenever this process is a watcher."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_watch)
            while True:
                if self._is_watcher():
                    await self._confirm_watch()
                await anyio.sleep(
                    clock.jitter(
                        CONFIRM_SECONDS
                        if self._watch_works
                        else FALLBACK_SECONDS
                    )
                )

    async def _confirm_watch(self) -> None:
        before = self._view.revision
        await self._try_read()
        if self._view.revision > before and self._watch_scope is not None:
            logs.LOG.warning('store watch missed a change; opening it again')
            self._watch_scope.cancel()

    async def _run_watch(self) -> None:
        delay = REWATCH_SECONDS
        while True:
            if not self._is_watcher():
                await anyio.sleep(REWATCH_SECONDS)
                continue
            try:
                start = 1 + await self.read()
                self._watch_works = True
                delay = REWATCH_SECONDS
                with anyio.CancelScope() as self._watch_scope:
                    await self._follow(start)
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
            except (errors.StoreError, errors.ProtocolError) as exc:
                logs.LOG.warning('store watch ended: %s', exc)
            finally:
                self._watch_works = False
                self._watch_scope = None
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_REWATCH_SECONDS)

    async def _follow(self, start: int) -> None:
        async with contextlib.aclosing(
            self._source.watch_heads(start, WATCH_SILENCE_SECONDS)
        ) as heads:
            async for head in heads:
                await self._take(head)
                if not self._is_watcher():
                    return


def choose_watchers(gateways: list[str], region: str) -> list[str]:
    """Returns the gateways of a region that watch the store."""
    return rendezvous.rank_hosts(region, gateways)[:WATCHERS_PER_REGION]
