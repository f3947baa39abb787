"""Rate limits of organisations, divided among gateways by demand."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import messages
from chivejunction.state import token_buckets
from chivejunction.state import views

# Time constant of the averages of demand. Gateways exchange their demand
# about once a second.
DEMAND_TIME_CONSTANT_SECONDS = 2.0
# Without any report newer than this, a gateway has lost contact with the
# others and keeps its last share.
CONTACT_TIMEOUT_SECONDS = 5.0
# Reports expire after this time. Without contact, gateways then return to
# equal shares: demand has moved by then, and every gateway keeps its last
# share for the same time.
REPORT_TTL_SECONDS = 30.0
# Fraction of a limit that is divided equally whatever the demand, so that a
# request at an idle gateway need not wait for an exchange.
MIN_EQUAL_FRACTION = 0.1
# 32 reports of about 80 bytes once a second are 2.5 KB/s.
MAX_DIGEST_REPORTS = 32
# Demand below this many units per second is left out of digests.
MIN_REPORTED_DEMAND = 0.01
# Kinds of limits, as indexes.
REQUESTS, TOKENS = 0, 1
LIMIT_FIELDS = ('requests_per_second', 'tokens_per_second')
UNIT_NAMES = ('requests', 'tokens')
# Output tokens assumed for a chat request without a maximum.
DEFAULT_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(slots=True)
class DemandReport:
    """Demand of another gateway.

    Attributes:
        incarnation: Incarnation of the gateway, increases with each start.
        sequence: Number of the report within the incarnation.
        created_at: Monotonic time at which the gateway created it, in
            seconds.
        demand: Organisation to requests/s and tokens/s.
    """

    incarnation: int
    sequence: int
    created_at: float
    demand: dict[str, list[float]]


class OrganisationState:
    """State of one organisation at this gateway.

    The lists are indexed by REQUESTS and TOKENS.

    Attributes:
        meters: Demand in units/s.
        buckets: Token buckets, None where there is no limit.
        shares: Last shares in units/s that were divided by demand.
    """

    def __init__(self):
        self.meters = [
            token_buckets.RateMeter(DEMAND_TIME_CONSTANT_SECONDS)
            for _ in LIMIT_FIELDS
        ]
        self.buckets: list[token_buckets.TokenBucket | None] = [None, None]
        self.shares: list[float | None] = [None, None]


class RateLimiter:
    """Admits requests within the limits of their organisations.

    Each gateway owns a share of each limit. The shares of gateways that are
    in contact add up to the limit.

    Args:
        view: Configuration of the gateway.
        gateway: Name of the gateway.
        incarnation: Number of this start of the gateway, increases with
            each start.
        count_gateways: Returns the number of known gateways of the
            deployment, including this one.
    """

    def __init__(
        self,
        view: views.ConfigView,
        gateway: str,
        incarnation: int,
        count_gateways: Callable[[], int] = lambda: 1,
    ):
        self._view = view
        self._gateway = gateway
        self._incarnation = incarnation
        self._count_gateways = count_gateways
        self._sequence = 0
        self._states: dict[str, OrganisationState] = {}
        self._reports: dict[str, DemandReport] = {}
        self._document = None
        self._limits: dict[str, list[tuple[float | None, float]]] = {}

    def acquire(self, organisation: str, tokens: float = 0) -> None:
        """Admits a request and takes its units from the buckets.

        Args:
            organisation: Name of the organisation.
            tokens: Estimated tokens of prompt and response.

        Raises:
            RefusalError: A limit is exceeded; the request has not run.
        """
        entries = self._get_limits(organisation)
        if not entries:
            return
        state = self._states.setdefault(organisation, OrganisationState())
        amounts = (1.0, tokens)
        waits = [0.0, 0.0]
        for kind, amount in enumerate(amounts):
            state.meters[kind].add(amount)
            bucket = self._update_bucket(organisation, state, kind)
            if bucket is not None:
                waits[kind] = bucket.get_wait_seconds(amount)
        wait = max(waits)
        if wait > 0:
            kind = waits.index(wait)
            raise errors.RefusalError(
                'rate_limited',
                f'the limit of {UNIT_NAMES[kind]} per second is reached',
                retry_after=wait,
            )
        for kind, amount in enumerate(amounts):
            if state.buckets[kind] is not None:
                state.buckets[kind].take(amount)

    def correct_tokens(
        self, organisation: str, estimated: float, actual: float
    ) -> None:
        """Corrects the tokens of a request once its usage is known.

        Args:
            organisation: Name of the organisation.
            estimated: Tokens taken when the request was admitted.
            actual: Tokens that it used.
        """
        state = self._states.get(organisation)
        if state is not None:
            # The meter predicts later demand, so it follows the usage too.
            state.meters[TOKENS].add(actual - estimated)
            if state.buckets[TOKENS] is not None:
                state.buckets[TOKENS].take(actual - estimated)

    async def track_usage(
        self, organisation: str, estimated: float, events: AsyncIterator
    ) -> AsyncIterator:
        """Yields the events of a response and corrects its tokens at the end.

        Without reported usage the estimate stands.

        Args:
            organisation: Name of the organisation.
            estimated: Tokens taken when the request was admitted.
            events: Events of the response.
        """
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, messages.End) and event.usage:
                    self.correct_tokens(
                        organisation,
                        estimated,
                        event.usage.get('prompt_tokens', 0)
                        + event.usage.get('completion_tokens', 0),
                    )
                yield event

    def compute_share(self, organisation: str, kind: int) -> float | None:
        """Returns the share of this gateway in units/s, None without a limit.

        Args:
            organisation: Name of the organisation.
            kind: REQUESTS or TOKENS.
        """
        limit = self._find_lowest_rate(organisation, kind)
        if limit is None:
            return None
        rate, _ = limit
        state = self._states.setdefault(organisation, OrganisationState())
        now = clock.now()
        has_contact = self._remove_expired_reports(now)
        count = max(self._count_gateways(), len(self._reports) + 1)
        if count == 1:
            return rate
        if not has_contact:
            has_share = self._reports and state.shares[kind] is not None
            return min(rate, state.shares[kind]) if has_share else rate / count
        own_demand = min(rate, max(0.0, state.meters[kind].rate))
        # A gateway cannot use more than the whole limit, and retries of
        # refused requests must not attract shares of other gateways.
        total_demand = own_demand + sum(
            min(rate, r.demand.get(organisation, (0.0, 0.0))[kind])
            for r in self._reports.values()
        )
        spare = max(MIN_EQUAL_FRACTION * rate, rate - total_demand)
        by_demand = (
            (rate - spare) * own_demand / total_demand if total_demand else 0.0
        )
        state.shares[kind] = by_demand + spare / count
        return state.shares[kind]

    def digest(self) -> dict:
        """Returns the demand message for another gateway.

        It holds the demand of this gateway and the newest reports of others,
        at most MAX_DIGEST_REPORTS in total, as ``{gateway: [incarnation,
        sequence, age in milliseconds, {organisation: [requests/s,
        tokens/s]}]}``.
        """
        self._sequence += 1
        now = clock.now()
        demand = {}
        for name, state in self._states.items():
            rates = [round(max(0.0, m.rate), 2) for m in state.meters]
            if max(rates) >= MIN_REPORTED_DEMAND:
                demand[name] = rates
        entries = {
            self._gateway: [self._incarnation, self._sequence, 0, demand]
        }
        self._remove_expired_reports(now)
        others = sorted(
            self._reports.items(), key=lambda item: -item[1].created_at
        )
        for name, report in others[: MAX_DIGEST_REPORTS - 1]:
            entries[name] = [
                report.incarnation,
                report.sequence,
                int(1000 * (now - report.created_at)),
                report.demand,
            ]
        return entries

    def merge(self, message: dict) -> None:
        """Stores the reports of a message that are newer than known ones.

        Args:
            message: Message of another gateway, see ``digest``.

        Raises:
            ProtocolError: The message is malformed.
        """
        now = clock.now()
        try:
            for name, (incarnation, sequence, age, demand) in message.items():
                known = self._reports.get(name)
                if name == self._gateway or age / 1000 >= REPORT_TTL_SECONDS:
                    continue
                if known is not None and (incarnation, sequence) <= (
                    known.incarnation,
                    known.sequence,
                ):
                    continue
                self._reports[name] = DemandReport(
                    int(incarnation),
                    int(sequence),
                    now - max(0, age) / 1000,
                    {
                        str(k): [max(0.0, float(r)), max(0.0, float(t))]
                        for k, (r, t) in demand.items()
                    },
                )
        except (AttributeError, TypeError, ValueError) as exc:
            raise errors.ProtocolError(f'malformed demand: {exc}') from exc

    def _remove_expired_reports(self, now: float) -> bool:
        """Removes expired reports.

        Returns:
            Whether any other gateway is in contact.
        """
        newest = 0.0
        for name, report in list(self._reports.items()):
            if now - report.created_at >= REPORT_TTL_SECONDS:
                del self._reports[name]
            newest = max(newest, report.created_at)
        return now - newest < CONTACT_TIMEOUT_SECONDS

    def _get_limits(self, organisation: str) -> list:
        if self._document is not self._view.document:
            self._document = self._view.document
            self._limits = {}
            for limit in self._view.limits.values():
                self._limits.setdefault(limit.organisation, []).append(limit)
            for name in set(self._states) - set(self._limits):
                del self._states[name]
        return self._limits.get(organisation, [])

    def _find_lowest_rate(
        self, organisation: str, kind: int
    ) -> tuple[float, float] | None:
        """Returns the lowest rate of a kind and its burst in seconds."""
        candidates = [
            (getattr(limit, LIMIT_FIELDS[kind]), limit.burst_seconds)
            for limit in self._get_limits(organisation)
            if getattr(limit, LIMIT_FIELDS[kind]) is not None
        ]
        return min(candidates) if candidates else None

    def _update_bucket(
        self, organisation: str, state: OrganisationState, kind: int
    ) -> token_buckets.TokenBucket | None:
        limit = self._find_lowest_rate(organisation, kind)
        if limit is None:
            state.buckets[kind] = None
            return None
        rate = self.compute_share(organisation, kind)
        # A bucket that holds less than one request would never admit any.
        burst = max(1.0, rate * limit[1])
        bucket = state.buckets[kind]
        if bucket is None:
            bucket = token_buckets.TokenBucket(rate, burst)
            state.buckets[kind] = bucket
        else:
            bucket.resize(rate, burst)
        return bucket


def estimate_tokens(body: bytes, max_tokens: object) -> int:
    """Returns the estimated tokens of prompt and response of a chat request.

    Args:
        body: Request body.
        max_tokens: Maximum of output tokens as sent by the caller; anything
            but a positive integer is ignored.
    """
    if not isinstance(max_tokens, int) or max_tokens <= 0:
        max_tokens = DEFAULT_OUTPUT_TOKENS
    return len(body) // BYTES_PER_TOKEN + max_tokens
