"""Division of a server's named request rate among gateways.

Load pattern: a server in need says how many requests a second it takes from
all gateways together, often fewer than one for each of them. Limits that each
gateway keeps by itself would let their number times as much through. So a few
gateways, the same in the view of all, each take an equal part, and the others
leave the server to them. No message is needed for that.
"""

from collections.abc import Callable
import math

from chivejunction.state import backends
from chivejunction.state import token_buckets

# Requests that a gateway may send at once: one, or those of this time.
MIN_BURST_REQUESTS = 1.0
BURST_SECONDS = 0.25
# Gateways that share a limit: this many, and one for each request a second.
# More of them could send too many bursts at the same moment; fewer would leave
# more of the gateways without the server.
MIN_SHARING_GATEWAYS = 5


class ServerLimiter:
    """Keeps this gateway's part of the limits that servers name.

    Args:
        count_sharing_gateways: Returns the number of gateways that share a
            server with this one, 0 if this one is not among them, see
            ``gateway_membership.GatewayMembership.count_sharing_gateways``.
    """

    def __init__(self, count_sharing_gateways: Callable[..., int]):
        self._count_sharing_gateways = count_sharing_gateways

    def may_send(self, backend: backends.Backend) -> bool:
        """Returns whether a server may get a request from this gateway."""
        rate = backend.find_rate_limit()
        if rate is None:
            backend.limit_bucket = None
            return True
        gateway_count = self._count_sharing_gateways(
            backend.instance,
            MIN_SHARING_GATEWAYS + math.floor(rate),
            backend.region,
        )
        if not gateway_count or not rate:
            return False
        share = rate / gateway_count
        burst = max(MIN_BURST_REQUESTS, BURST_SECONDS * share)
        bucket = backend.limit_bucket
        if bucket is None:
            # It starts empty: what this gateway sent before it heard of the
            # limit counts too.
            bucket = token_buckets.TokenBucket(share, burst)
            bucket.take(burst)
            backend.limit_bucket = bucket
        elif bucket.rate != share:
            bucket.resize(share, burst)
        return bucket.get_wait_seconds(1) == 0

    @staticmethod
    def record_send(backend: backends.Backend) -> None:
        """Charges a request that is about to be sent."""
        if backend.limit_bucket is not None:
            backend.limit_bucket.take(1)
