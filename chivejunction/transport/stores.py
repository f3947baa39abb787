"""Key-value stores with compare-and-swap, leases and changes to follow."""

import abc
import dataclasses

# A slow store takes up to about 0.35 s; one that takes longer is away.
PATIENCE_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Entry:
    """A key with its value, modification revision and lease id."""

    key: str
    value: bytes
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class Change:
    """A change of a key.

    Attributes:
        key: The key.
        revision: Revision of the change.
        entry: The key as it was written, None when it was deleted.
    """

    key: str
    revision: int
    entry: Entry | None


@dataclasses.dataclass(slots=True)
class Poll:
    """Answer to a wait for changes.

    Attributes:
        changes: The changes, none if nothing happened.
        after: Revision to go on from.
        waited: Seconds for which the source surely waited before it answered.
        age: Age in seconds of what the answer says, when it was made.
        was_away: Whether the source has regained the store just now, so that
            entries that went missing may have lapsed.
        is_priced: Whether the call is paid for.
    """

    changes: list[Change]
    after: int
    waited: float = 0.0
    age: float = 0.0
    was_away: bool = False
    is_priced: bool = True


class Store(abc.ABC):
    """Calls a key-value store.

    A read that fails raises StoreError. A write whose answer was lost raises
    StoreResultUnknown: only a read can tell whether it took effect.
    """

    @abc.abstractmethod
    async def get(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None."""

    @abc.abstractmethod
    async def list_prefix(self, prefix: str) -> list[Entry]:
        """Returns all entries whose keys start with a prefix."""

    @abc.abstractmethod
    async def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        lease: int = 0,
        also: dict[str, bytes] | None = None,
    ) -> int:
        """Writes a key if its modification revision is the expected one.

        Args:
            key: Key to write.
            value: New value.
            expected: Expected modification revision; 0 for a new key.
            lease: Lease that removes the key when it expires, or 0.
            also: Further keys and values, written in the same transaction.

        Returns:
            The new modification revision.

        Raises:
            StoreConflict: The key has another modification revision.
            StoreResultUnknown: The answer was lost.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int) -> None:
        """Deletes a key if it has the expected modification revision.

        Raises:
            StoreConflict: The key has another modification revision.
            StoreResultUnknown: The answer was lost.
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds: int) -> int:
        """Returns the id of a new lease."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns the seconds left, 0 if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""


class ChangeFeed(abc.ABC):
    """Follows the changes of a store."""

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> tuple[list[Entry], int]:
        """Returns the entries of a prefix and the revision to follow from.

        Raises:
            StoreError: The store did not answer.
        """

    @abc.abstractmethod
    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        patience: float = PATIENCE_SECONDS,
    ) -> Poll:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to follow.
            after: Revision that is known.
            seconds: Longest wait.
            patience: Seconds beyond it after which the store is away.

        Raises:
            HistoryLost: The store no longer has these changes.
            StoreError: The store did not answer.
        """
