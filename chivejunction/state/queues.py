"""Start-time fair queueing over organisations.

Each organisation is a flow with a weight. The terms start tag and virtual
time are those of start-time fair queueing (SFQ).
"""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
from typing import Any

# A cost of zero would not advance the start tags, so the weights would have
# no effect until the first run time is known.
MIN_COST_SECONDS = 0.001


@dataclasses.dataclass(slots=True)
class QueueEntry:
    """Entry of the queue.

    Attributes:
        flow: Name of the organisation.
        weight: Weight of the organisation, above zero.
        priority: Priority within the organisation, higher first.
        item: Queued object.
        sequence: Arrival number, set when the entry is pushed.
        is_removed: Whether the entry has left the queue. It may stay in the
            heap of its flow until it reaches the top.
    """

    flow: str
    weight: float
    priority: int
    item: Any
    sequence: int = 0
    is_removed: bool = False


@dataclasses.dataclass(slots=True)
class Flow:
    """Queued entries of one organisation.

    Attributes:
        weight: Weight of the organisation.
        start_tag: Virtual time at which its next entry is due.
        heap: Entries by priority, then by arrival.
        length: Number of entries that were not removed.
    """

    weight: float
    start_tag: float = 0.0
    heap: list[tuple[int, int, QueueEntry]] = dataclasses.field(
        default_factory=list
    )
    length: int = 0

    def pop_removed(self) -> None:
        """Pops removed entries off the top of the heap."""
        while self.heap and self.heap[0][2].is_removed:
            heapq.heappop(self.heap)


class FairQueue:
    """Queue that serves organisations in proportion to their weights.

    The flow with the lowest start tag is served next, and its tag then
    advances by cost / weight. The tag of a flow that was idle is raised to
    the current virtual time, so that idle time earns no credit.
    """

    def __init__(self):
        self._flows: dict[str, Flow] = {}
        self._virtual_time = 0.0
        self._sequence_numbers = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[QueueEntry]:
        for flow in self._flows.values():
            for _, _, entry in flow.heap:
                if not entry.is_removed:
                    yield entry

    def push(self, entry: QueueEntry) -> None:
        """Appends an entry to those of equal priority in its flow."""
        entry.sequence = next(self._sequence_numbers)
        flow = self._flows.setdefault(entry.flow, Flow(entry.weight))
        if flow.length == 0:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
        flow.weight = entry.weight
        heapq.heappush(flow.heap, (-entry.priority, entry.sequence, entry))
        flow.length += 1
        self._length += 1

    def pop(self, cost: float) -> QueueEntry | None:
        """Removes and returns the next entry, or None if there is none.

        Args:
            cost: Expected run time on the server, in seconds.
        """
        cost = max(cost, MIN_COST_SECONDS)
        waiting = [f for f in self._flows.values() if f.length]
        if not waiting:
            return None
        flow = min(waiting, key=lambda f: f.start_tag)
        flow.pop_removed()
        entry = heapq.heappop(flow.heap)[2]
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += cost / flow.weight
        self._mark_removed(entry, flow)
        return entry

    def charge(self, name: str, cost: float) -> None:
        """Charges the difference between actual and expected cost.

        Args:
            name: Name of the organisation.
            cost: Actual minus expected seconds; negative for a refund.
        """
        flow = self._flows.get(name)
        if flow is not None:
            flow.start_tag += cost / flow.weight
        self._remove_idle_flows()

    def remove(self, entry: QueueEntry) -> None:
        """Removes an entry; does nothing if it has left the queue."""
        if not entry.is_removed:
            self._mark_removed(entry, self._flows[entry.flow])

    def count_ahead(self, name: str, weight: float, priority: int) -> float:
        """Returns the number of entries expected before a new one.

        Args:
            name: Organisation of the new entry.
            weight: Weight of the organisation.
            priority: Priority of the new entry.
        """
        own_ahead = sum(
            1 for e in self if e.flow == name and e.priority >= priority
        )
        rounds = (own_ahead + 1) / weight
        return own_ahead + sum(
            min(flow.length, rounds * flow.weight)
            for other, flow in self._flows.items()
            if other != name and flow.length
        )

    def find_eviction_candidate(
        self, name: str, weight: float
    ) -> QueueEntry | None:
        """Returns the entry to evict from a full queue for a new entry.

        It is the newest entry of the lowest priority of the organisation
        with the most entries for its weight. None if the organisation of the
        new entry would have at least as many for its weight.

        Args:
            name: Organisation of the new entry.
            weight: Weight of that organisation.
        """
        lengths = {
            other: flow.length / flow.weight
            for other, flow in self._flows.items()
            if flow.length
        }
        if not lengths:
            return None
        longest = max(lengths, key=lengths.__getitem__)
        own_flow = self._flows.get(name)
        new_length = ((own_flow.length if own_flow else 0) + 1) / weight
        if longest == name or lengths[longest] <= new_length:
            return None
        entries = (e for e in self if e.flow == longest)
        return min(entries, key=lambda e: (e.priority, -e.sequence))

    def _mark_removed(self, entry: QueueEntry, flow: Flow) -> None:
        entry.is_removed = True
        flow.length -= 1
        self._length -= 1
        flow.pop_removed()

    def _remove_idle_flows(self) -> None:
        if not self._length:
            self._virtual_time = max(
                [
                    self._virtual_time,
                    *(f.start_tag for f in self._flows.values()),
                ]
            )
        # A flow whose tag is not ahead of the virtual time behaves like a new
        # flow, so its state need not be kept.
        for name, flow in list(self._flows.items()):
            if not flow.length and flow.start_tag <= self._virtual_time:
                del self._flows[name]
