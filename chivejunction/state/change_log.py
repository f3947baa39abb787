"""Log of recent store changes, served to gateways that poll this one."""

import collections

from chivejunction.transport import stores

# The roll-out of a service with a hundred servers makes a few hundred changes.
MAX_CHANGES = 4000
# Bytes of the values of these changes.
MAX_BYTES = 16_000_000


def _count_bytes(change: stores.Change) -> int:
    return 0 if change.entry is None else len(change.entry.value)


class ChangeLog:
    """Bounded log of the last change of each key up to a store revision.

    Attributes:
        revision: Revision up to which the log covers the store.
    """

    def __init__(self):
        # By key, in the order in which they were added.
        self._changes: collections.OrderedDict[str, stores.Change] = (
            collections.OrderedDict()
        )
        self._value_bytes = 0
        # The log holds every change after this revision.
        self._complete_after = 0
        self.revision = 0

    def __len__(self) -> int:
        return len(self._changes)

    def reset(self, revision: int) -> None:
        """Clears the log after all entries were read at a revision."""
        self._changes.clear()
        self._value_bytes = 0
        self._complete_after = self.revision = revision

    def extend(self, changes: list[stores.Change], revision: int) -> None:
        """Appends changes and evicts the oldest ones beyond the limits.

        Args:
            changes: Changes after the last revision, in order of revision.
            revision: Revision up to which the changes are complete.
        """
        for change in changes:
            replaced = self._changes.pop(change.key, None)
            if replaced is not None:
                self._value_bytes -= _count_bytes(replaced)
            self._changes[change.key] = change
            self._value_bytes += _count_bytes(change)
        while (
            len(self._changes) > MAX_CHANGES or self._value_bytes > MAX_BYTES
        ):
            _, evicted = self._changes.popitem(last=False)
            self._value_bytes -= _count_bytes(evicted)
            self._complete_after = max(self._complete_after, evicted.revision)
        self.revision = max(self.revision, revision)

    def list_after(self, revision: int) -> list[stores.Change] | None:
        """Returns the changes after a revision in order of revision.

        Of several changes of a key only the last one is returned. Returns
        None if changes after the revision have been evicted.
        """
        if revision < self._complete_after:
            return None
        changes = [c for c in self._changes.values() if c.revision > revision]
        return sorted(changes, key=lambda c: c.revision)
