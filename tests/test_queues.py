"""Weighted fair queue of the agent."""

import collections

from chivejunction.state import queues


def fill(queue, flow, weight, count, priority=4):
    for number in range(count):
        queue.push(queues.Place(flow, weight, priority, (flow, number)))


def pop_flows(queue, count):
    return collections.Counter(queue.pop(1.0).flow for _ in range(count))


class TestFairQueue:
    """Guards against one organisation taking the share of others."""

    def test_backlogged_flows_are_served_by_weight(self):
        queue = queues.FairQueue()
        # The largest backlog comes first; arrival order must not matter.
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

    def test_real_cost_is_charged(self):
        queue = queues.FairQueue()
        fill(queue, 'long', 1, 100)
        fill(queue, 'short', 1, 100)
        served = collections.Counter()
        for _ in range(60):
            place = queue.pop(1.0)
            served[place.flow] += 1
            if place.flow == 'long':
                queue.charge('long', 2.0)
        assert served == {'long': 15, 'short': 45}

    def test_priority_counts_within_the_flow_only(self):
        queue = queues.FairQueue()
        fill(queue, 'a', 1, 2, priority=4)
        fill(queue, 'a', 1, 1, priority=9)
        fill(queue, 'b', 1, 2, priority=0)
        order = [queue.pop(1.0) for _ in range(5)]
        assert [p.priority for p in order if p.flow == 'a'] == [9, 4, 4]
        assert {p.flow for p in order[:2]} == {'a', 'b'}

    def test_dropped_places_are_not_served(self):
        queue = queues.FairQueue()
        places = [queues.Place('a', 1, 4, n) for n in range(4)]
        for place in places:
            queue.push(place)
        queue.drop(places[0])
        queue.drop(places[2])
        queue.drop(places[2])
        assert len(queue) == 2
        assert [queue.pop(1.0).item for _ in range(2)] == [1, 3]
        assert queue.pop(1.0) is None

    def test_full_queue_pushes_out_the_largest_for_its_weight(self):
        queue = queues.FairQueue()
        fill(queue, 'large', 1, 10)
        fill(queue, 'small', 1, 1)
        assert queue.find_excess('small', 1).item == ('large', 9)
        assert queue.find_excess('large', 1) is None
        assert queue.find_excess('new', 0.05) is None

    def test_flows_without_debt_are_forgotten(self):
        queue = queues.FairQueue()
        for number in range(1000):
            fill(queue, f'org-{number}', 1, 1)
            queue.pop(1.0)
            queue.charge(f'org-{number}', 0.5)
        assert len(queue._flows) == 0
