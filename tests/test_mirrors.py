"""Tests of the local copy of the store and of its change log."""

import anyio
from hypothesis import given
from hypothesis import strategies as st
import pytest

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
        applied = await run_mirror(feed, seconds=0.6)
        assert ('a', False, False) in applied and (
            ('c', True, False) in applied
        )
        assert feed.read_count == 2

    @run_async
    async def test_changes_are_followed_while_no_listing_can_be_read(self):
        """The store forgot its history and turns this gateway away.

        Others still pass changes on.
        """
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
        )

        async def turn_away(prefix):
            raise errors.StoreError('status 503')

        async def forget_history():
            feed.read_all = turn_away
            raise errors.RevisionCompacted('gone')

        feed.responses += [forget_history, ([make_change('b', 4)], 4)]
        applied = await run_mirror(feed, seconds=1.0)
        assert [key for key, *_ in applied] == ['a', 'b']

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

    def test_replaced_values_are_not_kept(self):
        """Guards against running out of memory by many changes of a key.

        A configuration has up to 1 MB and may change every few seconds.
        """
        log = change_log.ChangeLog()
        log.reset(1)
        for number in range(2, 100):
            entry = stores.Entry('config', b'x' * 1000, number, 0)
            log.extend([stores.Change('config', number, entry)], number)
        assert len(log) == 1
        assert [c.revision for c in log.list_after(1)] == [99]

    def test_large_values_are_evicted_before_they_fill_the_memory(self):
        log = change_log.ChangeLog()
        log.reset(1)
        value = b'x' * (change_log.MAX_BYTES // 4)
        for number in range(2, 12):
            entry = stores.Entry(f'k{number}', value, number, 0)
            log.extend([stores.Change(f'k{number}', number, entry)], number)
        assert len(log) <= 4
        assert log.list_after(2) is None
        assert log.list_after(10)[0].key == 'k11'

    def test_lists_nothing_before_its_first_revision(self):
        log = change_log.ChangeLog()
        log.reset(5)
        assert log.list_after(4) is None
        assert log.list_after(5) == []
        log.extend([make_change('a', 7)], 8)
        assert log.list_after(4) is None
        assert [c.key for c in log.list_after(5)] == ['a']
        assert log.list_after(99) == []
        log.reset(20)
        assert log.list_after(8) is None

    @given(
        st.lists(
            st.lists(
                st.tuples(st.sampled_from('abcd'), st.booleans()), max_size=5
            ),
            max_size=8,
        ),
        st.integers(0, 40),
    )
    def test_follower_ends_with_the_state_of_the_store(self, batches, after):
        """A follower at any revision misses nothing and gets nothing older."""
        log = change_log.ChangeLog()
        log.reset(1)
        revision, states = 1, {1: {}}
        for batch in batches:
            changes = []
            for key, is_deleted in batch:
                revision += 1
                changes.append(make_change(key, revision, is_deleted))
                state = dict(states[revision - 1])
                state.pop(key, None)
                if not is_deleted:
                    state[key] = revision
                states[revision] = state
            log.extend(changes, revision)
        listed = log.list_after(after)
        if after not in states:
            assert listed is None or (listed == [] and after > revision)
            return
        state = dict(states[after])
        for change in listed:
            state.pop(change.key, None)
            if change.entry is not None:
                state[change.key] = change.revision
        assert state == states[revision]


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
        """The age is read at the confirmation, not after a later pause."""
        config_freshness = freshness.Freshness(4.5)
        ages = []
        confirm = config_freshness.confirm
        config_freshness.confirm = lambda at: (
            confirm(at),
            ages.append(config_freshness.age),
        )
        await run_mirror(ScriptedFeed(([], 1), ([], 1)), config_freshness)
        # Of the listing and of the poll.
        assert len(ages) == 2
        assert max(ages) < 0.3

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


class FragileReader:
    """Applies changes, but fails for some keys a few times.

    Args:
        failures: Number of failures still to come by key.
    """

    def __init__(self, **failures):
        self.failures = failures
        self.applied = {}
        self.retries_may_have_expired = []

    def apply(self, change, may_have_expired):
        """Records a change in ``applied`` unless it is to fail."""
        if self.failures.get(change.key, 0):
            self.failures[change.key] -= 1
            raise RuntimeError('not foreseen')
        self.applied[change.key] = change.revision, change.entry is not None


async def follow(feed, reader, seconds=0.3, **options):
    """Runs a mirror for some seconds; returns it."""
    mirror = mirrors.StoreMirror(
        feed,
        '',
        reader.apply,
        options.pop('config_freshness', freshness.Freshness(4.5)),
        **options,
    )
    with anyio.move_on_after(seconds):
        await mirror.run()
    return mirror


class TestUnexpectedErrors:
    @run_async
    async def test_failure_of_one_entry_does_not_stop_the_others(self):
        feed = ScriptedFeed(
            ([make_entry('a', 2), make_entry('b', 3)], 3),
            ([make_change('c', 4), make_change('d', 5)], 5),
        )
        reader = FragileReader(a=9, c=9)
        mirror = await follow(feed, reader)
        assert set(reader.applied) == {'b', 'd'}
        assert mirror.has_loaded.is_set()
        assert mirror.change_log.revision == 5

    @run_async
    async def test_change_that_failed_is_applied_later(self):
        feed = ScriptedFeed(
            ([], 1), ([make_change('a', 2)], 2), *[([], 2)] * 3
        )
        reader = FragileReader(a=1)
        await follow(feed, reader, 1.5)
        assert reader.applied == {'a': (2, True)}

    @run_async
    async def test_deletion_that_failed_is_applied_later(self):
        async def return_deletion():
            reader.failures['a'] = 1
            return [make_change('b', 2), make_change('a', 3, True)], 3

        feed = ScriptedFeed(
            ([make_entry('a', 1)], 1), return_deletion, *[([], 3)] * 3
        )
        reader = FragileReader()
        await follow(feed, reader, 1.5)
        assert reader.applied == {'a': (3, False), 'b': (2, True)}

    @run_async
    async def test_newer_change_replaces_one_that_failed(self):
        feed = ScriptedFeed(
            ([], 1),
            ([make_change('a', 2), make_change('a', 3)], 3),
            *[([], 3)] * 3,
        )
        reader = FragileReader(a=1)
        await follow(feed, reader, 1.5)
        assert reader.applied == {'a': (3, True)}

    @run_async
    async def test_change_that_always_fails_does_not_repeat_the_poll(self):
        feed = ScriptedFeed(
            ([], 1), ([make_change('a', 2)], 2), *[([], 2)] * 50
        )
        mirror = await follow(feed, FragileReader(a=999), 2.0)
        assert mirror.change_log.revision == 2 and feed.read_count == 1
        assert max(feed.poll_seconds[1:]) > 0.4

    @run_async
    async def test_unapplied_configuration_is_not_confirmed(self):
        config_freshness = freshness.Freshness(0.2)
        feed = ScriptedFeed(
            ([], 1),
            ([make_change('config', 2)], 2),
            *[([], 2)] * 50,
        )
        await follow(
            feed,
            FragileReader(config=999),
            1.2,
            config_freshness=config_freshness,
            required_keys=frozenset({'config'}),
        )
        assert not config_freshness.is_current()
        # Polls that can confirm nothing must not follow one another closely.
        assert min(feed.poll_seconds[2:]) > 0.1

    @run_async
    async def test_unexpected_error_of_a_call_does_not_end_the_loop(self):
        feed = ScriptedFeed(
            RuntimeError('listing'),
            ([make_entry('a', 1)], 1),
            RuntimeError('poll'),
            ([make_change('b', 2)], 2),
        )
        reader = FragileReader()
        await follow(feed, reader, 1.5)
        assert set(reader.applied) == {'a', 'b'}

    @run_async
    async def test_poll_that_always_fails_is_replaced_by_a_listing(self):
        feed = ScriptedFeed(
            ([], 1),
            *[RuntimeError('poll')] * mirrors.MAX_POLL_ERRORS,
            ([make_entry('a', 2)], 2),
        )
        reader = FragileReader()
        await follow(feed, reader, 2.5)
        assert set(reader.applied) == {'a'} and feed.read_count == 2

    @run_async
    async def test_can_run_again_after_its_cancellation(self):
        feed = ScriptedFeed(([make_entry('a', 1)], 1))
        reader = FragileReader()
        mirror = await follow(feed, reader, 0.1)
        feed.responses = [([make_change('b', 2)], 2)]
        with anyio.move_on_after(0.1):
            await mirror.run()
        assert set(reader.applied) == {'a', 'b'} and feed.read_count == 1


class TestRevisionsThatGoBack:
    @run_async
    async def test_deleted_entry_is_not_restored_by_an_older_change(self):
        feed = ScriptedFeed(
            ([make_entry('a', 3)], 3),
            ([make_change('a', 5, True)], 5),
            ([make_change('a', 4), make_change('b', 6)], 6),
        )
        reader = FragileReader()
        await follow(feed, reader, 1.0)
        assert reader.applied == {'a': (5, False), 'b': (6, True)}

    @run_async
    async def test_leap_of_the_revision_loses_no_later_change(self):
        """A revision far ahead hides all changes up to it."""
        feed = ScriptedFeed(
            ([], 1),
            ([make_change('a', 2)], 10**15),
            ([], 2),
            ([make_entry('a', 2), make_entry('b', 3)], 3),
            ([make_change('c', 4)], 4),
        )
        reader = FragileReader()
        mirror = await follow(feed, reader, 3.0)
        assert set(reader.applied) == {'a', 'b', 'c'}
        assert mirror.change_log.revision == 4

    @run_async
    async def test_relay_that_lags_changes_nothing(self):
        feed = ScriptedFeed(
            ([make_entry('a', 5)], 5),
            stores.PollResult(
                [make_change('a', 4)], 4, age=1.0, is_billable=False
            ),
            ([make_change('b', 6)], 6),
        )
        reader = FragileReader()
        mirror = await follow(feed, reader, 0.5)
        assert reader.applied == {'a': (5, True), 'b': (6, True)}
        assert mirror.change_log.revision == 6 and feed.read_count == 1

    @run_async
    async def test_store_that_lost_its_revisions_is_followed_again(self):
        async def return_lower_revision():
            await anyio.sleep(0.1)
            return [], 3

        listing = [make_entry('a', 2), make_entry('b', 3)], 3
        feed = ScriptedFeed(
            ([make_entry('a', 50), make_entry('c', 60)], 60),
            return_lower_revision,
            *[listing] * mirrors.MAX_REGRESSIONS,
        )
        reader = FragileReader()
        mirror = await follow(feed, reader, 3.0)
        assert reader.applied['a'] == (2, True)
        assert reader.applied['b'] == (3, True)
        assert reader.applied['c'] == (3, False)
        assert mirror.change_log.revision == 3


class TestTurns:
    """Guards against many changes at once that block the event loop."""

    COUNT = 500

    @pytest.mark.parametrize('is_listing', [True, False])
    def test_other_tasks_run_between_changes(self, is_listing):
        @run_async
        async def check(_):
            changes = [make_change(f'k{n}', n + 2) for n in range(self.COUNT)]
            listing = [change.entry for change in changes], self.COUNT + 2
            feed = (
                ScriptedFeed(listing)
                if is_listing
                else ScriptedFeed(([], 1), (changes, self.COUNT + 2))
            )
            turns, applied_at = 0, []

            async def count_turns():
                nonlocal turns
                while True:
                    await anyio.sleep(0)
                    turns += 1

            mirror = mirrors.StoreMirror(
                feed,
                '',
                lambda change, _: applied_at.append(turns),
                freshness.Freshness(5.0),
            )
            async with anyio.create_task_group() as group:
                group.start_soon(count_turns)
                group.start_soon(mirror.run)
                with anyio.fail_after(3):
                    while len(applied_at) < self.COUNT:
                        await anyio.sleep(0.01)
                group.cancel_scope.cancel()
            assert len(set(applied_at)) > self.COUNT / 50

        check(None)
