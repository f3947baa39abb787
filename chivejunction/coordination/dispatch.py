"""Runs calls of a gateway on agents, with retries, hedging and failover."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import functools
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
# Delay before a call is sent again to a server that has failed it.
REPEAT_DELAY_SECONDS = 0.1
# An idempotent call of which no byte has been relayed can run again, so it
# does not wait long to learn whether the attempt has run.
IDEMPOTENT_RESOLVE_TIMEOUT_SECONDS = 0.7
# A live agent is reconnected within a redial delay and two round trips,
# about 0.4 s. After this time, continuing on another server is faster.
CONTINUABLE_RESOLVE_TIMEOUT_SECONDS = 1.0
# An agent with an outdated configuration fetches the new one within this
# time.
STALE_CONFIG_TIMEOUT_SECONDS = 3.0
STALE_CONFIG_RETRY_DELAY_SECONDS = 0.1
# Refusal codes that every other server would return as well.
NON_RETRYABLE_CODES = frozenset(
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


class CallExecution:
    """State of one call over all its attempts.

    Args:
        call: The call.
        pool: Name of the pool to run on.
        version: Model version to run, empty for a plain service.

    Attributes:
        streams: All attempts, in the order in which they were added.
        excluded_hosts: Hosts that are not chosen for another attempt.
        interrupted_hosts: Hosts whose attempt failed after bytes of the
            response had been relayed.
        outcomes: Result of the latest attempt of each host.
        full_timeout_attempts: Ids of attempts that get the full resolve
            timeout, because no other server can continue the response.
        key_record_revision: Store revision of the idempotency record to
            replace, zero if there is none.
    """

    def __init__(self, call: calls.Call, pool: str, version: str):
        self.call = call
        self.pool = pool
        self.version = version
        self.streams: list[attempt_streams.AttemptStream] = []
        self.excluded_hosts: set[str] = set()
        self.interrupted_hosts: set[str] = set()
        self.outcomes: dict[str, servers.Outcome] = {}
        self.full_timeout_attempts: set[str] = set()
        self.key_record_revision = 0

    @property
    def first_token_key(self) -> tuple:
        """Key under which the times to first token are collected.

        Requests with the same key have similar times to first token.
        """
        return (self.pool, self.version, self.call.stream)

    @property
    def verdict(self) -> verdicts.Verdict:
        """Strictest verdict of all attempts."""
        return max(
            (s.verdict for s in self.streams),
            default=verdicts.Verdict.NOT_RUN,
        )

    def add(self, stream: attempt_streams.AttemptStream) -> None:
        """Adds an attempt that is about to be sent or was attached to.

        Raises:
            InvariantViolation: The call is not idempotent and an earlier
                attempt may have run.
        """
        if not self.call.idempotent and self.verdict.value:
            raise errors.InvariantViolation(
                'at_most_once',
                f'second attempt of non-idempotent call {self.call.id}',
            )
        self.streams.append(stream)

    def make_refusal(
        self, refusal: errors.RefusalError
    ) -> errors.RefusalError:
        """Returns a refusal with the strictest verdict of all attempts."""
        verdict = max(refusal.verdict, self.verdict)
        if not verdict.value and any(s.offset for s in self.streams):
            raise errors.InvariantViolation(
                'true_not_run',
                f'{self.call.id} has not run but response bytes came',
            )
        return errors.RefusalError(
            refusal.code, refusal.detail, verdict, refusal.retry_after
        )

    def record_event(self, stream, event: Event) -> None:
        """Adds a response event to the outcome of its server.

        Outcomes influence which servers later calls are sent to.
        """
        outcome = self.outcomes.get(stream.peer.name)
        if outcome is not None:
            outcome.record_event(event, self.call.stream)

    def record_failure(self, host: str, refusal: errors.RefusalError) -> None:
        """Sets the outcome of a server to failed or refused."""
        outcome = self.outcomes.get(host)
        if outcome is not None:
            outcome.record_failure(
                refusal.code, refusal.verdict is verdicts.Verdict.NOT_RUN
            )

    def close(self) -> None:
        """Closes all attempts; cancels running ones of an idempotent call."""
        for stream in self.streams:
            stream.close(cancel=self.call.idempotent)


class Dispatcher:
    """Runs calls on backend servers.

    Args:
        selector: Chooses a server for each attempt.
        agent_peers: Links to agents by host name.
        view: Configuration of the gateway.
        keys: Claims idempotency keys; with None, calls with a key are
            refused.
        on_multiple_attempts: Called with the id of a request that has
            more than one attempt.
    """

    def __init__(
        self,
        selector: selection.Selector,
        agent_peers: dict[str, peers.AgentPeer],
        view: views.ConfigView,
        keys: idempotency.KeyStore | None = None,
        on_multiple_attempts: Callable[[str], None] = lambda request: None,
    ):
        self._selector = selector
        self._peers = agent_peers
        self._view = view
        self._keys = keys
        self._on_multiple_attempts = on_multiple_attempts
        self.budget = budgets.RetryBudget()
        self.first_tokens = budgets.FirstTokenTimes()

    async def run(
        self, call: calls.Call, pool: str, version: str = ''
    ) -> AsyncIterator[Event]:
        """Yields the response to a call: a head, data and an end.

        Args:
            call: The call.
            pool: Name of the pool to run on.
            version: Model version to run, empty for a plain service.

        Raises:
            RefusalError: The call failed; the verdict says whether it may
                have run. If data was yielded, the response is incomplete.
        """
        execution = CallExecution(call, pool, version)
        joiner = continuations.StreamJoiner(call, version)
        attempt = None
        try:
            attempt = await self._open_attempt(execution)
            while attempt is not None:
                stream, events = attempt
                try:
                    async for event in self._relay_events(
                        execution, joiner, *attempt
                    ):
                        yield event
                    break
                except errors.RefusalError as exc:
                    progress = self._find_progress(joiner, exc)
                    if progress is not None and progress.is_complete:
                        for event in joiner.close(stream.id, progress):
                            yield event
                        break
                    attempt = await self._continue_response(
                        execution, joiner, stream, progress, exc
                    )
            self.budget.add_success()
        except errors.RefusalError as exc:
            raise execution.make_refusal(exc) from exc
        finally:
            execution.close()
            for host, outcome in execution.outcomes.items():
                self._selector.record(host, outcome)

    async def _relay_events(
        self, execution: CallExecution, joiner, stream, events: list[Event]
    ) -> AsyncIterator[Event]:
        """Yields the events of an attempt as parts of the joined response.

        Args:
            execution: State of the call.
            joiner: Joins the responses of all attempts of the call.
            stream: The attempt.
            events: Events of the attempt that were read already.

        Raises:
            RefusalError: The attempt failed.
            InvariantViolation: The length of the response is wrong.
        """
        while True:
            for event in events:
                if isinstance(event, messages.Head):
                    if joiner.process_head(event):
                        yield event
                    continue
                payload = b''
                if isinstance(event, messages.Data):
                    payload = joiner.feed(event.payload)
                else:
                    self._check_length(stream, event, joiner.received_bytes)
                    payload = joiner.finish()
                if payload:
                    start = joiner.length - len(payload)
                    yield messages.Data(stream.id, start, payload)
                if isinstance(event, messages.End):
                    execution.record_event(stream, event)
                    yield joiner.make_end(event)
            if stream.ended:
                return
            # Bytes have been relayed, so only this attempt or a continuation
            # can complete the response.
            stream.resolve_timeout = attempt_streams.RESOLVE_TIMEOUT_SECONDS
            if (
                joiner.is_buffering
                and stream.id not in execution.full_timeout_attempts
            ):
                stream.resolve_timeout = CONTINUABLE_RESOLVE_TIMEOUT_SECONDS
            events = [await stream.next_event(execution.call.deadline)]

    @staticmethod
    def _find_progress(
        joiner, failure: errors.RefusalError
    ) -> continuations.StreamProgress | None:
        """Returns what the caller has received of the response.

        Args:
            joiner: Joins the responses of all attempts of the call.
            failure: Why the latest attempt failed.

        Returns:
            The progress, or None if the response cannot be continued.
        """
        if failure.code in NON_RETRYABLE_CODES:
            return None
        return joiner.read_progress()

    async def _continue_response(
        self,
        execution: CallExecution,
        joiner,
        stream,
        progress: continuations.StreamProgress | None,
        failure: errors.RefusalError,
    ):
        """Continues an interrupted response, on another server if possible.

        If no other server can continue the response, the interrupted attempt
        gets the full resolve timeout once, in case its agent comes back.

        Args:
            execution: State of the call.
            joiner: Joins the responses of all attempts of the call.
            stream: The interrupted attempt.
            progress: What the caller has received, None if the response
                cannot be continued on another server.
            failure: Why the attempt was interrupted.

        Returns:
            The attempt that continues the response and its first events.

        Raises:
            RefusalError: The given failure, if nothing can continue the
                response.
        """
        body = None
        if progress is not None:
            body = continuations.make_continuation_body(
                joiner.call.body, progress
            )
        if (
            body is not None
            and joiner.attempt_count <= continuations.MAX_CONTINUATIONS
            and self.budget.take()
        ):
            execution.interrupted_hosts.add(stream.peer.name)
            execution.excluded_hosts = set(execution.interrupted_hosts)
            execution.call = dataclasses.replace(joiner.call, body=body)
            try:
                continuation, events = await self._open_attempt(execution)
            except errors.RefusalError as exc:
                logs.LOG.info(
                    'response to %s not continued on another server: %s',
                    execution.call.id,
                    exc,
                )
            else:
                if joiner.can_continue_with(events[0]):
                    execution.record_failure(stream.peer.name, failure)
                    joiner.start_continuation(progress)
                    return continuation, events
        if (
            stream.ended
            or stream.id in execution.full_timeout_attempts
            or stream.closed
        ):
            execution.record_failure(stream.peer.name, failure)
            raise failure
        execution.full_timeout_attempts.add(stream.id)
        return stream, []

    @staticmethod
    def _check_length(stream, end: messages.End, received: int) -> None:
        if received != end.length or end.attempt != stream.id:
            raise errors.InvariantViolation(
                'whole_answer',
                f'{stream.id} ends at {end.length} after {received} bytes',
            )

    async def _open_attempt(self, execution: CallExecution):
        """Tries servers until an attempt responds.

        Args:
            execution: State of the call.

        Returns:
            The attempt that responded and its first events.

        Raises:
            RefusalError: No server is left, the deadline has passed, or the
                latest failure forbids another attempt.
        """
        refusal = None
        for retry_count in range(MAX_ATTEMPTS):
            server = self._choose_server(execution)
            if server is None and refusal is not None:
                server = await self._choose_again(execution)
            if server is None or (retry_count and not self.budget.take()):
                break
            try:
                return await self._run_hedged(execution, server)
            except errors.RefusalError as exc:
                refusal = exc
                if exc.code in NON_RETRYABLE_CODES or not (
                    execution.verdict.allows_retry(execution.call.idempotent)
                ):
                    raise
        if clock.has_passed(execution.call.deadline):
            raise errors.RefusalError('deadline', 'the deadline has passed')
        raise refusal or errors.RefusalError(
            'no_server',
            f'no server of {execution.pool} takes the request',
        )

    def _can_replace(self, execution: CallExecution) -> bool:
        """Returns whether another server can take over from an attempt."""
        return self.budget.tokens >= 1 and self._selector.has_server(
            execution.pool,
            execution.version,
            frozenset(execution.excluded_hosts),
        )

    async def _choose_again(
        self, execution: CallExecution
    ) -> servers.Server | None:
        """Returns a server that failed the call, as there is no other one."""
        await anyio.sleep(clock.jitter(REPEAT_DELAY_SECONDS))
        execution.excluded_hosts = set(execution.interrupted_hosts)
        return self._choose_server(execution)

    def _choose_server(
        self, execution: CallExecution
    ) -> servers.Server | None:
        call = execution.call
        if clock.has_passed(call.deadline):
            return None
        server = self._selector.choose(
            execution.pool,
            execution.version,
            call.session or call.affinity,
            frozenset(execution.excluded_hosts),
        )
        if server is not None:
            execution.excluded_hosts.add(server.host)
            execution.outcomes[server.host] = self._selector.make_outcome()
            logs.log_decision(
                'server',
                request=call.id,
                organisation=call.organisation,
                pool=execution.pool,
                version=execution.version,
                choice=server.host,
                revision=self._view.revision,
                **self._selector.describe_decision(),
            )
        return server

    async def _run_hedged(
        self, execution: CallExecution, server: servers.Server
    ):
        """Runs an attempt up to its first bytes, with a hedge if it is late.

        A hedge is a second attempt on another server. Only idempotent calls
        are hedged.

        Args:
            execution: State of the call.
            server: Server of the first attempt.

        Returns:
            The attempt that responded first and its first events.

        Raises:
            RefusalError: All attempts failed.
            InvariantViolation: One of the attempts broke an invariant.
        """
        first_index = len(execution.streams)
        hedge_delay = math.inf
        if execution.call.idempotent:
            hedge_delay = self.first_tokens.hedge_delay(
                execution.first_token_key
            )
        winners: list = []
        failures: list[errors.Error] = []
        running_count = 0

        async def run_attempt(chosen: servers.Server, scope) -> None:
            nonlocal running_count
            running_count += 1
            try:
                winners.append(await self._run_on_server(execution, chosen))
                scope.cancel()
            except errors.Error as exc:
                failures.append(exc)
                running_count -= 1
                # While another attempt runs, it may still succeed.
                if not running_count:
                    scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(run_attempt, server, group.cancel_scope)
            if hedge_delay < clock.remaining(execution.call.deadline):
                await anyio.sleep(hedge_delay)
                hedge = self._choose_hedge(execution)
                if hedge is not None:
                    await run_attempt(hedge, group.cancel_scope)
        for failure in failures:
            if isinstance(failure, errors.InvariantViolation):
                raise failure
        if not winners:
            raise failures[-1]
        self._end_race(execution, first_index, winners[0][0])
        return winners[0]

    def _choose_hedge(self, execution: CallExecution) -> servers.Server | None:
        if self.budget.tokens < 1:
            return None
        server = self._choose_server(execution)
        if server is not None:
            self.budget.take()
        return server

    def _end_race(
        self, execution: CallExecution, first_index: int, winner
    ) -> None:
        """Closes all attempts but the winner; records times to first token.

        For an attempt that is still running, the time so far is recorded.

        Args:
            execution: State of the call.
            first_index: Index of the first attempt of the race. Those of
                earlier races have been recorded.
            winner: Attempt that responded first.
        """
        for index, stream in enumerate(execution.streams):
            if index >= first_index and (stream is winner or not stream.ended):
                self.first_tokens.record(
                    execution.first_token_key, clock.now() - stream.started
                )
            if stream is not winner:
                stream.close(cancel=execution.call.idempotent)

    async def _run_on_server(
        self, execution: CallExecution, server: servers.Server
    ):
        """Runs an attempt on one server up to its first bytes.

        An attempt that is refused because the agent's configuration is stale
        is sent again until the configuration has had time to arrive.

        Args:
            execution: State of the call.
            server: The server.

        Returns:
            The attempt and its first events.

        Raises:
            RefusalError: The attempt failed.
        """
        call = execution.call
        retry_deadline = min(
            call.deadline, clock.make_deadline(STALE_CONFIG_TIMEOUT_SECONDS)
        )
        hold_bytes = 0
        if call.idempotent and not call.stream:
            hold_bytes = attempt_streams.MAX_HELD_RESPONSE_BYTES
        while True:
            try:
                stream = await self._start_attempt(execution, server)
                events = await stream.read_first(call.deadline, hold_bytes)
                for event in events:
                    execution.record_event(stream, event)
                return stream, events
            except errors.RefusalError as exc:
                if exc.code != 'stale_config' or clock.has_passed(
                    retry_deadline
                ):
                    execution.record_failure(server.host, exc)
                    raise
            await anyio.sleep(clock.jitter(STALE_CONFIG_RETRY_DELAY_SECONDS))

    async def _start_attempt(
        self, execution: CallExecution, server: servers.Server
    ):
        """Sends a new attempt to a server.

        With an idempotency key that an earlier call holds, attaches to the
        attempt of that call instead.

        Raises:
            RefusalError: No attempt was sent or attached to.
        """
        call = execution.call
        peer = self._peers.get(server.host)
        if peer is None:
            raise errors.RefusalError('no_server', f'{server.host} has gone')
        attempt = uuid.uuid4().hex
        incarnation = server.incarnation
        if call.key:
            stream = await self._claim_key(
                execution, attempt, peer, incarnation
            )
            if stream is not None:
                return stream
        stream = attempt_streams.AttemptStream(peer, attempt, incarnation)
        if call.idempotent:
            stream.resolve_timeout = IDEMPOTENT_RESOLVE_TIMEOUT_SECONDS
            stream.is_replaceable = functools.partial(
                self._can_replace, execution
            )
        execution.add(stream)
        # Frames of a response hold only the attempt id. This line maps it to
        # the request, under which the other decisions are logged.
        logs.log_decision(
            'attempt',
            request=call.id,
            organisation=call.organisation,
            attempt=attempt,
            host=peer.name,
            revision=self._view.revision,
        )
        if call.has_earlier_attempts or len(execution.streams) > 1:
            self._on_multiple_attempts(call.id)
        stream.start(self._make_start(execution, attempt))
        return stream

    async def _claim_key(
        self, execution: CallExecution, attempt, peer, incarnation
    ):
        """Claims the idempotency key of a call for a new attempt.

        Args:
            execution: State of the call.
            attempt: Id of the new attempt.
            peer: Link to the agent of the new attempt.
            incarnation: Incarnation of that agent.

        Returns:
            The attempt of an earlier call with the same key, or None if the
            new attempt may be sent.

        Raises:
            RefusalError: The key cannot be claimed, or the earlier attempt
                may have run and cannot be reached.
        """
        if self._keys is None:
            raise errors.RefusalError('store_unavailable', 'no store is set')
        new_record = self._keys.make_record(
            execution.call, attempt, peer.name, incarnation
        )
        while True:
            stored_record, revision = await self._keys.claim(
                execution.call, new_record, execution.key_record_revision
            )
            if stored_record == new_record:
                execution.key_record_revision = revision
                return None
            stream = await self._attach_to_earlier(execution, stored_record)
            if stream is not None:
                return stream
            execution.key_record_revision = revision

    async def _attach_to_earlier(
        self, execution: CallExecution, record: idempotency.Record
    ):
        """Attaches to the attempt of an earlier call with the same key.

        Args:
            execution: State of the call.
            record: Idempotency record of the earlier call.

        Returns:
            The attempt, or None if it has not run and never will.

        Raises:
            RefusalError: The attempt may have run but cannot be reached.
        """
        peer = self._peers.get(record.agent)
        unreachable = errors.RefusalError(
            'duplicate',
            'an earlier call with this key may have run',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
        if peer is None:
            raise unreachable
        stream = attempt_streams.AttemptStream(
            peer, record.attempt, record.incarnation
        )
        try:
            await stream.resolve(execution.call.deadline)
        except errors.RefusalError as exc:
            stream.close(cancel=False)
            if (
                exc.verdict is verdicts.Verdict.NOT_RUN
                and record.is_within_deadline
            ):
                return None
            raise unreachable from exc
        execution.add(stream)
        return stream

    def _make_start(
        self, execution: CallExecution, attempt: str
    ) -> messages.Start:
        call = execution.call
        return messages.Start(
            attempt=attempt,
            request=call.id,
            organisation=call.organisation,
            target=execution.pool,
            version=execution.version,
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
