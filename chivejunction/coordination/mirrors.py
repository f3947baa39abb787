"""Local copy of the store's entries, kept current by polling for changes."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.state import change_log
from chivejunction.state import freshness
from chivejunction.transport import stores

# Longest wait of one poll. It is long because calls to the store are billed.
# It is bounded because each finished poll confirms that the copy is current,
# and because a silent connection is noticed only after the poll's wait. Both
# must happen within the time to withdraw a key (5 s on the users' data
# sheets).
MAX_POLL_SECONDS = 2.4
# A poll should finish before the latest confirmation has reached this share of
# the age at which it expires.
RECONFIRM_SHARE = 0.6
# Wait of a poll if a confirmation is overdue or the store is unavailable.
MIN_POLL_SECONDS = 0.05
# Pause after a poll with changes, so that one call returns all the changes
# that follow.
BATCH_DELAY_SECONDS = 0.6
# Pause after a failed call. The jitter prevents gateways from reconnecting all
# at once.
RETRY_DELAY_SECONDS = 0.15
# During an outage of the store every other call uses this short timeout, so
# that the recovery is noticed soon. The calls in between use the normal
# timeout in case the store is only slow.
OUTAGE_TIMEOUT_SECONDS = 0.45
# After an outage of at least this length, and for as long after its end,
# missing entries may have expired because of it and are not taken as deleted.
MIN_OUTAGE_SECONDS = 1.0


class StoreMirror:
    """Follows the entries under a key prefix.

    Args:
        feed: Source of the entries and their changes.
        prefix: Key prefix of the entries.
        apply: Called with each change and ``may_have_expired``, which tells
            whether the store was unavailable just before, so that an entry
            may have expired rather than been deleted. Entries that were
            deleted while the change history was not available are passed as
            changes without an entry.
        config_freshness: Records when the copy was confirmed to be current.

    Attributes:
        change_log: The latest changes, for gateways that poll this one.
        changed: Event that is set, and replaced by a new one, each time the
            log has advanced.
        has_loaded: Event that is set after the first complete read.
    """

    def __init__(
        self,
        feed: stores.ChangeFeed,
        prefix: str,
        apply: Callable[[stores.Change, bool], None],
        config_freshness: freshness.Freshness,
    ):
        self._feed = feed
        self._prefix = prefix
        self._apply = apply
        self._freshness = config_freshness
        self._known_revisions: dict[str, int] = {}
        self._is_loaded = False
        # Monotonic time of the first failure of an outage, 0 if there is none.
        self._unavailable_since = 0.0
        self._recovery_ends_at = 0.0
        self._failure_count = 0
        self.change_log = change_log.ChangeLog()
        self.changed = anyio.Event()
        self.has_loaded = anyio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                if not self._is_loaded:
                    await self._load()
                poll = await self._poll()
                self._record_success()
                if poll.changes and poll.is_billable:
                    await anyio.sleep(BATCH_DELAY_SECONDS)
            except errors.RevisionCompacted as exc:
                logs.LOG.warning(
                    'change history lost, reading all entries: %s', exc
                )
                self._is_loaded = False
            except errors.StoreError as exc:
                self._record_failure(exc)
                await anyio.sleep(clock.jitter(RETRY_DELAY_SECONDS, 0.5))

    async def _load(self) -> None:
        """Reads all entries and applies the differences."""
        started_at = freshness.read_boot_clock()
        entries, revision = await self._feed.read_all(self._prefix)
        self._record_success()
        keys = {entry.key for entry in entries}
        for key in [k for k in self._known_revisions if k not in keys]:
            self._apply_change(stores.Change(key, revision, None))
        for entry in entries:
            self._apply_change(stores.Change(entry.key, entry.revision, entry))
        self._is_loaded = True
        self._freshness.confirm(started_at)
        self.change_log.reset(revision)
        self._notify_followers()
        self.has_loaded.set()

    async def _poll(self) -> stores.PollResult:
        """Waits once for changes and applies them."""
        started_at = freshness.read_boot_clock()
        timeout = stores.RESPONSE_TIMEOUT_SECONDS
        if self._unavailable_since and self._failure_count % 2:
            timeout = OUTAGE_TIMEOUT_SECONDS
        poll = await self._feed.poll_changes(
            self._prefix,
            self.change_log.revision,
            self._choose_poll_seconds(),
            timeout,
        )
        for change in poll.changes:
            self._apply_change(change, poll.was_unavailable)
        # Earliest time at which the source can have made the response.
        responded_at = min(
            started_at + poll.waited_seconds, freshness.read_boot_clock()
        )
        self._freshness.confirm(responded_at - poll.age)
        if poll.after > self.change_log.revision:
            self.change_log.extend(poll.changes, poll.after)
            self._notify_followers()
        return poll

    def _notify_followers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _choose_poll_seconds(self) -> float:
        """Returns the wait for a poll that ends before the copy is too old.

        A response with changes only confirms the state at the start of its
        poll, so the latest confirmation may be old already.
        """
        if self._unavailable_since:
            return MIN_POLL_SECONDS
        seconds_left = (
            RECONFIRM_SHARE * self._freshness.max_age_seconds
            - self._freshness.age
        )
        return max(MIN_POLL_SECONDS, min(MAX_POLL_SECONDS, seconds_left))

    def _apply_change(
        self, change: stores.Change, was_unavailable: bool = False
    ) -> None:
        if change.revision <= self._known_revisions.get(change.key, 0):
            return
        if change.entry is None:
            self._known_revisions.pop(change.key, None)
        else:
            self._known_revisions[change.key] = change.revision
        self._apply(change, was_unavailable or self.is_recovering())

    def is_recovering(self) -> bool:
        """Returns whether the store is unavailable or has just come back."""
        return bool(self._unavailable_since) or not clock.has_passed(
            self._recovery_ends_at
        )

    def _record_failure(self, exc: errors.StoreError) -> None:
        self._failure_count += 1
        if not self._unavailable_since:
            self._unavailable_since = clock.now()
            logs.LOG.warning(
                'store unavailable: %s',
                exc,
                extra={'fields': {'dependency': 'store', 'state': 'lost'}},
            )

    def _record_success(self) -> None:
        if not self._unavailable_since:
            return
        outage_seconds = clock.now() - self._unavailable_since
        self._unavailable_since = 0.0
        self._failure_count = 0
        if outage_seconds >= MIN_OUTAGE_SECONDS:
            self._recovery_ends_at = clock.make_deadline(MIN_OUTAGE_SECONDS)
        logs.LOG.info(
            'store available again after %.2f s',
            outage_seconds,
            extra={'fields': {'dependency': 'store', 'state': 'regained'}},
        )
