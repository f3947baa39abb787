"""Answers callers' requests by attempts at backend servers."""

from collections.abc import Callable
import random

import anyio

from chivejunction import clock
from chivejunction import errors
from chivejunction import logs
from chivejunction import metrics
from chivejunction.coordination import attempt_choice
from chivejunction.coordination import direct_attempts
from chivejunction.coordination import tier_choice
from chivejunction.coordination import trips
from chivejunction.protocol import forwarding
from chivejunction.protocol import refusals
from chivejunction.state import freshness
from chivejunction.state import route_tables
from chivejunction.transport import caller_connections

# Retry-After of a refusal: a spread keeps callers from returning together.
RETRY_AFTER_SECONDS = (0.3, 1.2)
# Callers honour up to a third of the time that they have left.
RETRY_AFTER_SHARE = 0.3
# Time left below which an attempt cannot end in time.
MIN_LEFT_SECONDS = 0.02
REQUESTS = metrics.make_counter(
    'forward_requests', 'Forwarded requests by result.', 'route', 'result'
)
FIRST_BYTE = metrics.Latency(
    'forward_first_byte_seconds', 'Time to the first byte.', 'route'
)


class Forwarder:
    """Answers callers' requests by attempts at backend servers.

    Args:
        get_table: Returns the routing table in force, None before the
            first one.
        wire: Wire format of callers and servers.
        proof: Age of the configuration.
        chooser: Chooses attempts.
        attempts: Makes attempts.
    """

    def __init__(
        self,
        get_table: Callable[[], route_tables.RouteTable | None],
        wire: forwarding.WireFormat,
        proof: freshness.Freshness,
        chooser: attempt_choice.AttemptChooser,
        attempts: direct_attempts.DirectAttempts,
    ):
        self._get_table = get_table
        self._wire = wire
        self._proof = proof
        self._chooser = chooser
        self._attempts = attempts

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

    def _start_trip(self, request, reply) -> trips.Trip:
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
        return trips.Trip(
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

    async def _run(self, trip: trips.Trip) -> None:
        budget = self._chooser.get_budget(trip.service.name)
        budget.add_request()
        step = trips.Step.RETRY
        while step in (trips.Step.RETRY, trips.Step.ESCALATE):
            # An escalation has chosen its server and paid already.
            choice, trip.next_choice = trip.next_choice, None
            if choice is None:
                choice = await self._chooser.find_backend(trip)
                if choice is None:
                    break
                if trip.sends and not budget.take():
                    trip.reason = trip.reason or 'no retry budget'
                    break
            step = await self._attempts.run(trip, choice)
            if step is trips.Step.RETRY and not self._may_go_on(trip):
                break
        if step is not trips.Step.DONE:
            await self._fail(trip)

    @staticmethod
    def _may_go_on(trip: trips.Trip) -> bool:
        return (
            trip.may_repeat
            and trip.sends < trip.route.max_attempts
            and clock.remaining(trip.deadline) > MIN_LEFT_SECONDS
        )

    async def _fail(self, trip: trips.Trip) -> None:
        """Gives the final answer of a request that was not served."""
        if trip.reply.has_started:
            # The connection is reset; a caller that may resume does so.
            return
        if trip.kept is not None:
            kept = trip.kept
            await trip.reply.answer(kept.status, kept.headers, kept.body)
            return
        if trip.verdict is trips.NOT_RUN:
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

    def _record_end(self, trip: trips.Trip) -> None:
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


def find_retry_after(request: forwarding.ForwardRequest | None) -> float:
    """Returns the seconds after which a refused caller should return."""
    wait = random.uniform(*RETRY_AFTER_SECONDS)
    if request is not None:
        left = RETRY_AFTER_SHARE * clock.remaining(request.deadline)
        wait = min(wait, left)
    return round(max(0.05, wait), 2)
