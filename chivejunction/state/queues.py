"""Start-time fair queue over organisations."""

from collections.abc import Iterator
import dataclasses
import heapq
import itertools
from typing import Any

# Keeps the order by weight before the first run time is known.
MIN_COST = 0.001


@dataclasses.dataclass(slots=True)
class Place:
    """A waiting place.

    Attributes:
        flow: Name of the organisation.
        weight: Share of the organisation, above zero.
        priority: Priority within the organisation, higher first.
        item: What waits.
        order: Position by arrival.
        dropped: Whether the place was given up.
    """

    flow: str
    weight: float
    priority: int
    item: Any
    order: int = 0
    dropped: bool = False


@dataclasses.dataclass(slots=True)
class Flow:
    """Waiting places of one organisation.

    ``start`` is the virtual time at which its next place is due.
    """

    weight: float
    start: float = 0.0
    heap: list[tuple[int, int, Place]] = dataclasses.field(
        default_factory=list
    )
    length: int = 0

    def drop_heads(self) -> None:
        """Removes given-up places from the top of the heap."""
        while self.heap and self.heap[0][2].dropped:
            heapq.heappop(self.heap)


class FairQueue:
    """Queue that serves organisations by weight.

    The flow with the lowest start tag is served next; a served flow's tag
    moves on by cost / weight. A flow that was idle starts at the present
    virtual time, so idle time earns no credit.
    """

    def __init__(self):
        self._flows: dict[str, Flow] = {}
        self._virtual = 0.0
        self._order = itertools.count()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Place]:
        for flow in self._flows.values():
            for _, _, place in flow.heap:
                if not place.dropped:
                    yield place

    def push(self, place: Place) -> None:
        """Adds a place at the end of its priority in its flow."""
        place.order = next(self._order)
        flow = self._flows.setdefault(place.flow, Flow(place.weight))
        if flow.length == 0:
            flow.start = max(flow.start, self._virtual)
        flow.weight = place.weight
        heapq.heappush(flow.heap, (-place.priority, place.order, place))
        flow.length += 1
        self._length += 1

    def pop(self, cost: float) -> Place | None:
        """Removes the place that is due, or returns None.

        Args:
            cost: Expected use of the server, in seconds.
        """
        cost = max(cost, MIN_COST)
        waiting = [f for f in self._flows.values() if f.length]
        if not waiting:
            return None
        flow = min(waiting, key=lambda f: f.start)
        flow.drop_heads()
        place = heapq.heappop(flow.heap)[2]
        self._virtual = max(self._virtual, flow.start)
        flow.start += cost / flow.weight
        self._remove(place, flow)
        return place

    def charge(self, name: str, cost: float) -> None:
        """Corrects the expected cost of a served place by the real one.

        Args:
            name: Name of the organisation.
            cost: Real less expected seconds; negative for a refund.
        """
        flow = self._flows.get(name)
        if flow is not None:
            flow.start += cost / flow.weight
        self._forget_idle()

    def drop(self, place: Place) -> None:
        """Gives up a waiting place."""
        if not place.dropped:
            self._remove(place, self._flows[place.flow])

    def count_ahead(self, name: str, weight: float, priority: int) -> float:
        """Returns how many places are served before a new one.

        Args:
            name: Organisation of the new place.
            weight: Share of the organisation.
            priority: Priority of the new place.
        """
        own = sum(1 for p in self if p.flow == name and p.priority >= priority)
        turns = (own + 1) / weight
        return own + sum(
            min(flow.length, turns * flow.weight)
            for other, flow in self._flows.items()
            if other != name and flow.length
        )

    def find_excess(self, name: str, weight: float) -> Place | None:
        """Returns the place to push out for a newcomer to a full queue.

        It is the last place of the lowest priority of the organisation
        that waits with the most places for its weight. None when that is
        the newcomer's own organisation.
        """
        lengths = {
            other: flow.length / flow.weight
            for other, flow in self._flows.items()
            if flow.length
        }
        if not lengths:
            return None
        largest = max(lengths, key=lengths.__getitem__)
        mine = self._flows.get(name)
        newcomer = ((mine.length if mine else 0) + 1) / weight
        if largest == name or lengths[largest] <= newcomer:
            return None
        places = (p for p in self if p.flow == largest)
        return min(places, key=lambda p: (p.priority, -p.order))

    def _remove(self, place: Place, flow: Flow) -> None:
        place.dropped = True
        flow.length -= 1
        self._length -= 1
        flow.drop_heads()

    def _forget_idle(self) -> None:
        if not self._length:
            self._virtual = max(
                [self._virtual, *(f.start for f in self._flows.values())]
            )
        # A flow without debt behaves like a new one.
        for name, flow in list(self._flows.items()):
            if not flow.length and flow.start <= self._virtual:
                del self._flows[name]
