"""Interfaces of key-value stores: compare-and-swap, leases, change feeds."""

import abc
import dataclasses

# A slow store responds within about 0.35 s; a store that exceeds this time
# limit is treated as unavailable.
RESPONSE_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(slots=True)
class Entry:
    """Key with its value, modification revision and lease id."""

    key: str
    value: bytes
    revision: int
    lease: int


@dataclasses.dataclass(slots=True)
class Change:
    """Change of a key.

    Attributes:
        key: The key.
        revision: Revision of the change.
        entry: The written entry, or None if the key was deleted.
    """

    key: str
    revision: int
    entry: Entry | None


@dataclasses.dataclass(slots=True)
class PollResult:
    """Result of a wait for changes.

    Attributes:
        changes: The changes; empty if there were none.
        after: Revision from which to wait next.
        waited_seconds: Time for which the source waited, at least, before it
            responded.
        age: Age in seconds of the reported state when the response was made.
        was_unavailable: Whether the source has just reconnected to the store
            after an outage, so that missing entries may have expired.
        is_billable: Whether the call is charged for.
    """

    changes: list[Change]
    after: int
    waited_seconds: float = 0.0
    age: float = 0.0
    was_unavailable: bool = False
    is_billable: bool = True


class Store(abc.ABC):
    """Key-value store.

    A failed read raises StoreError. A write whose response was lost raises
    StoreResultUnknown: only a read can show whether it took effect.
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
        extra_entries: dict[str, bytes] | None = None,
    ) -> int:
        """Writes a key if it has the expected modification revision.

        Args:
            key: Key to write.
            value: New value.
            expected: Expected modification revision; 0 for a new key.
            lease: Id of the lease that deletes the key on expiry, or 0.
            extra_entries: Further keys and values, written in the same
                transaction.

        Returns:
            The new modification revision.

        Raises:
            StoreConflict: The key has another modification revision.
            StoreResultUnknown: The response was lost.
        """

    @abc.abstractmethod
    async def delete(self, key: str, expected: int) -> None:
        """Deletes a key if it has the expected modification revision.

        Raises:
            StoreConflict: The key has another modification revision.
            StoreResultUnknown: The response was lost.
        """

    @abc.abstractmethod
    async def grant_lease(self, seconds: int) -> int:
        """Returns the id of a new lease."""

    @abc.abstractmethod
    async def keep_alive(self, lease: int) -> int:
        """Renews a lease; returns its remaining seconds, 0 if expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease, which deletes its keys."""


class ChangeFeed(abc.ABC):
    """Source of the changes of a store."""

    @abc.abstractmethod
    async def read_all(self, prefix: str) -> tuple[list[Entry], int]:
        """Returns the entries of a prefix and their store revision.

        Changes after that revision are returned by ``poll_changes``.

        Raises:
            StoreError: The store did not respond.
        """

    @abc.abstractmethod
    async def poll_changes(
        self,
        prefix: str,
        after: int,
        seconds: float,
        response_timeout: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> PollResult:
        """Waits for changes after a revision.

        Args:
            prefix: Prefix of the keys to watch.
            after: Latest known revision.
            seconds: Longest wait for a change.
            response_timeout: Seconds after that wait at which the call times
                out.

        Raises:
            RevisionCompacted: The store no longer holds these changes.
            StoreError: The store did not respond.
        """
