"""Tests of requests with a prompt part that crashes engines."""

import anyio
import pytest

from chivejunction import clock
from chivejunction import errors
from chivejunction.coordination import bulletins
from chivejunction.coordination import harmful_prompts
from chivejunction.state import crash_evidence
from chivejunction.transport import stores
from tests import forward_rig
from tests import stores as memory_stores
from tests import test_hints
from tests.forward_rig import run_async

HARMFUL_PART = 'bad'
ENGINES = 6


class Pool:
    """Engines that crash as they begin to respond to a prompt part.

    Args:
        written: Called with a request; returns the bytes that an engine has
            written after the head as it crashes.

    Attributes:
        servers: The engines.
        harmful_requests: Ids of requests with the part that reached one.
    """

    def __init__(self, written=lambda request: b''):
        self._written = written
        self.servers = []
        self.harmful_requests = []

    async def start(self, rig, count=ENGINES):
        """Starts the engines and registers them with the gateways."""
        for number in range(count):
            self.servers.append(
                await rig.add_server(
                    self.make_script(number),
                    'pool',
                    failure_domain=f'bkk-{number}',
                )
            )

    def make_script(self, number):
        """Returns the script of one engine."""
        stream_events = forward_rig.make_event_stream(2)

        async def respond(request, stream):
            prompt = request.headers.get('prompt-prefix', '')
            if HARMFUL_PART not in prompt:
                return await stream_events(request, stream)
            self.harmful_requests.append(request.id)
            await stream.send(
                forward_rig.encode_stream_head(request)
                + self._written(request)
            )
            await anyio.sleep(0.01)
            self.servers[number].crash()
            return False

        return respond

    def count_crashes(self):
        """Returns the number of crashes of all engines."""
        return sum(server.crashes for server in self.servers)


async def call(rig, number, parts):
    """Sends a request with a part of its own; returns the response."""
    prompt = ','.join(f'{part}:100' for part in [*parts, f'own{number}'])
    return await rig.call(
        '/stream/x',
        b'p',
        Request_Id=f'r-{number}',
        Prompt_Prefix=prompt,
        Token_Count=f'{100 * len(parts) + 100},20',
        Deadline_Ms='2500',
    )


class TestCrashLoop:
    @run_async
    async def test_prompt_part_crashes_no_further_engines(self):
        """At most three requests with it are sent after the fifth crash."""
        async with forward_rig.start() as rig:
            pool = Pool()
            await pool.start(rig)
            sent_at_fifth_crash = None
            for number in range(24):
                await call(rig, number, ['class', HARMFUL_PART])
                await anyio.sleep(0.1)
                if sent_at_fifth_crash is None and pool.count_crashes() >= 5:
                    sent_at_fifth_crash = len(pool.harmful_requests)
            if sent_at_fifth_crash is None:
                sent_at_fifth_crash = len(pool.harmful_requests)
            assert len(pool.harmful_requests) - sent_at_fifth_crash <= 3
            # Requests that share the other part are served.
            await anyio.sleep(forward_rig.RESTART_SECONDS)
            response = await call(rig, 99, ['class', 'good'])
            assert response.is_complete and response.status == 200


def encode_events(request, count):
    """Returns the next events of a stream for a request."""
    first = int(request.headers.get('last-event-id', '0')) + 1
    return b''.join(
        forward_rig.encode_event(number)
        for number in range(first, first + count)
    )


class TestCrashAfterTheFirstEvents:
    """Guards against a first event that is taken for a success.

    An engine may crash once it has written some of the response.
    """

    WRITTEN = {
        'one event': lambda request: encode_events(request, 1),
        'one event and a part': lambda request: (
            encode_events(request, 1) + b'20\r\nid: '
        ),
        'five events': lambda request: encode_events(request, 5),
    }

    @pytest.mark.parametrize('case', WRITTEN)
    def test_part_is_found(self, case):
        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                rig._group.start_soon(rig.keep_config_fresh)
                pool = Pool(self.WRITTEN[case])
                await pool.start(rig)
                sent_at_fifth_crash = None
                for number in range(16):
                    await call(rig, number, ['class', HARMFUL_PART])
                    await anyio.sleep(0.3)
                    if sent_at_fifth_crash is None and (
                        pool.count_crashes() >= 5
                    ):
                        sent_at_fifth_crash = len(pool.harmful_requests)
                if sent_at_fifth_crash is not None:
                    late = len(pool.harmful_requests) - sent_at_fifth_crash
                    assert late <= 3
                assert (await call(rig, 98, [HARMFUL_PART])).status == 503
                await anyio.sleep(forward_rig.RESTART_SECONDS)
                response = await call(rig, 99, ['class', 'good'])
                assert response.is_complete and response.status == 200

        check(None)

    @run_async
    async def test_response_that_ends_with_its_connection_proves_nothing(self):
        """A crash between two events looks like its end."""

        async def respond(request, stream):
            head = forward_rig.encode_stream_head(request).replace(
                b'Transfer-Encoding: chunked\r\n', b''
            )
            await stream.send(head + b'id: 1\ndata: w1\n\n')
            return False

        async with forward_rig.start() as rig:
            await rig.add_server(respond, 'pool')
            response = await call(rig, 1, ['class'])
            assert response.is_complete
            evidence = rig.gateway.prompt_guard._evidence
            part = crash_evidence.hash_part('class')
            assert evidence.list_suspects((part,)) == (part,)


class TestManyParts:
    """Guards against a harmful part that hides behind many rare ones."""

    @pytest.mark.parametrize('count', [12, 40])
    def test_part_ahead_of_rare_parts_is_found(self, count):
        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                rig._group.start_soon(rig.keep_config_fresh)
                pool = Pool()
                await pool.start(rig)
                for number in range(12):
                    rare = [f'doc{number}-{n}' for n in range(count)]
                    await call(rig, number, ['class', HARMFUL_PART, *rare])
                    await anyio.sleep(0.3)
                assert len(pool.harmful_requests) <= 8
                await anyio.sleep(forward_rig.RESTART_SECONDS)
                response = await call(rig, 99, ['class', 'doc0-0', 'good'])
                assert response.is_complete and response.status == 200

        check(None)

    @run_async
    async def test_all_parts_of_a_crash_reach_other_gateways(self):
        """Guards against reports of which only a part arrives."""
        async with anyio.create_task_group() as group:
            first, second = (forward_rig.Rig(group).gateway for _ in range(2))
            report = crash_evidence.CrashReport(
                1, 2, tuple(range(100, 140)), True, clock.now()
            )
            for part_report in report.split():
                first.prompt_guard._add_report(part_report)
                first.prompt_guard._publish_crash(part_report)
            second._board._name = 'gw-2'
            for datagram in first._board.export():
                second._board.handle_datagram(datagram, ('127.0.0.1', 1))
            reports = second.prompt_guard._evidence._reports.values()
            positions = {
                part: position
                for r in reports
                for position, part in enumerate(r.parts, r.first_position)
            }
            group.cancel_scope.cancel()
        assert positions == {100 + n: n for n in range(40)}


def make_key(part):
    """Returns the store key of a finding."""
    return f'{harmful_prompts.PREFIX}{crash_evidence.hash_part(part):016x}'


def make_change(part, is_present=True):
    """Returns the change of the store that adds or removes a finding."""
    key = make_key(part)
    entry = stores.Entry(key, b'{}', 5, 0) if is_present else None
    return stores.Change(key, 5, entry)


async def hold_open(request, stream):
    """Sends the head of a response and nothing else until it is closed."""
    await stream.send(forward_rig.encode_stream_head(request))
    await stream.receive()


class TestOddFindings:
    """Findings in the store and bulletins that another writer left."""

    def make_guard(self):
        members = test_hints.make_members('gw-1', 1)
        board = bulletins.BulletinBoard('gw-1', members)
        guard = harmful_prompts.HarmfulPromptGuard(
            memory_stores.MemoryStore(), board, members
        )
        return guard, board

    @pytest.mark.parametrize(
        'name',
        [
            '',
            'x',
            '7',
            '-000000000000007',
            '+000000000000007',
            '0x00000000000007',
            '0_0_0_0_0_0_0_07',
            '00000000000000FF',
            '\u0660' * 16,
            '0' * 17,
            'f' * 17,
            'f' * 5000,
            '00000000000000f/',
        ],
    )
    @pytest.mark.parametrize('is_present', [True, False])
    def test_key_of_another_form_is_a_protocol_error(self, name, is_present):
        guard, board = self.make_guard()
        key = harmful_prompts.PREFIX + name
        entry = stores.Entry(key, b'{}', 5, 0) if is_present else None
        with pytest.raises(errors.ProtocolError):
            guard.apply_change(stores.Change(key, 5, entry), False)

    @pytest.mark.parametrize('value', [b'', b'\xff', b'[' * 2000, b'null'])
    def test_finding_holds_with_any_value(self, value):
        guard, board = self.make_guard()
        key = f'{harmful_prompts.PREFIX}{2**64 - 1:016x}'
        guard.apply_change(
            stores.Change(key, 5, stores.Entry(key, value, 5, 0)), False
        )
        assert list(guard._quarantines) == [2**64 - 1]

    def test_number_of_findings_is_limited(self):
        guard, board = self.make_guard()
        for part in range(3 * harmful_prompts.MAX_QUARANTINED_PARTS):
            key = harmful_prompts.make_key(part)
            entry = stores.Entry(key, b'{}', 5, 0)
            guard.apply_change(stores.Change(key, 5, entry), False)
        assert len(guard._quarantines) == harmful_prompts.MAX_QUARANTINED_PARTS

    @pytest.mark.parametrize('part', [2**64, -1, 1.5, 7.0, True])
    @pytest.mark.parametrize('position', [0, 1, 3])
    def test_crash_report_without_hashes_is_malformed(self, part, position):
        """The part would be judged, published and written to the store."""
        guard, board = self.make_guard()
        value = [1, 2, 1, 7]
        value[position] = part
        now = clock.now()
        with pytest.raises(ValueError):
            guard._read_crash(
                bulletins.Bulletin(
                    harmful_prompts.CRASH_KIND, 1, value, now, now + 9, now
                )
            )
        assert not guard._evidence.has_reports

    @pytest.mark.parametrize('part', [2**64, -1, True])
    def test_finding_without_a_hash_is_malformed(self, part):
        guard, board = self.make_guard()
        value, now = (harmful_prompts.HARMFUL,), clock.now()
        with pytest.raises(ValueError):
            guard._read_part(
                bulletins.Bulletin(
                    harmful_prompts.PART_KIND, part, value, now, now + 9, now
                )
            )
        assert not guard._quarantines


class TestRepeatedParts:
    @run_async
    async def test_prompt_that_names_a_part_twice_is_served_and_repeated(self):
        async with forward_rig.start() as rig:
            send_events = forward_rig.make_event_stream(2)
            served = []

            async def respond(request, stream):
                served.append(request.id)
                if len(served) == 1:
                    return False
                return await send_events(request, stream)

            for _ in range(2):
                await rig.add_server(respond, 'pool')
            response = await call(rig, 1, ['class', 'twice', 'twice'])
            assert response.status == 200 and response.is_complete
            assert len(served) == 2
            assert not rig.gateway.prompt_guard._attempts


class TestQuarantine:
    @run_async
    async def test_gateway_that_starts_later_reads_it_from_the_store(self):
        async with forward_rig.start() as rig:
            pool = Pool()
            await pool.start(rig)
            guard = rig.gateway.prompt_guard
            guard.apply_change(make_change(HARMFUL_PART), False)
            response = await call(rig, 1, ['class', HARMFUL_PART])
            # Nothing was sent, so the caller is told that it did not run.
            assert response.status == 503
            assert float(response.headers['retry-after']) > 60
            assert not pool.harmful_requests
            response = await call(rig, 2, ['class', 'good'])
            assert response.status == 200

    @pytest.mark.parametrize('may_have_expired', [False, True])
    def test_removal_from_the_store_ends_it(self, may_have_expired):
        """Unless the entry may have expired during an outage only."""

        @run_async
        async def check(_):
            async with forward_rig.start() as rig:
                await rig.add_server(forward_rig.make_event_stream(2), 'pool')
                guard = rig.gateway.prompt_guard
                guard.apply_change(make_change('part'), False)
                guard.apply_change(
                    make_change('part', False), may_have_expired
                )
                response = await call(rig, 1, ['part'])
                assert response.status == (503 if may_have_expired else 200)

        check(None)

    @run_async
    async def test_attempt_that_has_not_begun_to_respond_is_cancelled(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(hold_open, 'pool')
            responses = []

            async def request():
                responses.append(await call(rig, 1, ['class', HARMFUL_PART]))

            async with anyio.create_task_group() as group:
                group.start_soon(request)
                while not server.received_requests:
                    await anyio.sleep(0.01)
                rig.gateway.prompt_guard.apply_change(
                    make_change(HARMFUL_PART), False
                )
            backend = rig.gateway.backends.get(f'i-{server.port}')
            assert backend.error_share == 0
            # It was sent, so nothing is promised.
            assert responses[0].status == 502
            assert len(server.received_requests) == 1
            with anyio.fail_after(1):
                while not server.closed:
                    await anyio.sleep(0.01)

    @run_async
    async def test_stream_that_has_responded_is_not_cut(self):
        async with forward_rig.start() as rig:
            server = await rig.add_server(
                forward_rig.make_event_stream(4, pause=0.1),
                'pool',
                instance='i-1',
            )
            responses = []

            async def request():
                responses.append(await call(rig, 1, [HARMFUL_PART]))

            async with anyio.create_task_group() as group:
                group.start_soon(request)
                while not server.received_requests:
                    await anyio.sleep(0.01)
                await anyio.sleep(0.15)
                rig.gateway.prompt_guard.apply_change(
                    make_change(HARMFUL_PART), False
                )
            assert responses[0].is_complete
            assert responses[0].body.count(b'id: ') == 4

    @run_async
    async def test_finding_is_written_to_the_store_after_an_outage(self):
        async with forward_rig.start() as rig:
            store = rig.gateway.members._store
            store.is_down = True
            guard = rig.gateway.prompt_guard
            guard._quarantine(
                crash_evidence.hash_part(HARMFUL_PART),
                clock.make_deadline(60),
            )
            await anyio.sleep(1)
            store.is_down = False
            with anyio.fail_after(5):
                while await store.get(make_key(HARMFUL_PART)) is None:
                    await anyio.sleep(0.05)

    @run_async
    async def test_findings_are_stored_after_an_idle_time(self):
        """Both tasks that wait for something to do are woken."""
        async with forward_rig.start() as rig:
            store = rig.gateway.members._store
            guard = rig.gateway.prompt_guard
            for part in ('first', 'second'):
                number = crash_evidence.hash_part(part)
                guard._quarantine(number, clock.make_deadline(60))
                with anyio.fail_after(5):
                    while await store.get(make_key(part)) is None:
                        await anyio.sleep(0.05)
                    guard._release(number)
                    while guard._is_active.is_set():
                        await anyio.sleep(0.05)

    @run_async
    async def test_broken_connection_of_a_live_server_is_no_crash(self):
        async with forward_rig.start() as rig:

            async def cut(request, stream):
                await stream.send(forward_rig.encode_stream_head(request))
                return False

            servers = [await rig.add_server(cut, 'pool') for _ in range(3)]
            for number in range(6):
                await call(rig, number, ['class', 'subject'])
                await anyio.sleep(0.1)
            sent = sum(len(s.received_requests) for s in servers)
            assert sent >= 6
            assert not rig.gateway.prompt_guard._quarantines


class TestSharedEvidence:
    @run_async
    async def test_crashes_at_different_gateways_add_up(self):
        """No gateway sees more than two crashes, and the store is away."""
        async with (
            forward_rig.start() as one,
            forward_rig.start() as two,
            forward_rig.start() as three,
        ):
            rigs = [one, two, three]
            pool = Pool()
            await pool.start(one, 8)
            for number, server in enumerate(pool.servers):
                for rig in rigs[1:]:
                    rig.register_server(
                        server,
                        'pool',
                        f'i-{server.port}',
                        failure_domain=f'bkk-{number}',
                    )
            for rig in rigs:
                rig.gateway.members._store.is_down = True
            connect_boards(rigs)
            sent = []
            for number, rig in enumerate([one, two, three, one, two, three]):
                rig.mark_config_fresh()
                await call(rig, number, ['class', HARMFUL_PART])
                sent.append(len(pool.harmful_requests))
                await anyio.sleep(
                    crash_evidence.SETTLE_SECONDS + 4 * bulletins.ROUND_SECONDS
                )
            # Two attempts of the first request, at most two of the second.
            assert sent[1] <= 4
            assert sent[-1] == sent[1]
            three.mark_config_fresh()
            response = await call(three, 99, ['class', 'good'])
            assert response.status == 200


def connect_boards(rigs):
    """Passes the bulletins of each gateway on to the others."""
    boards = [rig.gateway._board for rig in rigs]

    class Sender:
        async def send(self, data, address):
            for board in boards:
                board.handle_datagram(data, address)

    for number, rig in enumerate(rigs):
        rig.gateway._board._name = f'gw-{number}'
        rig.gateway._board._sample_peers = lambda count: [('127.0.0.1', 1)]
        rig._group.start_soon(rig.gateway._board.run, Sender())
