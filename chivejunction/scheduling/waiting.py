"""Order in which requests wait for a server with free capacity.

Load pattern: a burst at a plain service with few slots, or at cold servers
that accept some requests a second. Without an order a request with seconds
left takes the place of one that is about to miss its objective, and a routine
call that of an urgent one.
"""

import bisect
import dataclasses
import itertools

# A request that has waited for longer than this goes before all others, so
# that urgent ones cannot starve it.
MAX_WAIT_SECONDS = 0.25


@dataclasses.dataclass(order=True, slots=True)
class Ticket:
    """Place of a waiting request.

    Attributes:
        is_excess: Whether its organisation uses more than its share.
        urgency: Rank of the request; 0 is the most urgent.
        start_by: Monotonic time by which it must start to meet its objective.
        number: Order of arrival.
        waits_since: Monotonic time at which it began to wait.
        service: Service that it waits for.
    """

    is_excess: bool
    urgency: int
    start_by: float
    number: int
    waits_since: float = dataclasses.field(compare=False)
    service: str = dataclasses.field(compare=False)


class WaitingLine:
    """Requests that wait for capacity, in the order in which they may try."""

    def __init__(self):
        self._tickets: list[Ticket] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._tickets)

    def add(
        self,
        service: str,
        urgency: int,
        start_by: float,
        now: float,
        is_excess: bool = False,
    ) -> Ticket:
        """Adds a request and returns its ticket.

        Args:
            service: Service that the request needs.
            urgency: Rank of the request; 0 is the most urgent.
            start_by: Monotonic time by which it must start.
            now: Monotonic time.
            is_excess: Whether its organisation uses more than its share of
                scarce capacity.
        """
        ticket = Ticket(
            is_excess, urgency, start_by, next(self._numbers), now, service
        )
        bisect.insort(self._tickets, ticket)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Removes a request that was sent or gave up."""
        self._tickets.remove(ticket)

    def list_waiting(self, service: str, now: float) -> list[Ticket]:
        """Returns the requests for a service, the next one first.

        Args:
            service: Service that has free capacity.
            now: Monotonic time.
        """
        waiting = [t for t in self._tickets if t.service == service]
        waiting.sort(key=lambda t: now - t.waits_since <= MAX_WAIT_SECONDS)
        return waiting

    def find_longest_wait(self, service: str, now: float) -> float:
        """Returns the seconds for which a request has waited for a service.

        Args:
            service: Service that the requests need.
            now: Monotonic time.
        """
        return max(
            (
                now - t.waits_since
                for t in self._tickets
                if t.service == service
            ),
            default=0.0,
        )
