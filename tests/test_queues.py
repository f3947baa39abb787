"""Weighted fair queue of the agent."""

import collections

from chivejunction.state import queues


def fill(queue, flow, weight, count, priority=4):
    for number in range(count):
        queue.push(queues.QueueEntry(flow, weight, priority, (flow, number)))


def pop_flows(queue, count):
    return collections.Counter(queue.pop(1.0).flow for _ in range(count))


class TestFairQueue:
    """Guards against an organisation that gets more than its weight."""

    def test_backlogged_flows_are_served_by_weight(self):
        queue = queues.FairQueue()
        # All of flow a arrives first; the order of arrival must not matter.
        fill(queue, 'a', 1, 100)
        fill(queue, 'b', 2, 100)
        fill(queue, 'c', 4, 100)
        assert pop_flows(queue, 70) == {'a': 10, 'b': 20, 'c': 40}

    def test_idle_time_earns_no_credit(self):
        queue = queues.FairQueue()
        fill(queue, 'a', 1, 60)
        pop_flows(queue, 40)
        fill(queue, 'b', 1, 60)
        assert 9 <= pop_flows(queue, 20)['b'] <= 11

    def test_actual_cost_is_charged(self):
        queue = queues.FairQueue()
        fill(queue, 'long', 1, 100)
        fill(queue, 'short', 1, 100)
        served = collections.Counter()
        for _ in range(60):
            entry = queue.pop(1.0)
            served[entry.flow] += 1
            if entry.flow == 'long':
                queue.charge('long', 2.0)
        assert served == {'long': 15, 'short': 45}

    def test_priority_counts_within_the_flow_only(self):
        queue = queues.FairQueue()
        fill(queue, 'a', 1, 2, priority=4)
        fill(queue, 'a', 1, 1, priority=9)
        fill(queue, 'b', 1, 2, priority=0)
        order = [queue.pop(1.0) for _ in range(5)]
        assert [e.priority for e in order if e.flow == 'a'] == [9, 4, 4]
        assert {e.flow for e in order[:2]} == {'a', 'b'}

    def test_removed_entries_are_not_served(self):
        queue = queues.FairQueue()
        entries = [queues.QueueEntry('a', 1, 4, n) for n in range(4)]
        for entry in entries:
            queue.push(entry)
        queue.remove(entries[0])
        queue.remove(entries[2])
        queue.remove(entries[2])
        assert len(queue) == 2
        assert [queue.pop(1.0).item for _ in range(2)] == [1, 3]
        assert queue.pop(1.0) is None

    def test_eviction_from_the_longest_flow_for_its_weight(self):
        queue = queues.FairQueue()
        fill(queue, 'large', 1, 10)
        fill(queue, 'small', 1, 1)
        assert queue.find_eviction_candidate('small', 1).item == ('large', 9)
        assert queue.find_eviction_candidate('large', 1) is None
        assert queue.find_eviction_candidate('new', 0.05) is None

    def test_idle_flows_without_debt_are_removed(self):
        queue = queues.FairQueue()
        for number in range(1000):
            fill(queue, f'org-{number}', 1, 1)
            queue.pop(1.0)
            queue.charge(f'org-{number}', 0.5)
        assert len(queue._flows) == 0
