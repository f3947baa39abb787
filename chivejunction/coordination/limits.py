"""Rate limits of organisations, divided among gateways by demand."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses

from chivejunction import clock
from chivejunction import errors
from chivejunction.protocol import messages
from chivejunction.state import limits
from chivejunction.state import views

# Demand is averaged over this time; exchanges come about once a second.
DEMAND_SECONDS = 2.0
# A gateway not heard for this long is out of contact.
FRESH_SECONDS = 5.0
# Shares held without contact become equal shares after this time: demand has
# moved by then, while every gateway holds the last share for as long.
HOLD_SECONDS = 30.0
# Part of a limit that is divided equally whatever the demand, so that a
# request at a quiet gateway need not wait for an exchange.
EQUAL_PART = 0.1
# Entries of a digest: 32 of about 80 bytes once a second are 2.5 KB/s.
MAX_ENTRIES = 32
# A demand below this many units per second is not worth telling.
MIN_DEMAND = 0.01
REQUESTS, TOKENS = 0, 1
FIELDS = ('requests_per_second', 'tokens_per_second')
NAMES = ('requests', 'tokens')
# Output tokens assumed for a chat that does not name its maximum.
ASSUMED_TOKENS = 256
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(slots=True)
class Report:
    """Demand of another gateway.

    Attributes:
        incarnation: Incarnation of the gateway, rises with each start.
        sequence: Number of the report within the incarnation.
        heard_at: Monotonic time at which it was fresh, in seconds.
        demand: Organisation to requests/s and tokens/s.
    """

    incarnation: int
    sequence: int
    heard_at: float
    demand: dict[str, list[float]]


class Account:
    """Buckets and demand of one organisation at this gateway."""

    def __init__(self):
        self.meters = [limits.Meter(DEMAND_SECONDS) for _ in FIELDS]
        self.buckets: list[limits.TokenBucket | None] = [None, None]
        self.shares: list[float | None] = [None, None]


class Limiter:
    """Admits requests within the limits of their organisations.

    Each gateway owns a share of each limit. The shares of gateways that
    hear each other add up to the limit.

    Args:
        view: Configuration of the gateway.
        gateway: Name of the gateway.
        incarnation: Number of this start of the gateway, rises with time.
        count_gateways: Returns the gateways of the deployment, this one
            included, as far as known.
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
        self._turn = 0
        self._accounts: dict[str, Account] = {}
        self._reports: dict[str, Report] = {}
        self._document = None
        self._limits: dict[str, list[tuple[float | None, float]]] = {}

    def check(self, organisation: str, tokens: float = 0) -> None:
        """Admits a request and takes it from the buckets.

        Args:
            organisation: Name of the organisation.
            tokens: Expected tokens of prompt and answer.

        Raises:
            RefusalError: A limit is reached; the request has not run.
        """
        entries = self._find_limits(organisation)
        if not entries:
            return
        account = self._accounts.setdefault(organisation, Account())
        amounts = (1.0, tokens)
        waits = [0.0, 0.0]
        for kind, amount in enumerate(amounts):
            account.meters[kind].add(amount)
            bucket = self._refresh(organisation, account, kind)
            if bucket is not None:
                waits[kind] = bucket.find_wait(amount)
        wait = max(waits)
        if wait > 0:
            kind = waits.index(wait)
            raise errors.RefusalError(
                'rate_limited',
                f'the limit of {NAMES[kind]} per second is reached',
                retry_after=wait,
            )
        for kind, amount in enumerate(amounts):
            if account.buckets[kind] is not None:
                account.buckets[kind].take(amount)

    def settle(
        self, organisation: str, expected: float, actual: float
    ) -> None:
        """Corrects the tokens of a request when its usage is known."""
        account = self._accounts.get(organisation)
        if account is not None:
            # Later demand is meant, so the meter follows the usage as well.
            account.meters[TOKENS].add(actual - expected)
            if account.buckets[TOKENS] is not None:
                account.buckets[TOKENS].take(actual - expected)

    async def follow(
        self, organisation: str, expected: float, events: AsyncIterator
    ) -> AsyncIterator:
        """Yields the events of an answer and settles its tokens at the end.

        Usage that the answer does not tell is taken to be as expected.
        """
        async with contextlib.aclosing(events):
            async for event in events:
                if isinstance(event, messages.End) and event.usage:
                    self.settle(
                        organisation,
                        expected,
                        event.usage.get('prompt_tokens', 0)
                        + event.usage.get('completion_tokens', 0),
                    )
                yield event

    def share(self, organisation: str, kind: int) -> float | None:
        """Returns this gateway's part of a limit in units/s, None if none.

        Args:
            organisation: Name of the organisation.
            kind: REQUESTS or TOKENS.
        """
        limit = self._combine(organisation, kind)
        if limit is None:
            return None
        rate, _ = limit
        account = self._accounts.setdefault(organisation, Account())
        now = clock.now()
        fresh = self._drop_old(now)
        count = max(self._count_gateways(), len(self._reports) + 1)
        if count == 1:
            return rate
        if not fresh:
            held = self._reports and account.shares[kind] is not None
            return min(rate, account.shares[kind]) if held else rate / count
        own = min(rate, max(0.0, account.meters[kind].rate))
        # More than the whole limit is of no use to a gateway, and retries
        # of refused requests must not draw shares from others.
        total = own + sum(
            min(rate, r.demand.get(organisation, (0.0, 0.0))[kind])
            for r in self._reports.values()
        )
        spare = max(EQUAL_PART * rate, rate - total)
        wanted = (rate - spare) * own / total if total else 0.0
        account.shares[kind] = wanted + spare / count
        return account.shares[kind]

    def digest(self) -> dict:
        """Returns the message for another gateway.

        It holds this gateway's demand and the freshest reports of others, at
        most MAX_ENTRIES, as ``{gateway: [incarnation, sequence, age in
        milliseconds, {organisation: [requests/s, tokens/s]}]}``.
        """
        self._sequence += 1
        now = clock.now()
        demand = {}
        for name, account in self._accounts.items():
            rates = [round(max(0.0, m.rate), 2) for m in account.meters]
            if max(rates) >= MIN_DEMAND:
                demand[name] = rates
        entries = {
            self._gateway: [self._incarnation, self._sequence, 0, demand]
        }
        self._drop_old(now)
        others = sorted(
            self._reports.items(), key=lambda item: -item[1].heard_at
        )
        for name, report in others[: MAX_ENTRIES - 1]:
            entries[name] = [
                report.incarnation,
                report.sequence,
                int(1000 * (now - report.heard_at)),
                report.demand,
            ]
        return entries

    def merge(self, message: dict) -> None:
        """Takes over what is newer in a message of another gateway.

        Raises:
            ProtocolError: The message is malformed.
        """
        now = clock.now()
        try:
            for name, (incarnation, sequence, age, demand) in message.items():
                known = self._reports.get(name)
                if name == self._gateway or age / 1000 >= HOLD_SECONDS:
                    continue
                if known is not None and (incarnation, sequence) <= (
                    known.incarnation,
                    known.sequence,
                ):
                    continue
                self._reports[name] = Report(
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

    def _drop_old(self, now: float) -> bool:
        """Forgets old reports; tells whether any other gateway is heard."""
        newest = 0.0
        for name, report in list(self._reports.items()):
            if now - report.heard_at >= HOLD_SECONDS:
                del self._reports[name]
            newest = max(newest, report.heard_at)
        return now - newest < FRESH_SECONDS

    def _find_limits(self, organisation: str) -> list:
        if self._document is not self._view.document:
            self._document = self._view.document
            self._limits = {}
            for limit in self._view.limits.values():
                self._limits.setdefault(limit.organisation, []).append(limit)
            for name in set(self._accounts) - set(self._limits):
                del self._accounts[name]
        return self._limits.get(organisation, [])

    def _combine(
        self, organisation: str, kind: int
    ) -> tuple[float, float] | None:
        """Returns the strictest rate of a kind and its burst in seconds."""
        found = [
            (getattr(limit, FIELDS[kind]), limit.burst_seconds)
            for limit in self._find_limits(organisation)
            if getattr(limit, FIELDS[kind]) is not None
        ]
        return min(found) if found else None

    def _refresh(
        self, organisation: str, account: Account, kind: int
    ) -> limits.TokenBucket | None:
        limit = self._combine(organisation, kind)
        if limit is None:
            account.buckets[kind] = None
            return None
        rate = self.share(organisation, kind)
        # Less than one request could never be taken.
        burst = max(1.0, rate * limit[1])
        bucket = account.buckets[kind]
        if bucket is None:
            bucket = limits.TokenBucket(rate, burst)
            account.buckets[kind] = bucket
        else:
            bucket.resize(rate, burst)
        return bucket


def expect_tokens(body: bytes, max_tokens: object) -> int:
    """Returns the tokens to expect of a chat before it has run.

    Args:
        body: Request body.
        max_tokens: Most output tokens as the caller gave them; anything but
            a positive integer is ignored.
    """
    if not isinstance(max_tokens, int) or max_tokens <= 0:
        max_tokens = ASSUMED_TOKENS
    return len(body) // BYTES_PER_TOKEN + max_tokens
