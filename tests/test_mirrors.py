"""Tests of the local copy of the store and of its change log."""

import anyio

from chivejunction import errors
from chivejunction.coordination import mirrors
from chivejunction.state import change_log
from chivejunction.state import freshness
from chivejunction.transport import stores
from tests.forward_rig import run_async


class ScriptedFeed(stores.ChangeFeed):
    """Feed that returns prepared responses and then blocks forever.

    Args:
        *responses: A list of entries with a revision, a list of changes with
            a revision, a PollResult, an exception to raise, or a coroutine
            function that returns one of these.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.read_count = 0
        self.poll_seconds = []
        self.timeouts = []

    async def _next(self):
        if not self.responses:
            await anyio.sleep_forever()
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        if callable(response):
            return await response()
        return response

    async def read_all(self, prefix):
        self.read_count += 1
        return await self._next()

    async def poll_changes(self, prefix, after, seconds, response_timeout=1.0):
        self.poll_seconds.append(seconds)
        self.timeouts.append(response_timeout)
        response = await self._next()
        if isinstance(response, stores.PollResult):
            return response
        changes, after = response
        return stores.PollResult(changes, after, 0.0 if changes else seconds)


def make_entry(key, revision):
    """Returns an entry."""
    return stores.Entry(key, b'v', revision, 0)


def make_change(key, revision, is_deleted=False):
    """Returns a change."""
    entry = None if is_deleted else make_entry(key, revision)
    return stores.Change(key, revision, entry)


async def run_mirror(feed, config_freshness=None, seconds=0.2):
    """Runs a mirror for some seconds; returns the changes that it applied.

    Each change is a tuple: the key, whether it has an entry, may_have_expired.
    """
    applied = []
    mirror = mirrors.StoreMirror(
        feed,
        '',
        lambda c, may_have_expired: applied.append(
            (c.key, c.entry is not None, may_have_expired)
        ),
        config_freshness or freshness.Freshness(4.5),
    )
    with anyio.move_on_after(seconds):
        await mirror.run()
    return applied


class TestStoreMirror:
    @run_async
    async def test_applies_all_entries_and_later_changes(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
            ([make_change('b', 4), make_change('a', 5, True)], 5),
        )
        assert await run_mirror(feed) == [
            ('a', True, False),
            ('b', True, False),
            ('a', False, False),
        ]

    @run_async
    async def test_outdated_change_is_not_applied(self):
        feed = ScriptedFeed(
            ([make_entry('a', 7)], 5), ([make_change('a', 6)], 7)
        )
        assert await run_mirror(feed) == [('a', True, False)]

    @run_async
    async def test_lost_history_is_replaced_by_a_complete_read(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3), make_entry('b', 3)], 3),
            errors.RevisionCompacted('gone'),
            ([make_entry('b', 3), make_entry('c', 9)], 9),
        )
        applied = await run_mirror(feed)
        assert ('a', False, False) in applied and (
            ('c', True, False) in applied
        )
        assert feed.read_count == 2

    @run_async
    async def test_entry_missing_after_an_outage_counts_as_lapsed(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
            errors.StoreError('down'),
            ([make_change('a', 4, True)], 4),
        )
        assert (await run_mirror(feed, seconds=1.5))[-1] == ('a', False, True)

    @run_async
    async def test_change_log_holds_the_applied_changes(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
            ([make_change('b', 4), make_change('a', 5, True)], 6),
        )
        mirror = mirrors.StoreMirror(
            feed, '', lambda *_: None, freshness.Freshness(4.5)
        )
        with anyio.move_on_after(0.2):
            await mirror.run()
        assert mirror.change_log.revision == 6
        assert [c.key for c in mirror.change_log.list_after(3)] == ['b', 'a']
        assert [c.key for c in mirror.change_log.list_after(4)] == ['a']
        assert mirror.change_log.list_after(6) == []
        assert mirror.change_log.list_after(2) is None

    @run_async
    async def test_outage_reported_by_a_relay_counts_as_outage(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
            stores.PollResult(
                [make_change('a', 4, True)], 4, was_unavailable=True
            ),
        )
        assert (await run_mirror(feed))[-1] == ('a', False, True)

    @run_async
    async def test_some_calls_use_a_short_timeout_during_an_outage(self):
        """Guards against noticing the end of an outage too late.

        With the normal timeout for every call, a gateway noticed it 1.3 s
        late.
        """
        failures = [errors.StoreError('silent') for _ in range(4)]
        feed = ScriptedFeed(([], 1), *failures, ([], 1))
        await run_mirror(feed, seconds=2.5)
        assert feed.timeouts[0] == stores.RESPONSE_TIMEOUT_SECONDS
        outage_timeouts = feed.timeouts[1:5]
        assert mirrors.OUTAGE_TIMEOUT_SECONDS in outage_timeouts
        assert stores.RESPONSE_TIMEOUT_SECONDS in outage_timeouts


class TestChangeLog:
    def test_lists_only_the_last_change_of_a_key(self):
        log = change_log.ChangeLog()
        log.reset(1)
        changes = [
            make_change('a', 2),
            make_change('b', 3),
            make_change('a', 4, True),
        ]
        log.extend(changes, 5)
        assert [(c.key, c.revision) for c in log.list_after(1)] == [
            ('b', 3),
            ('a', 4),
        ]

    def test_evicts_the_oldest_changes(self):
        log = change_log.ChangeLog()
        log.reset(1)
        for number in range(2, change_log.MAX_CHANGES + 12):
            log.extend([make_change(f'k{number}', number)], number)
        assert log.list_after(5) is None
        assert len(log.list_after(log.revision - 3)) == 3


class TestConfirmation:
    @run_async
    async def test_first_poll_after_a_failure_is_short(self):
        feed = ScriptedFeed(
            ([], 1), errors.StoreError('silent'), ([], 1), ([], 1)
        )
        await run_mirror(feed, seconds=1.5)
        assert feed.poll_seconds[1] < 0.1 < feed.poll_seconds[2]

    @run_async
    async def test_poll_after_late_changes_is_short(self):
        """Guards against expired confirmations when the store is slow.

        Changes that arrive late confirm only the state at the start of their
        poll. With a full wait the next poll ended after they had expired.
        """

        async def return_late_change():
            await anyio.sleep(0.4)
            return [make_change('a', 2)], 2

        feed = ScriptedFeed(([], 1), return_late_change, ([], 2))
        await run_mirror(feed, freshness.Freshness(1.0), 1.4)
        assert feed.poll_seconds[0] > 0.5
        assert feed.poll_seconds[1] < 0.1

    @run_async
    async def test_empty_poll_confirms_the_state_at_its_end(self):
        config_freshness = freshness.Freshness(4.5)
        await run_mirror(ScriptedFeed(([], 1), ([], 1)), config_freshness)
        assert config_freshness.age < 0.3

    @run_async
    async def test_unfinished_poll_confirms_nothing(self):
        config_freshness = freshness.Freshness(0.2)
        await run_mirror(ScriptedFeed(([], 1)), config_freshness, 0.4)
        assert not config_freshness.is_current()

    @run_async
    async def test_age_reported_by_a_relay_is_subtracted(self):
        config_freshness = freshness.Freshness(9)
        feed = ScriptedFeed(
            errors.StoreError('down'),
            ([], 1),
            stores.PollResult([], 1, 0.0, 3.0),
        )
        config_freshness.confirm = (
            lambda at, confirm=config_freshness.confirm: (
                confirmed_ages.append(freshness.read_boot_clock() - at),
                confirm(at),
            )
        )
        confirmed_ages = []
        await run_mirror(feed, config_freshness, 1.0)
        assert confirmed_ages[-1] > 2.9
        assert config_freshness.age < 1.0

    @run_async
    async def test_failed_calls_confirm_nothing(self):
        config_freshness = freshness.Freshness(4.5)
        await run_mirror(
            ScriptedFeed(errors.StoreError('down')), config_freshness
        )
        assert not config_freshness.is_current()
