"""Exactly-once billing of usage across agents, gateways and the store."""

from collections.abc import Callable
import dataclasses
import json

import anyio

from chivejunction import clock
from chivejunction import containment
from chivejunction import errors
from chivejunction import logs
from chivejunction.protocol import messages
from chivejunction.state import ledger
from chivejunction.state import views
from chivejunction.transport import store_client

GATEWAY_PREFIX = 'usage/gateway/'
HANDOVER_PREFIX = 'usage/handover/'
FLUSH_INTERVAL_SECONDS = 2.0
HANDOVER_INTERVAL_SECONDS = 1.0
# An agent hands over the records of a gateway after having no link to it for
# this long. If the agent dies earlier, it loses the records of a dead gateway,
# so the timeout only covers the time to redial a broken link. Handing over the
# records of a gateway that is still alive does no harm.
GATEWAY_DISCONNECT_TIMEOUT_SECONDS = 4.0
MAX_HANDOVER_RECORDS = 200

SendFrame = Callable[[messages.Frame], None]


def document_key(gateway: str, incarnation: str) -> str:
    """Returns the store key of the usage document of a gateway."""
    return f'{GATEWAY_PREFIX}{gateway}/{incarnation}'


def encode_document(
    totals: dict[str, dict[str, ledger.Total]],
    watermarks: dict[str, int],
    handed_over_streams: set[str],
    billed_targets: dict[str, list[str]],
    flush: int,
) -> bytes:
    """Returns a usage document as JSON.

    Args:
        totals: Billed usage by organisation and target.
        watermarks: Highest billed or dropped sequence number by stream name.
        handed_over_streams: Names of streams that another gateway took over.
        billed_targets: Billed targets of requests with several attempts, by
            request id.
        flush: Number of the flush, by which the gateway recognises its own
            write.
    """
    return json.dumps(
        {
            'flush': flush,
            'totals': {
                organisation: {
                    target: dataclasses.asdict(total)
                    for target, total in targets.items()
                }
                for organisation, targets in totals.items()
            },
            'watermarks': watermarks,
            'handed_over': sorted(handed_over_streams),
            'contested': billed_targets,
        }
    ).encode()


def compute_cost(view: views.ConfigView, record: ledger.UsageRecord) -> float:
    """Returns the cost of a record in cost units."""
    version = view.versions.get(record.target)
    if version is None:
        return 0.0
    return (
        record.prompt_tokens * version.input_cost
        + record.completion_tokens * version.output_cost
    ) / 1000


class GatewayBilling:
    """Bills the usage records of agents and saves them to the store.

    Args:
        gateway: Name of the gateway.
        incarnation: Incarnation of the gateway.
        store: Client of the store.
        view: Configuration of the gateway.
    """

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        store: store_client.StoreClient,
        view: views.ConfigView,
    ):
        self.ledger = ledger.GatewayLedger()
        self._key = document_key(gateway, incarnation)
        self._store = store
        self._view = view
        self._revision = 0
        self._flush = 0
        self._senders: dict[str, SendFrame] = {}
        # Streams with a record received since their saved watermark was last
        # sent. A repeated record means that the watermark message was lost,
        # so it is sent again.
        self._unconfirmed_streams: set[str] = set()

    def receive(self, frame: messages.Usage, send: SendFrame) -> None:
        """Handles a usage record of an agent.

        Args:
            frame: The record.
            send: Sends a frame to this agent.

        Raises:
            ProtocolError: The record is malformed or its number leaves a gap.
        """
        record = ledger.UsageRecord.unpack(frame.record)
        self._senders[frame.stream] = send
        self._unconfirmed_streams.add(frame.stream)
        self.ledger.add(
            frame.stream,
            frame.number,
            record,
            compute_cost(self._view, record),
        )

    async def run(self) -> None:
        """Flushes pending records periodically until cancelled."""
        while True:
            containment.expect_progress()
            await anyio.sleep(clock.jitter(FLUSH_INTERVAL_SECONDS))
            await self._try_flush()

    async def _try_flush(self) -> None:
        try:
            await self.flush()
        except errors.StoreError as exc:
            logs.LOG.warning('saving usage to the store failed: %s', exc)

    async def flush_before_exit(self, seconds: float) -> None:
        """Saves all records before the gateway exits.

        Args:
            seconds: Timeout. Agents hand over records that are unsaved by
                then to another gateway.
        """
        deadline = clock.make_deadline(seconds)
        await self._try_flush()
        while self.ledger.pending_bills and not clock.has_passed(deadline):
            await anyio.sleep(FLUSH_INTERVAL_SECONDS / 4)
            await self._try_flush()

    async def flush(self) -> None:
        """Writes pending records to the store and confirms them to agents.

        Raises:
            StoreError: The records may not be saved; they stay pending.
        """
        gateway_ledger = self.ledger
        if (
            gateway_ledger.watermarks == gateway_ledger.saved_watermarks
            and not gateway_ledger.pending_bills
        ):
            self._send_saved_watermarks()
            return
        self._flush += 1
        totals, count = (
            gateway_ledger.totals(),
            len(gateway_ledger.pending_bills),
        )
        watermarks = dict(gateway_ledger.watermarks)
        data = encode_document(
            totals,
            watermarks,
            gateway_ledger.handed_over_streams,
            gateway_ledger.get_billed_multi_attempt_targets(),
            self._flush,
        )
        try:
            self._revision = await self._store.swap(
                self._key, data, self._revision
            )
        except (errors.StoreConflict, errors.StoreResultUnknown):
            if not await self._reconcile(totals, watermarks, count):
                return
        else:
            gateway_ledger.confirm_saved(totals, watermarks, count)
        self._send_saved_watermarks()

    async def _reconcile(self, totals, watermarks, count: int) -> bool:
        """Reads the document back to check whether the last write succeeded.

        Also drops pending records of streams that another gateway has marked
        as handed over.

        Args:
            totals: Totals of the write.
            watermarks: Watermarks of the write.
            count: Number of pending bills included in the write.

        Returns:
            Whether the write succeeded.
        """
        entry = await self._store.get(self._key)
        if entry is None:
            self._revision = 0
            return False
        self._revision = entry.revision
        value = json.loads(entry.value)
        is_saved = value['flush'] == self._flush
        if is_saved:
            self.ledger.confirm_saved(totals, watermarks, count)
        newly_handed_over = (
            set(value['handed_over']) - self.ledger.handed_over_streams
        )
        if newly_handed_over:
            dropped = self.ledger.drop_handed_over(newly_handed_over)
            logs.LOG.warning(
                'streams %s were handed over to another gateway; '
                'dropped %d pending records',
                sorted(newly_handed_over),
                dropped,
            )
        return is_saved

    def _send_saved_watermarks(self) -> None:
        """Sends agents the saved watermarks of their unconfirmed streams."""
        for stream in list(self._unconfirmed_streams):
            number = self.ledger.saved_watermarks.get(stream)
            if number is None:
                continue
            try:
                self._senders[stream](messages.Saved(stream, number))
            except errors.LinkClosed:
                continue
            self._unconfirmed_streams.discard(stream)

    async def save_handover(self, frame: messages.Handover) -> int:
        """Saves the records that an agent hands over from another gateway.

        Args:
            frame: The stream and its records.

        Returns:
            The highest sequence number of the stream that is in the store.

        Raises:
            StoreError: Some records may not be saved; the agent repeats the
                handover.
            ProtocolError: A record is malformed.
        """
        watermark, billed_targets = await self._mark_handed_over(frame)
        saved_number = watermark
        for number, packed in frame.records:
            record = ledger.UsageRecord.unpack(packed)
            billed = billed_targets.get(record.request, [])
            if number > watermark and record.target not in billed:
                await self._save_record(record, 0 if billed else 1)
            saved_number = max(saved_number, number)
        return saved_number

    async def _mark_handed_over(
        self, frame: messages.Handover
    ) -> tuple[int, dict[str, list[str]]]:
        """Marks a stream as handed over in the document of its gateway.

        Returns:
            The watermark of the stream, and the billed targets of requests
            with several attempts by request id.
        """
        key = document_key(frame.gateway, frame.incarnation)
        while True:
            entry = await self._store.get(key)
            if entry is None:
                value, revision = (
                    json.loads(encode_document({}, {}, set(), {}, 0)),
                    0,
                )
            else:
                value, revision = json.loads(entry.value), entry.revision
            if frame.stream not in value['handed_over']:
                value['handed_over'].append(frame.stream)
                try:
                    await self._store.swap(
                        key, json.dumps(value).encode(), revision
                    )
                except (errors.StoreConflict, errors.StoreResultUnknown):
                    continue
            return (
                value['watermarks'].get(frame.stream, 0),
                value['contested'],
            )

    async def _save_record(
        self, record: ledger.UsageRecord, requests: int
    ) -> None:
        key = f'{HANDOVER_PREFIX}{record.request}.{record.target}'
        value = {
            **dataclasses.asdict(record),
            'cost': compute_cost(self._view, record),
            'requests': requests,
        }
        try:
            await self._store.swap(key, json.dumps(value).encode(), 0)
        except errors.StoreConflict:
            # Already saved: the store's response to an earlier write was
            # lost, or another agent held a record of the same request.
            return


class AgentBilling:
    """Keeps the usage records of an agent until they are in the store.

    Args:
        incarnation: Incarnation of the agent.
        get_links: Returns the send functions of open links, by gateway and
            incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        get_links: Callable[[], dict[tuple[str, str], SendFrame]],
    ):
        self.ledger = ledger.AgentLedger(incarnation)
        self._get_links = get_links
        self._disconnected_since: dict[tuple[str, str], float] = {}

    def resend_unsaved_records(self, gateway: str, incarnation: str) -> None:
        """Sends all unsaved records again over a new link to a gateway."""
        stream = self.ledger.get_or_create_stream(gateway, incarnation)
        stream.last_sent_number = stream.first_number - 1
        self.send_records(self._get_links())

    def handle(self, frame: messages.Saved | messages.HandedOver) -> None:
        """Drops the records that a gateway confirms to be in the store."""
        if isinstance(frame, messages.HandedOver):
            self.ledger.close_stream(frame.stream, frame.number)
            return
        stream = self.ledger.find_stream(frame.stream)
        if stream is not None:
            stream.drop_saved(frame.number)

    def add_record(
        self,
        gateway: str,
        incarnation: str,
        record: ledger.UsageRecord,
    ) -> None:
        """Adds a record and sends it at once if the gateway is connected.

        Must be called before the end of the attempt is queued. A gateway that
        has received the complete response then also has the record, even if
        the agent dies.

        Args:
            gateway: Name of the gateway that sent the call.
            incarnation: Incarnation of that gateway.
            record: The record.
        """
        self.ledger.append(gateway, incarnation, record)
        self.send_records(self._get_links())

    async def run(self) -> None:
        """Sends and hands over records periodically until cancelled."""
        while True:
            links = self._get_links()
            self.send_records(links)
            self.hand_over(links, clock.now())
            await anyio.sleep(HANDOVER_INTERVAL_SECONDS)

    def send_records(self, links: dict[tuple[str, str], SendFrame]) -> None:
        """Sends each connected gateway its unsent records.

        Args:
            links: Send functions of open links by gateway and incarnation.
        """
        for stream in self.ledger:
            send = links.get((stream.gateway, stream.incarnation))
            if send is None:
                continue
            for number, record in stream.list_unsent():
                send(messages.Usage(stream.name, number, record.pack()))
                stream.last_sent_number = number

    def hand_over(
        self, links: dict[tuple[str, str], SendFrame], now: float
    ) -> None:
        """Hands over the records of disconnected gateways to another gateway.

        Args:
            links: Send functions of open links by gateway and incarnation.
            now: Monotonic time in seconds.
        """
        for stream in self.ledger:
            owner = (stream.gateway, stream.incarnation)
            if owner in links:
                self._disconnected_since.pop(owner, None)
                continue
            disconnected_at = self._disconnected_since.setdefault(owner, now)
            if now - disconnected_at < GATEWAY_DISCONNECT_TIMEOUT_SECONDS:
                continue
            if not stream.records:
                self.ledger.drop_empty_stream(*owner)
                del self._disconnected_since[owner]
            elif links:
                send = links[min(links)]
                records = [
                    [stream.first_number + i, record.pack()]
                    for i, record in enumerate(stream.records)
                ]
                send(
                    messages.Handover(
                        *owner, stream.name, records[:MAX_HANDOVER_RECORDS]
                    )
                )


async def read_usage(
    store: store_client.StoreClient,
) -> dict[str, dict[str, ledger.Total]]:
    """Returns all saved usage by organisation and target.

    Raises:
        StoreError: The store cannot be read.
    """
    merged: dict[str, dict[str, ledger.Total]] = {}
    for entry in await store.list_prefix(GATEWAY_PREFIX):
        for organisation, targets in json.loads(entry.value)['totals'].items():
            for target, total in targets.items():
                merged.setdefault(organisation, {}).setdefault(
                    target, ledger.Total()
                ).add(ledger.Total(**total))
    counted_requests = set()
    for entry in await store.list_prefix(HANDOVER_PREFIX):
        value = json.loads(entry.value)
        # The steps of a cascade are separate records of one request, which
        # counts once.
        is_first_record = value['request'] not in counted_requests
        counted_requests.add(value['request'])
        merged.setdefault(value['organisation'], {}).setdefault(
            value['target'], ledger.Total()
        ).add(
            ledger.Total(
                value['requests'] if is_first_record else 0,
                value['prompt_tokens'],
                value['completion_tokens'],
                value['cost'],
            )
        )
    return merged
