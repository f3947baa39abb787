"""Usage records, totals and watermarks."""

import collections
import dataclasses

from chivejunction import errors

# Requests whose bills are remembered for the detection of second records.
MAX_BILLED_REQUESTS = 100_000
# Requests with several attempts that are listed in the saved document.
MAX_MULTI_ATTEMPT_REQUESTS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class UsageRecord:
    """What one finished attempt has used.

    Attributes:
        request: Id of the billed request.
        organisation: Organisation that pays.
        target: Model version or plain service.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens generated.
    """

    request: str
    organisation: str
    target: str
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def pack(self) -> list:
        """Returns the record as a list for a codec."""
        return list(dataclasses.astuple(self))

    @classmethod
    def unpack(cls, packed: list) -> 'UsageRecord':
        """Returns the record of a decoded list.

        Raises:
            ProtocolError: The fields do not fit.
        """
        try:
            record = cls(*packed)
        except TypeError as exc:
            raise errors.ProtocolError(f'malformed usage: {exc}') from exc
        counts = (record.prompt_tokens, record.completion_tokens)
        if not all(isinstance(n, int) and n >= 0 for n in counts):
            raise errors.ProtocolError(f'malformed token counts: {counts}')
        return record


@dataclasses.dataclass(slots=True)
class Total:
    """Cumulative usage of an organisation on a target.

    ``cost`` is in cost units.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cost: float = 0.0

    def add(self, other: 'Total') -> None:
        """Adds another total."""
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.completion_tokens += other.completion_tokens
        self.cost += other.cost


@dataclasses.dataclass(slots=True)
class Bill:
    """A record that was billed and is not yet in the store."""

    stream: str
    number: int
    record: UsageRecord
    total: Total


class GatewayLedger:
    """Usage that a gateway has billed in its incarnation.

    ``saved`` holds what the store has; ``pending`` what came since. The
    watermark of a stream is the highest number up to which all records are
    billed or dropped.
    """

    def __init__(self):
        self.saved_totals: dict[str, dict[str, Total]] = {}
        self.saved_watermarks: dict[str, int] = {}
        self.watermarks: dict[str, int] = {}
        self.handed_over_streams: set[str] = set()
        self.pending_bills: list[Bill] = []
        self.multi_attempt_requests: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._billed_targets: collections.OrderedDict[str, set[str]] = (
            collections.OrderedDict()
        )

    def mark_contested(self, request: str) -> None:
        """Notes that a request has had more than one attempt.

        After a handover two agents may hold a record of such a request; the
        saved document lists those that are billed.
        """
        self.multi_attempt_requests[request] = None
        if len(self.multi_attempt_requests) > MAX_MULTI_ATTEMPT_REQUESTS:
            self.multi_attempt_requests.popitem(last=False)

    def add(
        self, stream: str, number: int, record: UsageRecord, cost: float
    ) -> bool:
        """Bills a record unless it is known.

        Args:
            stream: Numbering of the agent.
            number: Number of the record, rising by one.
            record: The record.
            cost: Cost of the record in cost units.

        Returns:
            Whether the record was billed.

        Raises:
            ProtocolError: A number is missing before this one.
        """
        watermark = self.watermarks.get(stream, 0)
        if number <= watermark or stream in self.handed_over_streams:
            return False
        if number != watermark + 1:
            raise errors.ProtocolError(
                f'usage {number} of {stream} follows {watermark}'
            )
        self.watermarks[stream] = number
        targets = self._billed_targets.get(record.request)
        if targets is not None and record.target in targets:
            return False
        total = Total(
            requests=0 if targets else 1,
            prompt_tokens=record.prompt_tokens,
            completion_tokens=record.completion_tokens,
            cost=cost,
        )
        self._add_billed_target(record)
        self.pending_bills.append(Bill(stream, number, record, total))
        return True

    def _add_billed_target(self, record: UsageRecord) -> None:
        targets = self._billed_targets.setdefault(record.request, set())
        if record.target in targets:
            raise errors.InvariantViolation(
                'billed_once', f'{record.request} is billed twice'
            )
        targets.add(record.target)
        if len(self._billed_targets) > MAX_BILLED_REQUESTS:
            self._billed_targets.popitem(last=False)

    def get_billed_multi_attempt_targets(self) -> dict[str, list[str]]:
        """Returns the billed targets of requests with several attempts."""
        return {
            request: sorted(self._billed_targets[request])
            for request in self.multi_attempt_requests
            if request in self._billed_targets
        }

    def totals(self) -> dict[str, dict[str, Total]]:
        """Returns saved and pending usage by organisation and target."""
        merged = {
            organisation: {
                target: dataclasses.replace(total)
                for target, total in targets.items()
            }
            for organisation, targets in self.saved_totals.items()
        }
        for bill in self.pending_bills:
            record = bill.record
            merged.setdefault(record.organisation, {}).setdefault(
                record.target, Total()
            ).add(bill.total)
        return merged

    def confirm_saved(
        self,
        totals: dict[str, dict[str, Total]],
        watermarks: dict[str, int],
        count: int,
    ) -> None:
        """Records that the store holds the first pending bills.

        Args:
            totals: What was written.
            watermarks: Watermarks that were written.
            count: Number of pending bills that are included.
        """
        self.saved_totals = totals
        self.saved_watermarks = watermarks
        del self.pending_bills[:count]

    def drop_handed_over(self, streams: set[str]) -> int:
        """Drops pending bills of streams that were handed over.

        Returns:
            The number of bills dropped; another gateway has saved them.
        """
        self.handed_over_streams |= streams
        remaining = [b for b in self.pending_bills if b.stream not in streams]
        dropped = len(self.pending_bills) - len(remaining)
        self.pending_bills = remaining
        for stream in streams:
            self.watermarks.pop(stream, None)
        return dropped


@dataclasses.dataclass(slots=True)
class RecordStream:
    """Records of an agent for one gateway incarnation.

    ``first`` is the number of the oldest kept record, ``sent`` the highest
    number sent over the present link.
    """

    name: str
    gateway: str
    incarnation: str
    records: collections.deque[UsageRecord] = dataclasses.field(
        default_factory=collections.deque
    )
    first_number: int = 1
    last_sent_number: int = 0

    @property
    def last_number(self) -> int:
        """Number of the newest record."""
        return self.first_number + len(self.records) - 1

    def append(self, record: UsageRecord) -> None:
        """Adds a record under the next number."""
        self.records.append(record)

    def list_unsent(self) -> list[tuple[int, UsageRecord]]:
        """Returns numbers and records beyond what was sent."""
        start = max(self.last_sent_number + 1, self.first_number)
        return [
            (number, self.records[number - self.first_number])
            for number in range(start, self.last_number + 1)
        ]

    def drop_saved(self, number: int) -> None:
        """Drops the records up to a number; the store has them."""
        while self.records and self.first_number <= number:
            self.records.popleft()
            self.first_number += 1
        self.last_sent_number = max(
            self.last_sent_number, self.first_number - 1
        )


class AgentLedger:
    """Records that an agent keeps until the store has them.

    Args:
        incarnation: Incarnation of the agent, part of the stream names.
    """

    def __init__(self, incarnation: str):
        self._incarnation = incarnation
        self._stream_count = 0
        self._streams: dict[tuple[str, str], RecordStream] = {}

    def append(
        self, gateway: str, incarnation: str, record: UsageRecord
    ) -> None:
        """Keeps a record for the gateway incarnation that sent the call."""
        self.get_or_create_stream(gateway, incarnation).append(record)

    def get_or_create_stream(
        self, gateway: str, incarnation: str
    ) -> RecordStream:
        """Returns the stream for a gateway incarnation."""
        key = (gateway, incarnation)
        if key not in self._streams:
            self._stream_count += 1
            self._streams[key] = RecordStream(
                f'{self._incarnation}.{self._stream_count}',
                gateway,
                incarnation,
            )
        return self._streams[key]

    def find_stream(self, name: str) -> RecordStream | None:
        """Returns the stream with a name, or None."""
        for stream in self._streams.values():
            if stream.name == name:
                return stream
        return None

    def close_stream(self, name: str, number: int) -> None:
        """Ends a stream after a handover.

        Records beyond the number that was handed over go to a new stream,
        so that a gateway which comes back does not take their numbers for
        known ones.
        """
        stream = self.find_stream(name)
        if stream is None:
            return
        stream.drop_saved(number)
        del self._streams[(stream.gateway, stream.incarnation)]
        for record in stream.records:
            self.append(stream.gateway, stream.incarnation, record)

    def drop_empty_stream(self, gateway: str, incarnation: str) -> None:
        """Forgets the stream of a gone gateway if it has no records."""
        stream = self._streams.get((gateway, incarnation))
        if stream is not None and not stream.records:
            del self._streams[(gateway, incarnation)]

    def __iter__(self):
        return iter(list(self._streams.values()))

    def count(self) -> int:
        """Returns the number of records kept."""
        return sum(len(s.records) for s in self._streams.values())
