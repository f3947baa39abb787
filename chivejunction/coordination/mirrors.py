"""Copy of a part of the store that follows its changes."""

from collections.abc import Callable

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
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
RETRY_SECONDS = 0.25
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
        self._after = 0
        self._is_loaded = False
        self._lost_at = 0.0
        self._back_at = 0.0
        self.has_loaded = anyio.Event()

    async def run(self) -> None:
        """Follows the store until cancelled."""
        while True:
            try:
                if not self._is_loaded:
                    await self._load()
                has_changes = await self._poll()
                self._note_return()
                if has_changes:
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
        self._after = revision
        self._is_loaded = True
        self._proof.prove(started)
        self.has_loaded.set()

    async def _poll(self) -> bool:
        """Waits for changes once; returns whether there were any."""
        started = freshness.read_clock()
        seconds = self._find_wait()
        changes, after = await self._feed.poll_changes(
            self._prefix, self._after, seconds
        )
        for change in changes:
            self._take(change)
        self._after = max(self._after, after)
        # An empty answer was made when the wait was over, not before.
        waited = 0.0 if changes else seconds
        self._proof.prove(min(started + waited, freshness.read_clock()))
        return bool(changes)

    def _find_wait(self) -> float:
        """Returns the longest wait after which the proof is still young.

        An answer with changes proves only what was so when it was asked for,
        so the proof may be old already.
        """
        if self._lost_at:
            return SHORT_POLL_SECONDS
        left = PROOF_SHARE * self._proof.bound - self._proof.age
        return max(SHORT_POLL_SECONDS, min(POLL_SECONDS, left))

    def _take(self, change: stores.Change) -> None:
        if change.revision <= self._known.get(change.key, 0):
            return
        if change.entry is None:
            self._known.pop(change.key, None)
        else:
            self._known[change.key] = change.revision
        self._apply(change, self._is_recovering())

    def _is_recovering(self) -> bool:
        """Tells whether the store was away a moment ago."""
        return bool(self._lost_at) or not clock.has_passed(self._back_at)

    def _note_loss(self, exc: errors.StoreError) -> None:
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
        if away >= OUTAGE_SECONDS:
            self._back_at = clock.make_deadline(OUTAGE_SECONDS)
        logs.LOG.info(
            'store is back after %.2f s',
            away,
            extra={'fields': {'dependency': 'store', 'state': 'regained'}},
        )
