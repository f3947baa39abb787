"""Latest changes of a copy of the store, for others that follow it."""

import collections

from chivejunction.transport import stores

# Changes that are kept; a roll-out of a hundred servers makes a few hundred.
MAX_CHANGES = 4000


class ChangeLog:
    """Changes up to a revision, complete from a lower one on."""

    def __init__(self):
        self._changes: collections.deque[stores.Change] = collections.deque()
        self._floor = 0
        self.revision = 0

    def restart(self, revision: int) -> None:
        """Begins anew after everything was read at a revision."""
        self._changes.clear()
        self._floor = self.revision = revision

    def extend(self, changes: list[stores.Change], revision: int) -> None:
        """Adds the changes up to a revision."""
        self._changes.extend(changes)
        while len(self._changes) > MAX_CHANGES:
            self._floor = max(self._floor, self._changes.popleft().revision)
        self.revision = max(self.revision, revision)

    def list_after(self, revision: int) -> list[stores.Change] | None:
        """Returns the changes after a revision, None if some are forgotten.

        Of several changes of a key only the last one is among them.
        """
        if revision < self._floor:
            return None
        last = {c.key: c for c in self._changes if c.revision > revision}
        return sorted(last.values(), key=lambda c: c.revision)
