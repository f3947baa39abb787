"""Attempts at the gateway: send, wait, resolve, re-attach, retry, hedge."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import math
import uuid

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction.coordination import attempt_streams
from chivejunction.coordination import continuations
from chivejunction.coordination import idempotency
from chivejunction.coordination import peers
from chivejunction.coordination import selection
from chivejunction.protocol import messages
from chivejunction.protocol import verdicts
from chivejunction.state import budgets
from chivejunction.state import calls
from chivejunction.state import servers
from chivejunction.state import views

MAX_ATTEMPTS = 4
# An idempotent call without a byte passed on need not wait for the verdict.
IMPATIENCE_SECONDS = 0.7
# A new link to a live agent comes up within a redial delay and two round
# trips, about 0.4 s; later a continuation elsewhere is faster.
CONTINUATION_SECONDS = 1.0
# An agent that is behind pulls the configuration within this time.
STALE_SECONDS = 3.0
STALE_DELAY_SECONDS = 0.1
# Refusals that any other server would repeat.
FINAL_CODES = frozenset(
    {
        'deadline',
        'duplicate',
        'internal',
        'key_reused',
        'store_unavailable',
        'version_not_allowed',
        'version_withdrawn',
    }
)
Event = attempt_streams.Event


class Trial:
    """All attempts of one call.

    Args:
        call: The call.
        pool: Pool to run on.
        version: Model version to run, empty for a plain service.
    """

    def __init__(self, call: calls.Call, pool: str, version: str):
        self.call = call
        self.pool = pool
        self.version = version
        self.streams: list[attempt_streams.AttemptStream] = []
        self.excluded: set[str] = set()
        # Hosts whose attempt failed after bytes had been passed on.
        self.broken: set[str] = set()
        self.outcomes: dict[str, servers.Outcome] = {}
        # Attempts that get the full patience, as nothing can replace them.
        self.waited: set[str] = set()
        self.key_revision = 0

    @property
    def kind(self) -> tuple:
        """Requests of one kind have like times to first token."""
        return (self.pool, self.version, self.call.stream)

    @property
    def verdict(self) -> verdicts.Verdict:
        """Strictest verdict over all attempts."""
        return max(
            (s.verdict for s in self.streams),
            default=verdicts.Verdict.NOT_RUN,
        )

    def add(self, stream: attempt_streams.AttemptStream) -> None:
        """Adds an attempt that is about to be sent.

        Raises:
            InvariantViolation: A call that may not be repeated has another
                attempt that may have run.
        """
        if not self.call.idempotent and self.verdict.value:
            raise errors.InvariantViolation(
                'at_most_once', f'second attempt of {self.call.id}'
            )
        self.streams.append(stream)

    def make_refusal(
        self, refusal: errors.RefusalError
    ) -> errors.RefusalError:
        """Returns a refusal with the strictest verdict of all attempts."""
        verdict = max(refusal.verdict, self.verdict)
        if not verdict.value and any(s.offset for s in self.streams):
            raise errors.InvariantViolation(
                'true_not_run', f'{self.call.id} has received bytes'
            )
        return errors.RefusalError(
            refusal.code, refusal.detail, verdict, refusal.retry_after
        )

    def record_event(self, stream, event: Event) -> None:
        """Notes an event for the choice of later servers."""
        outcome = self.outcomes.get(stream.peer.name)
        if outcome is not None:
            outcome.record_event(event, self.call.stream)

    def record_failure(self, host: str, refusal: errors.RefusalError) -> None:
        """Notes the failure of an attempt for the choice of later servers."""
        outcome = self.outcomes.get(host)
        if outcome is not None:
            outcome.record_failure(
                refusal.code, refusal.verdict is verdicts.Verdict.NOT_RUN
            )

    def close(self) -> None:
        """Stops receiving; cancels attempts that may be repeated."""
        for stream in self.streams:
            stream.close(cancel=self.call.idempotent)


class Dispatcher:
    """Runs calls on backend servers.

    Args:
        selector: Chooses servers.
        agent_peers: Links by host.
        view: Configuration of the gateway.
        keys: Claims idempotency keys; None refuses keyed calls.
        on_contested: Called with a request that has several attempts.
    """

    def __init__(
        self,
        selector: selection.Selector,
        agent_peers: dict[str, peers.AgentPeer],
        view: views.ConfigView,
        keys: idempotency.KeyStore | None = None,
        on_contested: Callable[[str], None] = lambda request: None,
    ):
        self._selector = selector
        self._peers = agent_peers
        self._view = view
        self._keys = keys
        self._on_contested = on_contested
        self.budget = budgets.RetryBudget()
        self.first_tokens = budgets.FirstTokenTimes()

    async def run(
        self, call: calls.Call, pool: str, version: str = ''
    ) -> AsyncIterator[Event]:
        """Yields the answer of a call: a head, data and an end.

        Args:
            call: The call.
            pool: Pool to run on.
            version: Model version to run, empty for a plain service.

        Raises:
            RefusalError: The call failed; the verdict says whether it may
                have run. After data was yielded the answer is incomplete.
        """
        trial = Trial(call, pool, version)
        joiner = continuations.StreamJoiner(call, version)
        attempt = None
        try:
            attempt = await self._open(trial)
            while attempt is not None:
                stream, events = attempt
                try:
                    async for event in self._read(trial, joiner, *attempt):
                        yield event
                    break
                except errors.RefusalError as exc:
                    progress = self._find_progress(joiner, exc)
                    if progress is not None and progress.complete:
                        for event in joiner.close(stream.id, progress):
                            yield event
                        break
                    attempt = await self._continue(
                        trial, joiner, stream, progress, exc
                    )
            self.budget.add_success()
        except errors.RefusalError as exc:
            raise trial.make_refusal(exc) from exc
        finally:
            trial.close()
            for host, outcome in trial.outcomes.items():
                self._selector.record(host, outcome)

    async def _read(
        self, trial: Trial, joiner, stream, events: list[Event]
    ) -> AsyncIterator[Event]:
        """Yields the events of an attempt as parts of the whole answer."""
        while True:
            for event in events:
                if isinstance(event, messages.Head):
                    if joiner.open(event):
                        yield event
                    continue
                payload = b''
                if isinstance(event, messages.Data):
                    payload = joiner.feed(event.payload)
                else:
                    self._check_whole(stream, event, joiner.received)
                    payload = joiner.finish()
                if payload:
                    start = joiner.length - len(payload)
                    yield messages.Data(stream.id, start, payload)
                if isinstance(event, messages.End):
                    trial.record_event(stream, event)
                    yield joiner.make_end(event)
            if stream.ended:
                return
            # Bytes have been passed on, so that only this attempt or a
            # continuation can end them.
            stream.patience = attempt_streams.PATIENCE_SECONDS
            if joiner.keeps_text and stream.id not in trial.waited:
                stream.patience = CONTINUATION_SECONDS
            events = [await stream.next_event(trial.call.deadline)]

    @staticmethod
    def _find_progress(
        joiner, failure: errors.RefusalError
    ) -> continuations.Progress | None:
        """Returns what was received, None if it cannot be continued."""
        if failure.code in FINAL_CODES:
            return None
        return joiner.read_progress()

    async def _continue(
        self,
        trial: Trial,
        joiner,
        stream,
        progress: continuations.Progress | None,
        failure: errors.RefusalError,
    ):
        """Returns the attempt that goes on and its first events.

        That is the present one if no other server can continue it and its
        agent may still answer.

        Raises:
            RefusalError: The failure, if the answer cannot go on.
        """
        body = None
        if progress is not None:
            body = continuations.write_body(joiner.call.body, progress)
        if (
            body is not None
            and joiner.attempts <= continuations.MAX_CONTINUATIONS
            and self.budget.take()
        ):
            trial.broken.add(stream.peer.name)
            trial.excluded = set(trial.broken)
            trial.call = dataclasses.replace(joiner.call, body=body)
            try:
                following, events = await self._open(trial)
            except errors.RefusalError as exc:
                logs.LOG.info('%s is not continued: %s', trial.call.id, exc)
            else:
                if joiner.accepts(events[0]):
                    trial.record_failure(stream.peer.name, failure)
                    joiner.restart(progress)
                    return following, events
        if stream.ended or stream.id in trial.waited or stream.closed:
            trial.record_failure(stream.peer.name, failure)
            raise failure
        trial.waited.add(stream.id)
        return stream, []

    @staticmethod
    def _check_whole(stream, end: messages.End, passed: int) -> None:
        if passed != end.length or end.attempt != stream.id:
            raise errors.InvariantViolation(
                'whole_answer',
                f'{stream.id} ends at {end.length} after {passed} bytes',
            )

    async def _open(self, trial: Trial):
        """Returns the attempt that answers and its first events."""
        refusal = None
        for number in range(MAX_ATTEMPTS):
            server = self._choose(trial)
            if server is None or (number and not self.budget.take()):
                break
            try:
                return await self._race(trial, server)
            except errors.RefusalError as exc:
                refusal = exc
                if exc.code in FINAL_CODES or not (
                    trial.verdict.allows_retry(trial.call.idempotent)
                ):
                    raise
        if clock.has_passed(trial.call.deadline):
            raise errors.RefusalError('deadline', 'the deadline has passed')
        raise refusal or errors.RefusalError(
            'no_server', f'no server of {trial.pool} takes the request'
        )

    def _choose(self, trial: Trial) -> servers.Server | None:
        call = trial.call
        if clock.has_passed(call.deadline):
            return None
        server = self._selector.choose(
            trial.pool,
            trial.version,
            call.session or call.affinity,
            frozenset(trial.excluded),
        )
        if server is not None:
            trial.excluded.add(server.host)
            trial.outcomes[server.host] = self._selector.make_outcome()
            logs.log_decision(
                'server',
                request=call.id,
                organisation=call.organisation,
                pool=trial.pool,
                version=trial.version,
                choice=server.host,
                revision=self._view.revision,
                **self._selector.describe_decision(),
            )
        return server

    async def _race(self, trial: Trial, server: servers.Server):
        """Runs an attempt up to its first bytes, hedged when it is late."""
        delay = math.inf
        if trial.call.idempotent:
            delay = self.first_tokens.hedge_delay(trial.kind)
        winners: list = []
        failures: list[errors.Error] = []
        running = 0

        async def follow(chosen: servers.Server, scope) -> None:
            nonlocal running
            running += 1
            try:
                winners.append(await self._follow(trial, chosen))
                scope.cancel()
            except errors.Error as exc:
                failures.append(exc)
                running -= 1
                # A hedge may still answer; without one the race is lost.
                if not running:
                    scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(follow, server, group.cancel_scope)
            if delay < clock.remaining(trial.call.deadline):
                await anyio.sleep(delay)
                hedge = self._choose_hedge(trial)
                if hedge is not None:
                    await follow(hedge, group.cancel_scope)
        for failure in failures:
            if isinstance(failure, errors.InvariantViolation):
                raise failure
        if not winners:
            raise failures[-1]
        self._settle(trial, winners[0][0])
        return winners[0]

    def _choose_hedge(self, trial: Trial) -> servers.Server | None:
        if self.budget.tokens < 1:
            return None
        server = self._choose(trial)
        if server is not None:
            self.budget.take()
        return server

    def _settle(self, trial: Trial, winner) -> None:
        """Cancels the losers of a race and records their times."""
        for stream in trial.streams:
            if stream is winner or not stream.ended:
                self.first_tokens.record(
                    trial.kind, clock.now() - stream.started
                )
            if stream is not winner:
                stream.close(cancel=trial.call.idempotent)

    async def _follow(self, trial: Trial, server: servers.Server):
        """Runs an attempt on a server, again while its view is stale."""
        call = trial.call
        until = min(call.deadline, clock.make_deadline(STALE_SECONDS))
        held = 0
        if call.idempotent and not call.stream:
            held = attempt_streams.WHOLE_BODY_BYTES
        while True:
            try:
                stream = await self._send(trial, server)
                events = await stream.read_first(call.deadline, held)
                for event in events:
                    trial.record_event(stream, event)
                return stream, events
            except errors.RefusalError as exc:
                if exc.code != 'stale_config' or clock.has_passed(until):
                    trial.record_failure(server.host, exc)
                    raise
            await anyio.sleep(clock.jitter(STALE_DELAY_SECONDS))

    async def _send(self, trial: Trial, server: servers.Server):
        call = trial.call
        peer = self._peers.get(server.host)
        if peer is None:
            raise errors.RefusalError('no_server', f'{server.host} has gone')
        attempt = uuid.uuid4().hex
        incarnation = server.incarnation
        if call.key:
            stream = await self._claim(trial, attempt, peer, incarnation)
            if stream is not None:
                return stream
        stream = attempt_streams.AttemptStream(peer, attempt, incarnation)
        if call.idempotent:
            stream.patience = IMPATIENCE_SECONDS
            stream.replaceable = self.budget.tokens >= 1
        trial.add(stream)
        # Answers name the attempt, so this line leads from an answer to the
        # decisions on its request.
        logs.log_decision(
            'attempt',
            request=call.id,
            organisation=call.organisation,
            attempt=attempt,
            host=peer.name,
            revision=self._view.revision,
        )
        if call.contested or len(trial.streams) > 1:
            self._on_contested(call.id)
        stream.start(self._make_start(trial, attempt))
        return stream

    async def _claim(self, trial: Trial, attempt, peer, incarnation):
        """Claims the key; returns the attempt of an earlier call if any.

        Raises:
            RefusalError: The key cannot be claimed or the earlier attempt
                can no longer be reached.
        """
        if self._keys is None:
            raise errors.RefusalError('store_unavailable', 'no store is set')
        own = self._keys.make_record(
            trial.call, attempt, peer.name, incarnation
        )
        while True:
            held, revision = await self._keys.claim(
                trial.call, own, trial.key_revision
            )
            if held == own:
                trial.key_revision = revision
                return None
            stream = await self._attach(trial, held)
            if stream is not None:
                return stream
            trial.key_revision = revision

    async def _attach(self, trial: Trial, held: idempotency.Record):
        """Returns the stream of a record, None if it never runs."""
        peer = self._peers.get(held.agent)
        gone = errors.RefusalError(
            'duplicate',
            'an earlier call with this key may have run',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
        if peer is None:
            raise gone
        stream = attempt_streams.AttemptStream(
            peer, held.attempt, held.incarnation
        )
        try:
            await stream.resolve(trial.call.deadline)
        except errors.RefusalError as exc:
            stream.close(cancel=False)
            if exc.verdict is verdicts.Verdict.NOT_RUN and held.is_recent:
                return None
            raise gone from exc
        trial.add(stream)
        return stream

    def _make_start(self, trial: Trial, attempt: str) -> messages.Start:
        call = trial.call
        return messages.Start(
            attempt=attempt,
            request=call.id,
            organisation=call.organisation,
            target=trial.pool,
            version=trial.version,
            session=call.session,
            idempotent=call.idempotent,
            budget_ms=int(1000 * clock.remaining(call.deadline)),
            revision=self._view.revision,
            priority=call.priority,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
        )
