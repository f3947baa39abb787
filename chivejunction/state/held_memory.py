"""Bytes that this process holds for callers and the servers they wait for."""

import collections
import enum

from chivejunction import clock
from chivejunction import errors


class Kind(enum.Enum):
    """What bytes are held for."""

    CONNECTION = 'connection'
    HEAD = 'head'
    BODY = 'body'
    EXCHANGE = 'exchange'
    AHEAD = 'ahead'
    RESPONSE = 'response'


class Phase(enum.Enum):
    """What the connection that holds bytes does."""

    IDLE = 'idle'
    READING = 'reading'
    RUNNING = 'running'
    WRITING = 'writing'
    CLOSING = 'closing'


class Hold:
    """Bytes held for one connection.

    Amounts are set, not added, so that one which is reported twice counts
    once.

    Args:
        account: Account that the amounts count toward.
        address: IP address of the caller.

    Attributes:
        address: IP address of the caller.
        phase: What the connection does.
        progress_at: Monotonic time at which data last moved.
        total: Sum of the amounts in bytes.
    """

    __slots__ = ('address', 'phase', 'progress_at', 'total', '_account', '_by')

    def __init__(self, account: 'Account', address: str):
        self._account = account
        self._by: dict[Kind, int] = {}
        self.address = address
        self.phase = Phase.IDLE
        self.progress_at = clock.now()
        self.total = 0

    def get(self, kind: Kind) -> int:
        """Returns the bytes held of a kind."""
        return self._by.get(kind, 0)

    def set(self, kind: Kind, amount: int) -> None:
        """Sets the bytes held of a kind."""
        change = amount - self._by.get(kind, 0)
        if not change:
            return
        self._by[kind] = amount
        self.total += change
        self._account.change(kind, change)

    def record_progress(self) -> None:
        """Records that data has moved just now."""
        self.progress_at = clock.now()

    def release(self, *kinds: Kind) -> None:
        """Gives back all bytes of some kinds."""
        for kind in kinds:
            self.set(kind, 0)

    def list_amounts(self) -> dict[Kind, int]:
        """Returns the bytes held by kind."""
        return dict(self._by)


class Account:
    """All bytes held, by kind and by connection.

    Attributes:
        total: Sum in bytes.
        amounts: Bytes by kind.
        holds: Open holds, each with its owner.
    """

    def __init__(self):
        self.total = 0
        self.amounts: collections.Counter[Kind] = collections.Counter()
        self.holds: dict[Hold, object] = {}

    def open(self, address: str, owner: object) -> Hold:
        """Opens a hold without bytes.

        Args:
            address: IP address of the caller.
            owner: Connection that the bytes are held for.
        """
        hold = Hold(self, address)
        self.holds[hold] = owner
        return hold

    def close(self, hold: Hold) -> None:
        """Gives back all that a hold has."""
        hold.release(*Kind)
        self.holds.pop(hold, None)

    def change(self, kind: Kind, change: int) -> None:
        """Adds a change in bytes; called by the holds."""
        self.total += change
        self.amounts[kind] += change

    def check(self) -> None:
        """Checks that the sums are those of the open holds.

        Raises:
            InvariantViolation: They have drifted.
        """
        sums: collections.Counter[Kind] = collections.Counter()
        for hold in self.holds:
            sums.update(hold.list_amounts())
        if self.total != sums.total() or any(
            self.amounts[kind] != sums[kind] or sums[kind] < 0 for kind in Kind
        ):
            raise errors.InvariantViolation(
                'held_memory', f'{self.amounts} of {sums}'
            )
