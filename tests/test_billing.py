"""Tests of exactly-once billing with lost responses and handovers."""

import pytest

from chivejunction import errors
from chivejunction.coordination import billing
from chivejunction.protocol import messages
from chivejunction.state import ledger
from chivejunction.state import views
from tests import stores


def make_record(number: int, target: str = 'small-1') -> ledger.UsageRecord:
    return ledger.UsageRecord(f'r{number}', 'temple', target, 10, 20)


def make_billing(store, name='gw-1', incarnation='a'):
    return billing.GatewayBilling(name, incarnation, store, views.ConfigView())


def exchange_frames(agent, gateway, incarnation, gateway_billing):
    """Sends an agent's unsent records to a gateway and its replies back."""

    def send(frame):
        gateway_billing.receive(frame, agent.handle)

    agent.send_records({(gateway, incarnation): send})


async def count_requests(store) -> int:
    """Returns the number of billed requests.

    Asserts that each request is billed for its 20 tokens exactly once.
    """
    usage = await billing.read_usage(store)
    totals = [t for o in usage.values() for t in o.values()]
    requests = sum(t.requests for t in totals)
    assert sum(t.completion_tokens for t in totals) == 20 * requests
    return requests


class TestAgentBilling:
    """Guards against a complete response without its usage record.

    This happens if the agent dies after the end of an attempt was sent and
    before the record was.
    """

    def test_record_is_sent_before_the_end_of_the_attempt(self):
        frames = []
        agent = billing.AgentBilling(
            'x', lambda: {('gw-1', 'a'): frames.append}
        )
        agent.add_record('gw-1', 'a', make_record(1))
        assert [f.number for f in frames] == [1]

    def test_unsaved_records_are_sent_again_over_a_new_link(self):
        frames = []
        agent = billing.AgentBilling(
            'x', lambda: {('gw-1', 'a'): frames.append}
        )
        for number in (1, 2):
            agent.add_record('gw-1', 'a', make_record(number))
        agent.handle(messages.Saved(frames[0].stream, 1))
        agent.resend_unsaved_records('gw-1', 'a')
        assert [f.number for f in frames] == [1, 2, 2]


class TestGatewayLedger:
    """Guards against records that are billed twice or skipped.

    Duplicates come from retries and repeated messages, gaps from lost ones.
    """

    def test_second_record_of_a_request_is_dropped(self):
        gateway_ledger = ledger.GatewayLedger()
        assert gateway_ledger.add('s1', 1, make_record(1), 1.0)
        assert not gateway_ledger.add('s2', 1, make_record(1), 1.0)
        assert gateway_ledger.totals()['temple']['small-1'].requests == 1

    def test_cascade_step_adds_cost_to_the_same_bill(self):
        gateway_ledger = ledger.GatewayLedger()
        gateway_ledger.add('s1', 1, make_record(1), 1.0)
        gateway_ledger.add('s1', 2, make_record(1, 'large-1'), 9.0)
        totals = gateway_ledger.totals()['temple']
        assert [totals[t].requests for t in ('small-1', 'large-1')] == [1, 0]
        assert sum(t.cost for t in totals.values()) == 10.0

    def test_repeated_sequence_number_is_ignored(self):
        gateway_ledger = ledger.GatewayLedger()
        gateway_ledger.add('s1', 1, make_record(1), 1.0)
        assert not gateway_ledger.add('s1', 1, make_record(1), 1.0)

    def test_sequence_gap_is_refused(self):
        gateway_ledger = ledger.GatewayLedger()
        with pytest.raises(errors.ProtocolError):
            gateway_ledger.add('s1', 2, make_record(1), 1.0)

    def test_malformed_record_is_refused(self):
        with pytest.raises(errors.ProtocolError):
            ledger.UsageRecord.unpack(['r', 'temple', 'small-1', -1, 2])


class TestFlush:
    """Guards against usage that is lost or billed twice by a failed write.

    A write whose response is lost may have taken effect; during an outage the
    gateway cannot find out.
    """

    @stores.run_async
    async def test_lost_store_response_bills_once(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        gateway_billing = make_billing(store)
        agent.ledger.append('gw-1', 'a', make_record(1))
        exchange_frames(agent, 'gw-1', 'a', gateway_billing)
        store.lose_answers = 1
        await gateway_billing.flush()
        agent.ledger.append('gw-1', 'a', make_record(2))
        exchange_frames(agent, 'gw-1', 'a', gateway_billing)
        await gateway_billing.flush()
        assert await count_requests(store) == 2
        assert agent.ledger.count_records() == 0

    @stores.run_async
    async def test_store_outage_keeps_records_at_both_ends(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        gateway_billing = make_billing(store)
        agent.ledger.append('gw-1', 'a', make_record(1))
        exchange_frames(agent, 'gw-1', 'a', gateway_billing)
        store.is_down = True
        with pytest.raises(errors.StoreError):
            await gateway_billing.flush()
        assert agent.ledger.count_records() == 1
        store.is_down = False
        await gateway_billing.flush()
        assert await count_requests(store) == 1


class TestHandover:
    """Guards against usage lost or billed twice when a gateway disconnects.

    The gateway may have saved some of the records, may still be running, or
    may reconnect after another gateway has taken over its records.
    """

    async def hand_over(self, agent, successor):
        """Hands over the records of disconnected gateways to a successor."""
        frames = []
        links = {('gw-2', 'b'): frames.append}
        agent.hand_over(links, 0.0)
        agent.hand_over(links, billing.GATEWAY_DISCONNECT_TIMEOUT_SECONDS + 1)
        for frame in frames:
            number = await successor.save_handover(frame)
            agent.handle(messages.HandedOver(frame.stream, number))

    @stores.run_async
    async def test_gateway_death_after_write_bills_once(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        gateway_billing = make_billing(store)
        for number in (1, 2):
            agent.ledger.append('gw-1', 'a', make_record(number))
        # The gateway dies before it confirms the records to the agent.
        agent.send_records(
            {
                ('gw-1', 'a'): lambda f: gateway_billing.receive(
                    f, lambda s: None
                )
            }
        )
        await gateway_billing.flush()
        agent.ledger.append('gw-1', 'a', make_record(3))
        await self.hand_over(agent, make_billing(store, 'gw-2', 'b'))
        assert await count_requests(store) == 3
        assert agent.ledger.count_records() == 0

    @stores.run_async
    async def test_partitioned_gateway_drops_handed_over_records(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        gateway_billing = make_billing(store)
        agent.ledger.append('gw-1', 'a', make_record(1))
        agent.send_records(
            {
                ('gw-1', 'a'): lambda f: gateway_billing.receive(
                    f, lambda s: None
                )
            }
        )
        await self.hand_over(agent, make_billing(store, 'gw-2', 'b'))
        await gateway_billing.flush()
        await gateway_billing.flush()
        assert await count_requests(store) == 1

    @stores.run_async
    async def test_repeated_handover_bills_once(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        agent.ledger.append('gw-1', 'a', make_record(1))
        stream = agent.ledger.get_or_create_stream('gw-1', 'a')
        frame = messages.Handover(
            'gw-1', 'a', stream.name, [[1, make_record(1).pack()]]
        )
        for name in ('gw-2', 'gw-3'):
            store.lose_answers = 1
            successor = make_billing(store, name, 'b')
            try:
                await successor.save_handover(frame)
            except errors.StoreError:
                await successor.save_handover(frame)
        assert await count_requests(store) == 1

    @stores.run_async
    async def test_retried_request_billed_by_the_dead_gateway_is_skipped(
        self,
    ):
        store = stores.MemoryStore()
        gateway_billing = make_billing(store)
        gateway_billing.ledger.mark_multiple_attempts('r1')
        gateway_billing.receive(
            messages.Usage('s1', 1, make_record(1).pack()), lambda s: None
        )
        await gateway_billing.flush()
        frame = messages.Handover(
            'gw-1', 'a', 's2', [[1, make_record(1).pack()]]
        )
        await make_billing(store, 'gw-2', 'b').save_handover(frame)
        assert await count_requests(store) == 1

    @stores.run_async
    async def test_returning_gateway_starts_a_new_stream(self):
        store, agent = stores.MemoryStore(), billing.AgentBilling('x', dict)
        gateway_billing = make_billing(store)
        agent.ledger.append('gw-1', 'a', make_record(1))
        exchange_frames(agent, 'gw-1', 'a', gateway_billing)
        await self.hand_over(agent, make_billing(store, 'gw-2', 'b'))
        agent.resend_unsaved_records('gw-1', 'a')
        agent.ledger.append('gw-1', 'a', make_record(2))
        exchange_frames(agent, 'gw-1', 'a', gateway_billing)
        await gateway_billing.flush()
        await gateway_billing.flush()
        assert await count_requests(store) == 2
