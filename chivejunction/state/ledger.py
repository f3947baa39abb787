"""Usage records, billed totals and watermarks of record streams."""

import collections
import dataclasses

from chivejunction import errors

# Number of latest billed requests kept to detect duplicate records.
MAX_BILLED_REQUESTS = 100_000
# Number of latest requests with several attempts kept for the usage document.
MAX_MULTI_ATTEMPT_REQUESTS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class UsageRecord:
    """Usage of one finished attempt.

    Attributes:
        request: Id of the billed request.
        organisation: Organisation that is billed.
        target: Model version or plain service.
        prompt_tokens: Number of tokens in the prompt.
        completion_tokens: Number of generated tokens.
    """

    request: str
    organisation: str
    target: str
    prompt_tokens: int = 0
    completion_tokens: int = 0

    def pack(self) -> list:
        """Returns the field values in order, ready for encoding."""
        return list(dataclasses.astuple(self))

    @classmethod
    def unpack(cls, packed: list) -> 'UsageRecord':
        """Returns the record that `pack` turned into a list.

        Args:
            packed: Field values in order.

        Raises:
            ProtocolError: The number of values is wrong, or a token count is
                not a non-negative integer.
        """
        try:
            record = cls(*packed)
        except TypeError as exc:
            raise errors.ProtocolError(
                f'malformed usage record: {exc}'
            ) from exc
        counts = (record.prompt_tokens, record.completion_tokens)
        if not all(isinstance(n, int) and n >= 0 for n in counts):
            raise errors.ProtocolError(
                f'token counts must be non-negative integers, got {counts}'
            )
        return record


@dataclasses.dataclass(slots=True)
class Total:
    """Cumulative usage of a target by an organisation.

    Attributes:
        requests: Number of billed requests.
        prompt_tokens: Number of prompt tokens.
        completion_tokens: Number of generated tokens.
        cost: Cost in cost units.
    """

    requests: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cost: float = 0.0

    def add(self, other: 'Total') -> None:
        """Adds the values of another total to this one."""
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.completion_tokens += other.completion_tokens
        self.cost += other.cost


@dataclasses.dataclass(slots=True)
class Bill:
    """A billed record that is not known to be in the store yet.

    Attributes:
        stream: Name of the record stream.
        number: Sequence number in the stream.
        record: The billed record.
        total: What the record adds to the total of its target.
    """

    stream: str
    number: int
    record: UsageRecord
    total: Total


class GatewayLedger:
    """Usage billed by one incarnation of a gateway.

    The watermark of a stream is the highest sequence number up to which all
    records are billed or dropped.

    Attributes:
        saved_totals: Totals in the store, by organisation and target.
        saved_watermarks: Watermarks in the store, by stream name.
        watermarks: Current watermarks by stream name.
        handed_over_streams: Names of streams that another gateway has taken
            over; their records are ignored.
        pending_bills: Bills that are not in ``saved_totals`` yet.
        multi_attempt_requests: Ids of requests with several attempts, oldest
            first.
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

    def mark_multiple_attempts(self, request: str) -> None:
        """Marks a request as having more than one attempt.

        After a handover two agents may hold a record of such a request. The
        usage document therefore lists the billed ones, so that the gateway
        that takes over does not bill them again.

        Args:
            request: Id of the request.
        """
        self.multi_attempt_requests[request] = None
        if len(self.multi_attempt_requests) > MAX_MULTI_ATTEMPT_REQUESTS:
            self.multi_attempt_requests.popitem(last=False)

    def add(
        self, stream: str, number: int, record: UsageRecord, cost: float
    ) -> bool:
        """Bills a record unless it is a duplicate.

        Args:
            stream: Name of the record stream.
            number: Sequence number of the record, which rises by one.
            record: The record to bill.
            cost: Cost of the record in cost units.

        Returns:
            Whether the record was billed.

        Raises:
            ProtocolError: The number leaves a gap after the watermark.
        """
        watermark = self.watermarks.get(stream, 0)
        if number <= watermark or stream in self.handed_over_streams:
            return False
        if number != watermark + 1:
            raise errors.ProtocolError(
                f'gap in usage stream {stream}: got record {number}'
                f' after {watermark}'
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
        """Returns billed targets of requests with several attempts, by id."""
        return {
            request: sorted(self._billed_targets[request])
            for request in self.multi_attempt_requests
            if request in self._billed_targets
        }

    def totals(self) -> dict[str, dict[str, Total]]:
        """Returns saved plus pending usage by organisation and target."""
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
        """Records a successful write and drops the bills that it included.

        Args:
            totals: Written totals by organisation and target.
            watermarks: Written watermarks by stream name.
            count: Number of oldest pending bills included in the totals.
        """
        self.saved_totals = totals
        self.saved_watermarks = watermarks
        del self.pending_bills[:count]

    def drop_handed_over(self, streams: set[str]) -> int:
        """Drops pending bills of streams that were handed over.

        Args:
            streams: Names of the streams.

        Returns:
            Number of dropped bills. The gateway that took over the streams
            saves these records.
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
    """Numbered usage records of an agent for one gateway incarnation.

    Attributes:
        name: Name of the stream, unique among all agents.
        gateway: Name of the gateway.
        incarnation: Incarnation of the gateway.
        records: Records that are not known to be in the store, oldest first.
        first_number: Sequence number of the oldest kept record.
        last_sent_number: Highest number sent over the current link.
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
        """Sequence number of the newest record."""
        return self.first_number + len(self.records) - 1

    def append(self, record: UsageRecord) -> None:
        """Appends a record with the next sequence number."""
        self.records.append(record)

    def list_unsent(self) -> list[tuple[int, UsageRecord]]:
        """Returns the unsent records with their sequence numbers."""
        start = max(self.last_sent_number + 1, self.first_number)
        return [
            (number, self.records[number - self.first_number])
            for number in range(start, self.last_number + 1)
        ]

    def drop_saved(self, number: int) -> None:
        """Drops the records up to a number, which are in the store."""
        while self.records and self.first_number <= number:
            self.records.popleft()
            self.first_number += 1
        self.last_sent_number = max(
            self.last_sent_number, self.first_number - 1
        )


class AgentLedger:
    """Usage records that an agent keeps until they are in the store.

    Args:
        incarnation: Incarnation of the agent, used in the stream names.
    """

    def __init__(self, incarnation: str):
        self._incarnation = incarnation
        self._stream_count = 0
        self._streams: dict[tuple[str, str], RecordStream] = {}

    def append(
        self, gateway: str, incarnation: str, record: UsageRecord
    ) -> None:
        """Appends a record to the stream of a gateway incarnation.

        Args:
            gateway: Name of the gateway that sent the call.
            incarnation: Incarnation of that gateway.
            record: The record.
        """
        self.get_or_create_stream(gateway, incarnation).append(record)

    def get_or_create_stream(
        self, gateway: str, incarnation: str
    ) -> RecordStream:
        """Returns the stream of a gateway incarnation, created if missing."""
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
        """Returns the stream with a name, or None if there is none."""
        for stream in self._streams.values():
            if stream.name == name:
                return stream
        return None

    def close_stream(self, name: str, number: int) -> None:
        """Closes a stream after a handover.

        Records after the last one handed over move to a new stream. In the
        old stream, a gateway that reconnects would treat their numbers as
        duplicates.

        Args:
            name: Name of the stream.
            number: Number of the last record that was handed over.
        """
        stream = self.find_stream(name)
        if stream is None:
            return
        stream.drop_saved(number)
        del self._streams[(stream.gateway, stream.incarnation)]
        for record in stream.records:
            self.append(stream.gateway, stream.incarnation, record)

    def drop_empty_stream(self, gateway: str, incarnation: str) -> None:
        """Removes the stream of a disconnected gateway if it is empty."""
        stream = self._streams.get((gateway, incarnation))
        if stream is not None and not stream.records:
            del self._streams[(gateway, incarnation)]

    def __iter__(self):
        return iter(list(self._streams.values()))

    def count_records(self) -> int:
        """Returns the number of records in all streams."""
        return sum(len(s.records) for s in self._streams.values())
