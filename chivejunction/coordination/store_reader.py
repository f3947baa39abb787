"""Reading and watching of the configuration in the store."""

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
# A watch can stop delivering without an error. A small read at this interval
# detects missed changes and confirms that the view is current.
CHECK_INTERVAL_SECONDS = 4.0
# Interval of these reads while no watch is open.
FALLBACK_INTERVAL_SECONDS = 1.0
REWATCH_DELAY_SECONDS = 1.0
MAX_REWATCH_DELAY_SECONDS = 8.0
# A watch that delivers nothing for this long is opened again.
WATCH_TIMEOUT_SECONDS = 300.0
# A process whose view has not been confirmed as current for this long reads
# the store itself. Requests of the control exchange are held for 4 s; while
# the exchange works, a confirmation over up to four hops arrives earlier.
STALE_AFTER_SECONDS = 11.0
# Interval of these reads. With 2,350 processes they stay below 240 reads/s, an
# eighth of what the store serves. While they fail, the interval doubles up to
# the maximum.
STALE_READ_INTERVAL_SECONDS = 10.0
MAX_STALE_READ_INTERVAL_SECONDS = 40.0
# Delay, with jitter, before the first read of a view that has become stale.
READ_DELAY_SECONDS = 1.0


class StoreReader:
    """Updates the configuration view of a process from the store.

    Args:
        view: Configuration of the process.
        source: Access to the configuration document in the store.
        is_watcher: Returns whether this process is to watch the store.
    """

    def __init__(
        self,
        view: views.ConfigView,
        source: configuration.ConfigStore,
        is_watcher: Callable[[], bool] = lambda: False,
    ):
        self._view = view
        self._source = source
        self._is_watcher = is_watcher
        self._is_watching = False
        self._watch_scope: anyio.CancelScope | None = None
        # Monotonic time at which the view was last known to be current.
        self.current_at = float('-inf')

    @property
    def age(self) -> float:
        """Seconds since the view was last known to be current."""
        return clock.now() - self.current_at

    def record_current(self, age: float) -> None:
        """Records that the view is known to be current.

        Args:
            age: Seconds since it was known to be current.
        """
        self.current_at = max(self.current_at, clock.now() - age)

    async def read(self) -> int:
        """Applies the document in the store if it is newer than the view.

        Returns:
            The store revision at which it was read, 0 if there is none.

        Raises:
            StoreError: The store cannot be read.
            ProtocolError: The stored document is malformed.
            InvariantViolation: The stored document has another digest than
                the applied one of the same revision.
        """
        started = clock.now()
        head = await self._source.read_head()
        if head is not None:
            await self._apply_head(head)
        self._record_read(started)
        return 0 if head is None else head.store_revision

    def _record_read(self, started: float) -> None:
        self.current_at = max(self.current_at, started)

    async def _apply_head(self, head: configuration.Head) -> None:
        view = self._view
        view.check_digest(head.revision, head.digest)
        if head.revision <= view.revision:
            return
        if head.delta is not None and head.delta['base'] == view.revision:
            view.apply_delta(head.delta)
            return
        document, _ = await self._source.read()
        view.apply(document)

    async def run(self, initial_delay_seconds: float) -> None:
        """Reads the store whenever the view is stale, until cancelled.

        Args:
            initial_delay_seconds: Delay before the first read, so that peers
                can respond first.
        """
        await anyio.sleep(initial_delay_seconds)
        interval = STALE_READ_INTERVAL_SECONDS
        while True:
            if self.age < STALE_AFTER_SECONDS:
                interval = STALE_READ_INTERVAL_SECONDS
                # Sleep until the view can have become stale.
                await anyio.sleep(
                    STALE_AFTER_SECONDS
                    - self.age
                    + clock.jitter(READ_DELAY_SECONDS)
                )
                continue
            if await self._try_read():
                interval = STALE_READ_INTERVAL_SECONDS
            else:
                interval = min(2 * interval, MAX_STALE_READ_INTERVAL_SECONDS)
            await self._wait_between_reads(clock.jitter(interval))

    async def _wait_between_reads(self, seconds: float) -> None:
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
            logs.LOG.warning('store read failed: %s', exc)
        return False

    async def run_watcher(self) -> None:
        """Watches the store while this process is chosen as a watcher."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_watch)
            while True:
                if self._is_watcher():
                    await self._check_watch()
                await anyio.sleep(
                    clock.jitter(
                        CHECK_INTERVAL_SECONDS
                        if self._is_watching
                        else FALLBACK_INTERVAL_SECONDS
                    )
                )

    async def _check_watch(self) -> None:
        watched_revision = self._view.revision
        await self._try_read()
        if (
            self._view.revision > watched_revision
            and self._watch_scope is not None
        ):
            logs.LOG.warning('store watch missed a change; reopening it')
            self._watch_scope.cancel()

    async def _run_watch(self) -> None:
        delay = REWATCH_DELAY_SECONDS
        while True:
            if not self._is_watcher():
                await anyio.sleep(REWATCH_DELAY_SECONDS)
                continue
            try:
                start = 1 + await self.read()
                self._is_watching = True
                delay = REWATCH_DELAY_SECONDS
                with anyio.CancelScope() as self._watch_scope:
                    await self._apply_changes(start)
            except errors.InvariantViolation as exc:
                metrics.count_violation(exc)
            except (errors.StoreError, errors.ProtocolError) as exc:
                logs.LOG.warning('store watch ended: %s', exc)
            finally:
                self._is_watching = False
                self._watch_scope = None
            await anyio.sleep(clock.jitter(delay))
            delay = min(2 * delay, MAX_REWATCH_DELAY_SECONDS)

    async def _apply_changes(self, start: int) -> None:
        async with contextlib.aclosing(
            self._source.watch_heads(start, WATCH_TIMEOUT_SECONDS)
        ) as heads:
            async for head in heads:
                await self._apply_head(head)
                if not self._is_watcher():
                    return


def choose_watchers(gateways: list[str], region: str) -> list[str]:
    """Returns the gateways that are to watch the store for a region.

    Args:
        gateways: Names of the live gateways of the region.
        region: Name of the region.
    """
    return rendezvous.rank_hosts(region, gateways)[:WATCHERS_PER_REGION]
