"""Forwards callers' requests to backend servers, attempt by attempt."""

from collections.abc import Callable
import dataclasses
import enum
import random

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import backend_selection
from chivejunction.coordination import hints
from chivejunction.coordination import tier_choice
from chivejunction.protocol import forwarding
from chivejunction.protocol import refusals
from chivejunction.protocol import sse
from chivejunction.protocol import verdicts
from chivejunction.state import backends
from chivejunction.state import backlogs
from chivejunction.state import budgets
from chivejunction.state import freshness
from chivejunction.state import prompt_holdings
from chivejunction.state import route_tables
from chivejunction.transport import backend_connections
from chivejunction.transport import caller_connections

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN

# Part of the objective for which a request waits for a server with room.
WAIT_SHARE = 1 / 8
WAIT_STEP_SECONDS = 0.02
# Silence, in parts of the objective, after which a repeatable request moves
# to another server: of a server that answers nobody, and of a busy one.
SILENT_SHARE = 0.5
BUSY_SHARE = 2.0
# A server that was heard of within this time is busy rather than dead.
ALIVE_SECONDS = 1.0
PLAIN_SHARE = 0.55
# Longest wait for the answer to a probe, a few round trips between regions.
PROBE_SECONDS = 0.4
# A probe must not mistake a forgotten connection for a dead server.
PROBE_IDLE_SECONDS = 0.5
# Pause between events, in parts of the longest one on time, after which a
# stream goes on at another server.
GAP_SHARE = 0.7
LONG_GAP_SHARE = 2.0
MIN_GAP_SECONDS = 0.5
# A connection that was idle for longer may have been dropped by the server
# without notice; a request that must not run twice does not risk it.
SAFE_IDLE_SECONDS = 1.5
# Retry-After of a refusal: a spread keeps callers from returning together.
RETRY_AFTER_SECONDS = (0.3, 1.2)
RETRY_AFTER_SHARE = 0.3
# Attempts before which more work than this waits tell nothing about the speed
# of a version; the slack covers a round trip between regions.
MAX_JUDGED_WAIT_SECONDS = 0.1
SLACK_SECONDS = 0.08
# Callers' guesses of the length are right in the middle and often far off; an
# answer that would be late even if it were this much shorter is not begun.
HOPE_SHARE = 0.7
# A body up to this size fits any connection's window, so that sending it
# cannot block.
SMALL_BODY_BYTES = 4096
# Time left below which an attempt cannot end in time.
MIN_LEFT_SECONDS = 0.02

REQUESTS = metrics.make_counter(
    'forward_requests', 'Forwarded requests by result.', 'route', 'result'
)
ATTEMPTS = metrics.make_counter(
    'forward_attempts', 'Attempts at backend servers.', 'service', 'outcome'
)
FIRST_BYTE = metrics.Latency(
    'forward_first_byte_seconds', 'Time to the first byte.', 'route'
)


class Step(enum.Enum):
    """What follows an attempt."""

    DONE = 'done'
    RETRY = 'retry'
    ESCALATE = 'escalate'
    STOP = 'stop'


@dataclasses.dataclass(slots=True)
class KeptAnswer:
    """A failure of a backend server that may be passed on at the end."""

    status: int
    headers: forwarding.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Trip:
    """One request on its way through attempts.

    Attributes:
        request: The request.
        route: Its route.
        service: Service that answers it.
        organisation: Organisation of the caller, or None.
        reply: Writes the answer.
        tier: Model tier in use.
        deadline: Monotonic time of the final answer.
        verdict: Strictest verdict of all attempts.
        sends: Attempts that were sent.
        tried: Instances that failed it.
        resume_after: Last event passed on.
        kept: Failure of a server to pass on if nothing better comes.
        first_byte_at: Monotonic time of the first byte passed on.
        events: Events passed on.
        reason: Why the latest attempt failed.
        confidence: The latest model's opinion of its answer, or None.
        wish: What the latest server had to offer.
        choice: The latest server.
        next_choice: Server that was chosen for the next attempt already.
        work: Number of the latest attempt's work.
    """

    request: forwarding.ForwardRequest
    route: forwarding.Route
    service: forwarding.BackendService
    organisation: forwarding.ForwardOrganisation | None
    reply: caller_connections.Reply
    tier: tier_choice.TierChoice
    deadline: float
    verdict: verdicts.Verdict = NOT_RUN
    sends: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    resume_after: int | None = None
    kept: KeptAnswer | None = None
    first_byte_at: float = 0.0
    events: int = 0
    reason: str = ''
    confidence: float | None = None
    wish: backend_selection.Wish | None = None
    choice: backend_selection.Choice | None = None
    next_choice: backend_selection.Choice | None = None
    work: int = 0

    @property
    def may_repeat(self) -> bool:
        """Tells whether the request may run once more."""
        return self.verdict.allows_retry(
            self.route.repeat is not forwarding.Repeat.NEVER
        )

    @property
    def urgency(self) -> int:
        """Rank of the request, 0 is the most urgent."""
        own = self.organisation.urgency if self.organisation else None
        return self.route.urgency if own is None else own


class AttemptFailed(errors.Error):
    """An attempt did not bring a whole answer.

    Args:
        detail: What happened.
        verdict: Whether the request may have run.
    """

    def __init__(self, detail: str, verdict: verdicts.Verdict):
        super().__init__(detail)
        self.verdict = verdict


class Forwarder:
    """Answers callers' requests by attempts at backend servers.

    Args:
        get_table: Returns the routing table in force, None before the
            first one.
        table: Backend servers.
        selector: Chooses servers.
        pool: Connections to servers.
        wire: Wire format of callers and servers.
        proof: Age of the configuration.
        make_budget: Returns the extra attempts of this gateway for a
            service.
        moves: Versions that may be used and their results.
        work: Work that waits at servers.
        speeds: Reading speeds of the models.
        holdings: Prompt beginnings that servers hold.
        peers: Tells the other gateways of this one's work.
    """

    def __init__(
        self,
        get_table: Callable[[], route_tables.RouteTable | None],
        table: backends.BackendTable,
        selector: backend_selection.BackendSelector,
        pool: backend_connections.ConnectionPool,
        wire: forwarding.WireFormat,
        proof: freshness.Freshness,
        make_budget: Callable[[], budgets.WindowedBudget],
        moves,
        work: backlogs.Backlogs,
        speeds: backlogs.ReadingSpeeds,
        holdings: prompt_holdings.PromptHoldings,
        peers: hints.Hints,
    ):
        self._get_table = get_table
        self._table = table
        self._selector = selector
        self._pool = pool
        self._wire = wire
        self._proof = proof
        self._make_budget = make_budget
        self._budgets: dict[str, budgets.WindowedBudget] = {}
        self._moves = moves
        self._work = work
        self._speeds = speeds
        self._holdings = holdings
        self._hints = peers
        self._heard_at: dict[str, float] = {}

    async def handle(
        self,
        raw: caller_connections.RawRequest,
        reply: caller_connections.Reply,
    ) -> None:
        """Answers one request."""
        try:
            request = self._wire.read_request(
                raw.method,
                raw.target,
                raw.headers,
                raw.body,
                raw.received_at,
            )
        except errors.RefusalError as exc:
            await self._refuse(reply, None, exc)
            return
        try:
            trip = self._start_trip(request, reply)
        except errors.RefusalError as exc:
            await self._refuse(reply, request, exc)
            return
        try:
            with anyio.move_on_at(trip.deadline) as scope:
                await self._run(trip)
            if scope.cancelled_caught:
                trip.reason = 'time limit reached'
                await self._fail(trip)
        except anyio.get_cancelled_exc_class():
            trip.reason = 'the caller left'
            raise
        finally:
            self._record_end(trip)

    def _start_trip(self, request, reply) -> Trip:
        """Checks a request against the configuration.

        Raises:
            RefusalError: The configuration does not allow it, or this
                gateway does not know whether it does.
        """
        table = self._get_table()
        if table is None:
            raise errors.RefusalError('not_ready', 'no configuration yet')
        route = table.find_route(request.host, request.path)
        if route is None:
            self._check_fresh()
            raise errors.RefusalError('not_found', 'no route for this path')
        organisation = None
        if route.needs_key:
            organisation = table.find_organisation(request.key)
            if organisation is None or not self._proof.holds():
                self._check_fresh()
                raise errors.RefusalError(
                    'unauthenticated', 'the key is not known'
                )
        name = route_tables.choose_service(route, request.id)
        service = table.services.get(name) or forwarding.BackendService(name)
        return Trip(
            request=request,
            route=route,
            service=service,
            organisation=organisation,
            reply=reply,
            tier=tier_choice.TierChoice.start(
                route.tiers, route.repeat is not forwarding.Repeat.NEVER
            ),
            deadline=min(
                request.deadline, request.received_at + route.timeout
            ),
            resume_after=request.resume_after,
        )

    def _check_fresh(self) -> None:
        if not self._proof.holds():
            raise errors.RefusalError(
                'not_ready', 'the configuration may be out of date'
            )

    async def _run(self, trip: Trip) -> None:
        budget = self._get_budget(trip.service.name)
        budget.add_request()
        step = Step.RETRY
        while step in (Step.RETRY, Step.ESCALATE):
            # An escalation has chosen its server and paid already.
            choice, trip.next_choice = trip.next_choice, None
            if choice is None:
                choice = await self._find_backend(trip)
                if choice is None:
                    break
                if trip.sends and not budget.take():
                    trip.reason = trip.reason or 'no retry budget'
                    break
            step = await self._attempt(trip, choice)
            if step is Step.RETRY and not self._may_go_on(trip):
                break
        if step is not Step.DONE:
            await self._fail(trip)

    @staticmethod
    def _may_go_on(trip: Trip) -> bool:
        return (
            trip.may_repeat
            and trip.sends < trip.route.max_attempts
            and clock.remaining(trip.deadline) > MIN_LEFT_SECONDS
        )

    def _make_wish(self, trip: Trip, model: str) -> backend_selection.Wish:
        """Returns what a server has to offer for an attempt by a model."""
        regions = trip.route.regions
        if trip.organisation and trip.organisation.regions:
            own = trip.organisation.regions
            regions = (regions & own or frozenset(['-'])) if regions else own
        prefixes = []
        if not trip.route.is_stream:
            model = ''
        if trip.route.has_affinity:
            prefixes = prompt_holdings.list_prefixes(
                trip.request.prompt, model
            )
        wish = backend_selection.Wish(
            service=trip.service.name,
            model=model,
            regions=regions,
            prefixes=prefixes,
            tokens=trip.request.input_tokens,
            events=trip.request.expected_tokens / trip.service.event_tokens,
            seconds_left=clock.remaining(trip.deadline),
            tried=frozenset(trip.tried),
        )
        wish.is_version_allowed = self._moves.choose_versions(
            trip.service.name,
            find_session(trip.request),
            lambda version: self._selector.has_version(
                wish, trip.service, version
            ),
        )
        return wish

    async def _find_backend(
        self, trip: Trip
    ) -> backend_selection.Choice | None:
        """Waits a moment for a server with room."""
        wish = self._make_wish(trip, trip.tier.model or trip.request.model)
        give_up = clock.make_deadline(WAIT_SHARE * trip.route.objective)
        while True:
            found = self._selector.choose(wish, trip.service)
            if found is not None:
                trip.wish = wish
                return found
            if clock.has_passed(give_up):
                trip.reason = trip.reason or 'no server with room'
                return None
            await anyio.sleep(WAIT_STEP_SECONDS)

    async def _attempt(
        self, trip: Trip, choice: backend_selection.Choice
    ) -> Step:
        """Makes one attempt and tells what follows it."""
        started_at = clock.now()
        backend = choice.backend
        trip.choice = choice
        backend.running += 1
        work = self._start_work(trip, choice)
        connection = None
        is_kept = False
        outcome = 'cancelled'
        try:
            connection = await self._connect(trip, backend)
            trip.work = work
            step, idle = await self._exchange(trip, backend, connection)
            outcome = step.value
            if step is not Step.ESCALATE and connection.is_reusable():
                is_kept = idle is None or idle > 0
                if is_kept:
                    self._pool.release(backend.instance, connection, idle)
            return step
        except AttemptFailed as exc:
            outcome = str(exc)
            trip.reason = outcome
            trip.verdict = max(trip.verdict, exc.verdict)
            trip.tried.add(backend.instance)
            if exc.verdict is not NOT_RUN:
                backend.note_failure()
                self._moves.record(trip.service.name, backend.version, False)
            return Step.RETRY
        finally:
            backend.running -= 1
            self._end_work(work)
            if connection is not None and not is_kept:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
            ATTEMPTS.labels(trip.service.name, outcome.split(':')[0]).inc()
            logs.log_decision(
                'attempt',
                request=trip.request.id,
                service=trip.service.name,
                instance=backend.instance,
                domain=backend.failure_domain,
                version=backend.version,
                model=trip.tier.model,
                running=backend.running,
                estimated_wait=round(choice.wait, 3),
                estimated_work=round(choice.seconds, 3),
                held_tokens=choice.held_tokens,
                error_share=round(backend.error_share, 3),
                attempt=trip.sends,
                outcome=outcome,
                confidence=trip.confidence,
                seconds=round(clock.now() - started_at, 4),
            )

    def _start_work(self, trip, choice) -> int:
        """Tells the other gateways what this attempt costs its server."""
        wish, instance = trip.wish, choice.backend.instance
        if not wish.model:
            return 0
        if wish.prefixes and trip.service.cache_tokens:
            if choice.held_tokens < wish.prefixes[-1][1]:
                self._hints.add_prefixes(instance, wish.prefixes)
            self._holdings.add(
                instance, wish.prefixes, trip.service.cache_tokens
            )
        number = self._work.start(instance, choice.seconds)
        self._hints.notify()
        return number

    def _end_work(self, number: int) -> None:
        self._work.end(number)
        self._hints.notify()

    async def _connect(self, trip, backend):
        is_once = trip.route.repeat is forwarding.Repeat.NEVER
        max_idle = SAFE_IDLE_SECONDS if is_once else 3600.0
        try:
            return await self._pool.acquire(
                backend.instance,
                backend.address,
                backend.port,
                max_idle,
                trip.deadline,
            )
        except errors.TransportError as exc:
            backend.note_unreachable()
            raise AttemptFailed('unreachable', NOT_RUN) from exc

    async def _exchange(self, trip, backend, connection):
        """Sends the request and reads its answer."""
        dispatch = forwarding.Dispatch(
            instance=backend.instance,
            organisation=(trip.organisation.name if trip.organisation else ''),
            model=trip.tier.model,
            urgency=trip.urgency if trip.route.is_stream else None,
            resume_after=trip.resume_after,
            deadline=trip.deadline,
        )
        if trip.route.needs_key and not self._proof.holds():
            raise AttemptFailed('configuration out of date', NOT_RUN)
        if backend.is_leaving or (
            backend.failure_domain in self._table.closed_domains
        ):
            raise AttemptFailed('server left meanwhile', NOT_RUN)
        headers = self._wire.write_attempt(trip.request, dispatch)
        trip.sends += 1
        verdict_before = trip.verdict
        trip.verdict = max(trip.verdict, MAY_HAVE_RUN)
        try:
            return await self._converse(trip, backend, connection, headers)
        except AttemptFailed as exc:
            if exc.verdict is NOT_RUN:
                trip.verdict = verdict_before
            raise

    async def _converse(self, trip, backend, connection, headers):
        """Reads the answer while a long body is still being sent."""
        request = trip.request
        if len(request.body) <= SMALL_BODY_BYTES:
            await self._send(connection, request, headers)
            return await self._read_answer(trip, backend, connection)
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._send, connection, request, headers)
                result = await self._read_answer(trip, backend, connection)
                group.cancel_scope.cancel()
        except BaseExceptionGroup as failures:
            raise find_first(failures) from None
        return result

    @staticmethod
    async def _send(connection, request, headers) -> None:
        try:
            await connection.send(
                request.method, request.target, headers, request.body
            )
        except errors.TransportError as exc:
            # A server may answer early and then refuse the rest; the reader
            # finds out whether an answer came.
            logs.LOG.debug('request was not sent whole: %s', exc)

    async def _read_answer(self, trip, backend, connection):
        sent_at = clock.now()
        head = await self._read_head(trip, backend, connection, sent_at)
        trip.confidence = head.confidence
        if head.has_not_run:
            if head.status == 421:
                backend.paused_until = clock.make_deadline(1.0)
                raise AttemptFailed('another instance', NOT_RUN)
            backend.note_full()
            raise AttemptFailed(f'refused {head.status}', NOT_RUN)
        idle = 0.0 if head.is_closing else head.idle_seconds
        if head.status >= 300:
            body = await self._read_body(trip, connection)
            return self._judge_failure(trip, backend, head, body), idle
        if not head.is_signed:
            raise AttemptFailed('answer without signature', MAY_HAVE_RUN)
        if trip.route.is_stream:
            if self._escalate(trip, head.confidence):
                self._note_success(trip, backend, sent_at)
                trip.verdict = RAN
                return Step.ESCALATE, idle
            await self._pass_stream(trip, backend, connection, head, sent_at)
        else:
            body = await self._read_body(trip, connection)
            self._note_success(trip, backend, sent_at)
            trip.first_byte_at = clock.now()
            await trip.reply.answer(head.status, head.headers, body)
        return Step.DONE, idle

    def _escalate(self, trip: Trip, confidence: float | None) -> bool:
        """Turns to the largest tier if its answer is worth the wait.

        The answer at hand stays where no server of the largest tier would
        answer in time, or none may be asked any more.
        """
        if (
            trip.reply.has_started
            or trip.sends >= trip.route.max_attempts
            or not trip.tier.wants_more(confidence)
        ):
            return False
        wish = self._make_wish(trip, trip.tier.largest)
        choice = self._selector.choose(wish, trip.service)
        if choice is None:
            return False
        arrival = clock.now() + choice.wait + choice.seconds
        if not trip.tier.is_worth(
            arrival, trip.request.received_at, trip.route.objective
        ) or (HOPE_SHARE * choice.total_seconds > wish.seconds_left):
            return False
        if not self._get_budget(trip.service.name).take():
            return False
        trip.tier.escalate()
        trip.wish, trip.next_choice = wish, choice
        return True

    def set_allowance(self, allowance: float) -> None:
        """Changes the extra attempts that need no requests."""
        for budget in self._budgets.values():
            budget.allowance = allowance

    def _get_budget(self, service: str) -> budgets.WindowedBudget:
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = self._make_budget()
        return found

    async def _read_head(self, trip, backend, connection, sent_at):
        """Returns the head of the answer to this very request."""
        try:
            while True:
                status, headers = await self._wait_for_byte(
                    trip, backend, sent_at, connection.read_head
                )
                head = self._wire.read_answer(status, headers)
                self._heard_at[backend.instance] = clock.now()
                if head.request_id == trip.request.id or (
                    not head.request_id and status >= 400
                ):
                    return head
                await connection.skip_answer()
        except errors.TransportError as exc:
            raise AttemptFailed(f'no answer: {exc}', MAY_HAVE_RUN) from exc
        except errors.ProtocolError as exc:
            raise AttemptFailed(f'bad answer: {exc}', MAY_HAVE_RUN) from exc

    async def _wait_for_byte(self, trip, backend, sent_at, read):
        """Waits for the first bytes, shorter at a server that is silent."""
        if trip.route.repeat is forwarding.Repeat.NEVER or (
            trip.sends >= trip.route.max_attempts
        ):
            return await read()
        objective = trip.route.objective
        if not trip.route.is_stream:
            limit = sent_at + PLAIN_SHARE * objective
            with anyio.move_on_at(limit):
                return await read()
            raise AttemptFailed('silent', MAY_HAVE_RUN)
        return await self._wait_while_alive(
            backend,
            read,
            sent_at + SILENT_SHARE * objective,
            sent_at + BUSY_SHARE * objective,
        )

    async def _wait_while_alive(self, backend, read, earliest, latest):
        """Reads, for longer from a server that answers other requests.

        Args:
            backend: The server.
            read: Coroutine function that reads.
            earliest: Monotonic time up to which any silence is fine.
            latest: Monotonic time at which the wait ends in any case.

        Raises:
            AttemptFailed: The server stayed silent.
        """
        until = min(earliest, latest)
        while True:
            # A read that is cut short loses nothing; the next goes on.
            with anyio.move_on_at(until):
                return await read()
            now = clock.now()
            if now >= latest or not await self._is_alive(backend):
                break
            until = min(latest, now + ALIVE_SECONDS / 2)
        raise AttemptFailed('silent', MAY_HAVE_RUN)

    async def _is_alive(self, backend: backends.Backend) -> bool:
        """Tells whether a server that is silent here still answers."""
        heard_at = self._heard_at.get(backend.instance, 0.0)
        if clock.now() - heard_at < ALIVE_SECONDS:
            return True
        is_alive = await self._probe(backend)
        logs.log_decision(
            'server probed', instance=backend.instance, alive=is_alive
        )
        if is_alive:
            self._heard_at[backend.instance] = clock.now()
        return is_alive

    async def _probe(self, backend: backends.Backend) -> bool:
        deadline = clock.make_deadline(PROBE_SECONDS)
        connection = None
        try:
            with anyio.fail_after(PROBE_SECONDS):
                connection = await self._pool.acquire(
                    backend.instance,
                    backend.address,
                    backend.port,
                    PROBE_IDLE_SECONDS,
                    deadline,
                )
                host = f'{backend.address}:{backend.port}'.encode()
                await connection.send(
                    'GET', self._wire.probe_target, [(b'host', host)], b''
                )
                await connection.read_head()
                while await connection.read_data() is not None:
                    pass
        except (TimeoutError, errors.TransportError, errors.ProtocolError):
            return False
        finally:
            if connection is not None:
                with anyio.CancelScope(shield=True):
                    await self._pool.discard(backend.instance, connection)
        return True

    async def _read_body(self, trip, connection) -> bytes:
        parts = []
        try:
            while (data := await connection.read_data()) is not None:
                parts.append(data)
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise AttemptFailed(f'cut: {exc}', MAY_HAVE_RUN) from exc
        return b''.join(parts)

    def _judge_failure(self, trip, backend, head, body) -> Step:
        """Keeps a server's own failure and tells whether to try again."""
        trip.verdict = RAN
        trip.tried.add(backend.instance)
        trip.reason = f'server answered {head.status}'
        if head.status >= 500:
            backend.note_failure()
            self._moves.record(trip.service.name, backend.version, False)
        if head.is_signed:
            trip.kept = KeptAnswer(head.status, head.headers, body)
        return Step.RETRY if head.status >= 500 else Step.STOP

    async def _pass_stream(self, trip, backend, connection, head, sent_at):
        """Passes events on as they come."""
        reader = sse.EventReader()
        gap = max(MIN_GAP_SECONDS, GAP_SHARE * trip.route.event_gap)
        is_first = True
        event_at = clock.now()
        while True:
            data = await self._read_event_data(
                trip, backend, connection, gap, is_first
            )
            if data is None:
                break
            self._heard_at[backend.instance] = clock.now()
            for number, event in reader.feed(data):
                now = clock.now()
                if is_first:
                    self._note_success(trip, backend, sent_at)
                    is_first = False
                else:
                    backend.note_pace(now - event_at)
                event_at = now
                await self._pass_event(trip, head, number, event)
        if reader.has_rest() or is_first:
            raise AttemptFailed('stream ended inside an event', MAY_HAVE_RUN)
        await trip.reply.finish()

    async def _read_event_data(self, trip, backend, connection, gap, is_first):
        can_move = (
            trip.route.repeat is forwarding.Repeat.RESUME
            and trip.sends < trip.route.max_attempts
        )
        now = clock.now()
        latest = now + LONG_GAP_SHARE * trip.route.event_gap
        if is_first:
            latest = max(latest, now + BUSY_SHARE * trip.route.objective)
        try:
            if not can_move:
                return await connection.read_data()
            return await self._wait_while_alive(
                backend, connection.read_data, now + gap, latest
            )
        except (errors.TransportError, errors.ProtocolError) as exc:
            raise AttemptFailed(f'cut: {exc}', MAY_HAVE_RUN) from exc

    async def _pass_event(self, trip, head, number, event) -> None:
        last = trip.resume_after
        if number is not None and last is not None:
            if number <= last:
                return
            if number != last + 1:
                raise AttemptFailed(
                    f'event {number} follows {last}', MAY_HAVE_RUN
                )
        if not trip.reply.has_started:
            trip.first_byte_at = clock.now()
            await trip.reply.start(head.status, head.headers)
        await trip.reply.send(event)
        trip.events += 1
        if number is not None:
            trip.resume_after = number

    def _note_success(self, trip, backend, sent_at) -> None:
        seconds = clock.now() - sent_at
        choice = trip.choice
        if trip.wish.model:
            self._end_work(trip.work)
            tokens = trip.request.input_tokens - choice.held_tokens
            self._speeds.record(trip.wish.model, tokens, seconds)
        backend.note_success(seconds / trip.route.objective)
        self._moves.record(
            trip.service.name,
            backend.version,
            True,
            find_slowness(seconds, choice, trip.route),
        )

    async def _fail(self, trip: Trip) -> None:
        """Gives the final answer of a request that was not served."""
        if trip.reply.has_started:
            # The connection is reset; a caller that may resume does so.
            return
        if trip.kept is not None:
            kept = trip.kept
            await trip.reply.answer(kept.status, kept.headers, kept.body)
            return
        if trip.verdict is NOT_RUN:
            code = 'no_server'
        elif clock.remaining(trip.deadline) <= MIN_LEFT_SECONDS:
            code = 'deadline'
        else:
            code = 'server_failed'
        await self._refuse(
            trip.reply,
            trip.request,
            errors.RefusalError(code, trip.reason, trip.verdict),
        )

    async def _refuse(self, reply, request, error) -> None:
        status = refusals.REFUSALS[error.code].status
        retry_after = None
        if status in (429, 503):
            retry_after = find_retry_after(request)
        REQUESTS.labels('', error.code).inc()
        logs.log_decision(
            'refusal',
            request=request.id if request else '',
            code=error.code,
            detail=error.detail,
            verdict=error.verdict.label,
            status=status,
            retry_after=retry_after,
            configuration_age=round(min(self._proof.age, 1e6), 3),
        )
        headers = self._wire.write_refusal(
            request.id if request else '', retry_after
        )
        body = f'{error.code}: {error.detail}\n'.encode()
        await reply.answer(status, headers, body)

    def _record_end(self, trip: Trip) -> None:
        result = 'complete' if trip.reply.is_finished else 'cut'
        REQUESTS.labels(trip.route.name, result).inc()
        if trip.first_byte_at:
            FIRST_BYTE.record(
                trip.route.name, trip.first_byte_at - trip.request.received_at
            )
        logs.log_decision(
            'request',
            request=trip.request.id,
            route=trip.route.name,
            organisation=(trip.organisation.name if trip.organisation else ''),
            result=result,
            attempts=trip.sends,
            model=trip.tier.model,
            reason=trip.reason,
            events=trip.events,
            input_tokens=trip.request.input_tokens,
            expected_tokens=trip.request.expected_tokens,
            max_output_tokens=trip.request.max_output_tokens,
            first_byte=round(
                max(0.0, trip.first_byte_at - trip.request.received_at), 4
            ),
            seconds=round(clock.now() - trip.request.received_at, 4),
        )


def find_slowness(
    seconds: float,
    choice: backend_selection.Choice,
    route: forwarding.Route,
) -> float | None:
    """Returns the time to the first byte relative to its estimate.

    Returns:
        The ratio; None when most of the time may have been a queue.
    """
    if choice.wait > MAX_JUDGED_WAIT_SECONDS:
        return None
    usual = choice.seconds if choice.seconds else route.objective / 4
    return seconds / (SLACK_SECONDS + choice.wait + usual)


def find_first(group: BaseExceptionGroup) -> BaseException:
    """Returns the first exception inside nested exception groups."""
    first = group.exceptions[0]
    if isinstance(first, BaseExceptionGroup):
        return find_first(first)
    return first


def find_session(request: forwarding.ForwardRequest) -> str:
    """Returns what ties requests together: session, or the last part."""
    if request.session:
        return request.session
    return request.prompt[-1].id if request.prompt else request.id


def find_retry_after(request: forwarding.ForwardRequest | None) -> float:
    """Returns the seconds after which a refused caller should return."""
    wait = random.uniform(*RETRY_AFTER_SECONDS)
    if request is not None:
        left = RETRY_AFTER_SHARE * clock.remaining(request.deadline)
        wait = min(wait, left)
    return round(max(0.05, wait), 2)
