"""Log of recent store changes, served to gateways that poll this one."""

import collections

from chivejunction.transport import stores

# The roll-out of a service with a hundred servers makes a few hundred changes.
MAX_CHANGES = 4000


class ChangeLog:
    """Bounded log of the changes up to a store revision.

    Attributes:
        revision: Revision up to which the log covers the store.
    """

    def __init__(self):
        self._changes: collections.deque[stores.Change] = collections.deque()
        # The log holds every change after this revision.
        self._complete_after = 0
        self.revision = 0

    def reset(self, revision: int) -> None:
        """Clears the log after all entries were read at a revision."""
        self._changes.clear()
        self._complete_after = self.revision = revision

    def extend(self, changes: list[stores.Change], revision: int) -> None:
        """Appends changes and evicts the oldest ones beyond the limit.

        Args:
            changes: Changes after the last revision, in order of revision.
            revision: Revision up to which the changes are complete.
        """
        self._changes.extend(changes)
        while len(self._changes) > MAX_CHANGES:
            self._complete_after = max(
                self._complete_after, self._changes.popleft().revision
            )
        self.revision = max(self.revision, revision)

    def list_after(self, revision: int) -> list[stores.Change] | None:
        """Returns the changes after a revision in order of revision.

        Of several changes of a key only the last one is returned. Returns
        None if changes after the revision have been evicted.
        """
        if revision < self._complete_after:
            return None
        last = {c.key: c for c in self._changes if c.revision > revision}
        return sorted(last.values(), key=lambda c: c.revision)
