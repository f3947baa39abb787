"""Links between engines, as far as this gateway's copies use them."""

from collections.abc import Callable

from chivejunction import clock
from chivejunction.state import token_buckets

# Part of the servers' links that copies of all gateways together may use. The
# rest is for what servers and operators move.
COPY_LINK_SHARE = 0.01
# Time over which unused parts may be saved up.
BURST_SECONDS = 5.0


class CopyLinks:
    """Budget of copied bytes, and copies that are queued on a link.

    Args:
        count_gateways: Returns the number of gateways, which share the budget
            in equal parts.
    """

    def __init__(self, count_gateways: Callable[[], int]):
        self._count_gateways = count_gateways
        self._buckets: dict[str, token_buckets.TokenBucket] = {}
        # Monotonic time until which the link of a server is in use.
        self._busy_until: dict[str, float] = {}

    def has_budget(
        self, service: str, server_count: int, bytes_per_second: float
    ) -> bool:
        """Returns whether the servers' links may carry another copy.

        A copy may be larger than what is left; the next ones then wait.

        Args:
            service: Service of the servers.
            server_count: Number of its servers.
            bytes_per_second: Rate of the link of one server.
        """
        rate = COPY_LINK_SHARE * server_count * bytes_per_second
        rate /= max(1, self._count_gateways())
        burst = BURST_SECONDS * rate
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = token_buckets.TokenBucket(rate, burst)
            self._buckets[service] = bucket
        elif bucket.rate != rate:
            bucket.resize(rate, burst)
        return bucket.level > 0

    def estimate_queue(self, source: str, target: str) -> float:
        """Returns the seconds until the links of both servers are free."""
        busy_until = max(
            self._busy_until.get(source, 0.0),
            self._busy_until.get(target, 0.0),
        )
        return max(0.0, busy_until - clock.now())

    def start_copy(
        self,
        service: str,
        source: str,
        target: str,
        copied_bytes: float,
        seconds: float,
    ) -> None:
        """Charges a copy to the budget and queues it on both links.

        Args:
            service: Service of the servers.
            source: Instance id of the server that has the prefix.
            target: Instance id of the server that copies it.
            copied_bytes: Size of the copy.
            seconds: Time that it takes on a free link.
        """
        if service in self._buckets:
            self._buckets[service].take(copied_bytes)
        now = clock.now()
        ends_at = now + self.estimate_queue(source, target) + seconds
        for instance, busy_until in list(self._busy_until.items()):
            if busy_until <= now:
                del self._busy_until[instance]
        self._busy_until[source] = self._busy_until[target] = ends_at
