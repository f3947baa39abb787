"""Local copy of the store's entries, kept current by polling for changes."""

from collections.abc import Callable
import math

import anyio
from anyio import lowlevel

from chivejunction import clock
from chivejunction import containment
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
# Pause before changes that could not be applied are applied again, doubled for
# each failure in a row.
MIN_REAPPLY_DELAY_SECONDS = 0.25
MAX_REAPPLY_DELAY_SECONDS = 60.0
# Growth of the pause after unexpected errors in a row.
MAX_RETRY_FACTOR = 10
# Unexpected errors of polls in a row after which all entries are read again.
MAX_POLL_ERRORS = 3
# Listings in a row with a revision below that of a known entry, after which
# the store is taken to have lost its revisions.
MAX_REGRESSIONS = 3
# Ages that relays report are rounded, and clocks of hosts differ in rate.
AGE_TOLERANCE_SECONDS = 0.01
# Changes that are applied before other tasks get a turn.
CHANGES_PER_TURN = 32
PART = 'store mirror'


class StoreMirror:
    """Follows the entries under a key prefix.

    A change that could not be applied because of an unexpected error is
    applied again later; the changes that follow it do not wait for it.

    Args:
        feed: Source of the entries and their changes.
        prefix: Key prefix of the entries.
        apply: Called with each change and ``may_have_expired``, which tells
            whether the store was unavailable just before, so that an entry
            may have expired rather than been deleted. Entries that were
            deleted while the change history was not available are passed as
            changes without an entry.
        config_freshness: Records when the copy was confirmed to be current.
        required_keys: Keys of which each change must have been applied for
            the copy to count as current.

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
        required_keys: frozenset[str] = frozenset(),
    ):
        self._feed = feed
        self._prefix = prefix
        self._apply = apply
        self._freshness = config_freshness
        self._required_keys = required_keys
        self._known_revisions: dict[str, int] = {}
        # Changes that could not be applied, with ``may_have_expired``, by key.
        self._unapplied: dict[str, tuple[stores.Change, bool]] = {}
        self._reapply_delay = MIN_REAPPLY_DELAY_SECONDS
        self._reapply_at = math.inf
        # Boot time at which the revision of the log was learnt.
        self._revised_at = -math.inf
        self._regression_count = 0
        self._poll_error_count = 0
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
            containment.expect_progress()
            try:
                self._reapply()
                if not self._is_loaded:
                    await self._load()
                poll = await self._poll()
                self._record_success()
                self._poll_error_count = 0
                if poll.changes and poll.is_billable:
                    await anyio.sleep(BATCH_DELAY_SECONDS)
            except errors.RevisionCompacted as exc:
                logs.LOG.warning(
                    'change history lost, reading all entries: %s', exc
                )
                self._is_loaded = False
                # All gateways may read all entries for the same reason.
                await anyio.sleep(clock.jitter(RETRY_DELAY_SECONDS, 0.5))
            except errors.StoreError as exc:
                self._record_failure(exc)
                await anyio.sleep(clock.jitter(RETRY_DELAY_SECONDS, 0.5))
            except Exception as exc:
                containment.record_error(PART, exc)
                self._poll_error_count += 1
                if self._poll_error_count % MAX_POLL_ERRORS == 0:
                    self._is_loaded = False
                delay = RETRY_DELAY_SECONDS * min(
                    self._poll_error_count, MAX_RETRY_FACTOR
                )
                await anyio.sleep(clock.jitter(delay, 0.5))

    async def _load(self) -> None:
        """Reads all entries and applies the differences.

        Only the store has a listing. Once a first one was read, one that
        fails is left for later: another gateway may still have the changes.

        Raises:
            StoreError: There is no listing yet, or it is wrong.
        """
        started_at = freshness.read_boot_clock()
        try:
            entries, revision = await self._feed.read_all(self._prefix)
        except errors.StoreError as exc:
            if not self.has_loaded.is_set():
                raise
            logs.LOG.info('entries not read, polling for changes: %s', exc)
            return
        self._check_revision(revision)
        self._record_success()
        keys = {entry.key for entry in entries}
        changes = [
            stores.Change(key, revision, None)
            for key in self._known_revisions
            if key not in keys
        ]
        changes += [
            stores.Change(entry.key, entry.revision, entry)
            for entry in entries
        ]
        await self._apply_changes(changes)
        self._is_loaded = True
        self._confirm(started_at)
        self.change_log.reset(revision)
        self._revised_at = freshness.read_boot_clock()
        self._notify_followers()
        self.has_loaded.set()

    def _check_revision(self, revision: int) -> None:
        """Forgets the known revisions if the store has lost them for good.

        Args:
            revision: Store revision of a listing.

        Raises:
            StoreError: The revision is too low; a single response may be
                wrong.
        """
        latest = max(self._known_revisions.values(), default=0)
        if revision >= latest:
            self._regression_count = 0
            return
        self._regression_count += 1
        if self._regression_count < MAX_REGRESSIONS:
            raise errors.StoreError(
                f'listing at revision {revision}, an entry has {latest}'
            )
        self._regression_count = 0
        self._known_revisions = dict.fromkeys(self._known_revisions, 0)

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
        # Earliest time at which the source can have made the response.
        responded_at = min(
            started_at + poll.waited_seconds, freshness.read_boot_clock()
        )
        reported_at = responded_at - poll.age
        # A relay may be behind. But if its report is from a time after this
        # copy had its revision, then one of the two revisions is wrong.
        if (
            poll.after < self.change_log.revision
            and reported_at > self._revised_at + AGE_TOLERANCE_SECONDS
        ):
            raise errors.RevisionCompacted(
                f'revision went from {self.change_log.revision} back to '
                f'{poll.after}'
            )
        changes = [
            change
            for change in poll.changes
            if change.revision > self.change_log.revision
        ]
        await self._apply_changes(changes, poll.was_unavailable)
        self._confirm(reported_at)
        if poll.after > self.change_log.revision:
            self.change_log.extend(changes, poll.after)
            self._revised_at = freshness.read_boot_clock()
            self._notify_followers()
        return poll

    def _confirm(self, at: float) -> None:
        """Records that the copy was current at a boot time, if it was."""
        if not self._lacks_required_change():
            self._freshness.confirm(at)

    def _lacks_required_change(self) -> bool:
        return not self._required_keys.isdisjoint(self._unapplied)

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
            math.inf
            if self._lacks_required_change()
            else RECONFIRM_SHARE * self._freshness.max_age_seconds
            - self._freshness.age
        )
        if self._unapplied:
            seconds_left = min(seconds_left, clock.remaining(self._reapply_at))
        return max(MIN_POLL_SECONDS, min(MAX_POLL_SECONDS, seconds_left))

    async def _apply_changes(
        self, changes: list[stores.Change], was_unavailable: bool = False
    ) -> None:
        for number, change in enumerate(changes, 1):
            self._apply_change(change, was_unavailable)
            if number % CHANGES_PER_TURN == 0:
                await lowlevel.checkpoint()

    def _apply_change(
        self, change: stores.Change, was_unavailable: bool = False
    ) -> None:
        if change.revision <= self._known_revisions.get(change.key, 0):
            return
        if change.entry is None:
            self._known_revisions.pop(change.key, None)
        else:
            self._known_revisions[change.key] = change.revision
        is_first = not self._unapplied
        if not self._try_apply(
            change, was_unavailable or self.is_recovering()
        ):
            if is_first:
                self._reapply_delay = MIN_REAPPLY_DELAY_SECONDS
            self._reapply_at = min(
                self._reapply_at, clock.make_deadline(self._reapply_delay)
            )

    def _try_apply(
        self, change: stores.Change, may_have_expired: bool
    ) -> bool:
        """Applies a change or keeps it; returns whether it was applied."""
        try:
            self._apply(change, may_have_expired)
        except Exception as exc:
            containment.record_error(PART, exc, key=change.key)
            self._unapplied[change.key] = change, may_have_expired
            return False
        self._unapplied.pop(change.key, None)
        return True

    def _reapply(self) -> None:
        """Applies the changes again that could not be applied, if due."""
        if not clock.has_passed(self._reapply_at):
            return
        for change, may_have_expired in list(self._unapplied.values()):
            self._try_apply(change, may_have_expired)
        self._reapply_delay = min(
            2 * self._reapply_delay, MAX_REAPPLY_DELAY_SECONDS
        )
        self._reapply_at = (
            clock.make_deadline(self._reapply_delay)
            if self._unapplied
            else math.inf
        )

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
