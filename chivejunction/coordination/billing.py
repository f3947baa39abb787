"""Exactly-once billing over gateways, agents and the store."""

from collections.abc import Callable
import dataclasses
import json

import anyio

from chivejunction import clock
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
# A gateway that an agent has had no link to for this long counts as gone. The
# records of a gateway that died are lost with the agent until then, so it is
# only as long as the new dial of a broken link; a handover from a gateway that
# is alive does no harm.
GATEWAY_DISCONNECT_TIMEOUT_SECONDS = 4.0
MAX_HANDOVER_RECORDS = 200

SendFrame = Callable[[messages.Frame], None]


def document_key(gateway: str, incarnation: str) -> str:
    """Returns the store key of a gateway's usage document."""
    return f'{GATEWAY_PREFIX}{gateway}/{incarnation}'


def encode_document(
    totals: dict[str, dict[str, ledger.Total]],
    watermarks: dict[str, int],
    handed_over_streams: set[str],
    billed_targets: dict[str, list[str]],
    flush: int,
) -> bytes:
    """Returns a usage document as JSON."""
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
    """Bills the records that agents send and saves them.

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
        # Streams whose agent has not been told the saved watermark since
        # their latest record; a repeated record means that it was lost.
        self._unconfirmed_streams: set[str] = set()

    def receive(self, frame: messages.Usage, send: SendFrame) -> None:
        """Handles a usage record of an agent.

        Args:
            frame: The record.
            send: Sends a frame to this agent.

        Raises:
            ProtocolError: The record is malformed or a number is missing.
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
        """Saves new records until cancelled."""
        while True:
            await anyio.sleep(clock.jitter(FLUSH_INTERVAL_SECONDS))
            await self._try_flush()

    async def _try_flush(self) -> None:
        try:
            await self.flush()
        except errors.StoreError as exc:
            logs.LOG.warning('usage is not saved: %s', exc)

    async def finish(self, seconds: float) -> None:
        """Saves all records before the gateway exits.

        Args:
            seconds: Longest time; after it the agents hand their records
                over to another gateway.
        """
        deadline = clock.make_deadline(seconds)
        await self._try_flush()
        while self.ledger.pending_bills and not clock.has_passed(deadline):
            await anyio.sleep(FLUSH_INTERVAL_SECONDS / 4)
            await self._try_flush()

    async def flush(self) -> None:
        """Writes all pending records to the store and tells the agents.

        Raises:
            StoreError: The records are not known to be saved; they stay
                pending.
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
        """Finds out by reading whether a write took effect."""
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
                'streams %s were handed over; %d records dropped',
                sorted(newly_handed_over),
                dropped,
            )
        return is_saved

    def _send_saved_watermarks(self) -> None:
        """Tells agents the saved watermarks of their streams."""
        for stream in list(self._unconfirmed_streams):
            number = self.ledger.saved_watermarks.get(stream)
            if number is None:
                continue
            try:
                self._senders[stream](messages.Saved(stream, number))
            except errors.LinkClosed:
                continue
            self._unconfirmed_streams.discard(stream)

    async def take_over(self, frame: messages.Handover) -> int:
        """Saves the records of a gateway that has gone.

        Returns:
            The highest number that is in the store.

        Raises:
            StoreError: Not all records are saved; the agent asks again.
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
            # Saved before: an earlier answer was lost, or another agent
            # held a record of the same request.
            return


class AgentBilling:
    """Keeps the records of an agent until the store has them.

    Args:
        incarnation: Incarnation of the agent.
        get_links: Returns the working links by gateway and incarnation.
    """

    def __init__(
        self,
        incarnation: str,
        get_links: Callable[[], dict[tuple[str, str], SendFrame]],
    ):
        self.ledger = ledger.AgentLedger(incarnation)
        self._get_links = get_links
        self._disconnected_since: dict[tuple[str, str], float] = {}

    def open_link(self, gateway: str, incarnation: str) -> None:
        """Sends unsaved records again over a new link to a gateway."""
        stream = self.ledger.get_or_create_stream(gateway, incarnation)
        stream.last_sent_number = stream.first_number - 1
        self.send_records(self._get_links())

    def handle(self, frame: messages.Saved | messages.HandedOver) -> None:
        """Drops records that the store has."""
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
        """Keeps a record and sends it at once if the link works.

        The record must be queued before the end of its attempt: a gateway
        that has a whole answer then has the record too, even if the agent
        dies.
        """
        self.ledger.append(gateway, incarnation, record)
        self.send_records(self._get_links())

    async def run(self) -> None:
        """Sends and hands over records until cancelled."""
        while True:
            links = self._get_links()
            self.send_records(links)
            self.hand_over(links, clock.now())
            await anyio.sleep(HANDOVER_INTERVAL_SECONDS)

    def send_records(self, links: dict[tuple[str, str], SendFrame]) -> None:
        """Sends each gateway the records it has not been sent."""
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
        """Offers the records of gone gateways to one that is alive.

        Args:
            links: Working links by gateway and incarnation.
            now: Monotonic time.
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
        # The steps of a cascade are separate records of one request.
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
