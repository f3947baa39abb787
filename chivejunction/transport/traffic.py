"""Counters of the control traffic of this process."""

import collections


class Traffic:
    """Bytes and calls by kind since the process started.

    Attributes:
        sent: Bytes sent.
        received: Bytes received.
        calls: Number of calls.
    """

    def __init__(self):
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.calls: collections.Counter[str] = collections.Counter()

    def count(self, kind: str, sent: int, received: int) -> None:
        """Counts one call.

        Args:
            kind: Kind of the call.
            sent: Size of the sent payload in bytes.
            received: Size of the received payload in bytes.
        """
        self.calls[kind] += 1
        self.sent[kind] += sent
        self.received[kind] += received

    def describe(self) -> dict[str, dict[str, int]]:
        """Returns the counts by direction and kind."""
        return {
            'sent': dict(self.sent),
            'received': dict(self.received),
            'calls': dict(self.calls),
        }


CONTROL = Traffic()
