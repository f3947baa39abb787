"""Copy of a part of the store that follows its changes."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.state import change_log
from chivejunction.state import freshness
from chivejunction.transport import stores

# Longest wait of one poll: calls are priced. Each finished poll proves that
# nothing newer exists, and a silent connection is noticed soon after it; both
# must come within the time to withdraw a key (5 s on the users' sheets).
POLL_SECONDS = 2.4
# Part of the time for which a proof holds, by which the next one should come.
PROOF_SHARE = 0.6
# Wait of a poll whose proof is overdue.
SHORT_POLL_SECONDS = 0.05
# Pause after changes, so that those that follow come in one call.
GATHER_SECONDS = 0.6
# Pause after a failed call; spread so that gateways do not return together.
RETRY_SECONDS = 0.15
# While the store is away, every other call waits only this long for it, so
# that its return is noticed soon; the calls between bear a slow store.
LOST_PATIENCE_SECONDS = 0.45
# Silence of the store beyond which entries that went missing may have lapsed
# with it rather than ended.
OUTAGE_SECONDS = 1.0


class Mirror:
    """Follows the entries of a prefix.

    Args:
        feed: Store to follow.
        prefix: Prefix of the keys.
        apply: Takes a change; entries that were deleted while the changes
            were not to be had are given as changes without an entry, with
            ``has_lapsed`` set if the store was away.
        proof: Notes that nothing newer exists.
    """

    def __init__(
        self,
        feed: stores.ChangeFeed,
        prefix: str,
        apply: Callable[[stores.Change, bool], None],
        proof: freshness.Freshness,
    ):
        self._feed = feed
        self._prefix = prefix
        self._apply = apply
        self._proof = proof
        self._known: dict[str, int] = {}
        self._is_loaded = False
        self._lost_at = 0.0
        self._back_at = 0.0
        self._failures = 0
        self.log = change_log.ChangeLog()
        # Set, and replaced, whenever the log has grown.
        self.changed = anyio.Event()
        self.has_loaded = anyio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                if not self._is_loaded:
                    await self._load()
                poll = await self._poll()
                self._note_return()
                if poll.changes and poll.is_priced:
                    await anyio.sleep(GATHER_SECONDS)
            except errors.HistoryLost as exc:
                logs.LOG.warning('history lost, reading all: %s', exc)
                self._is_loaded = False
            except errors.StoreError as exc:
                self._note_loss(exc)
                await anyio.sleep(clock.jitter(RETRY_SECONDS, 0.5))

    async def _load(self) -> None:
        started = freshness.read_clock()
        entries, revision = await self._feed.read_all(self._prefix)
        self._note_return()
        found = {entry.key for entry in entries}
        for key in [k for k in self._known if k not in found]:
            self._take(stores.Change(key, revision, None))
        for entry in entries:
            self._take(stores.Change(entry.key, entry.revision, entry))
        self._is_loaded = True
        self._proof.prove(started)
        self.log.restart(revision)
        self._tell_followers()
        self.has_loaded.set()

    async def _poll(self) -> stores.Poll:
        """Waits for changes once."""
        started = freshness.read_clock()
        patience = stores.PATIENCE_SECONDS
        if self._lost_at and self._failures % 2:
            patience = LOST_PATIENCE_SECONDS
        poll = await self._feed.poll_changes(
            self._prefix, self.log.revision, self._find_wait(), patience
        )
        for change in poll.changes:
            self._take(change, poll.was_away)
        # The answer was made at this time or later.
        made_at = min(started + poll.waited, freshness.read_clock())
        self._proof.prove(made_at - poll.age)
        if poll.after > self.log.revision:
            self.log.extend(poll.changes, poll.after)
            self._tell_followers()
        return poll

    def _tell_followers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _find_wait(self) -> float:
        """Returns the longest wait after which the proof is still young.

        An answer with changes proves only what was so when it was asked for,
        so the proof may be old already.
        """
        if self._lost_at:
            return SHORT_POLL_SECONDS
        left = PROOF_SHARE * self._proof.bound - self._proof.age
        return max(SHORT_POLL_SECONDS, min(POLL_SECONDS, left))

    def _take(self, change: stores.Change, was_away: bool = False) -> None:
        if change.revision <= self._known.get(change.key, 0):
            return
        if change.entry is None:
            self._known.pop(change.key, None)
        else:
            self._known[change.key] = change.revision
        self._apply(change, was_away or self.is_recovering())

    def is_recovering(self) -> bool:
        """Tells whether the store was away a moment ago."""
        return bool(self._lost_at) or not clock.has_passed(self._back_at)

    def _note_loss(self, exc: errors.StoreError) -> None:
        self._failures += 1
        if not self._lost_at:
            self._lost_at = clock.now()
            logs.LOG.warning(
                'store lost: %s',
                exc,
                extra={'fields': {'dependency': 'store', 'state': 'lost'}},
            )

    def _note_return(self) -> None:
        if not self._lost_at:
            return
        away = clock.now() - self._lost_at
        self._lost_at = 0.0
        self._failures = 0
        if away >= OUTAGE_SECONDS:
            self._back_at = clock.make_deadline(OUTAGE_SECONDS)
        logs.LOG.info(
            'store is back after %.2f s',
            away,
            extra={'fields': {'dependency': 'store', 'state': 'regained'}},
        )
